// Package count counts requests by workspace in windows of true time. Counting takes
// no lock that all statements share.
package count

import (
	"sync"
	"sync/atomic"
	"time"
)

// kept is the number of windows that are kept.
const kept = 16

// Counter counts the requests that this host sends to instances. A nil Counter counts
// nothing. It is safe for concurrent use.
type Counter struct {
	window  time.Duration
	anchor  atomic.Pointer[anchor]
	windows [kept]atomic.Pointer[bucket]
}

// anchor maps the time of the Go runtime's clock to the true time.
type anchor struct {
	local time.Time
	exact time.Time
}

// bucket is the counts of one window.
type bucket struct {
	number uint64
	// requests are the counts by workspace, of the type *tally.
	requests sync.Map
}

// tally is the count of one workspace in one window.
type tally struct {
	ran     atomic.Int64
	running atomic.Int64
}

// Request is one request under way. A nil Request is not counted.
type Request struct {
	tally *tally
}

// New returns a counter of windows of this length.
func New(window time.Duration) *Counter {
	return &Counter{
		window: window,
	}
}

// SetTime tells the true time. Before the first call nothing is counted. Repeated
// calls keep it exact, also after a suspension.
func (c *Counter) SetTime(t time.Time) {
	c.anchor.Store(&anchor{
		local: time.Now(),
		exact: t,
	})
}

// Begin counts a request of a workspace that is being sent to an instance.
func (c *Counter) Begin(workspace string) *Request {
	if c == nil {
		return nil
	}
	a := c.anchor.Load()
	if a == nil {
		return nil
	}
	now := a.exact.Add(time.Since(a.local))
	b := c.bucket(uint64(max(0, now.UnixNano()) / int64(c.window)))
	if b == nil {
		return nil
	}
	v, ok := b.requests.Load(workspace)
	if !ok {
		v, _ = b.requests.LoadOrStore(workspace, &tally{})
	}
	t := v.(*tally)
	t.running.Add(1)
	return &Request{
		tally: t,
	}
}

// bucket returns the bucket of a window, which it creates; nil if the window is older
// than those that are kept.
func (c *Counter) bucket(number uint64) *bucket {
	place := &c.windows[number%kept]
	for {
		b := place.Load()
		if b != nil && b.number == number {
			return b
		}
		if b != nil && b.number > number {
			return nil
		}
		place.CompareAndSwap(b, &bucket{
			number: number,
		})
	}
}

// Ran records that the instance ran the request, or may have run it.
func (r *Request) Ran() {
	if r == nil {
		return
	}
	// In this order, and read in the other, so that no reader counts the request twice.
	// What a reader misses it finds the next time.
	r.tally.running.Add(-1)
	r.tally.ran.Add(1)
}

// Refused records that the instance did not run the request.
func (r *Request) Refused() {
	if r == nil {
		return
	}
	r.tally.running.Add(-1)
}

// Window returns the counts of a window by workspace. Requests without an answer
// count only if all is set: they may turn out not to have run, and counts that were
// told to other hosts can't be lowered.
func (c *Counter) Window(number uint64, all bool) map[string]uint64 {
	counts := map[string]uint64{}
	b := c.windows[number%kept].Load()
	if b == nil || b.number != number {
		return counts
	}
	b.requests.Range(func(workspace, v any) bool {
		t := v.(*tally)
		n := t.ran.Load()
		if all {
			n += t.running.Load()
		}
		if n > 0 {
			counts[workspace.(string)] = uint64(n)
		}
		return true
	})
	return counts
}
