// Package recent remembers the log position of the last write of each named
// session.
package recent

import (
	"container/list"
	"sync"

	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Limit is how many sessions are remembered per database.
const Limit = 16384

type entry struct {
	session string
	last    logpos.Position
}

// Writes maps session names to the log positions of their last writes, which the
// sessions' reads have to see. It evicts the least recently used session. Evicted sessions, and those that wrote before
// the map was created, share one minimum position: one at or after all their writes.
// It is safe for concurrent use.
type Writes struct {
	mu              sync.Mutex
	baseMinPosition logpos.Position
	// order holds the entries, the most recently used one first.
	order list.List
	byKey map[string]*list.Element
}

// New returns an empty map. Sessions that are not in it have to see minPosition.
func New(minPosition logpos.Position) *Writes {
	return &Writes{
		baseMinPosition: minPosition,
		byKey:           make(map[string]*list.Element),
	}
}

// Record records that session wrote at p. An earlier position is ignored.
func (w *Writes) Record(session string, p logpos.Position) {
	if session == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.byKey[session]; ok {
		w.order.MoveToFront(e)
		v := e.Value.(*entry) //nolint:forcetypeassert // the list holds nothing else
		if p.Newer(v.last) {
			v.last = p
		}
		return
	}
	w.byKey[session] = w.order.PushFront(&entry{
		session: session,
		last:    p,
	})
	w.evict()
}

// evict removes the least recently used session if there are too many, and raises
// the minimum position of sessions that are not in the map to its position. The caller holds mu.
func (w *Writes) evict() {
	if w.order.Len() <= Limit {
		return
	}
	e := w.order.Back()
	v := e.Value.(*entry) //nolint:forcetypeassert // the list holds nothing else
	if v.last.Newer(w.baseMinPosition) {
		w.baseMinPosition = v.last
	}
	delete(w.byKey, v.session)
	w.order.Remove(e)
}

// BaseMinPosition returns the minimum position of sessions that are not in the map:
// the one given to New, raised by evictions.
func (w *Writes) BaseMinPosition() logpos.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.baseMinPosition
}

// MinPosition returns the position that reads of session have to see.
func (w *Writes) MinPosition(session string) logpos.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.byKey[session]; ok {
		v := e.Value.(*entry) //nolint:forcetypeassert // the list holds nothing else
		return v.last
	}
	return w.baseMinPosition
}
