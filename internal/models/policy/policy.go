// Package policy holds the operators' configuration in force on a fleet whose
// instances register themselves.
package policy

import (
	"slices"
	"time"

	"wasabislip.example/wasabislip/internal/models/lane"
	"wasabislip.example/wasabislip/pkg/model/space"
)

// Policy is one version of the configuration, whole. It is not changed once
// it is in use.
type Policy struct {
	// Version is the operators' number of this configuration.
	Version uint64
	// Lanes are the databases' rules by database name.
	Lanes map[string]lane.Lane
	// Workspaces are the customers by name.
	Workspaces map[string]space.Workspace
	// Owners maps each key to the name of its workspace.
	Owners map[string]string
	// ConnectionLimit is how many connections an instance of a service
	// accepts, by service.
	ConnectionLimit map[string]int
	// SyncReplicas is how many replicas hold a commit before it is
	// acknowledged, by service.
	SyncReplicas map[string]int
	// WarmRate is how many statements a second a cold instance of a service
	// may get; services without a limit are absent.
	WarmRate map[string]float64
	// IdleTransaction is how long a transaction may rest; 0 without limit.
	IdleTransaction time.Duration
}

// Order sets the lanes' levels from their priorities.
func (p *Policy) Order() {
	var priorities []int
	for _, l := range p.Lanes {
		priorities = append(priorities, l.Priority)
	}
	slices.Sort(priorities)
	priorities = slices.Compact(priorities)
	for name, l := range p.Lanes {
		l.Level = slices.Index(priorities, l.Priority)
		p.Lanes[name] = l
	}
}
