// Package report holds what an instance tells of itself when asked.
package report

import (
	"time"

	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Report is an instance's own account.
type Report struct {
	// Primary tells that the instance leads its term.
	Primary bool
	// Term is the term that it knows.
	Term uint64
	// Received is the end of what it received.
	Received logpos.Position
	// Applied is the end of what reads see.
	Applied logpos.Position
	// HeldTerm is the term for which it was told to stop receiving; 0 when
	// it receives.
	HeldTerm uint64
	// Lag is how far what reads see is behind.
	Lag time.Duration
	// Running is how many statements it runs.
	Running int
	// Connections is how many connections stand open at it.
	Connections int
}
