// Package engine is the storage engine of a stand-in database instance: its log
// and the data that it has applied, under one mutex.
package engine

import (
	"strconv"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/standin/dblog"
	"wasabislip.example/wasabislip/internal/standin/entry"
	"wasabislip.example/wasabislip/internal/standin/inject"
	"wasabislip.example/wasabislip/internal/standin/pgerr"
	"wasabislip.example/wasabislip/internal/standin/store"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Engine holds the log, the data and the role of one instance. A replica applies
// received entries once they are as old as the apply lag. It is safe for
// concurrent use.
type Engine struct {
	faults *inject.Faults

	mu      sync.Mutex
	log     *dblog.Log
	data    *store.Store
	applied logpos.Position
	// changed is closed and replaced when the log or the role changes.
	changed chan struct{}
}

// New returns an engine without a role and with an empty log.
func New(faults *inject.Faults) *Engine {
	return &Engine{
		faults:  faults,
		log:     dblog.New(),
		data:    store.New(),
		changed: make(chan struct{}),
	}
}

// Status returns the columns fence, term, role, received, applied and
// end_of_terms.
func (e *Engine) Status() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyDue(e.log.Role == dblog.Primary)
	return []string{
		strconv.FormatUint(e.log.Fence, 10),
		strconv.FormatUint(e.log.Term, 10),
		e.log.Role,
		e.log.Received().String(),
		e.applied.String(),
		e.log.FormatTermEnds(),
	}
}

// CheckTerm returns the error LT001 when term is below the fencing token.
func (e *Engine) CheckTerm(term uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.log.CheckTerm(term)
}

// IsPrimary reports whether the instance is a primary.
func (e *Engine) IsPrimary() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.log.Role == dblog.Primary
}

// RaiseFence raises the fencing token to term: statements of earlier terms are refused
// from then on.
func (e *Engine) RaiseFence(term uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyDue(e.log.Role == dblog.Primary)
	err := e.log.RaiseFence(term)
	e.notify()
	return err
}

// Promote makes the instance the primary of term and applies all entries that it
// received.
func (e *Engine) Promote(term uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.log.Promote(term, time.Now()); err != nil {
		return err
	}
	e.applyDue(true)
	e.notify()
	return nil
}

// Follow makes the instance a replica in term.
func (e *Engine) Follow(term uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyDue(e.log.Role == dblog.Primary)
	err := e.log.Follow(term)
	e.notify()
	return err
}

// Rewind discards the entries that the primary of term does not have, and returns
// how many there were. The ends are the last positions of the terms in the
// primary's log.
func (e *Engine) Rewind(term uint64, ends []logpos.Position) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.log.Role != dblog.Replica || e.log.Term != term {
		return 0, pgerr.New(pgerr.NotInRole, "the instance does not follow in this term; ask it to follow again")
	}
	applied := e.applied.Offset
	dropped := e.log.Rewind(ends)
	if e.log.Received().Offset < applied {
		e.rebuild()
	}
	return dropped, nil
}

// rebuild builds the data anew from the whole log.
func (e *Engine) rebuild() {
	e.data = store.New()
	e.applied = logpos.Position{}
	e.applyDue(true)
}

// Receive adds entries from the primary of term to the log.
func (e *Engine) Receive(term uint64, entries []entry.Entry) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, next := range entries {
		if err := e.log.Receive(term, next, time.Now()); err != nil {
			return err
		}
	}
	e.notify()
	return nil
}

// Received returns the position of the last entry in the log.
func (e *Engine) Received() logpos.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.log.Received()
}

// CheckWritable returns an error unless the instance accepts writes: it must be a
// primary and, for a connection bound to a term, the primary of that term.
func (e *Engine) CheckWritable(bound bool, term uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkWritableLocked(bound, term)
}

func (e *Engine) checkWritableLocked(bound bool, term uint64) error {
	if bound {
		if err := e.log.CheckTerm(term); err != nil {
			return err
		}
	}
	if e.log.Role != dblog.Primary || (bound && e.log.Term != term) {
		return pgerr.New(pgerr.ReadOnly, "cannot write in a read-only transaction; write to the primary of this term")
	}
	return nil
}

// Commit adds the writes of a transaction to the log and applies them, if the
// instance accepts writes.
func (e *Engine) Commit(bound bool, term uint64, writes entry.Entry) (logpos.Position, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkWritableLocked(bound, term); err != nil {
		return logpos.Position{}, err
	}
	p, err := e.log.Append(writes, time.Now())
	if err != nil {
		return p, err
	}
	e.applyDue(true)
	e.notify()
	return p, nil
}

// EntriesAfter returns at most limit entries after offset from the log of the
// primary of term, and a channel that is closed once the log or the role changes.
func (e *Engine) EntriesAfter(term, offset uint64, limit int) ([]entry.Entry, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.log.Role != dblog.Primary || e.log.Term != term {
		return nil, nil, pgerr.New(pgerr.NotInRole, "the instance is not the primary of this term; follow the present primary")
	}
	return e.log.EntriesAfter(offset, limit), e.changed, nil
}

// Get returns the applied value of key.
func (e *Engine) Get(key string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyDue(e.log.Role == dblog.Primary)
	return e.data.Get(key)
}

// Values returns the applied values of keys, all as of one moment. Absent keys have
// an empty value.
func (e *Engine) Values(keys []string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyDue(e.log.Role == dblog.Primary)
	values := make([]string, 0, len(keys))
	for _, key := range keys {
		v, _ := e.data.Get(key)
		values = append(values, v)
	}
	return values
}

// Elements returns the applied elements of list.
func (e *Engine) Elements(list string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyDue(e.log.Role == dblog.Primary)
	return e.data.Elements(list)
}

// applyDue applies the entries that are as old as the apply lag, or all.
func (e *Engine) applyDue(all bool) {
	cutoff := time.Now().Add(-e.faults.Delay(inject.ApplyLag))
	for {
		next, received, ok := e.log.At(e.applied.Offset + 1)
		if !ok || (!all && received.After(cutoff)) {
			return
		}
		e.data.Apply(next)
		e.applied = next.Position
	}
}

func (e *Engine) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}
