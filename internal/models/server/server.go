// Package server holds a database instance as it registered itself.
package server

import "time"

// Server is one registered instance.
type Server struct {
	// ID names the instance.
	ID string
	// Service is the group that the instance belongs to.
	Service string
	// Address is where it listens, ip:port.
	Address string
	// DataCentre is where it stands.
	DataCentre string
	// Draining instances are about to leave.
	Draining bool
	// Primary tells that the instance believes that it is the primary.
	Primary bool
	// Slots is how many statements it runs at once.
	Slots int
	// ColdFor is how much longer it stays slow after its start.
	ColdFor time.Duration
	// Born is the Unix millisecond of its start; 0 when it did not say.
	Born int64
}
