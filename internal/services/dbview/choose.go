package dbview

import (
	"cmp"
	"slices"
	"time"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// smoothing is the weight of a new measurement in the moving average of the
	// latency.
	smoothing = 0.2
	// latencyMaxAge is how long a latency counts without a new measurement.
	latencyMaxAge = 2 * time.Second
	// defaultLatency is assumed for an instance that was not measured lately. It
	// is low, so that each instance is tried again.
	defaultLatency = 10 * time.Millisecond
	// runningCost is what each statement that runs at an instance adds to its
	// cost: about the time for which one read takes up one of the few slots.
	runningCost = 8 * time.Millisecond
	// remoteCost is added for an instance in another data centre.
	remoteCost = 6 * time.Millisecond
	// primaryCost is added for the primary, since writes need its slots.
	primaryCost = 20 * time.Millisecond
)

// ReadCandidates returns the instances that may run a read, in the order in which they
// are to be asked: the one with the lowest expected latency first or, with an even
// choice, in the order and for the reason of package choice. Replicas that lagged lately
// are left out unless they are known to have applied minPosition, the log position that
// the read has to see.
func (v *View) ReadCandidates(minPosition logpos.Position) (servers []server.Server, reason string) {
	var holders map[string]int
	if v.even != nil {
		holders = v.countHolders()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := uptime.Now()
	list := v.candidates(minPosition, now)
	if v.even != nil {
		return v.chooseEvenly(list, holders, now)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.server.ID, b.server.ID))
	})
	servers = make([]server.Server, 0, len(list))
	for _, c := range list {
		servers = append(servers, c.server)
	}
	return servers, ""
}

// candidates returns the instances that may run a read; see ReadCandidates. While the others
// and the primary can't, replicas that leave do so as long as they accept work.
func (v *View) candidates(minPosition logpos.Position, now time.Duration) []candidate {
	list := v.listCandidates(false, minPosition, now)
	if len(list) > 0 {
		return list
	}
	if _, reason := v.primary(); reason == "" {
		return nil
	}
	return v.listCandidates(true, minPosition, now)
}

// listCandidates returns the instances that may run a read and leave, or do not leave.
func (v *View) listCandidates(leaving bool, minPosition logpos.Position, now time.Duration) []candidate {
	l, _ := v.leader()
	var list []candidate
	for _, s := range v.tables.Servers(v.service) {
		if s.Draining != leaving || !v.tables.AcceptsWork(s.ID) || v.tables.Missing(s.ID) || v.tables.Evacuated(s.DataCentre) || v.fails(s.ID) {
			continue
		}
		primary := s.ID == l.Primary
		if in := v.instance(s.ID); !primary && in.lagUntil > now && minPosition.Newer(in.applied) {
			continue
		}
		if primary && (leaving || l.Phase != leader.Settled || !v.hasLease(s.ID)) {
			continue
		}
		list = append(list, candidate{
			server:  s,
			primary: primary,
			cost:    v.cost(s, primary, now),
		})
	}
	return list
}

// candidate is an instance that may run a read, with its cost.
type candidate struct {
	server  server.Server
	primary bool
	cost    time.Duration
}

// cost returns the expected latency of a read, with additions that keep reads off
// remote instances and the primary.
func (v *View) cost(s server.Server, primary bool, now time.Duration) time.Duration {
	in := v.instance(s.ID)
	cost := defaultLatency
	if now-in.measured < latencyMaxAge {
		cost = in.latency
	}
	cost += time.Duration(in.running) * runningCost
	if s.DataCentre != v.centre {
		cost += remoteCost
	}
	if primary {
		return cost + primaryCost
	}
	return cost
}

// RecordStart records that a statement is sent to an instance.
func (v *View) RecordStart(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	in := v.instance(id)
	in.running++
	in.sent++
	v.used = uptime.Now()
}

// RecordAnswer records that an instance answered a statement after the time took.
// p is the log position that its reads see; zero if the answer did not say.
func (v *View) RecordAnswer(id string, took time.Duration, p logpos.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	in := v.instance(id)
	in.running = max(0, in.running-1)
	now := uptime.Now()
	in.answered = now
	in.failing = false
	in.backoff = 0
	if now-in.measured > latencyMaxAge {
		in.latency = took
	}
	in.latency += time.Duration(float64(took-in.latency) * smoothing)
	in.measured = now
	if p.Newer(in.applied) {
		in.applied = p
	}
}

// RecordAlive records that an instance answered. It leaves the latency as it is.
func (v *View) RecordAlive(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	in := v.instance(id)
	in.answered = uptime.Now()
	in.failing = false
	in.backoff = 0
}

// RecordLag records that a replica had not applied a position that a read asked
// for. The replica is avoided for a time that doubles while it keeps lagging.
func (v *View) RecordLag(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	in := v.instance(id)
	now := uptime.Now()
	if in.lagUntil > now {
		return
	}
	in.lagBackoff = min(max(2*in.lagBackoff, minLagBackoff), maxLagBackoff)
	in.lagUntil = now + in.lagBackoff
}

// RecordCaughtUp records that a replica had applied the position that a read
// asked for.
func (v *View) RecordCaughtUp(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	in := v.instance(id)
	in.lagUntil = 0
	in.lagBackoff = 0
}

// RecordAbandoned records that a statement ended without an answer, and that the
// instance was not the cause.
func (v *View) RecordAbandoned(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	in := v.instance(id)
	in.running = max(0, in.running-1)
}

// RecordFailure records that an instance could not be reached or did not answer.
func (v *View) RecordFailure(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := uptime.Now()
	in := v.instance(id)
	if !in.failing {
		in.failing = true
		in.failingSince = now
	}
	in.backoff = min(max(2*in.backoff, minRetryBackoff), maxRetryBackoff)
	in.nextTrial = now + in.backoff
}

// fails reports whether an instance is to be avoided since it fails. At the end
// of each backoff it lets one statement through as a trial.
func (v *View) fails(id string) bool {
	in := v.instance(id)
	now := uptime.Now()
	if !in.failing || now-in.failingSince < FailingAfter {
		return false
	}
	if now < in.nextTrial {
		return true
	}
	in.nextTrial = now + max(in.backoff, minRetryBackoff)
	return false
}
