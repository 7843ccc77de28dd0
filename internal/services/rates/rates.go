// Package rates admits operations within the rate and burst that each workspace
// has over all hosts together.
//
// Each workspace has a home among the live hosts: the host that owns the
// workspace's token bucket, which the other hosts ask for each operation. While
// the home does not answer, a host admits operations from a local token bucket
// that holds its share of the rate. Each host computes its share from the demands
// that the hosts report to each other by gossip.
package rates

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabislip.example/wasabislip/internal/models/bucket"
	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/space"
)

const (
	shardCount = 16
	// allocatedFraction is the fraction of a window's operations that is
	// allocated to hosts. The rest is a margin for the moments in which hosts
	// know different demands.
	allocatedFraction = 0.95
	// minInitialTokens is the least number of operations that a new home may grant
	// at once; see initialTokens. Every home leaves reservedMoves times that number of
	// its burst to the new homes of the same window.
	minInitialTokens = 1
	reservedMoves    = 2.5
	// sustainedAfter is how long a workspace must exceed its rate before its
	// less urgent operations yield to the urgent ones: longer than callers take
	// to reconnect after an interruption.
	sustainedAfter = time.Second
	// maxWait bounds the wait for a token. When the home of a workspace moves,
	// operations that the former home admitted for a later moment run beside
	// those that the new home admits; with this bound, two moves in one window
	// stay within the margin that allocatedFraction leaves.
	maxWait = 100 * time.Millisecond
	// unknownRetryAfter is the retry-after of a host that does not know the
	// workspace yet: it computes the shares of a new configuration within that
	// time.
	unknownRetryAfter = 100 * time.Millisecond
	// minBurst is the least burst of a host's local bucket in a fleet of any
	// size: a lower one would refuse operations that arrive together by chance.
	minBurst = 2
)

// homes finds the homes of workspaces and asks them for tokens.
type homes interface {
	// Home returns the home of a workspace; elsewhere is false if that is this
	// host.
	Home(workspace string) (home host.Host, elsewhere bool)
	// RequestPermit asks the home to admit one operation.
	RequestPermit(ctx context.Context, home host.Host, workspace string, request permit.Request) (ok bool, after time.Duration, why string, err error)
}

// Rates admits operations. Its fields are set before the first call. It is
// safe for concurrent use.
type Rates struct {
	// Homes finds the homes; if it is nil, each host admits operations from its
	// local buckets only.
	Homes homes
	// Window is the length of the sliding window over which the limit of rate
	// and burst is checked.
	Window time.Duration
	// Overage is the fraction of a window's limit by which the limit may be
	// exceeded; Tolerance is a number of operations that may come on top.
	Overage   float64
	Tolerance float64

	shards [shardCount]shard

	mu     sync.Mutex
	policy *policy.Policy
	// names are the workspaces of policy, sorted.
	names []string
}

// shard holds the workspaces whose names hash to it.
type shard struct {
	mu         sync.Mutex
	workspaces map[string]*usage
}

func (s *shard) add(name string, w *usage) {
	if s.workspaces == nil {
		s.workspaces = map[string]*usage{}
	}
	s.workspaces[name] = w
}

// usage is the state of one workspace on this host.
type usage struct {
	// declared is the workspace as it stands in the configuration.
	declared space.Workspace
	// localDemand is the demand on the local bucket, which holds this host's
	// share of the rate.
	localDemand demand
	localBucket bucket.Bucket
	// localRate is this host's share of the rate, and otherDemand the demand on
	// the other hosts, both as of the last UpdateShares.
	localRate   float64
	otherDemand float64
	// homeDemand is what all hosts ask this one for as the home, and homeBucket
	// the bucket that it grants them from; heardFraction is the fraction of all
	// hosts that this host hears from. homeUntil is when this host was last the home.
	homeDemand    demand
	homeBucket    bucket.Bucket
	heardFraction float64
	homeUntil     time.Time
}

func (r *Rates) shard(workspace string) *shard {
	return &r.shards[xxhash.Sum64String(workspace)%shardCount]
}

