package member

import (
	"math/bits"
	"slices"

	"wasabislip.example/wasabislip/pkg/model/host"
)

// sendsPerDoubling is how often one host gossips a change, times the binary
// logarithm of the fleet size.
const sendsPerDoubling = 2

// Updates returns the entries to send to the host named to: this host's own, that
// of to if it is not alive here, so that to can refute it, and the changes that
// were sent least often; at most n+1 in all. It counts the changes as sent. If no
// more than n/2 hosts are known, it returns all of them.
func (t *Table) Updates(to string, n int) []host.Host {
	if len(t.entries) <= n/2 {
		return t.FullState()
	}
	maxSends := sendsPerDoubling * bits.Len(uint(len(t.entries)))
	var changed []*entry
	for _, e := range t.entries {
		if e.sent < maxSends && e.Name != t.self {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int {
		return a.sent - b.sent
	})
	list := []host.Host{t.Self()}
	if e, ok := t.entries[to]; ok && e.State != host.Alive {
		list = append(list, e.Host)
	}
	for _, e := range changed[:min(len(changed), n-1)] {
		e.sent++
		list = append(list, e.Host)
	}
	return list
}

// FullState returns all known hosts, this one first.
func (t *Table) FullState() []host.Host {
	return t.selfFirst(t.Hosts())
}

// selfFirst moves this host to the front of list.
func (t *Table) selfFirst(list []host.Host) []host.Host {
	i := slices.IndexFunc(list, func(h host.Host) bool { return h.Name == t.self })
	list[0], list[i] = list[i], list[0]
	return list
}
