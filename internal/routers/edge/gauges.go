package edge

import (
	"wasabislip.example/wasabislip/internal/models/sched"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/internal/services/probe"
)

// registerGauges adds the metrics that are computed when they are read.
func (h *Host) registerGauges() {
	h.stats.AddGauge("callers", "Callers connected.", func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return float64(len(h.sessions))
	})
	h.stats.AddGauge("instance_connections", "Connections to instances.", func() float64 {
		open, _, _ := h.pools.Counts()
		return float64(open)
	})
	h.stats.AddGauge("instance_connections_opened", "Connections to instances opened since the start.", func() float64 {
		_, opened, _ := h.pools.Counts()
		return float64(opened)
	})
	h.registerAdmissionMetrics()
	h.stats.AddGauge("configuration_version", "The configuration in force.", func() float64 {
		if p := h.mirror.Policy(); p != nil {
			return float64(p.Version)
		}
		return 0
	})
	h.stats.AddGauge("lease_age_seconds", "Age of the copy that renews the leases of primaries.", func() float64 {
		return h.mirror.Age(mirror.Fleet).Seconds()
	})
	h.stats.AddGauge("hosts", "Other hosts alive.", func() float64 {
		return float64(len(h.gossip.Alive()))
	})
	h.stats.AddGauge("oldest_report_age_seconds", "Age of the oldest report of a host that is alive; it is held for silent after 2.8 s.", func() float64 {
		return h.gossip.OldestReport().Seconds()
	})
	h.stats.AddGauge("panics_recovered", "Panics recovered since the start; the log has their stacks.", func() float64 {
		return float64(guard.Panics())
	})
	h.stats.AddGauge("log_lines_dropped", "Log lines dropped since the start.", func() float64 {
		return float64(h.DroppedLogLines())
	})
}

// registerAdmissionMetrics adds the metrics of statements that are admitted by priority
// and deadline.
func (h *Host) registerAdmissionMetrics() {
	h.stats.AddLevelGauge("admission_waiting", "Statements that wait for a turn at an instance.", sched.Levels, func(level int) float64 {
		_, waiting := h.pools.LevelCounts(level)
		return float64(waiting)
	})
	h.stats.AddLevelCounter("admission_started_total", "Statements admitted to an instance.", sched.Levels, func(level int) float64 {
		c, _ := h.pools.LevelCounts(level)
		return float64(c.Started)
	})
	h.stats.AddLevelCounter("admission_rejected_total", "Statements rejected with the time of a turn.", sched.Levels, func(level int) float64 {
		c, _ := h.pools.LevelCounts(level)
		return float64(c.Rejected)
	})
	h.stats.AddLevelCounter("admission_wait_seconds_total", "Time for which statements waited for a turn.", sched.Levels, func(level int) float64 {
		c, _ := h.pools.LevelCounts(level)
		return c.Waited.Seconds()
	})
}

// registerProbeGauges adds the metrics of what grows with hosts and databases if this host
// does more than its part: requests to instances, and lists of hosts.
func (h *Host) registerProbeGauges(p *probe.Prober) {
	h.stats.AddGauge("instance_probes", "Requests for the status of instances and commands to them since the start.", func() float64 {
		queries, _, _ := p.Counts()
		return float64(queries)
	})
	h.stats.AddGauge("instance_probe_connections", "Connections opened to probe instances since the start.", func() float64 {
		_, dials, _ := p.Counts()
		return float64(dials)
	})
	h.stats.AddGauge("instance_probes_refused", "Connections to probe instances that these refused since the start.", func() float64 {
		_, _, refused := p.Counts()
		return float64(refused)
	})
	h.stats.AddGauge("host_lists", "Lists of all hosts that other hosts sent since the start. In a fleet of 16 hosts or more it is one in 10 s while no host comes or goes.", func() float64 {
		return float64(h.gossip.CountLists())
	})
}
