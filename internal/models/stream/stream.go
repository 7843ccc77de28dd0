// Package stream declares the interface of a run on the coordinator of a database.
// A run is one transaction, or one batch outside of a transaction.
package stream

import wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"

// Stream is one run. Its methods are called by one goroutine at a time.
type Stream interface {
	// Send sends one batch. Its answer is read with Receive until Ready is set.
	// An error is a *fault.Fault.
	Send(r *wasabislipv1.RunRequest) error
	// Receive returns the next part of the answer. An error is a
	// *fault.Fault and ends the run.
	Receive() (*wasabislipv1.RunResponse, error)
	// Close ends the run and rolls back a transaction that is still open.
	Close() error
}
