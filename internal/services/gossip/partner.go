package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// localFraction is the fraction of randomly chosen exchanges that stay in
	// the data centre.
	localFraction = 0.6
	// upstreamFraction is the fraction of the exchanges of a large fleet that go
	// up a tree: from a host to a hub of its data centre, from a hub to a host
	// that reads the store. The rest go to random hosts, so that state still
	// reaches every host when a hub fails.
	upstreamFraction = 0.85
	// hubsPerDataCentre is the number of hosts in each data centre that pass
	// the readers' state on to the others there.
	hubsPerDataCentre = 2
	// ReaderDuty is the name under which hosts are ranked for reading the
	// store's tables for all others; readerCount is the number that do.
	ReaderDuty  = "readers"
	readerCount = 2
)

// pickPeer picks the host for the next exchange; false if none is known.
func (g *Gossip) pickPeer() (host.Host, bool) {
	known := g.knownHosts()
	if len(known) == 0 {
		return g.pickSeed()
	}
	usable := g.skipAvoided(known)
	if len(known) < hubThreshold {
		return g.pickRandom(usable, localFraction), true
	}
	if up := g.upstream(usable); len(up) > 0 && rand.Float64() < upstreamFraction {
		return up[rand.IntN(len(up))], true
	}
	return g.pickRandom(usable, localFraction), true
}

// skipAvoided leaves out hosts that did not answer lately, or returns them all
// if no others are left.
func (g *Gossip) skipAvoided(known []host.Host) []host.Host {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []host.Host
	for _, h := range known {
		if p := g.hosts[h.Name]; p == nil || p.avoidUntil <= now {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return known
	}
	return list
}

// pickRandom picks a random host, one of this data centre with the probability
// local if there is one.
func (g *Gossip) pickRandom(list []host.Host, local float64) host.Host {
	var sameDC []host.Host
	for _, h := range list {
		if h.DataCentre == g.self.DataCentre {
			sameDC = append(sameDC, h)
		}
	}
	if len(sameDC) > 0 && rand.Float64() < local {
		list = sameDC
	}
	return list[rand.IntN(len(list))]
}

// upstream returns the hosts that get changes before this one: the hubs of its
// data centre; for a hub the readers; for a reader the other readers.
func (g *Gossip) upstream(list []host.Host) []host.Host {
	all := append(slices.Clone(list), g.self)
	readers := topRanked(all, ReaderDuty, readerCount)
	if contains(readers, g.self.Name) {
		return without(readers, g.self.Name)
	}
	var local []host.Host
	for _, h := range all {
		if h.DataCentre == g.self.DataCentre && !contains(readers, h.Name) {
			local = append(local, h)
		}
	}
	hubs := hubsOf(local)
	if contains(hubs, g.self.Name) {
		return readers
	}
	return hubs
}

// isReaderOrHub reports whether this host is a reader or a hub, and so passes on the
// reports of other hosts.
func (g *Gossip) isReaderOrHub(known []host.Host) bool {
	all := append(slices.Clone(known), g.self)
	readers := topRanked(all, ReaderDuty, readerCount)
	if contains(readers, g.self.Name) {
		return true
	}
	var local []host.Host
	for _, h := range all {
		if h.DataCentre == g.self.DataCentre && !contains(readers, h.Name) {
			local = append(local, h)
		}
	}
	return contains(hubsOf(local), g.self.Name)
}

// hubsOf returns the hubs among the hosts of one data centre.
func hubsOf(list []host.Host) []host.Host {
	return topRanked(list, "hubs", hubsPerDataCentre)
}

// topRanked returns the n hosts that rank first for a duty by rendezvous hashing.
func topRanked(list []host.Host, duty string, n int) []host.Host {
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

// pushTargets returns the hosts that a change may be pushed to. In a large fleet
// these are the hubs of each data centre, which pass it on there; a reader or hub
// also pushes to all hosts of its own data centre.
func (g *Gossip) pushTargets(alive []host.Host) []host.Host {
	if len(alive) < hubThreshold {
		return alive
	}
	byCentre := map[string][]host.Host{}
	for _, h := range alive {
		byCentre[h.DataCentre] = append(byCentre[h.DataCentre], h)
	}
	passesOn := g.isReaderOrHub(alive)
	var list []host.Host
	for dc, members := range byCentre {
		if dc != g.self.DataCentre || !passesOn {
			list = append(list, hubsOf(members)...)
			continue
		}
		list = append(list, members...)
	}
	return list
}

// pickSeed picks a random seed address other than this host's own.
func (g *Gossip) pickSeed() (host.Host, bool) {
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

// knownHosts returns the other hosts that are registered in the store or were
// heard of by gossip.
func (g *Gossip) knownHosts() []host.Host {
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
