// Package metric holds the Prometheus metrics of a host of the command serve. See
// package stats for those of the command edge.
package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "wasabislip"

// Set is a host's metrics in a registry of their own. The number of label values is
// bounded by the kinds of fault, the kinds of route and the declared databases.
type Set struct {
	registry        *prometheus.Registry
	statements      *prometheus.CounterVec
	refusals        *prometheus.CounterVec
	batchSeconds    *prometheus.HistogramVec
	failoverSeconds *prometheus.HistogramVec
	callers         prometheus.Gauge
	version         prometheus.Gauge
	members         *prometheus.GaugeVec
	terms           *prometheus.GaugeVec
}

// New returns a set that is registered together with the metrics of the Go runtime
// and the process.
func New() *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "statements_total",
			Help:      "Batches run on instances, by kind of route and role of the instance.",
		}, []string{"route_kind", "role"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "refusals_total",
			Help:      "Requests answered with a fault, by its kind.",
		}, []string{"kind"}),
		batchSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "batch_seconds",
			Help:      "Time from a batch's arrival to its last answer.",
			Buckets:   prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"route_kind"}),
		failoverSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "failover_seconds",
			Help:      "Time from the end of a term to the next one of the same steward, by whether the change was planned.",
			Buckets:   []float64{0.05, 0.1, 0.2, 0.5, 1, 2, 5, 12, 30, 60},
		}, []string{"planned"}),
		callers: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace,
			Name:      "caller_connections",
			Help:      "Callers connected to this host.",
		}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace,
			Name:      "config_version",
			Help:      "Configuration version in force on this host.",
		}),
		members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace,
			Name:      "members",
			Help:      "Hosts as this host knows them, by state.",
		}, []string{"state"}),
		terms: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace,
			Name:      "database_term",
			Help:      "Term of each database that this host is the steward of.",
		}, []string{"database"}),
	}
	s.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		s.statements,
		s.refusals,
		s.batchSeconds,
		s.failoverSeconds,
		s.callers,
		s.version,
		s.members,
		s.terms,
	)
	return s
}

// Registry returns the registry that the set is registered in.
func (s *Set) Registry() *prometheus.Registry {
	return s.registry
}

// RecordStatement counts one batch that ran on an instance of that role.
func (s *Set) RecordStatement(routeKind, role string) {
	s.statements.WithLabelValues(routeKind, role).Inc()
}

// RecordRefusal counts one request that was answered with a fault of that kind.
func (s *Set) RecordRefusal(kind string) {
	s.refusals.WithLabelValues(kind).Inc()
}

// RecordBatch records how long one batch took.
func (s *Set) RecordBatch(routeKind string, d time.Duration) {
	s.batchSeconds.WithLabelValues(routeKind).Observe(d.Seconds())
}

// RecordFailover records the time from the end of a term until the next term of the
// same coordinator admits statements.
func (s *Set) RecordFailover(planned bool, d time.Duration) {
	label := "false"
	if planned {
		label = "true"
	}
	s.failoverSeconds.WithLabelValues(label).Observe(d.Seconds())
}

// AddCallers adds n, which may be negative, to the number of connected callers.
func (s *Set) AddCallers(n int) {
	s.callers.Add(float64(n))
}

// SetConfigVersion sets the configuration version in force.
func (s *Set) SetConfigVersion(v uint64) {
	s.version.Set(float64(v))
}

// SetMembers sets how many hosts are in a state.
func (s *Set) SetMembers(state string, n int) {
	s.members.WithLabelValues(state).Set(float64(n))
}

// SetTerm sets the term of a database; term 0 removes the database.
func (s *Set) SetTerm(database string, term uint64) {
	if term == 0 {
		s.terms.DeleteLabelValues(database)
		return
	}
	s.terms.WithLabelValues(database).Set(float64(term))
}
