// Package tally counts the outcomes of operations in one trial of an experiment.
package tally

import (
	"math"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/bench/dist"
)

// Outcomes of one operation.
const (
	// InTime was answered within the database's target latency.
	InTime = iota
	// Late was answered after the target latency.
	Late
	// Refused was refused at the last attempt, with certainty that it did not run.
	Refused
	// Failed ended without an answer, or with one that leaves open whether it took
	// effect.
	Failed
)

// SliceWidth is the duration of each time slice of a trial.
const SliceWidth = 250 * time.Millisecond

// Tally counts operations by outcome, workspace and time slice. It is safe for
// concurrent use.
type Tally struct {
	// Latency holds how long the answered operations took, retries included.
	Latency dist.Distribution

	mu         sync.Mutex
	outcomes   [Failed + 1]int
	workspaces map[string]*counts
	slices     []counts
}

// counts holds how many operations arrived and how many were answered.
type counts struct {
	arrived int
	served  int
}

// Record counts one operation that arrived at a time of the trial.
func (t *Tally) Record(workspace string, at time.Duration, outcome int, took time.Duration) {
	if outcome <= Late {
		t.Latency.Add(took)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
	if t.workspaces == nil {
		t.workspaces = map[string]*counts{}
	}
	if t.workspaces[workspace] == nil {
		t.workspaces[workspace] = &counts{}
	}
	n := int(at / SliceWidth)
	for len(t.slices) <= n {
		t.slices = append(t.slices, counts{})
	}
	for _, c := range []*counts{t.workspaces[workspace], &t.slices[n]} {
		c.arrived++
		if outcome <= Late {
			c.served++
		}
	}
}

// Count returns the number of operations with an outcome.
func (t *Tally) Count(outcome int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outcomes[outcome]
}

// Total returns the number of operations.
func (t *Tally) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, c := range t.outcomes {
		n += c
	}
	return n
}

// LeastServed returns the smallest fraction of its operations that any workspace
// got answered.
func (t *Tally) LeastServed() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	least := 1.0
	for _, c := range t.workspaces {
		least = min(least, c.share())
	}
	return least
}

// ServedBySlice returns the fraction of the operations of each time slice that
// was answered, NaN if none arrived.
func (t *Tally) ServedBySlice() []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var shares []float64
	for _, c := range t.slices {
		shares = append(shares, c.share())
	}
	return shares
}

func (c counts) share() float64 {
	if c.arrived == 0 {
		return math.NaN()
	}
	return float64(c.served) / float64(c.arrived)
}
