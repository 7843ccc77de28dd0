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

// Writes maps session names to the log positions of their last writes. It evicts
// the least recently used session. Evicted sessions, and those that wrote before
// the map was created, share one floor: a position at or after all their writes.
// It is safe for concurrent use.
type Writes struct {
	mu    sync.Mutex
	floor logpos.Position
	// order holds the entries, the most recently used one first.
	order list.List
	byKey map[string]*list.Element
}

// New returns an empty map with the given floor.
func New(floor logpos.Position) *Writes {
	return &Writes{
		floor: floor,
		byKey: make(map[string]*list.Element),
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
// the floor to its position. The caller holds mu.
func (w *Writes) evict() {
	if w.order.Len() <= Limit {
		return
	}
	e := w.order.Back()
	v := e.Value.(*entry) //nolint:forcetypeassert // the list holds nothing else
	if v.last.Newer(w.floor) {
		w.floor = v.last
	}
	delete(w.byKey, v.session)
	w.order.Remove(e)
}

// BaseFloor returns the floor of sessions that are not in the map: the one given to
// New, raised by evictions.
func (w *Writes) BaseFloor() logpos.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.floor
}

// Floor returns the position that reads of session have to see.
func (w *Writes) Floor(session string) logpos.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e, ok := w.byKey[session]; ok {
		v := e.Value.(*entry) //nolint:forcetypeassert // the list holds nothing else
		return v.last
	}
	return w.floor
}
