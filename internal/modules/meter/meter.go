// Package meter holds the Prometheus metrics of the rate limits that workspaces have
// over all hosts together.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "wasabislip"

// Meter counts refused statements, draws (requests for tokens to a home) and claims
// (attempts to become a home). The home host of a part of a workspace's rate owns
// that part's token bucket. Label values are results and reasons, never workspaces,
// whose number is not bounded.
type Meter struct {
	refusals    *prometheus.CounterVec
	draws       *prometheus.CounterVec
	drawSeconds prometheus.Histogram
	claims      *prometheus.CounterVec
}

// New returns a meter that is registered in r.
func New(r prometheus.Registerer) *Meter {
	m := &Meter{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "rate_refusals_total",
			Help:      "Statements refused by a workspace's rate, by reason.",
		}, []string{"reason"}),
		draws: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "rate_draws_total",
			Help:      "Draws of tokens from homes, by result.",
		}, []string{"result"}),
		drawSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "rate_draw_seconds",
			Help:      "Time of one draw of tokens.",
			Buckets:   prometheus.ExponentialBuckets(0.0002, 2, 14),
		}),
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "rate_claims_total",
			Help:      "Attempts to become a home, by result.",
		}, []string{"result"}),
	}
	r.MustRegister(m.refusals, m.draws, m.drawSeconds, m.claims)
	return m
}

// RecordRefusal counts a refused statement.
func (m *Meter) RecordRefusal(_, reason string) {
	m.refusals.WithLabelValues(reason).Inc()
}

// RecordDraw counts a draw and records how long it took.
func (m *Meter) RecordDraw(result string, took time.Duration) {
	m.draws.WithLabelValues(result).Inc()
	m.drawSeconds.Observe(took.Seconds())
}

// RecordClaim counts an attempt to become a home.
func (m *Meter) RecordClaim(result string) {
	m.claims.WithLabelValues(result).Inc()
}
