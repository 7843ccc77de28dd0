// Package marks records log positions of a primary with the times at which they
// were requested. A replica that has applied the log up to such a position has
// applied every commit that was acknowledged before the request.
package marks

import (
	"time"

	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// maxEntries is the number of positions kept.
	maxEntries = 40
	// minSpacing is the least time between two positions kept. With maxEntries
	// it covers 4 seconds; operators declare freshness bounds of a few seconds.
	minSpacing = 100 * time.Millisecond
)

// entry is a position and the time at which it was requested.
type entry struct {
	askedAt  time.Duration
	position logpos.Position
}

// Watermarks holds the newest positions, in the order of their requests. It is
// not safe for concurrent use.
type Watermarks struct {
	entries []entry
}

// Add records that the primary answered a request sent at asked with position
// p. A commit that was acknowledged before asked is at or before p. A result of
// an earlier request, or one behind the newest position, is ignored.
func (w *Watermarks) Add(asked time.Duration, p logpos.Position) {
	n := len(w.entries)
	if n > 0 && (asked <= w.entries[n-1].askedAt || w.entries[n-1].position.Newer(p)) {
		return
	}
	e := entry{
		askedAt:  asked,
		position: p,
	}
	if n > 1 && w.entries[n-1].askedAt-w.entries[n-2].askedAt < minSpacing {
		w.entries[n-1] = e
		return
	}
	if n == maxEntries {
		copy(w.entries, w.entries[1:])
		w.entries[n-1] = e
		return
	}
	w.entries = append(w.entries, e)
}

// MinPosition returns the lowest recorded position that covers all commits
// acknowledged before since. It returns false if no position was requested at
// or after since.
func (w *Watermarks) MinPosition(since time.Duration) (logpos.Position, bool) {
	for _, e := range w.entries {
		if e.askedAt >= since {
			return e.position, true
		}
	}
	return logpos.Position{}, false
}

// Newest returns the position that was requested last and when; ok is false if
// there is none.
func (w *Watermarks) Newest() (asked time.Duration, p logpos.Position, ok bool) {
	n := len(w.entries)
	if n == 0 {
		return 0, logpos.Position{}, false
	}
	return w.entries[n-1].askedAt, w.entries[n-1].position, true
}
