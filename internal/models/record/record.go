// Package record holds a row of the platform's table.
package record

// Record is one row. Rows are grouped by class; a read returns one row or a whole
// class.
type Record struct {
	// Class is the kind of row: term, home, lease or config.
	Class string
	// Name is unique in its class.
	Name string
	// Version counts the row's changes; 0 means that the row does not exist.
	Version uint64
	// Body is JSON.
	Body []byte
	// Request identifies the request that wrote this version, so that a writer
	// whose answer was lost can recognize its own change.
	Request string
}
