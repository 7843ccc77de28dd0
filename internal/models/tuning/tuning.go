// Package tuning holds what decides how long statements wait before they are
// refused or offered elsewhere. Hosts use Default; experiments vary it.
package tuning

import "time"

// Tuning is one choice.
type Tuning struct {
	// Queue is the part of a lane's target for which a statement may wait for
	// a connection.
	Queue float64 `yaml:"queue"`
	// Rate is the part of a lane's target for which an operation may wait for
	// its turn in the workspace's rate.
	Rate float64 `yaml:"rate"`
	// Change is the part of a lane's timeout for which a statement waits for a
	// new primary.
	Change float64 `yaml:"change"`
	// Hedge is how long a read stays unanswered at least before another
	// instance is asked beside the first.
	Hedge time.Duration `yaml:"hedge"`
}

const (
	// defaultQueue is a quarter of the time in which a caller expects the whole
	// operation: what waits longer is late anyway and keeps others from being in
	// time.
	defaultQueue = 0.25
	// defaultRate leaves half of that time for the run. It is known at once
	// whether and when the turn comes, and a caller that is sent away comes back
	// at a worse moment.
	defaultRate = 0.5
	// defaultChange is less than half of a statement's time, so that a caller
	// that is refused can still be served elsewhere; one that is sent away at
	// once comes back too soon, since a change takes about a second.
	defaultChange = 0.4
	// defaultHedge is some times the usual work of a read.
	defaultHedge = 150 * time.Millisecond
)

// Default returns what hosts use.
func Default() Tuning {
	return Tuning{
		Queue:  defaultQueue,
		Rate:   defaultRate,
		Change: defaultChange,
		Hedge:  defaultHedge,
	}
}
