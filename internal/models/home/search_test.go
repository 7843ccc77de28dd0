package home

import (
	"fmt"
	"hash/maphash"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/draw"
	"wasabislip.example/wasabislip/internal/models/grant"
	"wasabislip.example/wasabislip/internal/models/holder"
	"wasabislip.example/wasabislip/internal/models/lease"
	"wasabislip.example/wasabislip/internal/models/watch"
)

// Bounds of the search; times are in ticks of a second.
const (
	searchRate  = 4.0
	searchBurst = 2.0
	searchValid = 2500 * time.Millisecond
	// ended is the version of a lease row that another host ended.
	endedVersion = 100
	requestCount = 2
	hostCount    = 2
	homeCount    = 2
)

var (
	startTime = time.Unix(0, 0).UTC()
	hostNames = [hostCount]string{"a", "b"}
	// all are the searches: a lease that lapses in the first tick, followed for
	// longer; one that is renewed; and several requests of one holder.
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

// bounds limit a search: the lease's duration, the last tick, whether it is
// renewed, and the requests of each holder and the tokens that each asks for.
type bounds struct {
	lease    time.Duration
	end      int
	renewals bool
	requests [hostCount]int
	needs    [requestCount]float64
}

// mutant is a fault put into the protocol.
type mutant struct {
	validFromReceipt  bool
	skipsLeaseCheck   bool
	acceptsAnyAnswer  bool
	acceptsAnyRequest bool
	startsFull        bool
	ignoresFormer     bool
	takenEarly        bool
}

// node is one state of two holders, two homes with one tenure each, the table
// and the network. A message that was sent may be delivered at any later step,
// any number of times, or never. It is comparable.
type state struct {
	tick      int
	allowance float64
	caches    [hostCount]holder.Holder
	sent      [hostCount]int
	requests  [hostCount][requestCount]draw.Request
	sentAt    [hostCount][requestCount]int
	answers   [hostCount][requestCount][homeCount]grant.Grant
	homes     [homeCount]bucketState
	// checked is when the first home last read its clock and lease, before a
	// pause; -1 when it has not since it last served.
	clockReadAt int
	lease       lease.Lease
	renewal     renewal
	// version is that of the lease row in the table.
	version uint64
	watch   watch.Watch
}

// renewal is the first home's only renewal of its lease.
type renewal struct {
	sent    bool
	at      int
	applied bool
	done    bool
}

// frozen is a bucket as a comparable value; account 0 is the former homes'.
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
	f := bucketState{
		open:   true,
		bucket: [5]float64{b.rate, b.burst, b.available, b.outstanding, 0},
		times:  [2]time.Time{b.refilledAt, b.nextExpiry},
	}
	for i, name := range []string{formerHome, hostNames[0], hostNames[1]} {
		if a := b.accounts[name]; a != nil {
			f.accounts[i] = accountState{
				open:    true,
				account: *a,
			}
		}
	}
	return f
}

func (f *bucketState) restore() *Bucket {
	b := &Bucket{
		rate:        f.bucket[0],
		burst:       f.bucket[1],
		validity:    searchValid,
		available:   f.bucket[2],
		outstanding: f.bucket[3],
		refilledAt:  f.times[0],
		nextExpiry:  f.times[1],
		accounts:    make(map[string]*account),
	}
	for i, name := range []string{formerHome, hostNames[0], hostNames[1]} {
		if f.accounts[i].open {
			a := f.accounts[i].account
			b.accounts[name] = &a
		}
	}
	return b
}

// search visits every reachable state once.
type search struct {
	mutant mutant
	bounds bounds
	seed   maphash.Seed
	seen   map[uint64]struct{}
	failed bool
	// admits and takeovers count what the search reached.
	admits    int
	takeovers int
}

func at(tick int) time.Time {
	return startTime.Add(time.Duration(tick) * time.Second)
}

// visit explores n; it takes a copy, so a step may change its argument.
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

// reduce removes from n what no later step depends on.
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
		n.watch = watch.Watch{}
	}
	for i := range hostCount {
		n.caches[i].Take(at(n.tick), 0)
		for q := range requestCount {
			stale := !n.caches[i].Waiting() || q != n.sent[i]-1
			if stale && !s.mutant.acceptsAnyAnswer {
				n.answers[i][q] = [homeCount]grant.Grant{}
			}
		}
	}
}

// holderSteps sends a request, giving up on the one before, or admits a
// statement.
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

// deliveries hands request q of holder i to each home, and its answers to the
// holder.
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
		if g := n.answers[i][q][k]; g.Tokens > 0 && n.caches[i].Waiting() {
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

// clock returns the time by which home k serves now, if it may.
func (n *state) clock(k int) (time.Time, bool) {
	if k == 0 {
		return at(n.clockReadAt), n.clockReadAt >= 0
	}
	return at(n.tick), n.homes[k].open
}

// check has the first home read its clock and lease; it serves later, after a
// pause of any length.
func (s *search) checkLease(n state) {
	held := n.lease.Held(at(n.tick)) || s.mutant.skipsLeaseCheck
	if n.clockReadAt == n.tick || !held {
		return
	}
	n.clockReadAt = n.tick
	s.visit(n)
}

// leaseSteps renews the first home's lease, or has the second home read the
// row, mark it ended and start.
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
	kept := next.watch.Observe(now, now, n.version)
	if kept > s.bounds.lease || s.mutant.takenEarly {
		next.version = endedVersion
		next.homes[1] = saveBucket(s.successor(now))
		s.takeovers++
	}
	s.visit(next)
}

// successor is the bucket of the second home.
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
	l.Take(startTime, "one")
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

// TestConservation searches all schedules within the bounds for one that
// admits more than burst + rate * length.
func TestConservation(t *testing.T) {
	for i, b := range searches {
		t.Run(fmt.Sprintf("search %d", i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := runSearch(mutant{}, b)
			t.Logf("%d states, %d admissions, %d takeovers", len(s.seen), s.admits, s.takeovers)
			is.True(!s.failed)          // more than the bound was admitted
			is.True(s.admits > 0)       // the search admits
			is.True(s.takeovers > 0)    // the search changes the home
			is.True(len(s.seen) > 1000) // the search is not cut short
		})
	}
	for name, m := range map[string]mutant{
		"validity counted from the receipt":   {validFromReceipt: true},
		"lease not checked at use":            {skipsLeaseCheck: true},
		"sequence of answers ignored":         {acceptsAnyAnswer: true},
		"sequence of requests ignored":        {acceptsAnyRequest: true},
		"new home starts full":                {startsFull: true},
		"tokens of the former home forgotten": {ignoresFormer: true},
		"home taken while its lease lasts":    {takenEarly: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			found := slices.ContainsFunc(searches, func(b bounds) bool { return runSearch(m, b).failed })
			is.True(found) // the search misses the fault
		})
	}
}
