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
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabislip.example/wasabislip/internal/models/bucket"
	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/slide"
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
	// askedWindow is the time span in which a home compares the operations that it is
	// asked for with the demand that the other hosts report. It is shorter than the
	// time in which a silent host is noticed (2.8 s), and long enough to tell a fall
	// from chance at 10 operations a second.
	askedWindow = 500 * time.Millisecond
	// reportDelay is how long it takes until a home knows that a host goes by its
	// part: the average of the demand and some exchanges between hosts.
	reportDelay = time.Second
	// lostAfter is the age of a home's last report from which on a host assumes that
	// it and the home no longer hear of each other. Most reports of live hosts are
	// newer; to be wrong matters only while the home gives no answers either.
	lostAfter = time.Second
	// maxReportAge is the age that reports of live hosts reach in a large fleet
	// (TestReportAge of simenv: 1.6 s).
	maxReportAge = 1700 * time.Millisecond
	// lostHomeFactor and lostHomeFraction bound the part of a host that has lost its
	// home: its demand that the home knows of, with an increase by the callers of a
	// third of the hosts, and a fraction of an even part. The home grants the rest
	// until it holds this host for silent.
	lostHomeFactor   = 1.5
	lostHomeFraction = 0.1
	// handoverTime is how long a former home grants to hosts that have not heard of the
	// change of the home: a round of exchanges.
	handoverTime = 500 * time.Millisecond
	// handoverRate is the fraction of the rate that it grants then: about what is
	// asked of it while the others turn to the new home.
	handoverRate = 0.5
	// newHomeTime is how long after it became the home a host may not be asked for all
	// operations yet: handoverTime, and askedWindow on top.
	newHomeTime = handoverTime + askedWindow
	// risenFactor bounds how much a part grows by a demand that other hosts do not know
	// of yet. Without a bound the parts double when all demands rise at once.
	risenFactor = 1.25
	// demandError is the relative error of a reported demand: its encoding and the
	// larger of two averages.
	demandError = 0.15
)

// homes finds the homes of workspaces and asks them for tokens.
type homes interface {
	// Home returns the home of a workspace; elsewhere is false if that is this
	// host.
	Home(workspace string) (home host.Host, elsewhere bool)
	// RequestPermit asks the home to admit one operation.
	RequestPermit(ctx context.Context, home host.Host, workspace string, request permit.Request) (ok bool, after time.Duration, why string, err error)
}

// meter counts refused operations by the limit that decided: bucket or window at the
// home, part at another host, unknown before a host knows the workspace. used is the
// fraction of the allowed operations of a window that this host knows to be admitted.
type meter interface {
	RecordRateRefusal(limit string, used float64)
}

// Rates admits operations. Its fields are set before the first call. It is
// safe for concurrent use.
type Rates struct {
	// Homes finds the homes; if it is nil, each host admits operations from its
	// local buckets only.
	Homes homes
	// ReportAge returns the age of the last report of another host. If it is nil,
	// all reports count as new.
	ReportAge func(h host.Host) time.Duration
	// LateDemands returns the demands that live hosts reported for a version of the
	// configuration, of those hosts whose last report is older than an age; nil if no
	// report counts as late.
	LateDemands func(version uint64, age time.Duration) [][]byte
	// Meter counts refusals; it may be nil.
	Meter meter
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
	// callerDemand is the demand of this host's own callers, and localDemand the
	// part of it that the local bucket decides, which holds this host's share of
	// the rate.
	callerDemand demand
	localDemand  demand
	localBucket  bucket.Bucket
	// localRate is this host's share of the rate, and otherDemand the demand of
	// the callers of other hosts, both as of the last UpdateShares.
	localRate   float64
	otherDemand float64
	// reportedDemand is the demand of this host's callers at least lostAfter before it
	// found that the home is lost: the home heard of it. nextReported is the next
	// value, and reportedAt when the value last changed.
	reportedDemand float64
	nextReported   float64
	reportedAt     time.Time
	// homeDemand is what all hosts ask this one for as the home, and homeBucket
	// the bucket that it grants them from; heardFraction is the fraction of all
	// hosts that this host hears from. homeSince is when this host became the home, and
	// homeUntil when it was last the home.
	homeDemand    demand
	homeBucket    bucket.Bucket
	heardFraction float64
	homeSince     time.Time
	homeUntil     time.Time
	// handingOver tells that this host was the home before; others may still ask it.
	handingOver bool
	// asked counts what other hosts ask this one for, granted what this host granted
	// as the home or admitted by its part, and elsewhere what other hosts admitted by their parts, as far as
	// they report it.
	asked     slide.Window
	granted   slide.Window
	elsewhere slide.Window
	// homeTurns and localTurns are the times at which refused callers come back.
	homeTurns  turns
	localTurns turns
	// leave is what the home leaves to hosts that go by their parts, as of updatedAt,
	// the last UpdateShares.
	leave     leave
	updatedAt time.Time
}

