package vouch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Bounds of the search. A tick is one second.
const (
	searchWindow = 2 * time.Second
	processCount = 3
)

var (
	startTime = time.Unix(1000, 0).UTC()
	names     = [processCount]string{"p", "q", "r"}
	// sets are the witnesses that the host writes in turn; the row starts with
	// the first.
	sets = [][]string{{"p", "q"}, {"q", "r"}, nil}
	// searches trade the length of the schedules for the number of messages.
	searches = []bounds{
		{
			ticks:    4,
			requests: 1,
			writes:   1,
			attempts: 1,
		},
		{
			ticks:    4,
			requests: 0,
			writes:   2,
			attempts: 1,
		},
		{
			ticks:    5,
			requests: 2,
			writes:   0,
			attempts: 1,
		},
	}
)

// bounds limit a search: the last tick, and the numbers of requests for a promise, of
// writes by the lease's host and of attempts to end the lease.
type bounds struct {
	ticks    int
	requests int
	writes   int
	attempts int
}

// mutant selects a fault to inject into the protocol.
type mutant struct {
	asksNoOther       bool
	ignoresOwnPromise bool
	ignoresWrites     bool
	forgetsRefusal    bool
	ignoresVersion    bool
	countsFromAnswer  bool
	ignoresAttempts   bool
	forgetsEnd        bool
}

// request is a request for a promise; granted tells that the answer is on its way.
type request struct {
	to      int
	version uint64
	sent    int
	granted bool
}

// write is a write of the row by the lease's host.
type write struct {
	set     int
	expect  uint64
	sent    int
	applied bool
}

// attempt is an attempt to end the lease at a version of the row; agreed tells that
// the other witness agreed and that the write is on its way.
type attempt struct {
	by, other int
	version   uint64
	agreed    bool
}

// state is the state of the lease's host, the processes, the row and the messages. A
// message may be delivered at any later step, or never.
type state struct {
	tick      int
	holder    Holder
	known     uint64
	processes [processCount]Witness
	version   uint64
	set       int
	ended     bool
	requests  []request
	writes    []write
	attempts  []attempt
	// requested, written and attempted count those that were sent.
	requested, written, attempted int
}

// search visits every reachable state once, and fails if the host may use the lease
// after it was ended.
type search struct {
	bounds bounds
	mutant mutant
	seen   map[string]struct{}
	failed bool
	// ends counts the states in which the lease was ended, and uses those in which
	// the host may use it by a promise alone.
	ends, uses int
}

func at(tick int) time.Time {
	return startTime.Add(time.Duration(tick) * time.Second)
}

// copy returns a state that shares nothing with n.
func (n *state) copy() *state {
	c := *n
	c.holder.sets = slices.Clone(n.holder.sets)
	c.holder.promisedAt = make(map[string]time.Time)
	for name, t := range n.holder.promisedAt {
		c.holder.promisedAt[name] = t
	}
	c.requests = slices.Clone(n.requests)
	c.writes = slices.Clone(n.writes)
	c.attempts = slices.Clone(n.attempts)
	return &c
}

// key returns a text that is equal for equal states.
func (n *state) key() string {
	b := make([]byte, 0, 128)
	add := func(values ...int) {
		for _, v := range values {
			b = append(b, byte(v))
		}
		b = append(b, '/')
	}
	second := func(t time.Time) int {
		if t.IsZero() {
			return -1
		}
		return int(t.Sub(startTime) / time.Second)
	}
	add(n.tick, int(n.known), int(n.version), n.set, bit(n.ended), n.requested, n.written, n.attempted, second(n.holder.writtenAt))
	for _, set := range n.holder.sets {
		add(slices.IndexFunc(sets, func(s []string) bool { return slices.Equal(s, set) }))
	}
	for i, name := range names {
		p := &n.processes[i]
		add(second(n.holder.promisedAt[name]), int(p.version), second(p.since), second(p.promisedAt), int(p.refused), second(p.endedAt))
	}
	for _, r := range n.requests {
		add(r.to, int(r.version), r.sent, bit(r.granted))
	}
	b = append(b, '/')
	for _, w := range n.writes {
		add(w.set, int(w.expect), w.sent, bit(w.applied))
	}
	b = append(b, '/')
	for _, a := range n.attempts {
		add(a.by, a.other, int(a.version), bit(a.agreed))
	}
	return string(b)
}

