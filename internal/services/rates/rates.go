// Package rates admits operations within each workspace's rate over all hosts.
// Each workspace has a home among the live hosts, which counts. Where it does
// not answer, hosts go by what they tell each other of their demands, and each
// takes its part of the rate.
package rates

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabislip.example/wasabislip/internal/models/claim"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/share"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/space"
)

const (
	shardCount = 16
	// certain is the part of what a window allows that is given out. The rest
	// covers the moments in which hosts know different demands.
	allocatedFraction = 0.95
	// homeStart is how many operations a new home may grant at once: the former
	// one may have granted the burst just before.
	initialHomeTokens = 1
	// crowdFor is how long a workspace asks for more than its rate before its
	// less urgent operations give way: longer than callers take to come back
	// after an interruption.
	sustainedAfter = time.Second
	// mostWait bounds the wait for a turn. When a home moves, turns that the
	// former one gave still come beside those of the new one: two moves in a
	// window stay below what certain leaves.
	maxWait = 100 * time.Millisecond
	// unknownAfter is when callers are told to come back to a host that knows
	// no rate yet: it is about to divide what it has just learned.
	unknownRetryAfter = 100 * time.Millisecond
	// leastBurst is the burst of a host in a fleet of any size: less would
	// refuse operations that happen to come together.
	minBurst = 2
)

// homes are the hosts that count the operations of workspaces.
type homes interface {
	Home(workspace string) (home host.Host, elsewhere bool)
	Ask(ctx context.Context, home host.Host, workspace string, c claim.Claim) (ok bool, after time.Duration, why string, err error)
}

// Rates admits operations. Its fields are set before the first call. It is
// safe for concurrent use.
type Rates struct {
	// Homes are the hosts that count; nil where each host keeps to its part.
	Homes homes
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
	workspaces map[string]*usage
}

func (s *shard) add(name string, w *usage) {
	if s.workspaces == nil {
		s.workspaces = map[string]*usage{}
	}
	s.workspaces[name] = w
}

// usage is one workspace on this host.
type usage struct {
	// policy is the workspace as it is declared.
	declared space.Workspace
	// here counts what this host admitted by its part, and bucket is that part.
	localDemand   demand
	localBucket share.Share
	// part and elsewhere are what the last division went by.
	localRate      float64
	otherDemand float64
	// counted is what all hosts ask this one for as the home, and home what it
	// grants them; heard is the part of the hosts that it hears.
	homeDemand demand
	homeBucket    share.Share
	heardFraction   float64
}

func (r *Rates) shard(workspace string) *shard {
	return &r.shards[xxhash.Sum64String(workspace)%shardCount]
}

// Admit takes one operation of a workspace from its rate, at the workspace's
// home, or from the host's part of the rate where the home does not answer. An
// operation that can wait may be admitted for a moment to come: it runs once
// after has passed. When there is none left, after is when to come back, and
// why tells what decided.
func (r *Rates) Admit(ctx context.Context, workspace string, c claim.Claim) (ok bool, after time.Duration, why string) {
	if r.Homes == nil {
		return r.admitLocally(workspace, c)
	}
	home, elsewhere := r.Homes.Home(workspace)
	if !elsewhere {
		return r.Grant(workspace, c)
	}
	ok, after, why, err := r.Homes.Ask(ctx, home, workspace, c)
	if err == nil {
		return ok, after, why
	}
	return r.admitLocally(workspace, c)
}

// Grant takes one operation of a workspace whose home this host is.
func (r *Rates) Grant(workspace string, c claim.Claim) (ok bool, after time.Duration, why string) {
	s := r.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.workspaces[workspace]
	if !known {
		return false, unknownRetryAfter, "its rate is not known yet"
	}
	now := time.Now()
	w.homeDemand.add(now)
	exceeded := w.homeDemand.exceededFor(now, w.homeDemand.current > w.declared.Rate)
	rate, burst := r.budget(w.declared, exceeded >= r.Window)
	w.homeBucket.Begin(now, initialHomeTokens)
	w.homeBucket.Set(now, rate*w.heardFraction, max(1, burst*w.heardFraction))
	ok, after = take(&w.homeBucket, now, c, exceeded >= sustainedAfter)
	if !ok {
		why = fmt.Sprintf("rate %.1f, asked for %.1f at its home", w.declared.Rate, w.homeDemand.current)
	}
	return ok, after, why
}

