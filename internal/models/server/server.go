// Package server holds the registration of a database instance.
package server

import "time"

// Server is the registration of one instance.
type Server struct {
	// ID names the instance.
	ID string
	// Service is the service (replication group) that the instance belongs to.
	Service string
	// Address is its address, ip:port.
	Address string
	// DataCentre is the name of its data centre.
	DataCentre string
	// Draining says that the instance is about to leave.
	Draining bool
	// Primary says that the instance registered as the primary.
	Primary bool
	// Slots is how many statements it runs concurrently.
	Slots int
	// ColdFor is how much longer it is slow after its start.
	ColdFor time.Duration
	// StartedMs is its start time in Unix milliseconds; 0 if unknown.
	StartedMs int64
}
