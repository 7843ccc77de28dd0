// Package status holds the status that a database instance reports.
package status

import (
	"fmt"
	"strconv"
	"strings"

	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Roles of an instance.
const (
	Primary = "primary"
	Replica = "replica"
	None    = "none"
)

// columns is the number of columns of ledger_status.
const columns = 6

// Status is one report of an instance. The zero value stands for an instance that
// has not reported.
type Status struct {
	// Instance names the instance.
	Instance string
	// Fence is the fencing token: the term below which the instance refuses
	// statements.
	Fence uint64
	// Term is the term in which the instance has its role.
	Term uint64
	// Role is Primary, Replica or None.
	Role string
	// Received is the end of its durable log.
	Received logpos.Position
	// Applied is the last log position that its reads see.
	Applied logpos.Position
	// TermEnds are the last log positions of the past terms that it knows.
	TermEnds []logpos.Position
}

// Parse parses a row of ledger_status: fence, term, role, received, applied and
// the ends of past terms, all as text.
func Parse(instance string, row [][]byte) (Status, error) {
	if len(row) != columns {
		return Status{}, fmt.Errorf("status of %s has %d columns; want %d", instance, len(row), columns)
	}
	s := Status{
		Instance: instance,
		Role:     string(row[2]),
	}
	var err error
	if s.Fence, err = strconv.ParseUint(string(row[0]), 10, 64); err != nil {
		return Status{}, fmt.Errorf("status of %s: fence: %w", instance, err)
	}
	if s.Term, err = strconv.ParseUint(string(row[1]), 10, 64); err != nil {
		return Status{}, fmt.Errorf("status of %s: term: %w", instance, err)
	}
	if s.Received, err = logpos.Parse(string(row[3])); err != nil {
		return Status{}, fmt.Errorf("status of %s: received: %w", instance, err)
	}
	if s.Applied, err = logpos.Parse(string(row[4])); err != nil {
		return Status{}, fmt.Errorf("status of %s: applied: %w", instance, err)
	}
	s.TermEnds, err = parseEnds(string(row[5]))
	return s, err
}

// parseEnds parses a comma-separated list of term:offset.
func parseEnds(text string) ([]logpos.Position, error) {
	var ends []logpos.Position
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		p, err := logpos.Parse(strings.Replace(part, ":", "/", 1))
		if err != nil {
			return nil, fmt.Errorf("end of term: %w", err)
		}
		ends = append(ends, p)
	}
	return ends, nil
}

// OffsetFor returns the offset in s's log that covers the position p: p's own, or
// the end of p's term if the entries after that end were discarded. It returns
// false if s does not know p's term yet.
func (s *Status) OffsetFor(p logpos.Position) (uint64, bool) {
	if p.IsZero() || p.Term == s.Term {
		return p.Offset, true
	}
	if p.Term > s.Term {
		return 0, false
	}
	var previous logpos.Position // the end of the last term before p's
	for _, e := range s.TermEnds {
		if e.Term == p.Term {
			return min(p.Offset, e.Offset), true
		}
		if e.Term < p.Term && e.Term >= previous.Term {
			previous = e
		}
	}
	return min(p.Offset, previous.Offset), true
}

// Contains reports whether s's log contains the entry at p.
func (s *Status) Contains(p logpos.Position) bool {
	if p.Offset == 0 {
		return true
	}
	if p.Term == s.Term {
		return p.Offset <= s.Received.Offset
	}
	end, start := uint64(0), uint64(0)
	for _, e := range s.TermEnds {
		if e.Term == p.Term {
			end = e.Offset
		}
		if e.Term < p.Term {
			start = max(start, e.Offset)
		}
	}
	return p.Offset > start && p.Offset <= end
}