// leave is what a home leaves of a rate to hosts that go by their parts.
type leave struct {
	// reported is the sum of the parts of hosts that report to go by them.
	reported float64
	// expected is the demand of the callers of the hosts that report to ask the
	// home, and parts the sum of the parts of these hosts.
	expected float64
	parts    float64
	// late is the sum of the parts of the hosts whose last report is old, and lost
	// that of the hosts whose report is older than those of live hosts are.
	late float64
	lost float64
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
	r.countCaller(workspace)
	if r.Homes == nil {
		return r.admitLocally(workspace, request)
	}
	home, elsewhere := r.Homes.Home(workspace)
	if !elsewhere {
		return r.grant(workspace, request, false)
	}
	ok, after, why, err := r.Homes.RequestPermit(ctx, home, workspace, request)
	if err == nil {
		return ok, after, why
	}
	return r.admitLocally(workspace, request)
}

// countCaller counts an operation of this host's own callers.
func (r *Rates) countCaller(workspace string) {
	s := r.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if w, known := s.workspaces[workspace]; known {
		w.callerDemand.add(time.Now())
	}
}

// Grant takes one token for another host from the bucket of a workspace whose home is
// this host. If it is not the home, why is empty, and the other host goes by its part;
// one that was the home a moment ago grants while the others hear of the change.
func (r *Rates) Grant(workspace string, request permit.Request) (ok bool, after time.Duration, why string) {
	if r.Homes != nil && !r.isHome(workspace) {
		return false, 0, ""
	}
	return r.grant(workspace, request, true)
}

// isHome reports whether this host is the home of a workspace or was a moment ago.
func (r *Rates) isHome(workspace string) bool {
	if _, elsewhere := r.Homes.Home(workspace); !elsewhere {
		return true
	}
	s := r.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.workspaces[workspace]
	if !known {
		return false
	}
	if w.handingOver {
		return time.Since(w.homeUntil) < handoverTime
	}
	return w.homeBucket.Initialized()
}

// grant takes one token from the bucket of a workspace whose home is this host. remote
// says that another host asks.
func (r *Rates) grant(workspace string, request permit.Request, remote bool) (ok bool, after time.Duration, why string) {
	s := r.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	w, known := s.workspaces[workspace]
	if !known {
		r.record("unknown", 0)
		return false, unknownRetryAfter, "its rate is not known yet"
	}
	now := time.Now()
	if remote {
		w.asked.Add(now, 1)
	}
	w.homeDemand.add(now)
	w.homeDemand.average(now)
	exceeded := w.homeDemand.exceededFor(now, w.homeDemand.current > w.declared.Rate)
	r.fillHomeBucket(w, now, exceeded)
	allowed := r.allocated(w.declared)
	used := w.granted.Sum(now) + w.elsewhere.Sum(now)
	if used+1 > allowed {
		// Counts of other hosts may leave the window sooner than those of this one.
		after = max(time.Millisecond, min(w.granted.Wait(now, 1), w.elsewhere.Wait(now, 1)))
		return false, w.homeTurns.next(now, request.Level, after, w.homeBucket.Rate()), r.explain(w, now, "window", allowed)
	}
	ok, after = take(&w.homeBucket, now, request, exceeded >= sustainedAfter)
	if !ok {
		return false, w.homeTurns.next(now, request.Level, after, w.homeBucket.Rate()), r.explain(w, now, "bucket", allowed)
	}
	w.granted.Add(now, 1)
	return true, after, ""
}

// explain counts a refusal of the home and returns its figures; limit tells what decided.
func (r *Rates) explain(w *usage, now time.Time, limit string, allowed float64) string {
	granted, elsewhere := w.granted.Sum(now), w.elsewhere.Sum(now)
	r.record(limit, (granted+elsewhere)/allowed)
	return fmt.Sprintf("rate %.1f, asked for %.1f at its home, limit %s: in %v granted %.0f and elsewhere %.0f, allowed %.0f, tokens a second %.1f",
		w.declared.Rate, w.homeDemand.current, limit, r.Window, granted, elsewhere, allowed, w.homeBucket.Rate())
}

