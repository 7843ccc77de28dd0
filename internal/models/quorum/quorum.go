// Package quorum decides from the reports of a database's instances what a
// majority of them holds.
package quorum

import (
	"slices"

	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Quorum holds the reports of a database's instances in one term. Instances
// that did not answer have no report.
type Quorum struct {
	// Size is the number of instances of the database.
	Size int
	// Term is the coordinator's term.
	Term uint64
	// Reports holds at most one report per instance.
	Reports []status.Status
}

// Majority returns the number of instances that form a majority.
func (q *Quorum) Majority() int {
	return q.Size/2 + 1
}

// Fenced reports whether a majority of the instances is fenced at the term. If
// so, no later term can have begun before the first report was requested.
func (q *Quorum) Fenced() bool {
	n := 0
	for i := range q.Reports {
		if q.Reports[i].Fence == q.Term {
			n++
		}
	}
	return n >= q.Majority()
}

// Superseded reports whether an instance is fenced at a later term, so that the
// coordinator of this term has been replaced.
func (q *Quorum) Superseded() bool {
	for i := range q.Reports {
		if q.Reports[i].Fence > q.Term {
			return true
		}
	}
	return false
}

// Primary returns the report of the term's primary, or nil if there is none.
func (q *Quorum) Primary() *status.Status {
	for i := range q.Reports {
		r := &q.Reports[i]
		if r.Role == status.Primary && r.Term == q.Term && r.Fence == q.Term {
			return r
		}
	}
	return nil
}

// Confirmed returns the last log position of the term that a majority holds,
// the primary included, or the zero position if there is none. Only entries of
// the term itself count, as in Raft: if the last entry of an instance's log was
// written in the term, the log equals the primary's up to that entry.
//
// The reports may have been made at different times, since an instance keeps
// the entries of a term until it is fenced at a later one.
func (q *Quorum) Confirmed() logpos.Position {
	primary := q.Primary()
	if primary == nil || primary.Received.Term != q.Term {
		return logpos.Position{}
	}
	var buf [8]uint64 // no allocation for up to 8 instances
	offsets := buf[:0]
	for i := range q.Reports {
		r := &q.Reports[i]
		if r.Fence == q.Term && r.Received.Term == q.Term {
			offsets = append(offsets, min(r.Received.Offset, primary.Received.Offset))
		}
	}
	if len(offsets) < q.Majority() {
		return logpos.Position{}
	}
	slices.Sort(offsets)
	return logpos.Position{
		Term:   q.Term,
		Offset: offsets[len(offsets)-q.Majority()],
	}
}

// ChoosePrimary returns the index in Reports of the instance to promote: the one
// with the newest log among the fenced instances. Among equal logs an instance
// that is not drained wins, then the former primary. It returns -1 unless a
// majority is fenced at the term.
func (q *Quorum) ChoosePrimary(former string, drained func(instance string) bool) int {
	if !q.Fenced() {
		return -1
	}
	best := -1
	for i := range q.Reports {
		if q.Reports[i].Fence != q.Term {
			continue
		}
		if best < 0 || q.better(i, best, former, drained) {
			best = i
		}
	}
	return best
}

// better reports whether the instance at i is to be promoted rather than the one
// at j.
func (q *Quorum) better(i, j int, former string, drained func(string) bool) bool {
	a, b := &q.Reports[i], &q.Reports[j]
	if a.Received != b.Received {
		return a.Received.Newer(b.Received)
	}
	if da, db := drained(a.Instance), drained(b.Instance); da != db {
		return db
	}
	return a.Instance == former
}

// HasApplied reports whether reads on the replica r see the log position p.
// The replica must be fenced and follow in the term, its log must be a prefix of
// the primary's log, and it must have applied the offset that p has in the
// primary's log.
func (q *Quorum) HasApplied(primary, r *status.Status, p logpos.Position) bool {
	if r.Fence != q.Term || r.Term != q.Term || primary == nil {
		return false
	}
	if !primary.Contains(r.Received) {
		return false
	}
	offset, known := primary.OffsetFor(p)
	return known && r.Applied.Offset >= offset
}
