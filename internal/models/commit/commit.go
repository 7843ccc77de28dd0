// Package commit remembers the times at which the latest commits of a database
// were confirmed.
package commit

import (
	"sort"
	"sync"
	"time"
)

// maxEntries is how many commits are remembered.
const maxEntries = 1024

type entry struct {
	offset uint64
	at     time.Time
}

// Times holds the times of the latest commits, sorted by their offset in the
// log. The zero value is empty. It is safe for concurrent use.
type Times struct {
	mu      sync.Mutex
	entries []entry
}

// Record records that the commit at offset was confirmed at the given time.
// Commits may be recorded out of order. One that is older than all others is
// dropped if there are maxEntries already.
func (t *Times) Record(offset uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.find(offset)
	if i == 0 && len(t.entries) == maxEntries {
		return
	}
	t.entries = append(t.entries, entry{})
	copy(t.entries[i+1:], t.entries[i:])
	t.entries[i] = entry{
		offset: offset,
		at:     at,
	}
	if len(t.entries) > maxEntries {
		t.entries = t.entries[1:]
	}
}

// At returns when the first recorded commit at or after offset was confirmed, and
// false if there is none.
func (t *Times) At(offset uint64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.find(offset)
	if i == len(t.entries) {
		return time.Time{}, false
	}
	return t.entries[i].at, true
}

// find returns the index of the first entry at or after offset. The caller holds
// mu.
func (t *Times) find(offset uint64) int {
	return sort.Search(len(t.entries), func(i int) bool { return t.entries[i].offset >= offset })
}
