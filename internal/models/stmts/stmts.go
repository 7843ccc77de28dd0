// Package stmts holds the prepared statements of one session.
package stmts

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/qclass"
)

// hashBytes is how many bytes of the hash are part of a statement's name.
const hashBytes = 16

// Table maps a caller's statement names to their definitions and classes.
type Table struct {
	limit   int
	entries map[string]*wasabislipv1.Statement
	classes map[string]qclass.Class
}

// New returns an empty table that holds at most limit statements.
func New(limit int) *Table {
	return &Table{
		limit:   limit,
		entries: make(map[string]*wasabislipv1.Statement),
		classes: make(map[string]qclass.Class),
	}
}

// Define returns the definition of a statement. Its name is a hash of the text
// and the declared parameter types, so that all hosts give the same statement the
// same name.
func Define(query string, oids []uint32) *wasabislipv1.Statement {
	h := sha256.New()
	for _, oid := range oids {
		_, _ = h.Write(binary.BigEndian.AppendUint32([]byte{1}, oid))
	}
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(query))
	return &wasabislipv1.Statement{
		Name:          "ws_" + hex.EncodeToString(h.Sum(nil)[:hashBytes]),
		Query:         query,
		ParameterOids: oids,
	}
}

// Get returns the definition and the class of the statement that the caller named
// name; nil if there is none.
func (t *Table) Get(name string) (*wasabislipv1.Statement, qclass.Class) {
	return t.entries[name], t.classes[name]
}

// Put stores a definition. It returns false if the table is full; the unnamed
// statement is always stored.
func (t *Table) Put(name string, s *wasabislipv1.Statement, c qclass.Class) bool {
	if _, found := t.entries[name]; !found && name != "" && len(t.entries) >= t.limit {
		return false
	}
	t.entries[name] = s
	t.classes[name] = c
	return true
}

// Remove removes a caller's name if it is there.
func (t *Table) Remove(name string) {
	delete(t.entries, name)
	delete(t.classes, name)
}

// Clear removes all names.
func (t *Table) Clear() {
	clear(t.entries)
	clear(t.classes)
}
