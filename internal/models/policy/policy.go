// Package policy holds the operators' configuration of a fleet whose instances
// register themselves.
package policy

import (
	"slices"
	"time"

	"wasabislip.example/wasabislip/internal/models/rules"
	"wasabislip.example/wasabislip/pkg/model/space"
)

// Policy is one version of the whole configuration. It is immutable once it is in
// use.
type Policy struct {
	// Version is the version number that the operators gave the configuration.
	Version uint64
	// Rules are the rules of the databases, by database name.
	Rules map[string]rules.Rules
	// Workspaces are the workspaces (customers), by name.
	Workspaces map[string]space.Workspace
	// Owners maps each access key to the name of its workspace.
	Owners map[string]string
	// ConnectionLimit is how many connections each instance accepts, by
	// service.
	ConnectionLimit map[string]int
	// SyncReplicas is how many replicas must have a commit before it is
	// acknowledged, by service.
	SyncReplicas map[string]int
	// WarmupRate is how many statements a second an instance may get while it
	// warms up, by service. Services without a limit are absent.
	WarmupRate map[string]float64
	// Levels is how many priorities the rules declare; see SetLevels.
	Levels int
	// IdleTransaction is how long a transaction may be idle; 0 is no limit.
	IdleTransaction time.Duration
}

// admissionLevels is how many priorities a configuration declares at least for
// statements to be admitted by priority and deadline.
const admissionLevels = 3

// HasAdmission reports whether statements are admitted to instances by priority and
// deadline.
func (p *Policy) HasAdmission() bool {
	return p.Levels >= admissionLevels
}

// SetLevels sets the level of each database's rules: the rank of its priority
// among all priorities, from 0.
func (p *Policy) SetLevels() {
	var priorities []int
	for _, l := range p.Rules {
		priorities = append(priorities, l.Priority)
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	p.Levels = len(priorities)
	for name, l := range p.Rules {
		l.Level = slices.Index(priorities, l.Priority)
		p.Rules[name] = l
	}
}
