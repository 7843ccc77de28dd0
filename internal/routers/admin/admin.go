// Package admin serves the operators' commands.
package admin

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/modules/hostpb"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// maxMessageBytes bounds a message from an operator.
const maxMessageBytes = 20 << 20

// configuration stores and gives the operators' configuration.
type configuration interface {
	Apply(ctx context.Context, body []byte, base uint64, requestID, operator string) (uint64, error)
	CurrentBody() (version uint64, hash string, body []byte)
	Operator(version uint64) string
	Newest() (version uint64, hash string, age time.Duration)
}

// fleet lists the hosts of the fleet.
type fleet interface {
	Hosts() []host.Host
	Refresh(ctx context.Context, version uint64)
}

// databases gives the statuses of the databases that this host serves.
type databases interface {
	DatabaseStatuses(ctx context.Context) []*wasabislipv1.DatabaseStatus
}

// rates gives the statuses of the workspaces that this host serves.
type rates interface {
	Workspaces(ctx context.Context) []*wasabislipv1.WorkspaceStatus
}

// peers adds the statuses that the other hosts report to own.
type peers interface {
	Gather(ctx context.Context, own *wasabislipv1.StatusResponse)
}

// Handler implements the AdminService.
type Handler struct {
	// Config stores and gives the configuration.
	Config configuration
	// Fleet lists the hosts.
	Fleet fleet
	// Databases gives the statuses of the databases that this host serves; it may
	// be nil.
	Databases databases
	// Rates gives the statuses of the workspaces that this host serves; it may be
	// nil.
	Rates rates
	// Peers adds the statuses that the other hosts report; it may be nil.
	Peers peers
}

// Route returns the path and the HTTP handler of the service.
func (h *Handler) Route() (string, http.Handler) {
	return wasabislipv1connect.NewAdminServiceHandler(h, connect.WithReadMaxBytes(maxMessageBytes))
}

// Apply applies a new configuration.
func (h *Handler) Apply(ctx context.Context, r *connect.Request[wasabislipv1.ApplyRequest]) (*connect.Response[wasabislipv1.ApplyResponse], error) {
	resp := &wasabislipv1.ApplyResponse{}
	version, err := h.Config.Apply(ctx, r.Msg.GetBody(), r.Msg.GetBase(), r.Msg.GetRequestId(), r.Msg.GetOperator())
	switch f := fault.As(err); {
	case err == nil:
		resp.Version = version
	case f == nil:
		return nil, connect.NewError(connect.CodeInternal, err)
	case f.Kind == fault.BadRequest:
		resp.Problems = strings.Split(f.Reason, "\n")
	case f.Kind == fault.Conflict:
		resp.Conflict = f.Reason + "; " + f.Remedy
	default:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(resp), nil
}

// Show returns the configuration in force. It fails while a newer version is known
// and not yet in force on this host.
func (h *Handler) Show(context.Context, *connect.Request[wasabislipv1.ShowRequest]) (*connect.Response[wasabislipv1.ShowResponse], error) {
	version, _, body := h.Config.CurrentBody()
	known, _, _ := h.Config.Newest()
	if known > version {
		return nil, connect.NewError(connect.CodeUnavailable, fault.New(
			fault.Unconfirmed,
			"a newer version is known and not yet in force on this host",
			"ask again",
		))
	}
	return connect.NewResponse(&wasabislipv1.ShowResponse{
		Version:  version,
		Body:     body,
		Operator: h.Config.Operator(version),
	}), nil
}

// Status returns the status of this host or, unless the request is local, of the
// whole fleet.
func (h *Handler) Status(ctx context.Context, r *connect.Request[wasabislipv1.StatusRequest]) (*connect.Response[wasabislipv1.StatusResponse], error) {
	resp := h.local(ctx)
	if r.Msg.GetLocal() {
		return connect.NewResponse(resp), nil
	}
	h.Fleet.Refresh(ctx, resp.GetVersion())
	resp.Hosts = hostpb.ToProto(h.Fleet.Hosts())
	if h.Peers != nil {
		h.Peers.Gather(ctx, resp)
	}
	return connect.NewResponse(resp), nil
}

// local returns the statuses of the databases and workspaces that this host serves.
func (h *Handler) local(ctx context.Context) *wasabislipv1.StatusResponse {
	version, _, _ := h.Config.CurrentBody()
	resp := &wasabislipv1.StatusResponse{
		Version: version,
	}
	if h.Databases != nil {
		resp.Databases = h.Databases.DatabaseStatuses(ctx)
	}
	if h.Rates != nil {
		resp.Workspaces = h.Rates.Workspaces(ctx)
	}
	return resp
}
