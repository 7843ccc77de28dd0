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
)

const (
	shardCount = 16
	// window is over how long demand is averaged.
	window = 3 * time.Second
	// settleDelay is how long a host uses its own demand as the others may
	// still know it: about what gossip takes to reach every host.
	settleDelay = time.Second
	// leastBurst is the burst of a host in a fleet of any size: less would
	// refuse operations that happen to come together.
	leastBurst = 2
)

// Rates admits operations. It is safe for concurrent use.
type Rates struct {
	shards [shardCount]shard

	mu     sync.Mutex
	policy *policy.Policy
	names  []string
}

type shard struct {
	mu     sync.Mutex
	spaces map[string]*space
}

// space is one workspace on this host.
type space struct {
	bucket  share.Share
	asked   float64
	since   time.Time
	demand  float64
	settled float64
	changed time.Time
	// declared, part and elsewhere are what the last division went by.
	declared  float64
	part      float64
	elsewhere float64
}

// New returns rates that refuse everybody until the first Divide.
func New() *Rates {
	r := &Rates{}
	for i := range r.shards {
		r.shards[i].spaces = map[string]*space{}
	}
	return r
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
func (w *space) average(now time.Time) {
	passed := now.Sub(w.since)
	if passed < window/8 {
		return
	}
	rate := w.asked / passed.Seconds()
	weight := min(1, passed.Seconds()/window.Seconds())
	w.demand += (rate - w.demand) * weight
	w.asked = 0
	w.since = now
	if now.Sub(w.changed) >= settleDelay {
		w.settled = w.demand
		w.changed = now
	}
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
// A host that told nothing for this configuration counts with no demand.
func (r *Rates) Divide(p *policy.Policy, others [][]byte) {
	names := r.adopt(p)
	now := time.Now()
	for i, name := range names {
		all := 0.0
		for _, demands := range others {
			if i < len(demands) {
				all += share.Unpack(demands[i])
			}
		}
		declared := p.Workspaces[name]
		s := r.shard(name)
		s.mu.Lock()
		w, ok := s.spaces[name]
		if !ok {
			w = &space{
				since: now,
			}
			s.spaces[name] = w
		}
		w.average(now)
		own := share.Unpack(share.Pack(w.settled))
		hosts := len(others) + 1
		part := share.Part(declared.Rate, own, all+own, hosts)
		w.declared = declared.Rate
		w.part = part
		w.elsewhere = all
		w.bucket.Set(now, part, max(leastBurst, declared.Burst/float64(hosts)))
		s.mu.Unlock()
	}
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
