// Package tuple holds a row of the platform's store.
package tuple

// Tuple is one row.
type Tuple struct {
	// Table names the table.
	Table string `json:"table"`
	// Key is unique in the table.
	Key string `json:"key"`
	// Value is the content of the row.
	Value []byte `json:"value,omitempty"`
	// Version orders the row's changes; see NewVersion. In a row that a write
	// expects, 0 means that the row must not exist yet.
	Version uint64 `json:"version"`
	// Deleted says that the row was deleted.
	Deleted bool `json:"deleted,omitempty"`
}
