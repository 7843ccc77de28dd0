// Package peer serves the calls of other hosts: the exchange of the membership
// protocol, probes, the fetching of configurations and the drawing of rate tokens.
package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
)

// maxMessageBytes bounds a message from another host.
const maxMessageBytes = 20 << 20

// compressFrom is the size, in bytes, from which answers are compressed.
const compressFrom = 1 << 10

// fleet is the membership protocol.
type fleet interface {
	Exchange(r *wasabislipv1.ExchangeRequest) *wasabislipv1.ExchangeResponse
	Probe(ctx context.Context, name, address string) bool
}

// configuration gives the newest configuration.
type configuration interface {
	NewestBody() (version uint64, hash string, body []byte)
}

// tokenGranter grants tokens of the rates that this host is the home of: it owns
// their token buckets.
type tokenGranter interface {
	Draw(ctx context.Context, r *wasabislipv1.DrawRequest) (*wasabislipv1.DrawResponse, error)
}

// Handler implements the PeerService.
type Handler struct {
	// Fleet answers exchanges and probes other hosts.
	Fleet fleet
	// Config gives the newest configuration.
	Config configuration
	// Rates grants tokens.
	Rates tokenGranter
}

// Route returns the path and the HTTP handler of the service.
func (h *Handler) Route() (string, http.Handler) {
	return wasabislipv1connect.NewPeerServiceHandler(h, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressFrom))
}

// Exchange takes in another host's state and returns this host's.
func (h *Handler) Exchange(_ context.Context, r *connect.Request[wasabislipv1.ExchangeRequest]) (*connect.Response[wasabislipv1.ExchangeResponse], error) {
	return connect.NewResponse(h.Fleet.Exchange(r.Msg)), nil
}

// Probe checks, for another host, whether a third host answers.
func (h *Handler) Probe(ctx context.Context, r *connect.Request[wasabislipv1.ProbeRequest]) (*connect.Response[wasabislipv1.ProbeResponse], error) {
	alive := h.Fleet.Probe(ctx, r.Msg.GetHost(), r.Msg.GetAddress())
	return connect.NewResponse(&wasabislipv1.ProbeResponse{
		Alive: alive,
	}), nil
}

// Fetch returns the newest configuration that this host has.
func (h *Handler) Fetch(_ context.Context, _ *connect.Request[wasabislipv1.FetchRequest]) (*connect.Response[wasabislipv1.FetchResponse], error) {
	version, hash, body := h.Config.NewestBody()
	return connect.NewResponse(&wasabislipv1.FetchResponse{
		Version: version,
		Hash:    hash,
		Body:    body,
	}), nil
}

// Draw grants tokens of a workspace's rate.
func (h *Handler) Draw(ctx context.Context, r *connect.Request[wasabislipv1.DrawRequest]) (*connect.Response[wasabislipv1.DrawResponse], error) {
	resp, err := h.Rates.Draw(ctx, r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(resp), nil
}
