// Package logpos holds positions in a database's replicated log.
package logpos

import (
	"fmt"
	"strconv"
	"strings"
)

// Position identifies an entry in the log of one database: the entry at index
// Offset, written in Term. The zero value precedes every entry.
//
// Offsets continue to grow from term to term. A promotion may discard entries
// of a former term, so the same offset can mean different entries in two terms.
// To compare positions of different terms, use package status, which holds the
// ends of former terms.
type Position struct {
	Term   uint64
	Offset uint64
}

// Parse reads a position as String writes it.
func Parse(s string) (Position, error) {
	term, offset, found := strings.Cut(s, "/")
	if !found {
		return Position{}, fmt.Errorf("position %q: want term/offset, as 3/1024", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: term is not a number: %w", s, err)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: offset is not a number: %w", s, err)
	}
	return Position{
		Term:   t,
		Offset: o,
	}, nil
}

// String returns the position as term/offset in decimal.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// IsZero reports whether p precedes every entry.
func (p Position) IsZero() bool {
	return p == Position{}
}

// Newer reports whether a log that ends at p is preferred over one that ends at
// q in the choice of a primary: the later term wins, then the longer log.
func (p Position) Newer(q Position) bool {
	if p.Term != q.Term {
		return p.Term > q.Term
	}
	return p.Offset > q.Offset
}
