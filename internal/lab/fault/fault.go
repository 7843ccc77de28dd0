// Package fault describes what goes wrong in an experiment.
package fault

import (
	"fmt"
	"time"
)

// Kinds of fault.
const (
	// PowerOff ends all hosts at once; they start again after For.
	PowerOff = "power-off"
	// Crash ends the primary; it starts again after For, when For is not zero.
	Crash = "crash-primary"
	// Slow makes every statement take Work for a while.
	Slow = "slow-instances"
	// Away makes the platform's store refuse every call for a while.
	Away = "store-away"
)

// Fault is one disturbance.
type Fault struct {
	// Kind is one of the constants of this package.
	Kind string `yaml:"kind"`
	// At is when it begins, and For how long it lasts.
	At  time.Duration `yaml:"at"`
	For time.Duration `yaml:"for"`
	// Work is how long a statement takes during Slow.
	Work time.Duration `yaml:"work"`
}

// Problems returns what is wrong with the fault, each with its remedy.
func (f *Fault) Problems() []string {
	var list []string
	switch f.Kind {
	case PowerOff, Crash, Slow, Away:
	default:
		list = append(list, fmt.Sprintf("fault %q is not known: use %s, %s, %s or %s", f.Kind, PowerOff, Crash, Slow, Away))
	}
	if f.At < 0 || f.For < 0 {
		list = append(list, "fault "+f.Kind+": at and for must not be negative")
	}
	if f.Kind == Slow && f.Work <= 0 {
		list = append(list, "fault "+f.Kind+": work is needed")
	}
	return list
}
