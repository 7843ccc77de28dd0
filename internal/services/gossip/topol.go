package gossip

import (
	"cmp"
	"slices"
	"time"

	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// topologyMaxAge is how old the topology may be: a fraction of the time in which a
// silent host is noticed.
const topologyMaxAge = 100 * time.Millisecond

// topology is which hosts there are and what they do for gossip, so that a decision
// need not go through all hosts. It is immutable but for ranks and among, which the lock of
// Gossip's topology guards.
type topology struct {
	at time.Duration
	// version is the version of ranked.
	version uint64
	// settled says that it was built after settleTime.
	settled bool
	// registrations is the digest of the fleet table at that time.
	registrations uint64
	// alive are the other hosts whose last report is recent; known are also those
	// registered in the store or heard of lately.
	alive []host.Host
	known []host.Host
	// ranked are the other hosts that share duties with this one.
	ranked []host.Host
	// byReader are the known hosts and this one by rank for reading the store,
	// byHub those of this data centre by rank for being a hub.
	byReader []host.Host
	byHub    []host.Host
	// hubs are the hubs of each data centre, this host included, and centre the
	// other hosts of this one.
	hubs   map[string][]host.Host
	centre []host.Host
	// passesOn says that this host is a reader or a hub.
	passesOn bool
	// ranks caches Rank by duty, among IsAmong.
	ranks map[string]int
	among map[amongKey]bool
}

// topology returns the topology, which it builds anew when it is too old.
func (g *Gossip) topology() *topology {
	now := uptime.Now()
	g.topologyMu.Lock()
	defer g.topologyMu.Unlock()
	if g.cached != nil && now-g.cached.at < topologyMaxAge {
		return g.cached
	}
	g.cached = g.buildTopology(now, g.cached)
	return g.cached
}

// resetTopology makes the next use build the topology anew.
func (g *Gossip) resetTopology() {
	g.topologyMu.Lock()
	defer g.topologyMu.Unlock()
	g.cached = nil
}

// buildTopology builds the topology, from the last one if no host has changed.
func (g *Gossip) buildTopology(now time.Duration, last *topology) *topology {
	registrations, _, _ := g.mirror.Digest(mirror.Fleet)
	changed := g.takeHostsChanged(now)
	if last != nil && !changed && (last.settled || now-g.started < settleTime) && last.registrations == registrations {
		next := *last
		next.at = now
		return &next
	}
	alive := g.listAlive(now)
	known := g.listKnown()
	if len(known) != g.knownCount {
		g.knownCount = len(known)
		g.knownSince = now
	}
	g.rankings++
	t := &topology{
		at:            now,
		version:       g.rankings,
		settled:       now-g.started >= settleTime,
		registrations: registrations,
		alive:         alive,
		known:         known,
		ranked:        g.listRanked(now, alive, known),
		hubs:          map[string][]host.Host{},
		ranks:         map[string]int{},
		among:         map[amongKey]bool{},
	}
	all := append(slices.Clone(known), g.self)
	t.byReader = sortByRank(all, ReaderDuty)
	t.byHub = sortByRank(inCentre(all, g.self.DataCentre), hubDuty)
	t.setHubs(g.self)
	return t
}

// listRanked returns the other hosts that share duties with this one: the live ones. Soon
// after a start, when few hosts were heard of, it goes by the known ones; otherwise this
// host would be the first for all duties.
func (g *Gossip) listRanked(now time.Duration, alive, known []host.Host) []host.Host {
	base := alive
	if now-g.started < settleTime && 2*len(alive) < len(known) {
		base = known
	}
	return slices.DeleteFunc(slices.Clone(base), func(h host.Host) bool {
		return h.State == host.Leaving || h.State == host.Suspect
	})
}

// takeHostsChanged reports whether other hosts came, went, stopped or fell silent since
// the last call.
func (g *Gossip) takeHostsChanged(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.hostsChanged
	g.hostsChanged = false
	for _, p := range g.hosts {
		if alive := now-p.lastHeard < aliveTimeout; alive != p.listed {
			p.listed = alive
			changed = true
		}
	}
	return changed
}

// setHubs sets the hubs and what depends on them, by the live hosts. Soon after a
// start, when few hosts were heard of, it goes by the known ones.
func (t *topology) setHubs(self host.Host) {
	base := t.alive
	if 2*len(base) < len(t.known) {
		base = t.known
	}
	all := append(slices.Clone(base), self)
	readers := first(sortByRank(all, ReaderDuty), readerCount)
	centres := map[string]bool{}
	for _, h := range all {
		centres[h.DataCentre] = true
	}
	for dc := range centres {
		t.hubs[dc] = first(sortByRank(inCentre(all, dc), hubDuty), hubsPerDataCentre)
	}
	t.centre = without(inCentre(all, self.DataCentre), self.Name)
	t.passesOn = contains(readers, self.Name) || contains(t.localHubs(all, readers, self.DataCentre), self.Name)
}

// localHubs returns the hubs of a data centre that are not readers.
func (t *topology) localHubs(all, readers []host.Host, dc string) []host.Host {
	var local []host.Host
	for _, h := range inCentre(all, dc) {
		if !contains(readers, h.Name) {
			local = append(local, h)
		}
	}
	return first(sortByRank(local, hubDuty), hubsPerDataCentre)
}

// upstream returns the usable hosts that get changes before the host self: the hubs
// of its data centre; for a hub the readers; for a reader the other readers.
func (t *topology) upstream(self string, usable []host.Host) []host.Host {
	names := map[string]bool{
		self: true,
	}
	for _, h := range usable {
		names[h.Name] = true
	}
	readers := firstUsable(t.byReader, names, nil, readerCount)
	if contains(readers, self) {
		return without(readers, self)
	}
	hubs := firstUsable(t.byHub, names, readers, hubsPerDataCentre)
	if contains(hubs, self) {
		return readers
	}
	return hubs
}

// firstUsable returns the first n hosts of a list that are usable and not taken.
func firstUsable(list []host.Host, usable map[string]bool, taken []host.Host, n int) []host.Host {
	var found []host.Host
	for _, h := range list {
		if len(found) == n {
			break
		}
		if usable[h.Name] && !contains(taken, h.Name) {
			found = append(found, h)
		}
	}
	return found
}

// listAlive returns the other hosts whose last report is recent.
func (g *Gossip) listAlive(now time.Duration) []host.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []host.Host
	for _, p := range g.hosts {
		if now-p.lastHeard >= aliveTimeout {
			continue
		}
		h := hostOf(p.report)
		h.State = host.Alive
		if p.report.GetStopping() {
			h.State = host.Leaving
		}
		list = append(list, h)
	}
	return list
}

