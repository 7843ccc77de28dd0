// Package holder chooses the hosts that hold the connections to an instance, and the
// one of them that holds a workspace's.
//
// It answers a load of many workspaces at few connections: an instance accepts about
// as many connections as there are workspaces, a connection belongs to one workspace,
// and most workspaces use an instance every few seconds. Divided among all hosts of a
// data centre, each would keep one or two connections for its workspaces and open
// nearly every other anew; a few holders keep those that are in use.
package holder

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// connectionsEach is how many of an instance's connections a holder has at
	// least, if there are more than minHolders.
	connectionsEach = 8
	// minHolders is how many hosts hold connections to an instance at least, so
	// that the loss of one leaves most workspaces their connections.
	minHolders = 3
)

// Count returns how many of the hosts of a data centre hold connections to an
// instance that accepts limit of them.
func Count(limit, hosts int) int {
	return min(hosts, max(minHolders, limit/connectionsEach))
}

// Placement is the holders of the connections to one instance.
type Placement struct {
	// Instance is the instance's id.
	Instance string
	// Holders are the hosts that hold connections to it, by rank.
	Holders []host.Host
}

// New places the connections to an instance that accepts limit of them on some of the
// hosts of its data centre, by rendezvous hashing.
func New(instance string, limit int, hosts []host.Host) *Placement {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b host.Host) int {
		return cmp.Or(cmp.Compare(weight(instance, "", b.Name), weight(instance, "", a.Name)), cmp.Compare(a.Name, b.Name))
	})
	return &Placement{
		Instance: instance,
		Holders:  sorted[:Count(limit, len(sorted))],
	}
}

// For returns the holder of a workspace's connections among those that are usable;
// false if none is.
func (p *Placement) For(workspace string, usable func(h host.Host) bool) (host.Host, bool) {
	var best host.Host
	var most uint64
	found := false
	for _, h := range p.Holders {
		if n := weight(p.Instance, workspace, h.Name); (!found || n > most) && usable(h) {
			best = h
			most = n
			found = true
		}
	}
	return best, found
}

// weight is the rendezvous hash of a host for a workspace's connections to an
// instance; the largest ranks first.
func weight(instance, workspace, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{instance, "/", workspace, "/", name} {
		_, _ = d.WriteString(text) // never fails
	}
	return d.Sum64()
}
