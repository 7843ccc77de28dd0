// Package dist collects durations and returns their quantiles.
package dist

import (
	"slices"
	"sync"
	"time"
)

// Distribution is a set of durations. The zero value is empty and ready to use.
// It is safe for concurrent use.
type Distribution struct {
	mu     sync.Mutex
	values []time.Duration
}

// Add adds a duration.
func (d *Distribution) Add(v time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.values = append(d.values, v)
}

// Len returns the number of durations.
func (d *Distribution) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.values)
}

// Quantile returns a duration that at least the fraction q of all durations does
// not exceed. It returns 0 for an empty set.
func (d *Distribution) Quantile(q float64) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.values) == 0 {
		return 0
	}
	slices.Sort(d.values)
	i := int(q * float64(len(d.values)))
	return d.values[min(i, len(d.values)-1)]
}