// Admit takes one token for an operation of a workspace: from the bucket of the
// workspace's home, or from the local bucket if the home does not answer. An
// operation that can wait may be admitted ahead of time: it may run only once
// after has passed. For a refused operation, after is when to retry, and why
// explains the refusal.
func (r *Rates) Admit(ctx context.Context, workspace string, request permit.Request) (ok bool, after time.Duration, why string) {
	if r.Homes == nil {
		return r.admitLocally(workspace, request)
	}
	home, elsewhere := r.Homes.Home(workspace)
	if !elsewhere {
		return r.Grant(workspace, request)
	}
	ok, after, why, err := r.Homes.RequestPermit(ctx, home, workspace, request)
	if err == nil {
		return ok, after, why
	}
	return r.admitLocally(workspace, request)
}

// Grant takes one token from the bucket of a workspace whose home is this host.
func (r *Rates) Grant(workspace string, request permit.Request) (ok bool, after time.Duration, why string) {
	s := r.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.workspaces[workspace]
	if !known {
		return false, unknownRetryAfter, "its rate is not known yet"
	}
	now := time.Now()
	w.homeDemand.add(now)
	w.homeDemand.average(now)
	exceeded := w.homeDemand.exceededFor(now, w.homeDemand.current > w.declared.Rate)
	r.fillHomeBucket(w, now, exceeded)
	ok, after = take(&w.homeBucket, now, request, exceeded >= sustainedAfter)
	if !ok {
		why = fmt.Sprintf("rate %.1f, asked for %.1f at its home", w.declared.Rate, w.homeDemand.current)
	}
	return ok, after, why
}

// take takes one token for a request. A short peak is spread over time: requests of
// any level may wait for a token. While a workspace exceeds its rate for longer
// (sustained), only requests of level 0 wait, and a request of level n leaves n
// tokens in the bucket for more urgent ones: otherwise the requests that can wait
// longest would take all tokens.
func take(b *bucket.Bucket, now time.Time, request permit.Request, sustained bool) (ok bool, after time.Duration) {
	if sustained && request.Level > 0 {
		return b.Take(now, 0, float64(request.Level))
	}
	return b.Take(now, min(request.Wait, maxWait), 0)
}

// admitLocally takes one token from the local bucket.
func (r *Rates) admitLocally(workspace string, request permit.Request) (ok bool, after time.Duration, why string) {
	s := r.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.workspaces[workspace]
	if !known {
		return false, unknownRetryAfter, "its rate is not known yet"
	}
	now := time.Now()
	w.localDemand.add(now)
	ok, after = take(&w.localBucket, now, request, w.localDemand.exceededFor(now, w.localDemand.current > w.localRate) >= sustainedAfter)
	if !ok {
		why = fmt.Sprintf("rate %.1f, part %.2f, demand here %.1f, demand elsewhere %.1f", w.declared.Rate, w.localRate, w.localDemand.current, w.otherDemand)
	}
	return ok, after, why
}

// Demands returns the demands on the local buckets, encoded as one byte for each
// workspace of the policy in the order of names, and the policy's version.
func (r *Rates) Demands() (demands []byte, version uint64) {
	names, version := r.workspaceOrder()
	now := time.Now()
	demands = make([]byte, len(names))
	for i, name := range names {
		s := r.shard(name)
		s.mu.Lock()
		if w, ok := s.workspaces[name]; ok {
			w.localDemand.average(now)
			demands[i] = bucket.EncodeDemand(w.localDemand.current)
		}
		s.mu.Unlock()
	}
	return demands, version
}

// workspaceOrder returns the sorted names of the policy's workspaces, and the
// policy's version.
func (r *Rates) workspaceOrder() ([]string, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.policy == nil {
		return nil, 0
	}
	return r.names, r.policy.Version
}

