// Package draft holds a configuration as it is written, with entries that can never be
// in force and the place of each.
package draft

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/rules"
	"wasabislip.example/wasabislip/pkg/model/space"
)

// Lists of a configuration, and fields of their entries, for Draft.Locate.
const (
	Databases  = "databases"
	Services   = "services"
	Workspaces = "workspaces"

	Name          = "name"
	ServiceName   = "service"
	Freshness     = "freshness"
	MaxAge        = "max-age"
	Timeout       = "timeout"
	TargetLatency = "target-latency"
	Connections   = "connections"
	SyncReplicas  = "sync-replicas"
	Keys          = "keys"
	Rate          = "rate"
	Burst         = "burst"
)

// Draft is a configuration as it is written.
type Draft struct {
	// Databases are the rules of the databases, in order.
	Databases []rules.Rules
	// Services are the groups of instances.
	Services []Service
	// Workspaces are the workspaces, with their keys.
	Workspaces []Workspace
	// IdleTransaction is how long a transaction may be idle; 0 is no limit.
	IdleTransaction time.Duration
	// Locate returns the path and the line of a field of the entry at an index of a
	// list; of the entry itself without a field.
	Locate func(list string, index int, field string) (path string, line int)
}

// Service is a group of instances.
type Service struct {
	// Name names the service.
	Name string
	// Connections is how many connections each of its instances accepts.
	Connections int
	// SyncReplicas is how many replicas must have a commit before it is acknowledged.
	SyncReplicas int
	// WarmupRate is how many statements a second an instance gets while it warms up.
	WarmupRate float64
}

// Workspace is a workspace with its keys.
type Workspace struct {
	space.Workspace
	// Keys are the access keys of its callers.
	Keys []string
}