func (r *Rates) record(limit string, used float64) {
	if r.Meter != nil {
		r.Meter.RecordRateRefusal(limit, used)
	}
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
		r.record("unknown", 0)
		return false, unknownRetryAfter, "its rate is not known yet"
	}
	now := time.Now()
	w.localDemand.add(now)
	ok, after = take(&w.localBucket, now, request, w.localDemand.exceededFor(now, w.localDemand.current > w.localRate) >= sustainedAfter)
	if ok {
		w.granted.Add(now, 1)
	} else {
		after = w.localTurns.next(now, request.Level, after, w.localRate)
		admitted := w.granted.Sum(now)
		allowed := r.allocated(w.declared)
		r.record("part", admitted/allowed)
		why = fmt.Sprintf("rate %.1f, part %.2f, demand here %.1f, demand elsewhere %.1f, in %v admitted here %.0f, allowed everywhere %.0f",
			w.declared.Rate, w.localRate, w.callerDemand.current, w.otherDemand, r.Window, admitted, allowed)
	}
	return ok, after, why
}

// Demands returns, for each workspace of the policy in the order of names, the demand
// of this host's callers, encoded as one byte, and the policy's version. The demands on
// the local buckets follow, one byte for each workspace; a host of an earlier build
// ignores them. They are zero unless the home of a workspace does not answer.
func (r *Rates) Demands() (demands []byte, version uint64) {
	names, version := r.workspaceOrder()
	now := time.Now()
	demands = make([]byte, 2*len(names))
	for i, name := range names {
		s := r.shard(name)
		s.mu.Lock()
		if w, ok := s.workspaces[name]; ok {
			w.callerDemand.average(now)
			w.localDemand.average(now)
			demands[i] = bucket.EncodeDemand(w.callerDemand.current)
			demands[len(names)+i] = bucket.EncodeDemand(w.localDemand.current)
		}
		s.mu.Unlock()
	}
	if r.Homes == nil {
		demands = demands[:len(names)]
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
	var late, lost [][]byte
	if r.LateDemands != nil {
		late = r.LateDemands(p.Version, lostAfter)
		lost = r.LateDemands(p.Version, maxReportAge)
	}
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
			w = r.newUsage(now)
			s.add(name, w)
		}
		w.callerDemand.average(now)
		own := bucket.DecodeDemand(bucket.EncodeDemand(w.callerDemand.settled))
		all := othersDemand + own
		hosts := max(len(others)+1, size)
		rate, burst := r.budget(declared, w.callerDemand.exceededFor(now, all > declared.Rate) >= r.Window)
		// Hosts whose demands are not known keep an even share each.
		knownRate := rate * float64(known) / float64(hosts)
		localRate := bucket.HostRate(knownRate, own, all, known)
		// A demand that has risen less than this part is used before others know of it:
		// the parts of hosts whose demands rise together would else sum up to less than
		// the rate.
		if risen := min(w.callerDemand.current, localRate); risen > own && othersDemand+risen <= declared.Rate {
			localRate = min(risenFactor*localRate, bucket.HostRate(knownRate, risen, othersDemand+risen, known))
		}
		if !r.isHomeLost(name) {
			w.noteReported(now, own)
		} else {
			localRate = min(localRate, lostPart(w.reportedDemand, rate, hosts))
		}
		w.declared = declared
		w.heardFraction = min(1, float64(alive)/float64(hosts))
		w.localRate = localRate
		w.otherDemand = othersDemand
		w.localBucket.SetRate(now, localRate, r.localBurst(burst, hosts))
		next := partsOf(others, i, len(names), knownRate, all, known)
		next.late = lostParts(late, i, rate, hosts)
		next.lost = lostParts(lost, i, rate, hosts)
		r.updateLeave(w, now, next, w.homeBucket.Initialized() && !w.handingOver)
		r.placeHomeBucket(name, w, now)
		s.mu.Unlock()
	}
}

// isHomeLost reports whether the home of a workspace is another host whose last report is
// so old that it may not hear of this one either.
func (r *Rates) isHomeLost(workspace string) bool {
	if r.Homes == nil || r.ReportAge == nil {
		return false
	}
	home, elsewhere := r.Homes.Home(workspace)
	return elsewhere && r.ReportAge(home) > lostAfter
}

// noteReported records the demand of this host's callers while it hears of the home.
func (w *usage) noteReported(now time.Time, demand float64) {
	if now.Sub(w.reportedAt) >= lostAfter {
		w.reportedDemand = w.nextReported
		w.nextReported = demand
		w.reportedAt = now
	}
}

// lostPart returns the part of a host that has lost its home, which knows of a demand of
// that host.
func lostPart(demand, rate float64, hosts int) float64 {
	return lostHomeFactor*demand + lostHomeFraction*rate/float64(hosts)
}

// lostParts returns the sum of lostPart over hosts, for the workspace at index i.
func lostParts(list [][]byte, i int, rate float64, hosts int) float64 {
	sum := 0.0
	for _, demands := range list {
		if i < len(demands) {
			sum += lostPart(bucket.DecodeDemand(demands[i]), rate, hosts)
		}
	}
	return sum
}

