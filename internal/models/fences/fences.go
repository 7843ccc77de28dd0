// Package fences remembers when a primary was asked for its position, so that
// a replica that reached it is known to hold what was committed before.
package fences

import (
	"time"

	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// size is how many positions are kept.
	maxEntries = 40
	// spacing is the least time between two positions kept; with size it
	// covers the freshness bounds that operators declare, a few seconds.
	minSpacing = 100 * time.Millisecond
)

type entry struct {
	askedAt  time.Duration
	position logpos.Position
}

// Fences are the newest positions, in the order in which they were asked for.
// It is not safe for concurrent use.
type Fences struct {
	entries []entry
}

// Add notes that a primary which was asked at asked answered with position p.
// A commit that was acknowledged before asked is at or before p.
func (f *Fences) Add(asked time.Duration, p logpos.Position) {
	n := len(f.entries)
	if n > 0 && (asked <= f.entries[n-1].askedAt || f.entries[n-1].position.Newer(p)) {
		return
	}
	e := entry{
		askedAt:  asked,
		position: p,
	}
	if n > 1 && f.entries[n-1].askedAt-f.entries[n-2].askedAt < minSpacing {
		f.entries[n-1] = e
		return
	}
	if n == maxEntries {
		copy(f.entries, f.entries[1:])
		f.entries[n-1] = e
		return
	}
	f.entries = append(f.entries, e)
}

// Floor returns the lowest position known that holds all commits which were
// acknowledged before since; false when none was asked for since.
func (f *Fences) Floor(since time.Duration) (logpos.Position, bool) {
	for _, e := range f.entries {
		if e.askedAt >= since {
			return e.position, true
		}
	}
	return logpos.Position{}, false
}

// Newest returns the position that was asked for last.
func (f *Fences) Newest() (asked time.Duration, p logpos.Position, ok bool) {
	n := len(f.entries)
	if n == 0 {
		return 0, logpos.Position{}, false
	}
	return f.entries[n-1].askedAt, f.entries[n-1].position, true
}
