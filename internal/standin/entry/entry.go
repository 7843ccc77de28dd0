// Package entry holds the type of log entries of a stand-in database.
package entry

import (
	"encoding/json"

	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Entry is one log entry: the writes of one transaction. An entry without
// writes marks the start of a term.
type Entry struct {
	// Position is the entry's place in the log.
	Position logpos.Position
	// Writes are applied in order.
	Writes []write
}

// write sets a key, or appends to a list.
type write struct {
	// List tells that Value is appended to the list named Key.
	List  bool `json:",omitempty"`
	Key   string
	Value string
}

// Set adds a write that sets key to value.
func (e *Entry) Set(key, value string) {
	e.Writes = append(e.Writes, write{
		Key:   key,
		Value: value,
	})
}

// Append adds a write that appends element to list.
func (e *Entry) Append(list, element string) {
	e.Writes = append(e.Writes, write{
		List:  true,
		Key:   list,
		Value: element,
	})
}

// Encode returns the writes as JSON.
func (e *Entry) Encode() (string, error) {
	body, err := json.Marshal(e.Writes)
	return string(body), err
}

// Decode returns the entry at position with the writes in body, which Encode
// returned.
func Decode(position logpos.Position, body string) (Entry, error) {
	e := Entry{
		Position: position,
	}
	err := json.Unmarshal([]byte(body), &e.Writes)
	return e, err
}
