package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

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
	// localPartners and farPartners are the numbers of hosts of the data centre and of
	// all for exchanges with random hosts within detourPeriod, which is that after
	// which idle connections are closed.
	localPartners = 6
	farPartners   = 6
	detourPeriod  = time.Minute
	// hubsPerDataCentre is the number of hosts in each data centre that pass
	// the readers' state on to the others there.
	hubsPerDataCentre = 2
	// ReaderDuty is the name under which hosts are ranked for reading the
	// store's tables for all others; readerCount is the number that do.
	ReaderDuty  = "readers"
	readerCount = 2
	// hubDuty is the name under which hosts are ranked for being hubs.
	hubDuty = "hubs"
)

// pickPeer picks the host for the next exchange; ok is false if none is known. upstream
// is false for a random host of a large fleet.
func (g *Gossip) pickPeer() (h host.Host, upstream, ok bool) {
	t := g.topology()
	if len(t.known) == 0 || g.needsCopies() {
		h, ok = g.pickSeed()
		return h, true, ok
	}
	usable := g.skipAvoided(t.known)
	if len(t.known) < hubThreshold {
		return g.pickRandom(usable, localFraction), true, true
	}
	if up := t.upstream(g.self.Name, usable); len(up) > 0 && rand.Float64() < upstreamFraction {
		return up[rand.IntN(len(up))], true, true
	}
	return g.pickRandom(g.detourPartners(usable), localFraction), false, true
}

// detourPartners returns the hosts with which this host of a large fleet exchanges at
// random: some of its data centre and some of all, others each detourPeriod. With all
// hosts in turn it would open a connection for nearly each exchange, since one that is
// used once in minutes is closed in between.
func (g *Gossip) detourPartners(usable []host.Host) []host.Host {
	duty := fmt.Sprintf("detour/%s/%d", g.self.Name, uptime.Now()/detourPeriod)
	ranked := sortByRank(usable, duty)
	local := first(inCentre(ranked, g.self.DataCentre), localPartners)
	return append(slices.Clone(first(ranked, farPartners)), local...)
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

// pushTargets returns the hosts that a change may be pushed to, and to how many of the
// first of them it is. In a large fleet the hubs of each data centre come first, which
// pass it on there.
func (g *Gossip) pushTargets(t *topology) (list []host.Host, n int) {
	list = slices.Clone(t.alive)
	if len(list) == 0 {
		list = slices.Clone(t.known)
	}
	if len(list) < hubThreshold {
		shuffle(list)
		return list, pushFanout
	}
	var hubs []host.Host
	for _, members := range t.hubs {
		hubs = append(hubs, without(members, g.self.Name)...)
	}
	shuffle(hubs)
	if !t.passesOn {
		return hubs, pushFanout
	}
	local := slices.Clone(t.centre)
	shuffle(local)
	return append(hubs, local...), len(hubs) + pushFanout
}

func shuffle(list []host.Host) {
	rand.Shuffle(len(list), func(i, j int) {
		list[i], list[j] = list[j], list[i]
	})
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
