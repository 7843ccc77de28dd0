// Package host describes the machines that run the proxy.
package host

import "time"

// States of a host, as other hosts know it.
const (
	// Alive hosts answer.
	Alive = "alive"
	// Suspect hosts did not answer and may still refute it.
	Suspect = "suspect"
	// Leaving hosts answer and take no new work.
	Leaving = "leaving"
	// Dead hosts did not refute in time.
	Dead = "dead"
)

// Host is one host of the fleet.
type Host struct {
	// Name is unique in the fleet.
	Name string
	// Address is its peer address, ip:port.
	Address string
	// RunAddress takes statements of other hosts, ip:port; empty where hosts
	// run none for others.
	RunAddress string
	// DataCentre names where it stands.
	DataCentre string
	// State is Alive, Suspect, Leaving or Dead.
	State string
	// Incarnation grows with each start and with each refutation.
	Incarnation uint64
	// ConfigVersion is the configuration it has in force.
	ConfigVersion uint64
	// Started is the start of its process.
	Started time.Time
}

// Serves reports whether the host may be given new work.
func (h Host) Serves() bool {
	return h.State == Alive || h.State == Suspect
}

// Answers reports whether the host is believed to answer.
func (h Host) Answers() bool {
	return h.State != Dead
}