// normalize removes from n what no later step depends on, so that equivalent states
// are visited once.
func (n *state) normalize(m mutant) {
	now := at(n.tick)
	for i, name := range names {
		if p := &n.processes[i]; p.Silent(now) {
			p.promisedAt = time.Time{}
		}
		if !n.holder.Promised(name, now) {
			delete(n.holder.promisedAt, name)
		}
	}
	if now.Sub(n.holder.writtenAt) >= searchWindow {
		n.holder.writtenAt = time.Time{}
	}
	n.requests = slices.DeleteFunc(n.requests, func(r request) bool {
		return !m.countsFromAnswer && now.Sub(at(r.sent)) >= searchWindow && r.granted
	})
	n.writes = slices.DeleteFunc(n.writes, func(w write) bool {
		return !w.applied && (n.ended || w.expect != n.version)
	})
	if n.ended {
		n.attempts = nil
		n.attempted = 0
	}
}

// bit returns 1 for true.
func bit(v bool) int {
	if v {
		return 1
	}
	return 0
}

// visit explores n and the states reachable from it.
func (s *search) visit(n *state) {
	if s.failed {
		return
	}
	n.normalize(s.mutant)
	key := n.key()
	if _, ok := s.seen[key]; ok {
		return
	}
	s.seen[key] = struct{}{}
	valid := n.holder.Valid(at(n.tick))
	if n.ended {
		s.ends++
	} else if valid && n.holder.writtenAt.IsZero() && len(n.holder.sets) == 1 && len(n.holder.Witnesses()) > 0 {
		s.uses++
	}
	if n.ended && valid {
		s.failed = true
		return
	}
	if n.tick < s.bounds.ticks {
		c := n.copy()
		c.tick++
		s.visit(c)
	}
	s.hostSteps(n)
	s.promises(n)
	s.writes(n)
	s.attempts(n)
}

// hostSteps has the lease's host ask for a promise, write the row, or read it after a
// write that got no answer.
func (s *search) hostSteps(n *state) {
	if n.requested < s.bounds.requests {
		for i := range names {
			c := n.copy()
			c.requested++
			c.requests = append(c.requests, request{
				to:      i,
				version: n.known,
				sent:    n.tick,
			})
			s.visit(c)
		}
	}
	if n.written < s.bounds.writes {
		for set := range sets {
			c := n.copy()
			c.written++
			if !s.mutant.ignoresAttempts {
				c.holder.RecordAttempt(sets[set])
			}
			c.writes = append(c.writes, write{
				set:    set,
				expect: n.known,
				sent:   n.tick,
			})
			s.visit(c)
		}
	}
	if n.version != n.known && !n.ended {
		c := n.copy()
		c.known = n.version
		c.holder.RecordRead(sets[n.set])
		c.writes = nil
		s.visit(c)
	}
}

// promises delivers the requests for a promise and their answers.
func (s *search) promises(n *state) {
	for i, r := range n.requests {
		c := n.copy()
		if r.granted {
			sent := r.sent
			if s.mutant.countsFromAnswer {
				sent = n.tick
			}
			c.holder.RecordPromise(names[r.to], at(sent))
			c.requests = slices.Delete(c.requests, i, i+1)
		} else {
			if s.mutant.forgetsRefusal {
				c.processes[r.to].refused = 0
			}
			if !c.processes[r.to].Promise(at(n.tick), r.version) {
				continue
			}
			c.requests[i].granted = true
		}
		s.visit(c)
	}
}

