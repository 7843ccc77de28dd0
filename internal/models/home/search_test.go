package home

import (
	"fmt"
	"hash/maphash"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/draw"
	"wasabislip.example/wasabislip/internal/models/expiry"
	"wasabislip.example/wasabislip/internal/models/grant"
	"wasabislip.example/wasabislip/internal/models/lease"
	"wasabislip.example/wasabislip/internal/models/tokens"
)

// Bounds of the search. A tick is one second.
const (
	searchRate  = 4.0
	searchBurst = 2.0
	searchValid = 2500 * time.Millisecond
	// endedVersion is the version of a lease row that another host has marked
	// as ended.
	endedVersion = 100
	requestCount = 2
	hostCount    = 2
	homeCount    = 2
)

var (
	startTime = time.Unix(0, 0).UTC()
	hostNames = [hostCount]string{"a", "b"}
	// searches cover a lease that expires in the first tick, over more ticks; a
	// lease that is renewed; and several requests of one host.
	searches = []bounds{
		{
			lease:    900 * time.Millisecond,
			end:      4,
			requests: [hostCount]int{1, 1},
			needs:    [requestCount]float64{2},
		},
		{
			lease:    1500 * time.Millisecond,
			end:      3,
			renewals: true,
			requests: [hostCount]int{1, 1},
			needs:    [requestCount]float64{2},
		},
		{
			lease:    900 * time.Millisecond,
			end:      3,
			requests: [hostCount]int{requestCount, 1},
			needs:    [requestCount]float64{1, 2},
		},
	}
)

// bounds limit a search: the lease's duration, the last tick, whether the lease
// is renewed, the number of requests of each host and the tokens that each
// request asks for.
type bounds struct {
	lease    time.Duration
	end      int
	renewals bool
	requests [hostCount]int
	needs    [requestCount]float64
}

// mutant selects a fault to inject into the protocol.
type mutant struct {
	validFromReceipt  bool
	skipsLeaseCheck   bool
	acceptsAnyAnswer  bool
	acceptsAnyRequest bool
	startsFull        bool
	ignoresFormer     bool
	takenEarly        bool
}

// state is the state of the whole system: two hosts that draw tokens, two homes
// one after the other, the table and the network. A message that was sent may
// be delivered at any later step, any number of times, or never. allowance is
// the number of statements that rate and burst still allow; it must not become
// negative. state is comparable.
type state struct {
	tick      int
	allowance float64
	caches    [hostCount]tokens.Cache
	sent      [hostCount]int
	requests  [hostCount][requestCount]draw.Request
	sentAt    [hostCount][requestCount]int
	answers   [hostCount][requestCount][homeCount]grant.Grant
	homes     [homeCount]bucketState
	// clockReadAt is the tick at which the first home last read its clock and
	// checked its lease; -1 if it has not since it last served. The home may
	// pause between the check and the answer.
	clockReadAt int
	lease       lease.Lease
	renewal     renewal
	// version is that of the lease row in the table.
	version uint64
	watch   expiry.Tracker
}

// renewal is the first home's only renewal of its lease.
type renewal struct {
	sent    bool
	at      int
	applied bool
	done    bool
}

// bucketState is a Bucket as a comparable value. Account 0 is that of the
// former home.
type bucketState struct {
	open     bool
	bucket   [5]float64
	times    [2]time.Time
	accounts [hostCount + 1]accountState
}

type accountState struct {
	open bool
	account
}

func saveBucket(b *Bucket) bucketState {
	v := bucketState{
		open:   true,
		bucket: [5]float64{b.rate, b.burst, b.available, b.outstanding, 0},
		times:  [2]time.Time{b.refilledAt, b.nextExpiry},
	}
	for i, name := range []string{formerHome, hostNames[0], hostNames[1]} {
		if a := b.accounts[name]; a != nil {
			v.accounts[i] = accountState{
				open:    true,
				account: *a,
			}
		}
	}
	return v
}

