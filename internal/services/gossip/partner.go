package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// nearPart is the part of the exchanges of a small fleet that stay in the
	// data centre.
	nearPart = 0.6
	// directPart is the part of the exchanges of a large fleet that go up the
	// tree: from a host to a hub of its data centre, from a hub to a host that
	// reads the store. The rest is random, so that no fault of a hub keeps
	// anything from anybody.
	directPart = 0.85
	// hubs is how many hosts of a data centre pass on what the readers know.
	hubs = 2
	// Readers is the duty of reading the store's tables for all hosts; readers
	// is how many do.
	Readers = "readers"
	readers = 2
)

// partner picks a host to exchange with.
func (g *Gossip) partner() (host.Host, bool) {
	known := g.known()
	if len(known) == 0 {
		return g.seed()
	}
	usable := g.usable(known)
	if len(known) < smallFleet {
		return g.random(usable, nearPart), true
	}
	if up := g.upward(usable); len(up) > 0 && rand.Float64() < directPart {
		return up[rand.IntN(len(up))], true
	}
	return g.random(usable, nearPart), true
}

// usable leaves out hosts that did not answer lately, unless none did.
func (g *Gossip) usable(known []host.Host) []host.Host {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []host.Host
	for _, h := range known {
		if p := g.hosts[h.Name]; p == nil || p.avoid <= now {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return known
	}
	return list
}

func (g *Gossip) random(list []host.Host, near float64) host.Host {
	var close []host.Host
	for _, h := range list {
		if h.DataCentre == g.self.DataCentre {
			close = append(close, h)
		}
	}
	if len(close) > 0 && rand.Float64() < near {
		list = close
	}
	return list[rand.IntN(len(list))]
}

// upward returns the hosts that know sooner: the hubs of the data centre, or
// the readers for a hub.
func (g *Gossip) upward(list []host.Host) []host.Host {
	all := append(slices.Clone(list), g.self)
	first := first(all, Readers, readers)
	if contains(first, g.self.Name) {
		return without(first, g.self.Name)
	}
	var near []host.Host
	for _, h := range all {
		if h.DataCentre == g.self.DataCentre && !contains(first, h.Name) {
			near = append(near, h)
		}
	}
	own := hubsOf(near)
	if contains(own, g.self.Name) {
		return first
	}
	return own
}

// passes reports whether this host is a reader or a hub.
func (g *Gossip) passes(known []host.Host) bool {
	all := append(slices.Clone(known), g.self)
	top := first(all, Readers, readers)
	if contains(top, g.self.Name) {
		return true
	}
	var near []host.Host
	for _, h := range all {
		if h.DataCentre == g.self.DataCentre && !contains(top, h.Name) {
			near = append(near, h)
		}
	}
	return contains(hubsOf(near), g.self.Name)
}

func hubsOf(near []host.Host) []host.Host {
	return first(near, "hubs", hubs)
}

// first returns the n hosts that rank first for a duty.
func first(list []host.Host, duty string, n int) []host.Host {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b host.Host) int {
		return cmp.Compare(weight(duty, b.Name), weight(duty, a.Name))
	})
	return list[:min(n, len(list))]
}

func contains(list []host.Host, name string) bool {
	return slices.ContainsFunc(list, func(h host.Host) bool {
		return h.Name == name
	})
}

func without(list []host.Host, name string) []host.Host {
	return slices.DeleteFunc(slices.Clone(list), func(h host.Host) bool {
		return h.Name == name
	})
}

// urgentOf returns the hosts that are told of a change at once: in a large
// fleet the hubs, which pass it on in their data centres.
func (g *Gossip) urgentOf(alive []host.Host) []host.Host {
	if len(alive) < smallFleet {
		return alive
	}
	byCentre := map[string][]host.Host{}
	for _, h := range alive {
		byCentre[h.DataCentre] = append(byCentre[h.DataCentre], h)
	}
	passes := g.passes(alive)
	var list []host.Host
	for dc, near := range byCentre {
		if dc != g.self.DataCentre || !passes {
			list = append(list, hubsOf(near)...)
			continue
		}
		list = append(list, near...)
	}
	return list
}

func (g *Gossip) seed() (host.Host, bool) {
	var others []string
	for _, s := range g.seeds {
		if s != g.self.Address {
			others = append(others, s)
		}
	}
	if len(others) == 0 {
		return host.Host{}, false
	}
	return host.Host{
		Address: others[rand.IntN(len(others))],
	}, true
}

// known returns the other hosts that registered or said something.
func (g *Gossip) known() []host.Host {
	found := map[string]host.Host{}
	for name, h := range g.mirror.Registered() {
		found[name] = h
	}
	g.mu.Lock()
	for name, p := range g.hosts {
		found[name] = hostOf(p.report)
	}
	g.mu.Unlock()
	delete(found, g.self.Name)
	list := make([]host.Host, 0, len(found))
	for _, h := range found {
		list = append(list, h)
	}
	return list
}
