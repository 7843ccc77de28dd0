// Package tuple holds one row of the platform's store.
package tuple

// Tuple is one row.
type Tuple struct {
	// Table names the table.
	Table string `json:"table"`
	// Key is unique in the table.
	Key string `json:"key"`
	// Value is the row's content.
	Value []byte `json:"value,omitempty"`
	// Version is the store's counter at the row's last change; 0 where a
	// row must not exist yet.
	Version uint64 `json:"version"`
	// Deleted tells that the row is gone.
	Deleted bool `json:"deleted,omitempty"`
}