func (v *bucketState) restore() *Bucket {
	b := &Bucket{
		rate:        v.bucket[0],
		burst:       v.bucket[1],
		validity:    searchValid,
		available:   v.bucket[2],
		outstanding: v.bucket[3],
		refilledAt:  v.times[0],
		nextExpiry:  v.times[1],
		accounts:    make(map[string]*account),
	}
	for i, name := range []string{formerHome, hostNames[0], hostNames[1]} {
		if v.accounts[i].open {
			a := v.accounts[i].account
			b.accounts[name] = &a
		}
	}
	return b
}

// search visits every reachable state once and fails if one of them admits too
// many statements.
type search struct {
	mutant mutant
	bounds bounds
	seed   maphash.Seed
	seen   map[uint64]struct{}
	failed bool
	// admits and takeovers count the admissions and changes of the home that
	// the search has seen.
	admits    int
	takeovers int
}

func at(tick int) time.Time {
	return startTime.Add(time.Duration(tick) * time.Second)
}

// visit explores n and the states reachable from it. It takes a copy, so a step
// may change its argument.
func (s *search) visit(n state) {
	if s.failed {
		return
	}
	s.normalize(&n)
	key := maphash.Comparable(s.seed, n)
	if _, ok := s.seen[key]; ok {
		return
	}
	s.seen[key] = struct{}{}
	if n.tick < s.bounds.end {
		next := n
		next.tick++
		next.allowance = min(searchBurst, next.allowance+searchRate)
		s.visit(next)
	}
	for i := range hostCount {
		s.hostSteps(n, i)
		for q := range n.sent[i] {
			s.deliveries(n, i, q)
		}
	}
	s.checkLease(n)
	s.leaseSteps(n)
}

// normalize removes from n what no later step depends on, so that equivalent
// states are visited once.
func (s *search) normalize(n *state) {
	if n.clockReadAt < 0 && !n.lease.Held(at(n.tick)) && !s.mutant.skipsLeaseCheck {
		n.homes[0] = bucketState{}
	}
	for k := range homeCount {
		if n.homes[k].open && (k > 0 || n.clockReadAt < 0) {
			b := n.homes[k].restore()
			b.advance(at(n.tick))
			n.homes[k] = saveBucket(b)
		}
	}
	if n.homes[1].open {
		n.watch = expiry.Tracker{}
	}
	for i := range hostCount {
		n.caches[i].Take(at(n.tick), 0)
		for q := range requestCount {
			stale := !n.caches[i].Pending() || q != n.sent[i]-1
			if stale && !s.mutant.acceptsAnyAnswer {
				n.answers[i][q] = [homeCount]grant.Grant{}
			}
		}
	}
}

// hostSteps has host i admit a statement, or send a request and give up on the
// one before.
func (s *search) hostSteps(n state, i int) {
	now := at(n.tick)
	if next := n; next.caches[i].Take(now, 1) > 0 {
		next.allowance--
		s.admits++
		if next.allowance < -1e-9 {
			s.failed = true
			return
		}
		s.visit(next)
	}
	if next := n; n.sent[i] < s.bounds.requests[i] {
		next.caches[i].Fail(now, 0)
		need := s.bounds.needs[n.sent[i]]
		next.requests[i][n.sent[i]] = next.caches[i].Request(now, hostNames[i], need, searchBurst)
		next.sentAt[i][n.sent[i]] = n.tick
		next.sent[i]++
		s.visit(next)
	}
}

// deliveries delivers request q of host i to each home, and the answers to the
// host.
func (s *search) deliveries(n state, i, q int) {
	for k := range homeCount {
		if clock, ok := n.clock(k); ok && !clock.Before(at(n.sentAt[i][q])) {
			next := n
			b := next.homes[k].restore()
			if a := b.accounts[hostNames[i]]; a != nil && s.mutant.acceptsAnyRequest {
				a.sequence = 0
			}
			next.answers[i][q][k] = b.Draw(clock, n.requests[i][q])
			next.homes[k] = saveBucket(b)
			next.clockReadAt = -1
			s.visit(next)
		}
		if g := n.answers[i][q][k]; g.Tokens > 0 && n.caches[i].Pending() {
			next := n
			if s.mutant.acceptsAnyAnswer {
				g.Sequence = uint64(n.sent[i])
			}
			if s.mutant.validFromReceipt {
				g.Valid += at(n.tick).Sub(at(n.sentAt[i][q]))
			}
			next.caches[i].Accept(at(n.tick), g)
			s.visit(next)
		}
	}
}

