// Package term holds the row that names a database's term and its coordinator
// (steward in the stored row).
package term

import (
	"encoding/json"
	"fmt"
)

// Class is the class of the term rows in the platform's table.
const Class = "term"

// Term is the term row of one database.
type Term struct {
	// Database names the database group.
	Database string `json:"database"`
	// Number is the term; 0 before the first coordinator.
	Number uint64 `json:"term"`
	// Coordinator is the host that took the term.
	Coordinator string `json:"steward"`
	// Address is the coordinator's peer address, ip:port.
	Address string `json:"address"`
	// Primary is the instance that was promoted in the term. Until then it is
	// the former primary.
	Primary string `json:"primary"`
}

// Parse decodes a row's body. An empty body is the row before the first term.
func Parse(database string, body []byte) (Term, error) {
	t := Term{
		Database: database,
	}
	if len(body) == 0 {
		return t, nil
	}
	if err := json.Unmarshal(body, &t); err != nil {
		return Term{}, fmt.Errorf("term row of %s: %w", database, err)
	}
	return t, nil
}

// Encode returns the row's body as JSON.
func (t Term) Encode() ([]byte, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("term row of %s: %w", t.Database, err)
	}
	return body, nil
}

// Next returns the row with which host takes the next term.
func (t Term) Next(host, address string) Term {
	t.Number++
	t.Coordinator = host
	t.Address = address
	return t
}

// MayTake reports whether host may become the coordinator of the database in the
// next term, and why or why not. first says that host is the first live
// candidate, coordinatorAlive that the present coordinator is alive.
func (t Term) MayTake(host string, first, coordinatorAlive bool) (bool, string) {
	switch {
	case t.Coordinator == host:
		return true, "own-former-term"
	case !first:
		return false, "not-first-candidate"
	case t.Coordinator == "":
		return true, "no-steward"
	case !coordinatorAlive:
		return true, "steward-gone"
	}
	return false, "steward-alive"
}
