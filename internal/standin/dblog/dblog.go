// Package dblog holds the log of one database instance, with the instance's
// term, fencing token and role.
package dblog

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"wasabislip.example/wasabislip/internal/standin/entry"
	"wasabislip.example/wasabislip/internal/standin/pgerr"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Roles of an instance.
const (
	Primary = "primary"
	Replica = "replica"
	None    = "none"
)

// Log is the log of one instance. Each term starts with an entry without
// writes, so that the terms can be told from the entries alone. It is not safe
// for concurrent use.
type Log struct {
	// Fence is the fencing token: the term below which statements are refused.
	Fence uint64
	// Term is the term in which the instance took its role; 0 before the first.
	Term uint64
	// Role is Primary, Replica or None.
	Role string

	entries []entry.Entry
	// receivedAt holds for each entry when it was received.
	receivedAt []time.Time
	// termEnds holds the last position of each term in the log.
	termEnds []logpos.Position
}

// New returns an empty log without a role.
func New() *Log {
	return &Log{
		Role: None,
	}
}

// Received returns the position of the last entry.
func (l *Log) Received() logpos.Position {
	if len(l.entries) == 0 {
		return logpos.Position{}
	}
	return l.entries[len(l.entries)-1].Position
}

// TermEnds returns the last position of each term in the log, including the
// current term.
func (l *Log) TermEnds() []logpos.Position {
	return l.termEnds
}

// FormatTermEnds returns the last offset of each ended term as term:offset,
// separated by commas.
func (l *Log) FormatTermEnds() string {
	var parts []string
	for i, end := range l.termEnds {
		if i == len(l.termEnds)-1 {
			break
		}
		parts = append(parts, fmt.Sprintf("%d:%d", end.Term, end.Offset))
	}
	return strings.Join(parts, ",")
}

// ParseTermEnds parses what FormatTermEnds returns.
func ParseTermEnds(s string) ([]logpos.Position, error) {
	if s == "" {
		return nil, nil
	}
	var ends []logpos.Position
	for part := range strings.SplitSeq(s, ",") {
		p, err := logpos.Parse(strings.Replace(part, ":", "/", 1))
		if err != nil {
			return nil, err
		}
		ends = append(ends, p)
	}
	return ends, nil
}

// CheckTerm returns the error LT001 when term is below the fencing token.
func (l *Log) CheckTerm(term uint64) error {
	if term >= l.Fence {
		return nil
	}
	return pgerr.New(pgerr.Superseded,
		"term "+strconv.FormatUint(term, 10)+" is superseded by term "+strconv.FormatUint(l.Fence, 10)+
			"; connect with the present term")
}

// RaiseFence raises the fencing token to term. A role of an earlier term ends.
func (l *Log) RaiseFence(term uint64) error {
	if err := l.CheckTerm(term); err != nil {
		return err
	}
	l.Fence = term
	if l.Term < term {
		l.Role = None
	}
	return nil
}

// Promote makes the instance the primary of term, which must be its fencing
// token.
func (l *Log) Promote(term uint64, now time.Time) error {
	if err := l.CheckTerm(term); err != nil {
		return err
	}
	if l.Fence != term || term == 0 {
		return pgerr.New(pgerr.NotInRole, "the fence is not at this term; fence the instance at it first")
	}
	if l.Role == Primary && l.Term == term {
		return nil
	}
	if l.Received().Term >= term {
		return pgerr.New(pgerr.NotInRole, "the log holds entries of another primary of this term; take a later term")
	}
	l.Role = Primary
	l.Term = term
	l.add(entry.Entry{
		Position: logpos.Position{
			Term:   term,
			Offset: l.Received().Offset + 1,
		},
	}, now)
	return nil
}

// Follow makes the instance a replica in term. It leaves the log as it is;
// Rewind brings it in line with the primary's.
func (l *Log) Follow(term uint64) error {
	if err := l.RaiseFence(term); err != nil {
		return err
	}
	if l.Role == Primary && l.Term == term {
		return pgerr.New(pgerr.NotInRole, "the instance is the primary of this term; take a later term")
	}
	l.Role = Replica
	l.Term = term
	return nil
}

// Append adds a transaction's entry on the primary and returns its position.
func (l *Log) Append(e entry.Entry, now time.Time) (logpos.Position, error) {
	if l.Role != Primary {
		return logpos.Position{}, pgerr.New(pgerr.ReadOnly, "the instance is not the primary; write to the primary")
	}
	e.Position = logpos.Position{
		Term:   l.Term,
		Offset: l.Received().Offset + 1,
	}
	l.add(e, now)
	return e.Position, nil
}

// Receive adds an entry that the primary of term sent.
func (l *Log) Receive(term uint64, e entry.Entry, now time.Time) error {
	if l.Role != Replica || l.Term != term {
		return pgerr.New(pgerr.NotInRole, "the instance does not follow in this term; ask it to follow again")
	}
	if e.Position.Offset != l.Received().Offset+1 {
		return pgerr.New(pgerr.NotInRole, "the entry does not follow the log's end; rewind first")
	}
	l.add(e, now)
	return nil
}

// Rewind discards the entries that the primary does not hold, as pg_rewind does.
// primary holds the primary's last position of each term. It returns how many
// entries were discarded.
func (l *Log) Rewind(primary []logpos.Position) int {
	common := l.commonOffset(primary)
	n := len(l.entries) - int(common)
	if n <= 0 {
		return 0
	}
	l.entries = l.entries[:common:common]
	l.receivedAt = l.receivedAt[:common:common]
	l.rebuildTermEnds()
	return n
}

// commonOffset returns the offset up to which both logs are equal. Only one
// primary writes in a term, so an equal term and offset mean equal logs up to
// there.
func (l *Log) commonOffset(primary []logpos.Position) uint64 {
	for i := len(l.termEnds) - 1; i >= 0; i-- {
		for _, p := range primary {
			if p.Term == l.termEnds[i].Term {
				return min(p.Offset, l.termEnds[i].Offset)
			}
		}
	}
	return 0
}

// EntriesAfter returns at most n entries after offset.
func (l *Log) EntriesAfter(offset uint64, n int) []entry.Entry {
	if offset >= uint64(len(l.entries)) {
		return nil
	}
	rest := l.entries[offset:]
	return append([]entry.Entry(nil), rest[:min(n, len(rest))]...)
}

// At returns the entry at offset and when it was received.
func (l *Log) At(offset uint64) (entry.Entry, time.Time, bool) {
	if offset == 0 || offset > uint64(len(l.entries)) {
		return entry.Entry{}, time.Time{}, false
	}
	return l.entries[offset-1], l.receivedAt[offset-1], true
}

func (l *Log) add(e entry.Entry, now time.Time) {
	l.entries = append(l.entries, e)
	l.receivedAt = append(l.receivedAt, now)
	l.recordTermEnd(e.Position)
}

// recordTermEnd makes p the last position of its term.
func (l *Log) recordTermEnd(p logpos.Position) {
	last := len(l.termEnds) - 1
	if last >= 0 && l.termEnds[last].Term == p.Term {
		l.termEnds[last] = p
		return
	}
	l.termEnds = append(l.termEnds, p)
}

func (l *Log) rebuildTermEnds() {
	l.termEnds = nil
	for _, e := range l.entries {
		l.recordTermEnd(e.Position)
	}
}
