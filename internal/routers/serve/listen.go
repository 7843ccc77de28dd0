package serve

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/modules/mtls"
	"wasabislip.example/wasabislip/internal/routers/admin"
	"wasabislip.example/wasabislip/internal/routers/health"
	"wasabislip.example/wasabislip/internal/routers/peer"
	"wasabislip.example/wasabislip/internal/routers/runs"
	"wasabislip.example/wasabislip/internal/services/gather"
)

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

// listen opens the ports for other hosts, for monitoring and for callers, and serves
// them.
func (h *Host) listen() error {
	peers, err := h.Listen(h.Settings.PeerAddress)
	if err != nil {
		return err
	}
	cfg, err := h.peerTLS(mtls.Files.ServerConfig)
	if err != nil {
		return err
	}
	if cfg != nil {
		cfg.NextProtos = []string{"h2"}
		peers = tls.NewListener(peers, cfg)
	}
	ops, err := h.Listen(h.Settings.OpsAddress)
	if err != nil {
		return err
	}
	callers, err := h.Listen(h.Settings.CallerAddress)
	if err != nil {
		return err
	}
	h.serve(peers, h.peerMux())
	h.serve(ops, health.New(h.metrics.Registry(), h.ready))
	h.group.Go(func() {
		if err := h.callers.Serve(callers); err != nil {
			klog.ErrorS(err, "callers' listener ended")
		}
	})
	return nil
}

// serve serves HTTP on l until the host stops.
func (h *Host) serve(l net.Listener, handler http.Handler) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		Protocols:         protocols,
	}
	h.servers = append(h.servers, s)
	h.group.Go(func() { _ = s.Serve(l) })
}

// peerMux returns the handler of the services for other hosts and for operators.
func (h *Host) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wasabislipv1connect.NewStewardServiceHandler(runs.New(h.databases)))
	mux.Handle((&peer.Handler{
		Fleet:  h.fleet,
		Config: h.config,
		Rates:  h.quota,
	}).Route())
	mux.Handle((&admin.Handler{
		Config:    h.config,
		Fleet:     h.fleet,
		Databases: h.databases,
		Rates:     h.quota,
		Peers:     gather.New(h.fleet, h.clients),
	}).Route())
	return mux
}
