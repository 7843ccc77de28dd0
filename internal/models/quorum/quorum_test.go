package quorum_test

import (
	"bytes"
	"testing"
	"unsafe"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/quorum"
	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	nodes        = 3
	maxTerm      = 3
	maxLog       = 2
	coordinators = 2
	// maxStates bounds the search.
	maxStates = 10_000_000
)

// node is an instance. Its log holds the term of each entry; the term and the
// offset together identify an entry.
type node struct {
	fence     uint8
	term      uint8
	isPrimary bool
	size      uint8
	log       [maxLog]uint8
}

// summary is what a report says about a node.
type summary struct {
	fence     uint8
	term      uint8
	isPrimary bool
	size      uint8
	last      uint8
}

func (n *node) summary() summary {
	b := summary{
		fence:     n.fence,
		term:      n.term,
		isPrimary: n.isPrimary,
		size:      n.size,
	}
	if n.size > 0 {
		b.last = n.log[n.size-1]
	}
	return b
}

// coordinator is the state of one host that acts as coordinator. Its reports may
// be old, which models late and repeated answers. A report that is missing
// models one that was lost.
type coordinator struct {
	term     uint8
	primary  int8
	has      [nodes]bool
	reports  [nodes]summary
	promoted bool
}

// state is one state of the search over all interleavings.
type state struct {
	lastTerm     uint8
	nodes        [nodes]node
	coordinators [coordinators]coordinator
	acked        [maxLog]uint8
}

func report(i int, n *summary) status.Status {
	s := status.Status{
		Instance: string(rune('a' + i)),
		Fence:    uint64(n.fence),
		Term:     uint64(n.term),
		Role:     status.Replica,
	}
	if n.isPrimary {
		s.Role = status.Primary
	}
	if n.size > 0 {
		s.Received = logpos.Position{
			Term:   uint64(n.last),
			Offset: uint64(n.size),
		}
	}
	return s
}

func quorumOf(s *coordinator) quorum.Quorum {
	q := quorum.Quorum{
		Size: nodes,
		Term: uint64(s.term),
	}
	for i := range s.reports {
		if s.has[i] {
			q.Reports = append(q.Reports, report(i, &s.reports[i]))
		}
	}
	return q
}

// next calls visit with each state that one step from w leads to.
func next(w state, visit func(state)) {
	for h := range w.coordinators {
		takeTerm(w, h, visit)
		for i := range w.nodes {
			fence(w, h, i, visit)
			poll(w, h, i, visit)
		}
		promote(w, h, visit)
		replicate(w, h, visit)
	}
	for i := range w.nodes {
		write(w, i, visit)
	}
}

// start returns the initial state: the first node is the primary of term 1.
func start() state {
	w := state{
		lastTerm: 1,
	}
	for i := range w.nodes {
		w.nodes[i].fence = 1
		w.nodes[i].term = 1
	}
	w.nodes[0].isPrimary = true
	w.coordinators[0] = coordinator{
		term:     1,
		promoted: true,
	}
	return w
}

// takeTerm makes a host the coordinator of the next term.
func takeTerm(w state, h int, visit func(state)) {
	if w.lastTerm == maxTerm {
		return
	}
	w.lastTerm++
	w.coordinators[h] = coordinator{
		term:    w.lastTerm,
		primary: -1,
	}
	visit(w)
}

// fence fences a node at the coordinator's term. The report that it answers with
// may be lost.
func fence(w state, h, i int, visit func(state)) {
	s, n := &w.coordinators[h], &w.nodes[i]
	if s.term == 0 || s.promoted || n.fence > s.term {
		return
	}
	n.fence = s.term
	visit(w)
	s.has[i] = true
	s.reports[i] = n.summary()
	// ChoosePrimary does not use these fields; clearing them leaves fewer states.
	s.reports[i].term, s.reports[i].isPrimary = 0, false
	visit(w)
}

// poll gives the coordinator a new report of a node.
func poll(w state, h, i int, visit func(state)) {
	s := &w.coordinators[h]
	b := w.nodes[i].summary()
	if !s.promoted || b.last != s.term || b.fence != s.term || b.term != s.term {
		// Confirmed ignores such a report; see TestConfirmed.
		return
	}
	s.has[i] = true
	s.reports[i] = b
	visit(w)
}

