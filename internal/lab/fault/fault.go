// Package fault describes a fault that an experiment injects.
package fault

import (
	"fmt"
	"time"
)

// Kinds of fault.
const (
	// PowerOff stops all hosts at once. They start again after Duration.
	PowerOff = "power-off"
	// CrashPrimary crashes the first instance, the primary. It starts again after
	// Duration, or never if Duration is zero.
	CrashPrimary = "crash-primary"
	// SlowInstances makes every statement take StatementTime for Duration.
	SlowInstances = "slow-instances"
	// StoreUnavailable makes the platform's store refuse every call for Duration.
	StoreUnavailable = "store-away"
)

// Fault is one fault.
type Fault struct {
	// Kind is one of the constants of this package.
	Kind string `yaml:"kind"`
	// At is when it begins, from the start of the trial, and Duration is how long
	// it lasts.
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	// StatementTime is how long a statement takes during SlowInstances.
	StatementTime time.Duration `yaml:"work"`
}

// Problems returns what is wrong with the fault, with advice for the operator.
func (f *Fault) Problems() []string {
	var problems []string
	switch f.Kind {
	case PowerOff, CrashPrimary, SlowInstances, StoreUnavailable:
	default:
		problems = append(problems, fmt.Sprintf("fault %q is not known: use %s, %s, %s or %s", f.Kind, PowerOff, CrashPrimary, SlowInstances, StoreUnavailable))
	}
	if f.At < 0 || f.Duration < 0 {
		problems = append(problems, "fault "+f.Kind+": at and for must not be negative")
	}
	if f.Kind == SlowInstances && f.StatementTime <= 0 {
		problems = append(problems, "fault "+f.Kind+": work must be above zero")
	}
	return problems
}