// newUsage returns the state of a workspace that is new to this host.
func (r *Rates) newUsage(now time.Time) *usage {
	w := &usage{
		asked: slide.Window{
			Length: askedWindow,
		},
		granted: slide.Window{
			Length: r.Window,
		},
		elsewhere: slide.Window{
			Length: r.Window,
		},
		updatedAt: now,
	}
	w.callerDemand.start(now)
	w.localDemand.start(now)
	w.homeDemand.start(now)
	return w
}

// partsOf returns what a home leaves of a rate to the hosts that reported demands, for
// the workspace at index i of n; all is the demand of all hosts, this one included.
func partsOf(others [][]byte, i, n int, rate, all float64, known int) leave {
	var l leave
	for _, demands := range others {
		if i >= len(demands) {
			continue
		}
		total := bucket.DecodeDemand(demands[i])
		local := 0.0
		if n+i < len(demands) {
			local = bucket.DecodeDemand(demands[n+i])
		}
		part := bucket.HostRate(rate, total, all, known)
		fraction := 0.0 // of the host's operations that its part decides
		if local > 0 {
			fraction = min(1, local/max(total, local))
		}
		l.reported += part * fraction
		l.expected += total * (1 - fraction)
		l.parts += part * (1 - fraction)
	}
	return l
}

// updateLeave records what this host leaves to others as the home, and counts what they
// may have admitted since the last call. What they began to admit before it could be
// known is counted once it is; home says that this host is the home.
func (r *Rates) updateLeave(w *usage, now time.Time, next leave, home bool) {
	passed := now.Sub(w.updatedAt).Seconds()
	count := next.reported*passed + max(0, next.reported-w.leave.reported)*reportDelay.Seconds()
	if home {
		silent := w.declared.Rate * (1 - w.heardFraction)
		count += max(w.missing(now), silent)*passed + max(0, next.lost-w.leave.lost)*maxReportAge.Seconds()
	}
	w.elsewhere.Add(now, count)
	w.leave = next
	w.updatedAt = now
}

// missing returns the sum of the parts of hosts that neither ask this home nor report
// yet that they go by their parts: the operations asked for lately are fewer than the
// demand that these hosts report, by more than chance and the error of the reports. For
// hosts whose reports are late too, no such difference is needed.
func (w *usage) missing(now time.Time) float64 {
	expected := w.leave.expected * askedWindow.Seconds()
	if expected <= 0 {
		return w.leave.late
	}
	if now.Sub(w.homeSince) < newHomeTime {
		return w.leave.lost // the others have yet to ask
	}
	asked := w.asked.Sum(now)
	certain := w.leave.parts * max(0, 1-(asked+2*math.Sqrt(expected)+demandError*expected)/expected)
	likely := w.leave.parts * max(0, 1-asked/expected)
	return max(certain, min(likely, w.leave.late), w.leave.lost)
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
		if w.homeBucket.Initialized() && !w.handingOver {
			w.homeBucket = bucket.Bucket{}
			w.homeUntil = now
			w.handingOver = true
		}
		return
	}
	if w.handingOver {
		w.homeBucket = bucket.Bucket{}
		w.handingOver = false
	}
	if !w.homeBucket.Initialized() {
		w.homeSince = now
	}
	w.homeDemand.average(now)
	exceeded := w.homeDemand.exceededFor(now, w.homeDemand.current > w.declared.Rate)
	r.fillHomeBucket(w, now, exceeded)
	// A new home begins with few tokens, as it does not know what the former one
	// granted. Once it knows a whole window, it has what a bucket that was full before
	// that window would hold.
	if now.Sub(w.homeSince) >= r.Window {
		w.homeBucket.Raise(now, slide.Level(now, w.homeBucket.Rate(), w.homeBucket.Burst(), &w.granted, &w.elsewhere))
	}
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
	if w.handingOver {
		w.homeBucket.Init(now, 0)
		w.homeBucket.SetRate(now, rate*handoverRate, 1)
		return
	}
	w.homeBucket.Init(now, max(minInitialTokens, initial))
	burst -= reservedMoves * reserve
	rate = min(rate*w.heardFraction, max(0, rate-w.leave.reported-w.missing(now)))
	w.homeBucket.SetRate(now, rate, max(1, burst*w.heardFraction))
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
	rate = w.Rate
	if spread {
		rate += w.Burst / window
	}
	return rate, max(0, r.allocated(w)-rate*window)
}

// allocated returns how many operations all hosts together admit in any window.
func (r *Rates) allocated(w space.Workspace) float64 {
	return allocatedFraction * ((w.Rate*r.Window.Seconds()+w.Burst)*(1+r.Overage) + r.Tolerance)
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
