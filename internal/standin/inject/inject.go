// Package inject holds the faults that tests inject into a running database
// instance.
package inject

import (
	"strconv"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/standin/pgerr"
)

// Names of the faults.
const (
	ApplyLag          = "apply-lag"
	ShipDelay         = "ship-delay"
	StatementDelay    = "statement-delay"
	LoseCommitAnswers = "lose-commit-answers"
)

// Faults holds delays by name, and how many of the next commits get no answer.
// The zero value is ready to use.
type Faults struct {
	mu          sync.Mutex
	delays      map[string]time.Duration
	lostAnswers int
}

// Set sets the fault name to value: a duration, or a count for
// LoseCommitAnswers.
func (f *Faults) Set(name, value string) error {
	if name == LoseCommitAnswers {
		return f.setLostAnswers(value)
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return pgerr.New(pgerr.InvalidText, "value "+value+" is not a duration; write it as 100ms")
	}
	switch name {
	case ApplyLag, ShipDelay, StatementDelay:
		f.SetDelay(name, d)
		return nil
	}
	return pgerr.New(pgerr.InvalidText, "no fault is named "+name+"; use apply-lag, ship-delay, statement-delay or lose-commit-answers")
}

func (f *Faults) setLostAnswers(value string) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return pgerr.New(pgerr.InvalidText, "value "+value+" is not a count; write it as 1")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostAnswers = n
	return nil
}

// SetDelay sets the delay name.
func (f *Faults) SetDelay(name string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.delays == nil {
		f.delays = map[string]time.Duration{}
	}
	f.delays[name] = d
}

// Delay returns the delay name.
func (f *Faults) Delay(name string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delays[name]
}

// TakeLostAnswer reports whether the answer to the current commit must be
// lost, and if so counts it off.
func (f *Faults) TakeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAnswers == 0 {
		return false
	}
	f.lostAnswers--
	return true
}
