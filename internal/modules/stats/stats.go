// Package stats holds the Prometheus metrics of a host of the command edge. See
// package metric for those of the command serve.
package stats

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"wasabislip.example/wasabislip/internal/models/reply"
)

const namespace = "wasabislip"

// latencyBuckets are the upper bounds of the histogram's buckets, in seconds. They
// are close together around the latency targets that operators declare, 0.1 to
// 0.5 s, and reach up to the longest timeouts.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 5}

// Stats are the metrics. Label values are outcomes and reasons, never workspaces or
// databases, whose number is not bounded.
type Stats struct {
	registry             *prometheus.Registry
	answers              *prometheus.CounterVec
	refusals             *prometheus.CounterVec
	reads                *prometheus.CounterVec
	choices              *prometheus.CounterVec
	droppedLoads         prometheus.Counter
	answerSeconds        prometheus.Histogram
	primaryChangeSeconds *prometheus.HistogramVec
	leavingSeconds       prometheus.Histogram
	blockedChanges       prometheus.Gauge
	mismatches           *prometheus.CounterVec
	violations           prometheus.Counter
}

// New returns metrics in a registry of their own.
func New() *Stats {
	s := &Stats{
		registry: prometheus.NewRegistry(),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "answers_total",
			Help:      "Answers to callers' statements, by outcome.",
		}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "refusals_total",
			Help:      "Statements that did not succeed, by the reason that decided it.",
		}, []string{"reason"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "reads_total",
			Help:      "Reads outside of transactions, by the role of the instance that ran them.",
		}, []string{"role"}),
		answerSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "answer_seconds",
			Help:      "Time from reading a statement to its answer.",
			Buckets:   latencyBuckets,
		}),
		primaryChangeSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace,
			Name:      "primary_change_seconds",
			Help:      "Changes of primary that this host carried out, planned or not.",
			Buckets:   []float64{0.25, 0.5, 1, 2, 3, 5, 8, 12},
		}, []string{"planned"}),
	}
	s.choices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      "choices_total",
		Help:      "Choices of an instance for a read, by the reason; only with instance-choice even.",
	}, []string{"reason"})
	s.droppedLoads = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      "load_reports_dropped_total",
		Help:      "Load reports that were dropped as implausible.",
	})
	s.leavingSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      "leaving_instance_seconds",
		Help:      "Time from an instance's announcement that it leaves, at the earliest, to a statement that was sent to it.",
		Buckets:   []float64{0.5, 1, 2, 3, 4, 5, 6, 7, 8, 10, 15},
	})
	s.blockedChanges = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      "blocked_primary_changes",
		Help:      "Services whose primary is to be replaced while no other instance can take over.",
	})
	s.mismatches = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      "answer_mismatches_total",
		Help:      "Answers of instances that were passed over, since they belong to other statements, by the reason.",
	}, []string{"reason"})
	s.violations = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      "caller_protocol_violations_total",
		Help:      "Callers' connections that ended because a message was not understood.",
	})
	s.registry.MustRegister(s.choices, s.droppedLoads, s.leavingSeconds, s.blockedChanges, s.mismatches, s.violations)
	s.registry.MustRegister(s.answers, s.refusals, s.reads, s.answerSeconds, s.primaryChangeSeconds)
	s.registry.MustRegister(collectors.NewGoCollector())
	return s
}

// RecordMismatch counts an answer of an instance that was passed over, since it belongs to
// another statement.
func (s *Stats) RecordMismatch(reason string) {
	s.mismatches.WithLabelValues(reason).Inc()
}

// RecordViolation counts a caller's message that was not understood.
func (s *Stats) RecordViolation() {
	s.violations.Inc()
}

// RecordAnswer counts an answer to a statement and records how long it took.
func (s *Stats) RecordAnswer(outcome int, took time.Duration) {
	s.answers.WithLabelValues(reply.OutcomeName(outcome)).Inc()
	s.answerSeconds.Observe(took.Seconds())
}

// RecordRefusal counts a statement that did not succeed.
func (s *Stats) RecordRefusal(reason string) {
	s.refusals.WithLabelValues(reason).Inc()
}

// RecordRead counts a read outside of a transaction.
func (s *Stats) RecordRead(replica bool) {
	role := "primary"
	if replica {
		role = "replica"
	}
	s.reads.WithLabelValues(role).Inc()
}

// RecordChoice counts a choice of an instance for a read.
func (s *Stats) RecordChoice(reason string) {
	s.choices.WithLabelValues(reason).Inc()
}

// RecordDroppedLoad counts a load report that was dropped.
func (s *Stats) RecordDroppedLoad() {
	s.droppedLoads.Inc()
}

// RecordPrimaryChange records how long a change of primary took.
func (s *Stats) RecordPrimaryChange(planned bool, took time.Duration) {
	kind := "no"
	if planned {
		kind = "yes"
	}
	s.primaryChangeSeconds.WithLabelValues(kind).Observe(took.Seconds())
}

// RecordLeaving records that a statement was sent to an instance that announced, at most d
// ago, that it leaves.
func (s *Stats) RecordLeaving(d time.Duration) {
	s.leavingSeconds.Observe(d.Seconds())
}

// SetBlockedChanges sets how many services have a primary that is to be replaced while no
// other instance can take over.
func (s *Stats) SetBlockedChanges(n int) {
	s.blockedChanges.Set(float64(n))
}

// AddGauge adds a gauge whose value is read whenever the metrics are scraped.
func (s *Stats) AddGauge(name, help string, value func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, value))
}

// levelOptions returns the options of a metric of one level. The last level stands for
// all further ones, so that the label's values are bounded.
func levelOptions(name, help string, level int) prometheus.Opts {
	return prometheus.Opts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		ConstLabels: prometheus.Labels{
			"level": strconv.Itoa(level),
		},
	}
}

// AddLevelGauge adds a gauge for each level, read whenever the metrics are scraped.
func (s *Stats) AddLevelGauge(name, help string, levels int, value func(level int) float64) {
	for level := range levels {
		s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts(levelOptions(name, help, level)), func() float64 {
			return value(level)
		}))
	}
}

// AddLevelCounter adds a counter for each level, read whenever the metrics are scraped.
func (s *Stats) AddLevelCounter(name, help string, levels int, value func(level int) float64) {
	for level := range levels {
		s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts(levelOptions(name, help, level)), func() float64 {
			return value(level)
		}))
	}
}

// AddCounters adds counters by a label whose values are read whenever the metrics are
// scraped.
func (s *Stats) AddCounters(name, help, label string, values func() map[string]int64) {
	s.registry.MustRegister(&counters{
		desc:   prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil),
		values: values,
	})
}

// counters collects the values of AddCounters.
type counters struct {
	desc   *prometheus.Desc
	values func() map[string]int64
}

// Describe implements prometheus.Collector.
func (c *counters) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.desc
}

// Collect implements prometheus.Collector.
func (c *counters) Collect(ch chan<- prometheus.Metric) {
	for value, n := range c.values() {
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(n), value)
	}
}

// Handler returns the handler that serves the metrics.
func (s *Stats) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}