// take takes one token for a claim. A crowd that comes once is paced, whatever
// it asks for. Where a workspace keeps asking for more than its rate, only the
// most urgent claims wait, and each of the others leaves tokens to those that go
// first: else whoever waits longest would get them all.
func take(s *share.Share, now time.Time, c claim.Claim, crowded bool) (ok bool, after time.Duration) {
	if crowded && c.Level > 0 {
		return s.Take(now, 0, float64(c.Level))
	}
	return s.Take(now, min(c.Wait, maxWait), 0)
}

// admit takes one operation from the host's part of the rate.
func (r *Rates) admitLocally(workspace string, c claim.Claim) (ok bool, after time.Duration, why string) {
	s := r.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.workspaces[workspace]
	if !known {
		return false, unknownRetryAfter, "its rate is not known yet"
	}
	now := time.Now()
	w.localDemand.add(now)
	ok, after = take(&w.localBucket, now, c, w.localDemand.exceededFor(now, w.localDemand.current > w.localRate) >= sustainedAfter)
	if !ok {
		why = fmt.Sprintf("rate %.1f, part %.2f, demand here %.1f, demand elsewhere %.1f", w.declared.Rate, w.localRate, w.localDemand.current, w.otherDemand)
	}
	return ok, after, why
}

// Demands returns what this host is asked for, a byte for each workspace of
// the policy in the order of names, and the policy's version.
func (r *Rates) Demands() (demands []byte, version uint64) {
	names, version := r.workspaceOrder()
	now := time.Now()
	demands = make([]byte, len(names))
	for i, name := range names {
		s := r.shard(name)
		s.mu.Lock()
		if w, ok := s.workspaces[name]; ok {
			w.localDemand.average(now)
			demands[i] = share.Pack(w.localDemand.current)
		}
		s.mu.Unlock()
	}
	return demands, version
}

func (r *Rates) workspaceOrder() ([]string, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.policy == nil {
		return nil, 0
	}
	return r.names, r.policy.Version
}

// Divide takes the configuration and what the other live hosts are asked for.
// A host that told nothing for this configuration is left its even part. size
// is how many hosts there are at least, and alive how many of them are heard
// now: a home that is cut off from some hosts leaves their part of the rate to
// them.
func (r *Rates) Divide(p *policy.Policy, others [][]byte, size, alive int) {
	names := r.setPolicy(p)
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
		w, ok := s.workspaces[name]
		if !ok {
			w = &usage{}
			w.localDemand.start(now)
			w.homeDemand.start(now)
			s.add(name, w)
		}
		w.localDemand.average(now)
		own := share.Unpack(share.Pack(w.localDemand.settled))
		hosts := max(len(others)+1, size)
		rate, burst := r.budget(declared, w.localDemand.exceededFor(now, all+own > declared.Rate) >= r.Window)
		// The even parts of hosts whose demands are not known stay theirs.
		heard := rate * float64(known) / float64(hosts)
		part := share.Part(heard, own, all+own, known)
		w.declared = declared
		w.heardFraction = min(1, float64(alive)/float64(hosts))
		w.localRate = part
		w.otherDemand = all
		w.localBucket.Set(now, part, r.localBurst(burst, hosts))
		r.dropHomeBucket(name, w)
		s.mu.Unlock()
	}
}

// forget drops what this host saved up as the home of a workspace whose home is
// another host now: that one grants it, and this one would again once it is the
// home anew.
func (r *Rates) dropHomeBucket(workspace string, w *usage) {
	if r.Homes == nil || !w.homeBucket.Begun() {
		return
	}
	if _, elsewhere := r.Homes.Home(workspace); elsewhere {
		w.homeBucket = share.Share{}
	}
}

// partBurst is how much a host may admit at once by its part. Where homes count,
// the whole burst is theirs: a host that gets no answer from one for a moment
// must not spend it again.
func (r *Rates) localBurst(burst float64, hosts int) float64 {
	if r.Homes != nil {
		return minBurst
	}
	return max(minBurst, burst/float64(hosts))
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
	return rate, max(0, allocatedFraction*allowed-rate*window)
}

// adopt takes the policy and forgets workspaces that it lacks.
func (r *Rates) setPolicy(p *policy.Policy) []string {
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
		for name := range s.workspaces {
			if _, ok := p.Workspaces[name]; !ok {
				delete(s.workspaces, name)
			}
		}
		s.mu.Unlock()
	}
	return r.names
}
