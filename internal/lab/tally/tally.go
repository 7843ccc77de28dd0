// Package tally counts what callers got in one play of an experiment.
package tally

import (
	"math"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/bench/dist"
)

// Outcomes of one operation.
const (
	// InTime was answered within the lane's target.
	InTime = iota
	// Late was answered past the target.
	Late
	// Refused was told to come back, the last time too.
	Refused
	// Failed ended without an answer, or with one that leaves its effect open.
	Failed
)

// Slice is the width of the time slices of a play.
const Slice = 250 * time.Millisecond

// Tally counts operations. It is safe for concurrent use.
type Tally struct {
	// Took is how long the answered ones took, their retries included.
	Took dist.Dist

	mu     sync.Mutex
	counts [Failed + 1]int
	spaces map[string]*part
	slices []part
}

// part counts some of the operations.
type part struct {
	asked  int
	served int
}

// Note counts one operation that came at a time of the play.
func (t *Tally) Note(workspace string, at time.Duration, outcome int, took time.Duration) {
	if outcome <= Late {
		t.Took.Add(took)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[outcome]++
	if t.spaces == nil {
		t.spaces = map[string]*part{}
	}
	if t.spaces[workspace] == nil {
		t.spaces[workspace] = &part{}
	}
	n := int(at / Slice)
	for len(t.slices) <= n {
		t.slices = append(t.slices, part{})
	}
	for _, p := range []*part{t.spaces[workspace], &t.slices[n]} {
		p.asked++
		if outcome <= Late {
			p.served++
		}
	}
}

// Count returns how many operations had an outcome.
func (t *Tally) Count(outcome int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[outcome]
}

// Asked returns how many operations there were.
func (t *Tally) Asked() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.counts {
		n += c
	}
	return n
}

// Worst returns the part served of the workspace that was served worst.
func (t *Tally) Worst() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst := 1.0
	for _, p := range t.spaces {
		worst = min(worst, p.share())
	}
	return worst
}

// Course returns the part served of each time slice.
func (t *Tally) Course() []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var course []float64
	for _, p := range t.slices {
		course = append(course, p.share())
	}
	return course
}

func (p part) share() float64 {
	if p.asked == 0 {
		return math.NaN() // nobody asked
	}
	return float64(p.served) / float64(p.asked)
}