// listKnown returns the other hosts that are registered in the store or were heard of
// by gossip.
func (g *Gossip) listKnown() []host.Host {
	registered := g.mirror.Registered()
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]host.Host, 0, max(len(registered), len(g.hosts)))
	for _, p := range g.hosts {
		list = append(list, hostOf(p.report))
	}
	for name, h := range registered {
		if _, ok := g.hosts[name]; !ok && name != g.self.Name {
			list = append(list, h)
		}
	}
	return list
}

// sortByRank returns hosts by their rank for a duty by rendezvous hashing.
func sortByRank(list []host.Host, duty string) []host.Host {
	type ranked struct {
		host   host.Host
		weight uint64
	}
	all := make([]ranked, 0, len(list))
	for _, h := range list {
		all = append(all, ranked{
			host:   h,
			weight: weight(duty, h.Name),
		})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Compare(b.weight, a.weight)
	})
	sorted := make([]host.Host, 0, len(all))
	for _, r := range all {
		sorted = append(sorted, r.host)
	}
	return sorted
}

func first(list []host.Host, n int) []host.Host {
	return list[:min(n, len(list))]
}

func inCentre(list []host.Host, dc string) []host.Host {
	var local []host.Host
	for _, h := range list {
		if h.DataCentre == dc {
			local = append(local, h)
		}
	}
	return local
}
