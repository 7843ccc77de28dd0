// Package host describes the hosts, the machines that run the proxy.
package host

import "time"

// States of a host in the view of other hosts, as in SWIM.
const (
	// Alive hosts answer probes.
	Alive = "alive"
	// Suspect hosts failed to answer and may still refute the suspicion.
	Suspect = "suspect"
	// Leaving hosts answer but accept no new work.
	Leaving = "leaving"
	// Dead hosts did not refute the suspicion in time.
	Dead = "dead"
)

// Host is one host of the fleet.
type Host struct {
	// Name is unique in the fleet.
	Name string
	// Address is the address for gossip and other peer requests, ip:port.
	Address string
	// RunAddress is the address for statements that other hosts forward to this
	// one, ip:port; empty where hosts forward none.
	RunAddress string
	// DataCentre names the host's data centre.
	DataCentre string
	// State is Alive, Suspect, Leaving or Dead.
	State string
	// Incarnation grows with each start and with each refutation of a
	// suspicion.
	Incarnation uint64
	// ConfigVersion is the version of the configuration in force on the host.
	ConfigVersion uint64
	// Started is the start time of the host's process.
	Started time.Time
}

// AcceptsWork reports whether the host may be given new work.
func (h Host) AcceptsWork() bool {
	return h.State == Alive || h.State == Suspect
}

// Reachable reports whether the host is assumed to answer.
func (h Host) Reachable() bool {
	return h.State != Dead
}
