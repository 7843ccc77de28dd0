// Package health serves /healthz, /readyz and /metrics for the balancer and the
// operators' monitoring.
package health

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Handler serves the three paths. A host is healthy while its process answers, and
// ready while the function ready returns nil.
type Handler struct {
	mux   *http.ServeMux
	ready func() error
}

// New returns a handler that serves the metrics of registry. The error of ready says
// why the host accepts no callers.
func New(registry *prometheus.Registry, ready func() error) *Handler {
	h := &Handler{
		mux:   http.NewServeMux(),
		ready: ready,
	}
	h.mux.HandleFunc("GET /healthz", h.healthz)
	h.mux.HandleFunc("GET /readyz", h.readyz)
	h.mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := h.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