// clock returns the time that home k uses for a request that it serves now;
// false if it must not serve.
func (n *state) clock(k int) (time.Time, bool) {
	if k == 0 {
		return at(n.clockReadAt), n.clockReadAt >= 0
	}
	return at(n.tick), n.homes[k].open
}

// checkLease has the first home read its clock and check its lease. It may
// serve at any later tick, as a paused process does.
func (s *search) checkLease(n state) {
	held := n.lease.Held(at(n.tick)) || s.mutant.skipsLeaseCheck
	if n.clockReadAt == n.tick || !held {
		return
	}
	n.clockReadAt = n.tick
	s.visit(n)
}

// leaseSteps renews the first home's lease, or has the second home read the
// lease row and, once the lease must have expired, mark it as ended and start.
func (s *search) leaseSteps(n state) {
	now := at(n.tick)
	if next := n; !n.renewal.sent && s.bounds.renewals {
		next.renewal.sent = true
		next.renewal.at = n.tick
		s.visit(next)
	}
	if next := n; n.renewal.sent && !n.renewal.applied && n.version == 1 {
		next.renewal.applied = true
		next.version++
		s.visit(next)
	}
	if next := n; n.renewal.applied && !n.renewal.done {
		next.renewal.done = true
		next.lease.Renew(at(n.renewal.at), now)
		s.visit(next)
	}
	if n.homes[1].open {
		return
	}
	next := n
	unchanged := next.watch.Observe(now, now, n.version)
	if unchanged > s.bounds.lease || s.mutant.takenEarly {
		next.version = endedVersion
		next.homes[1] = saveBucket(s.successor(now))
		s.takeovers++
	}
	s.visit(next)
}

// successor returns the first bucket of the second home.
func (s *search) successor(now time.Time) *Bucket {
	switch {
	case s.mutant.startsFull:
		return New(now, searchRate, searchBurst, searchValid, searchBurst, 0)
	case s.mutant.ignoresFormer:
		return New(now, searchRate, searchBurst, searchValid, 0, 0)
	default:
		return New(now, searchRate, searchBurst, searchValid, 0, searchBurst)
	}
}

func runSearch(m mutant, b bounds) *search {
	s := &search{
		bounds: b,
		mutant: m,
		seed:   maphash.MakeSeed(),
		seen:   make(map[uint64]struct{}),
	}
	l := lease.New(b.lease)
	l.Acquire(startTime, "one")
	n := state{
		allowance:   searchBurst,
		clockReadAt: -1,
		lease:       *l,
		version:     1,
	}
	n.homes[0] = saveBucket(New(startTime, searchRate, searchBurst, searchValid, searchBurst, 0))
	s.visit(n)
	return s
}

// TestConservation searches all schedules within the bounds for one that admits
// more than burst + rate * length statements. It then injects one fault after
// the other and checks that some search finds each.
func TestConservation(t *testing.T) {
	for i, b := range searches {
		t.Run(fmt.Sprintf("search %d", i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := runSearch(mutant{}, b)
			t.Logf("%d states, %d admissions, %d takeovers", len(s.seen), s.admits, s.takeovers)
			is.True(!s.failed)          // more than the bound was admitted
			is.True(s.admits > 0)       // no statement was admitted
			is.True(s.takeovers > 0)    // the home was never changed
			is.True(len(s.seen) > 1000) // the search ended too early
		})
	}
	for name, m := range map[string]mutant{
		"validity counted from the receipt of the grant": {validFromReceipt: true},
		"lease not checked at use":                       {skipsLeaseCheck: true},
		"sequence of an answer ignored":                  {acceptsAnyAnswer: true},
		"sequence of a request ignored":                  {acceptsAnyRequest: true},
		"new home starts with a full bucket":             {startsFull: true},
		"tokens of the former home ignored":              {ignoresFormer: true},
		"home taken over before its lease expired":       {takenEarly: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			found := slices.ContainsFunc(searches, func(b bounds) bool { return runSearch(m, b).failed })
			is.True(found) // no search finds the fault
		})
	}
}
