// Package rates admits operations within each workspace's rate over all hosts.
// No message is sent for an operation: hosts tell each other what they are
// asked for, and each takes its part of the rate.
package rates

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/share"
	"wasabislip.example/wasabislip/pkg/model/space"
)

const (
	shardCount = 16
	// window is over how long demand is averaged, and riseWindow where that
	// shows that it rises: a host that gets more callers needs its part soon,
	// one that lost them can keep it for a while.
	window     = 3 * time.Second
	riseWindow = time.Second
	// leastLook is the least time over which demand is counted after a start.
	leastLook = 100 * time.Millisecond
	// settleDelay is how old a host's own demand is at least when it divides by
	// it, and at most twice that: as the others know it, after what gossip
	// takes to reach them.
	settleDelay = 500 * time.Millisecond
	// certain is the part of what a window allows that is given out. The rest
	// covers the moments in which hosts know different demands.
	certain = 0.95
	// leastBurst is the burst of a host in a fleet of any size: less would
	// refuse operations that happen to come together.
	leastBurst = 2
)

// Rates admits operations. Its fields are set before the first call. It is
// safe for concurrent use.
type Rates struct {
	// Window is the time in which operators count rate and burst.
	Window time.Duration
	// Overage is the part of a window's operations by which it may be
	// exceeded, and Tolerance the number.
	Overage   float64
	Tolerance float64

	shards [shardCount]shard

	mu     sync.Mutex
	policy *policy.Policy
	names  []string
}

type shard struct {
	mu     sync.Mutex
	spaces map[string]*usage
}

func (s *shard) add(name string, w *usage) {
	if s.spaces == nil {
		s.spaces = map[string]*usage{}
	}
	s.spaces[name] = w
}

// usage is one workspace on this host.
type usage struct {
	bucket share.Share
	asked  float64
	// first is when the host first heard of the workspace.
	first   time.Time
	since   time.Time
	slow    float64
	fast    float64
	demand  float64
	pending float64
	settled float64
	changed time.Time
	// over is since when the workspace is asked for more than its rate; zero
	// while it is not.
	over time.Time
	// declared, part and elsewhere are what the last division went by.
	declared  float64
	part      float64
	elsewhere float64
}

func (r *Rates) shard(workspace string) *shard {
	var n uint32
	for i := range len(workspace) {
		n = n*31 + uint32(workspace[i])
	}
	return &r.shards[n%shardCount]
}

// Admit takes one operation of a workspace from the host's part of its rate.
// When there is none left, after is when to come back, and why tells the rate,
// the host's part of it and what it is asked for, operations a second.
func (r *Rates) Admit(workspace string) (ok bool, after time.Duration, why string) {
	s := r.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.spaces[workspace]
	if !known {
		return false, window, "its rate is not known yet"
	}
	now := time.Now()
	w.asked++
	w.average(now)
	ok, after = w.bucket.Take(now)
	if !ok {
		why = fmt.Sprintf("rate %.1f, part %.2f, demand here %.1f, demand elsewhere %.1f", w.declared, w.part, w.demand, w.elsewhere)
	}
	return ok, after, why
}

// average folds the operations asked for since the last call into the demand.
func (w *usage) average(now time.Time) {
	passed := now.Sub(w.since)
	if passed < min(window/8, max(leastLook, now.Sub(w.first)/4)) {
		return
	}
	rate := w.asked / passed.Seconds()
	known := now.Sub(w.first)
	w.slow += (rate - w.slow) * min(1, passed.Seconds()/min(window, known).Seconds())
	w.fast += (rate - w.fast) * min(1, passed.Seconds()/min(riseWindow, known).Seconds())
	w.demand = max(w.slow, w.fast)
	w.asked = 0
	w.since = now
	if known < window {
		// Soon after a start nobody knows the demands yet; what is known late
		// would be nothing.
		w.pending, w.settled = w.demand, w.pending
	}
	if now.Sub(w.changed) >= settleDelay {
		w.settled = w.pending
		w.pending = w.demand
		w.changed = now
	}
}

// exceeded returns for how long the workspace has been asked for more than its
// rate.
func (w *usage) exceeded(now time.Time, over bool) time.Duration {
	if !over {
		w.over = time.Time{}
		return 0
	}
	if w.over.IsZero() {
		w.over = now
	}
	return now.Sub(w.over)
}

// Demands returns what this host is asked for, a byte for each workspace of
// the policy in the order of names, and the policy's version.
func (r *Rates) Demands() (demands []byte, version uint64) {
	names, version := r.order()
	now := time.Now()
	demands = make([]byte, len(names))
	for i, name := range names {
		s := r.shard(name)
		s.mu.Lock()
		if w, ok := s.spaces[name]; ok {
			w.average(now)
			demands[i] = share.Pack(w.demand)
		}
		s.mu.Unlock()
	}
	return demands, version
}

func (r *Rates) order() ([]string, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.policy == nil {
		return nil, 0
	}
	return r.names, r.policy.Version
}

// Divide takes the configuration and what the other live hosts are asked for.
// A host that told nothing for this configuration is left its even part. size
// is how many hosts there are at least.
func (r *Rates) Divide(p *policy.Policy, others [][]byte, size int) {
	names := r.adopt(p)
	now := time.Now()
	for i, name := range names {
		all, known := 0.0, 1
		for _, demands := range others {
			if i < len(demands) {
				all += share.Unpack(demands[i])
				known++
			}
		}
		declared := p.Workspaces[name]
		s := r.shard(name)
		s.mu.Lock()
		w, ok := s.spaces[name]
		if !ok {
			w = &usage{
				first: now,
				since: now,
			}
			s.add(name, w)
		}
		w.average(now)
		own := share.Unpack(share.Pack(w.settled))
		hosts := max(len(others)+1, size)
		rate, burst := r.budget(declared, w.exceeded(now, all+own > declared.Rate) >= r.Window)
		// The even parts of hosts whose demands are not known stay theirs.
		heard := rate * float64(known) / float64(hosts)
		part := share.Part(heard, own, all+own, known)
		w.declared = declared.Rate
		w.part = part
		w.elsewhere = all
		w.bucket.Set(now, part, max(leastBurst, burst/float64(hosts)))
		s.mu.Unlock()
	}
}

// budget returns the rate and the burst that all hosts share, so that a window
// holds no more than it allows: rate x window + burst, and the tolerance that
// operators grant since hosts can't know at each moment what others admitted.
// The burst is taken at once by a workspace that starts to exceed its rate, so
// that it is spread only once a window has passed since.
func (r *Rates) budget(w space.Workspace, spread bool) (rate, burst float64) {
	window := r.Window.Seconds()
	allowed := (w.Rate*window+w.Burst)*(1+r.Overage) + r.Tolerance
	rate = w.Rate
	if spread {
		rate += w.Burst / window
	}
	return rate, max(0, certain*allowed-rate*window)
}

// adopt takes the policy and forgets workspaces that it lacks.
func (r *Rates) adopt(p *policy.Policy) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.policy == p {
		return r.names
	}
	r.policy = p
	r.names = make([]string, 0, len(p.Workspaces))
	for name := range p.Workspaces {
		r.names = append(r.names, name)
	}
	slices.Sort(r.names)
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for name := range s.spaces {
			if _, ok := p.Workspaces[name]; !ok {
				delete(s.spaces, name)
			}
		}
		s.mu.Unlock()
	}
	return r.names
}