// UpdateShares computes this host's share of each workspace's rate from the
// configuration and the demands on the other live hosts. A host that reported no
// demands for this configuration gets an even share. size is the least number of
// hosts, and alive the number of hosts that are heard now: a home that is cut off
// from some hosts leaves their share of the rate to them.
func (r *Rates) UpdateShares(p *policy.Policy, others [][]byte, size, alive int) {
	names := r.setPolicy(p)
	now := time.Now()
	for i, name := range names {
		othersDemand, known := 0.0, 1
		for _, demands := range others {
			if i < len(demands) {
				othersDemand += bucket.DecodeDemand(demands[i])
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
		own := bucket.DecodeDemand(bucket.EncodeDemand(w.localDemand.settled))
		hosts := max(len(others)+1, size)
		rate, burst := r.budget(declared, w.localDemand.exceededFor(now, othersDemand+own > declared.Rate) >= r.Window)
		// Hosts whose demands are not known keep an even share each.
		knownRate := rate * float64(known) / float64(hosts)
		localRate := bucket.HostRate(knownRate, own, othersDemand+own, known)
		w.declared = declared
		w.heardFraction = min(1, float64(alive)/float64(hosts))
		w.localRate = localRate
		w.otherDemand = othersDemand
		w.localBucket.SetRate(now, localRate, r.localBurst(burst, hosts))
		r.placeHomeBucket(name, w, now)
		s.mu.Unlock()
	}
}

// placeHomeBucket begins to fill the bucket of a workspace whose home this host has
// become, and drops it once the home is another host: the tokens saved up in it are
// granted by the new home, and this host must not grant them again when it becomes
// the home once more.
func (r *Rates) placeHomeBucket(workspace string, w *usage, now time.Time) {
	if r.Homes == nil {
		return
	}
	if _, elsewhere := r.Homes.Home(workspace); elsewhere {
		if w.homeBucket.Initialized() {
			w.homeBucket = bucket.Bucket{}
			w.homeUntil = now
		}
		return
	}
	w.homeDemand.average(now)
	exceeded := w.homeDemand.exceededFor(now, w.homeDemand.current > w.declared.Rate)
	r.fillHomeBucket(w, now, exceeded)
}

// fillHomeBucket adds the tokens that are due to the bucket of a workspace whose home
// is this host; exceeded is how long the demand has been above the rate.
func (r *Rates) fillHomeBucket(w *usage, now time.Time, exceeded time.Duration) {
	rate, burst := r.budget(w.declared, exceeded >= r.Window)
	reserve := r.initialTokens(w.declared)
	initial := reserve * w.heardFraction
	if now.Sub(w.homeUntil) < r.Window {
		initial = 0 // this host has had its part of the window
	}
	w.homeBucket.Init(now, max(minInitialTokens, initial))
	burst -= reservedMoves * reserve
	w.homeBucket.SetRate(now, rate*w.heardFraction, max(1, burst*w.heardFraction))
}

// initialTokens returns how many operations a new home may grant at once, although the
// former home may just have granted all that it could: a part of what operators grant
// beyond the rate and the burst, which homes do not use otherwise. Callers that come
// back together after their hosts were lost need them.
func (r *Rates) initialTokens(w space.Workspace) float64 {
	_, burst := r.budget(w, false)
	return max(0, burst-w.Burst) / (2 * reservedMoves)
}

// localBurst returns the burst of a host's local bucket. Where there are homes,
// the whole burst belongs to them: a host that gets no answer from the home for a
// moment must not spend it a second time.
func (r *Rates) localBurst(burst float64, hosts int) float64 {
	if r.Homes != nil {
		return minBurst
	}
	return max(minBurst, burst/float64(hosts))
}

// budget returns the rate and the burst that all hosts share. Together they stay
// within the limit of a window: rate x window + burst, plus the overage and the
// tolerance that operators grant because hosts can't know at each moment what
// others have admitted. A workspace that starts to exceed its rate takes the burst
// at once; spread adds the burst to the rate, which is right only once the rate
// has been exceeded for a whole window.
func (r *Rates) budget(w space.Workspace, spread bool) (rate, burst float64) {
	window := r.Window.Seconds()
	allowed := (w.Rate*window+w.Burst)*(1+r.Overage) + r.Tolerance
	rate = w.Rate
	if spread {
		rate += w.Burst / window
	}
	return rate, max(0, allocatedFraction*allowed-rate*window)
}

// setPolicy takes a new policy, removes the workspaces that it does not name, and
// returns the sorted names of the others.
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
