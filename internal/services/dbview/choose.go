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
	// smoothing is the weight of a new measurement in an average latency.
	smoothing = 0.2
	// forgetAfter is how long a latency counts without a new measurement.
	forgetAfter = 2 * time.Second
	// usualLatency stands for an instance that was not measured lately; it is
	// low, so that each instance is tried again.
	usualLatency = 10 * time.Millisecond
	// runningCost is what each statement under way at an instance adds to its
	// expected latency: about the work of one read in one of a few slots.
	runningCost = 8 * time.Millisecond
	// distantCost is what the way to another data centre adds.
	distantCost = 6 * time.Millisecond
	// primaryCost keeps reads off the primary, whose slots writes need.
	primaryCost = 20 * time.Millisecond
)

// Readers returns the instances that may run a read, best first: near and quick
// ones. Replicas that lagged lately are left out unless they hold floor.
func (v *View) Readers(floor logpos.Position) []server.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, _ := v.leading()
	now := uptime.Now()
	var list []candidate
	for _, s := range v.tables.Servers(v.service) {
		if s.Draining || v.tables.Missing(s.ID) || v.tables.Evacuated(s.DataCentre) || v.fails(s.ID) {
			continue
		}
		primary := s.ID == l.Primary
		if m := v.member(s.ID); !primary && m.lagging > now && floor.Newer(m.applied) {
			continue
		}
		if primary && (l.Phase != leader.Settled || !v.certain(s.ID)) {
			continue
		}
		list = append(list, candidate{
			server: s,
			cost:   v.cost(s, primary, now),
		})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.server.ID, b.server.ID))
	})
	servers := make([]server.Server, 0, len(list))
	for _, c := range list {
		servers = append(servers, c.server)
	}
	return servers
}

type candidate struct {
	server server.Server
	cost   time.Duration
}

func (v *View) cost(s server.Server, primary bool, now time.Duration) time.Duration {
	m := v.member(s.ID)
	cost := usualLatency
	if now-m.measured < forgetAfter {
		cost = m.latency
	}
	cost += time.Duration(m.running) * runningCost
	if s.DataCentre != v.centre {
		cost += distantCost
	}
	if primary {
		return cost + primaryCost
	}
	return cost
}

// Begin notes that a statement goes to an instance.
func (v *View) Begin(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.member(id).running++
}

// Answered notes the answer of an instance to a statement that took took; p is
// the end of the log that its reads see, zero when not told.
func (v *View) Answered(id string, took time.Duration, p logpos.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.member(id)
	m.running = max(0, m.running-1)
	now := uptime.Now()
	m.answered = now
	m.failing = false
	m.backoff = 0
	if now-m.measured > forgetAfter {
		m.latency = took
	}
	m.latency += time.Duration(float64(took-m.latency) * smoothing)
	m.measured = now
	if p.Newer(m.applied) {
		m.applied = p
	}
}

// Alive notes that an instance answered, with nothing learned from how soon.
func (v *View) Alive(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.member(id)
	m.answered = uptime.Now()
	m.failing = false
	m.backoff = 0
}

// Lagging notes that a replica lacked a position. One that keeps lagging is
// asked less and less often.
func (v *View) Lagging(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.member(id)
	now := uptime.Now()
	if m.lagging > now {
		return
	}
	m.lagBackoff = min(max(2*m.lagBackoff, laggingLeast), laggingMost)
	m.lagging = now + m.lagBackoff
}

// CaughtUp notes that a replica held the position that a read asked for.
func (v *View) CaughtUp(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.member(id)
	m.lagging = 0
	m.lagBackoff = 0
}

// Abandoned notes that a statement ended without an answer through no fault of
// the instance.
func (v *View) Abandoned(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.member(id)
	m.running = max(0, m.running-1)
}

// Failed notes that an instance could not be reached or did not answer.
func (v *View) Failed(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := uptime.Now()
	m := v.member(id)
	if !m.failing {
		m.failing = true
		m.failingSince = now
	}
	m.backoff = min(max(2*m.backoff, retryLeast), retryMost)
	m.nextTrial = now + m.backoff
}

// fails reports whether an instance is to be avoided. Once in a while one
// statement is let through as a trial.
func (v *View) fails(id string) bool {
	m := v.member(id)
	now := uptime.Now()
	if !m.failing || now-m.failingSince < FailingAfter {
		return false
	}
	if now < m.nextTrial {
		return true
	}
	m.nextTrial = now + max(m.backoff, retryLeast)
	return false
}
