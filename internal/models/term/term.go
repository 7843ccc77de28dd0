// Package term holds the row that names a database's term and steward.
package term

import (
	"encoding/json"
	"fmt"
)

// Class is the class of these rows in the platform's table.
const Class = "term"

// Term is the row of one database.
type Term struct {
	// Database names the database group.
	Database string `json:"database"`
	// Number is the term; 0 before the first steward.
	Number uint64 `json:"term"`
	// Steward is the host that took the term.
	Steward string `json:"steward"`
	// Address is the steward's peer address, ip:port.
	Address string `json:"address"`
	// Primary is the instance promoted in the term, or the former one until
	// the steward has promoted.
	Primary string `json:"primary"`
}

// Parse reads a row's body. An empty body is the row before the first term.
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

// Encode returns the row's body.
func (t Term) Encode() ([]byte, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("term row of %s: %w", t.Database, err)
	}
	return body, nil
}

// Next returns the row with which host takes the following term.
func (t Term) Next(host, address string) Term {
	t.Number++
	t.Steward = host
	t.Address = address
	return t
}

// MayTake reports whether host, the first live candidate or not, takes the
// database, and why.
func (t Term) MayTake(host string, first, stewardAlive bool) (bool, string) {
	switch {
	case t.Steward == host:
		return true, "own-former-term"
	case !first:
		return false, "not-first-candidate"
	case t.Steward == "":
		return true, "no-steward"
	case !stewardAlive:
		return true, "steward-gone"
	}
	return false, "steward-alive"
}
