// Package report holds the status that an instance reports when asked.
package report

import (
	"time"

	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Report is the status of one instance.
type Report struct {
	// Primary says that the instance is the primary of its term.
	Primary bool
	// Term is the latest term that it knows.
	Term uint64
	// Received is the last log position that it has received.
	Received logpos.Position
	// Applied is the last log position that its reads see.
	Applied logpos.Position
	// PausedTerm is the term for which it was told to stop receiving; 0 while it
	// receives.
	PausedTerm uint64
	// Lag is its replication lag.
	Lag time.Duration
	// Running is the number of statements that it runs.
	Running int
	// Connections is the number of its open connections.
	Connections int
}
