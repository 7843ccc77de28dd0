// Package vouch lets a lease end soon after its host is lost, long before it runs
// out. The lease's row names two processes of other hosts as witnesses. The host
// uses the lease only while it has a recent promise of one of them, or has written
// the row lately. A witness that has given no promise for that time, and has seen no
// write, may end the lease if the other witness agrees.
package vouch

import (
	"math"
	"slices"
	"time"
)

// driftShare is the share of the window by which a witness waits longer: the clock of
// the lease's host may run slow.
const driftShare = 1.0 / 50

// Holder tells whether the host of a lease may use it. It is not safe for concurrent
// use.
type Holder struct {
	window time.Duration
	// sets are the witnesses that the row may name: first those of the last write
	// that is known to have taken effect, then those of writes of unknown outcome.
	sets [][]string
	// writtenAt is the sending of the last write that is known to have taken
	// effect.
	writtenAt time.Time
	// promisedAt is the sending of the last request that a process answered with
	// a promise.
	promisedAt map[string]time.Time
}

// NewHolder returns the state of a lease that was acquired without witnesses, by a
// write sent at sent. A promise counts for the length of window.
func NewHolder(sent time.Time, window time.Duration) *Holder {
	return &Holder{
		window:     window,
		sets:       [][]string{nil},
		writtenAt:  sent,
		promisedAt: make(map[string]time.Time),
	}
}

// RecordAttempt records that a write of the row is sent which names set.
func (h *Holder) RecordAttempt(set []string) {
	if !slices.ContainsFunc(h.sets, func(s []string) bool { return slices.Equal(s, set) }) {
		h.sets = append(h.sets, set)
	}
}

// RecordWrite records that the write of set that was sent at sent took effect.
func (h *Holder) RecordWrite(sent time.Time, set []string) {
	h.sets = [][]string{set}
	h.writtenAt = sent
}

// RecordRead records that the row names set since an attempt whose answer was lost.
func (h *Holder) RecordRead(set []string) {
	h.sets = [][]string{set}
}

// RecordPromise records that a process promised in answer to a request sent at sent.
func (h *Holder) RecordPromise(process string, sent time.Time) {
	if sent.After(h.promisedAt[process]) {
		h.promisedAt[process] = sent
	}
}

// Witnesses returns the witnesses of the last write that is known to have taken
// effect.
func (h *Holder) Witnesses() []string {
	return h.sets[0]
}

// Promised reports whether a process has promised within the window.
func (h *Holder) Promised(process string, now time.Time) bool {
	return now.Before(h.promisedAt[process].Add(h.window))
}

// Valid reports whether no witness can have ended the lease. Check it at every use.
func (h *Holder) Valid(now time.Time) bool {
	if now.Before(h.writtenAt.Add(h.window)) {
		return true
	}
	named := false
	for _, set := range h.sets {
		for _, process := range set {
			named = true
			if h.inEverySet(process) && h.Promised(process, now) {
				return true
			}
		}
	}
	return !named
}

// inEverySet reports whether the row names process, whichever write took effect.
func (h *Holder) inEverySet(process string) bool {
	return !slices.ContainsFunc(h.sets, func(s []string) bool {
		return len(s) > 0 && !slices.Contains(s, process)
	})
}

// Witness is what one process knows of a lease that it may be a witness of. It is not
// safe for concurrent use.
type Witness struct {
	window time.Duration
	// version is the newest version of the row that is known, and since is when
	// the row first was known to have it.
	version    uint64
	since      time.Time
	promisedAt time.Time
	// refused is the newest version of the row at which the lease may be ended:
	// no promise is given to a host that knows of no newer one.
	refused uint64
	// endedAt is when the lease was first known to have ended.
	endedAt time.Time
}

// New returns the state of a lease that nothing is known of.
func New(window time.Duration) *Witness {
	return &Witness{
		window: window + time.Duration(driftShare*float64(window)),
	}
}

// Promise answers the lease's host, which knows that the row has reached version:
// whether this process lets the lease go on.
func (w *Witness) Promise(now time.Time, version uint64) bool {
	if version <= w.refused {
		return false
	}
	w.promisedAt = now
	if version > w.version {
		w.version = version
		w.since = now
	}
	return true
}

// Silent reports whether no promise of this process counts any more.
func (w *Witness) Silent(now time.Time) bool {
	return w.promisedAt.IsZero() || now.Sub(w.promisedAt) > w.window
}

// Observe records a read of the row that was sent at sent and answered at now. It
// reports whether no write of the row counts any more.
func (w *Witness) Observe(sent, now time.Time, version uint64) bool {
	if version != w.version || w.since.IsZero() {
		w.version = version
		w.since = now
		return false
	}
	return sent.Sub(w.since) > w.window
}

// Refuse lets the lease end at a version of the row: no promise is given any more
// unless the row is written again. It fails while a promise counts.
func (w *Witness) Refuse(now time.Time, version uint64) bool {
	if !w.Silent(now) {
		return false
	}
	w.refused = max(w.refused, version)
	return true
}

// RecordEnd records that the lease was found to have ended: no promise is given any
// more.
func (w *Witness) RecordEnd(now time.Time) {
	w.refused = math.MaxUint64
	if w.endedAt.IsZero() {
		w.endedAt = now
	}
}

// EndedFor returns for how long the lease is known to have ended, 0 if it is not.
func (w *Witness) EndedFor(now time.Time) time.Duration {
	if w.endedAt.IsZero() {
		return 0
	}
	return max(now.Sub(w.endedAt), 1)
}

// Forgettable reports whether the state may be dropped when the row, at version, does
// not name this process.
func (w *Witness) Forgettable(now time.Time, version uint64) bool {
	return w.Silent(now) && version > w.refused
}