// promote promotes the instance that ChoosePrimary returns. The request may be
// lost.
func promote(w state, h int, visit func(state)) {
	s := &w.coordinators[h]
	if s.term == 0 || s.promoted {
		return
	}
	q := quorumOf(s)
	choice := q.ChoosePrimary("a", func(string) bool { return false })
	if choice < 0 {
		return
	}
	i := int(q.Reports[choice].Instance[0] - 'a')
	s.promoted = true
	s.primary = int8(i)
	s.has = [nodes]bool{}
	s.reports = [nodes]summary{}
	visit(w)
	if w.nodes[i].fence == s.term {
		w.nodes[i].isPrimary = true
		w.nodes[i].term = s.term
		visit(w)
	}
}

// replicate copies the primary's log to a replica in one step.
func replicate(w state, h int, visit func(state)) {
	s := w.coordinators[h]
	if !s.promoted || !w.nodes[s.primary].isPrimary || w.nodes[s.primary].term != s.term {
		return
	}
	for i := range w.nodes {
		if i == int(s.primary) || w.nodes[i].fence > s.term {
			continue
		}
		v := w
		p := w.nodes[s.primary]
		v.nodes[i] = node{
			fence: s.term,
			term:  s.term,
			size:  p.size,
			log:   p.log,
		}
		visit(v)
	}
}

// write appends an entry to the log of a primary.
func write(w state, i int, visit func(state)) {
	n := &w.nodes[i]
	if !n.isPrimary || n.fence != n.term || n.size == maxLog {
		return
	}
	n.log[n.size] = n.term
	n.size++
	visit(w)
}

// normalize acknowledges every write that is confirmed, since that only adds to
// what must not be lost, and brings the two symmetric instances into one order.
func normalize(w state) state {
	for h := range w.coordinators {
		s := &w.coordinators[h]
		if !s.promoted {
			continue
		}
		q := quorumOf(s)
		if p := q.Confirmed(); !p.IsZero() {
			w.acked[p.Offset-1] = s.term
		}
	}
	v := swapped(w)
	if bytes.Compare(key(&v), key(&w)) < 0 {
		return v
	}
	return w
}

// swapped returns the state with the two replicas exchanged.
func swapped(w state) state {
	w.nodes[1], w.nodes[2] = w.nodes[2], w.nodes[1]
	for h := range w.coordinators {
		s := &w.coordinators[h]
		s.has[1], s.has[2] = s.has[2], s.has[1]
		s.reports[1], s.reports[2] = s.reports[2], s.reports[1]
		if s.primary > 0 {
			s.primary = 3 - s.primary
		}
	}
	return w
}

// key returns the bytes of a state, to compare two of them.
func key(w *state) []byte {
	return unsafe.Slice((*byte)(unsafe.Pointer(w)), unsafe.Sizeof(*w))
}

// lost reports whether the primary of the latest term lacks a write that was
// acknowledged.
func lost(w *state) bool {
	latest := node{}
	for _, n := range w.nodes {
		if n.isPrimary && n.term >= latest.term {
			latest = n
		}
	}
	for i, term := range w.acked {
		if term == 0 || latest.term < term {
			continue
		}
		if int(latest.size) <= i || latest.log[i] != term {
			return true
		}
	}
	return false
}

func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	is := is.New(t)
	seen := map[state]struct{}{}
	queue := []state{start()}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if _, ok := seen[w]; ok {
			continue
		}
		seen[w] = struct{}{}
		if lost(&w) {
			t.Fatalf("an acknowledged write is lost: %+v", w)
		}
		next(w, func(v state) {
			v = normalize(v)
			if _, ok := seen[v]; !ok {
				queue = append(queue, v)
			}
		})
		if len(seen) > maxStates {
			t.Fatalf("more than %d states", maxStates)
		}
	}
	t.Logf("%d states", len(seen))
	is.True(len(seen) > 1000)
}

func TestConfirmed(t *testing.T) {
	primary := summary{
		fence:     2,
		term:      2,
		isPrimary: true,
		size:      5,
		last:      2,
	}
	check := func(name string, other summary, want uint64) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := quorum.Quorum{
				Size:    nodes,
				Term:    2,
				Reports: []status.Status{report(0, &primary), report(1, &other)},
			}
			is.Equal(q.Confirmed().Offset, want)
		})
	}
	same := summary{
		fence: 2,
		term:  2,
		size:  4,
		last:  2,
	}
	check("replica in the term", same, 4)
	longer := same
	longer.term, longer.last, longer.size = 1, 1, 9
	check("longer log of an earlier term", longer, 0)
	fenced := same
	fenced.fence = 3
	check("replica fenced at a later term", fenced, 0)
	empty := same
	empty.size = 0
	check("replica with an empty log", empty, 0)
}