// writes applies the writes of the row and delivers their answers.
func (s *search) writes(n *state) {
	for i, w := range n.writes {
		c := n.copy()
		switch {
		case w.applied:
			c.known = w.expect + 1
			c.holder.RecordWrite(at(w.sent), sets[w.set])
			c.writes = nil
		case w.expect == n.version && !n.ended:
			c.version++
			c.set = w.set
			c.writes[i].applied = true
		default:
			continue
		}
		s.visit(c)
	}
}

// attempts has the witnesses try to end the lease.
func (s *search) attempts(n *state) {
	now := at(n.tick)
	if n.attempted < s.bounds.attempts && !n.ended {
		for _, pair := range [][2]int{{0, 1}, {1, 0}} {
			set := sets[n.set]
			if len(set) == 0 {
				continue
			}
			by := slices.Index(names[:], set[pair[0]])
			other := slices.Index(names[:], set[pair[1]])
			c := n.copy()
			p := &c.processes[by]
			unchanged := p.Observe(now, now, n.version) || s.mutant.ignoresWrites
			if s.mutant.ignoresOwnPromise {
				p.promisedAt = time.Time{}
			}
			if unchanged && p.Refuse(now, n.version) {
				c.attempted++
				c.attempts = append(c.attempts, attempt{
					by:      by,
					other:   other,
					version: n.version,
					agreed:  s.mutant.asksNoOther,
				})
			}
			s.visit(c)
		}
	}
	for i := range n.processes {
		if !n.ended || n.processes[i].EndedFor(now) > 0 {
			continue
		}
		c := n.copy()
		if c.processes[i].RecordEnd(now); s.mutant.forgetsEnd {
			c.processes[i] = *New(searchWindow)
		}
		s.visit(c)
	}
	for i, a := range n.attempts {
		c := n.copy()
		switch {
		case !a.agreed:
			if !c.processes[a.other].Refuse(now, a.version) {
				continue
			}
			c.attempts[i].agreed = true
		case a.version == n.version || s.mutant.ignoresVersion:
			c.attempts = slices.Delete(c.attempts, i, i+1)
			c.ended = true
			c.version++
		default:
			continue
		}
		s.visit(c)
	}
}

func runSearch(m mutant, b bounds) *search {
	s := &search{
		bounds: b,
		mutant: m,
		seen:   make(map[string]struct{}),
	}
	n := &state{
		holder:  *NewHolder(startTime, searchWindow),
		known:   1,
		version: 1,
	}
	n.holder.RecordWrite(startTime, sets[0])
	for i := range n.processes {
		n.processes[i] = *New(searchWindow)
	}
	s.visit(n)
	return s
}

// TestNoUseAfterEnd searches all schedules within the bounds for one in which the
// host may use a lease that was ended. It then injects one fault after the other and
// checks that some search finds each.
func TestNoUseAfterEnd(t *testing.T) {
	for i, b := range searches {
		t.Run(fmt.Sprintf("search %d", i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := runSearch(mutant{}, b)
			t.Logf("%d states, %d after an end, %d used by a promise", len(s.seen), s.ends, s.uses)
			is.True(!s.failed)                     // a lease was usable after its end
			is.True(s.ends > 0)                    // no lease was ended
			is.True(b.requests == 0 || s.uses > 0) // no promise was used
			is.True(len(s.seen) > 1000)            // the search ended too early
		})
	}
	for name, m := range map[string]mutant{
		"the other witness is not asked":             {asksNoOther: true},
		"a witness ignores its own promise":          {ignoresOwnPromise: true},
		"a witness ignores writes of the row":        {ignoresWrites: true},
		"a witness promises after it refused":        {forgetsRefusal: true},
		"the row is ended at any version":            {ignoresVersion: true},
		"a promise counts from the answer's receipt": {countsFromAnswer: true},
		"a witness forgets a lease that has ended":   {forgetsEnd: true},
		"a write without an answer is ignored":       {ignoresAttempts: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			found := slices.ContainsFunc(searches, func(b bounds) bool { return runSearch(m, b).failed })
			is.True(found) // no search finds the fault
		})
	}
}
