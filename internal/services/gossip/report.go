package gossip

import (
	"time"

	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

func hostOf(r *wasabislipv1.HostReport) host.Host {
	return host.Host{
		Name:        r.GetName(),
		Address:     r.GetAddress(),
		RunAddress:  r.GetRunAddress(),
		DataCentre:  r.GetDataCentre(),
		Incarnation: r.GetIncarnation(),
	}
}

// pushesAll reports whether this host sends the reports of all live hosts with its own
// requests: if the fleet is small or this host is a reader or hub.
func (g *Gossip) pushesAll() bool {
	return !g.isLeaf()
}

// packsFor reports whether another host is known to accept packed reports.
func (g *Gossip) packsFor(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.hosts[name]
	return p != nil && p.packs
}

// notePacks records whether another host accepts packed reports.
func (g *Gossip) notePacks(name string, packs bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.hosts[name]; p != nil {
		p.packs = packs
	}
}

// ownReport returns this host's own report, with a new sequence number, as a
// list of one.
func (g *Gossip) ownReport() []*wasabislipv1.HostReport {
	d, version := g.demands.Demands()
	unreachable := g.views.UnreachableServices(unreachableAfter)
	inTransaction := g.views.ServicesInTransaction()
	fleetVersion := g.mirror.Version(mirror.Fleet)
	if len(g.mirror.LostLeaders()) > 0 {
		fleetVersion = 0 // the store lacks records that this host has yet to write
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	list := []*wasabislipv1.HostReport{{
		Name:           g.self.Name,
		Address:        g.self.Address,
		RunAddress:     g.self.RunAddress,
		DataCentre:     g.self.DataCentre,
		Incarnation:    g.self.Incarnation,
		Sequence:       g.sequence,
		Stopping:       g.stopping,
		Seen:           fleetVersion,
		Unreachable:    unreachable,
		Unfinished:     inTransaction,
		Demands:        d,
		DemandsVersion: version,
		WallMs:         g.wallMs(),
	}}
	return list
}

// liveReports returns the newest reports of the live hosts, this one included.
func (g *Gossip) liveReports() []*wasabislipv1.HostReport {
	now := uptime.Now()
	list := g.ownReport()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.hosts {
		if now-p.lastHeard > aliveTimeout {
			continue
		}
		list = append(list, g.passOn(p, now))
	}
	return list
}

// passOn returns the newest report of another host, for others.
func (g *Gossip) passOn(p *peer, now time.Duration) *wasabislipv1.HostReport {
	return &wasabislipv1.HostReport{
		Name:           p.report.GetName(),
		Address:        p.report.GetAddress(),
		RunAddress:     p.report.GetRunAddress(),
		DataCentre:     p.report.GetDataCentre(),
		Incarnation:    p.report.GetIncarnation(),
		Sequence:       p.report.GetSequence(),
		AgeMs:          uint64((now - p.lastHeard) / time.Millisecond),
		Stopping:       p.report.GetStopping(),
		Seen:           p.report.GetSeen(),
		Unreachable:    p.report.GetUnreachable(),
		Unfinished:     p.report.GetUnfinished(),
		Demands:        p.report.GetDemands(),
		DemandsVersion: p.report.GetDemandsVersion(),
		WallMs:         g.passOnWallMs(p.report),
	}
}

// mergeHosts takes the reports of a message; since is when this host sent the
// request that the message answers, or when the message arrived.
func (g *Gossip) mergeHosts(list []*wasabislipv1.HostReport, since time.Duration) {
	if g.takeReports(list, since) {
		g.resetTopology()
	}
}

// takeReports stores the reports that are new. It reports whether a host is new or has
// announced its stop.
func (g *Gossip) takeReports(list []*wasabislipv1.HostReport, since time.Duration) (changed bool) {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range list {
		if r.GetName() == g.self.Name || r.GetName() == "" {
			continue
		}
		if r.GetAgeMs() > uint64(forgetAfter/time.Millisecond) {
			continue // as good as forgotten
		}
		heard := uptime.Before(since, r.GetAgeMs())
		p, ok := g.hosts[r.GetName()]
		if !ok {
			p = &peer{}
			g.hosts[r.GetName()] = p
		}
		if ok && !newer(r, p.report, heard > p.lastHeard) {
			continue
		}
		if !ok || r.GetStopping() != p.report.GetStopping() || r.GetIncarnation() != p.report.GetIncarnation() {
			changed = true
			g.hostsChanged = true
		}
		p.report = r
		p.clock = clockOf(r, heard)
		g.setMark(p, now)
		last := p.lastHeard
		p.lastHeard = heard
		if last > heard {
			p.advance(last) // beats told of it since
		}
	}
	g.updateLiveness(now)
	return changed
}

// newer reports whether the report r is newer than old. The incarnations of two
// processes of one host can't be compared, since clocks jump: the report that
// was made later, as far as this host can tell, is the newer one.
func newer(r, old *wasabislipv1.HostReport, later bool) bool {
	if r.GetIncarnation() != old.GetIncarnation() {
		return later
	}
	return r.GetSequence() > old.GetSequence()
}

// updateLiveness logs which hosts became alive or silent, and removes those that
// have been silent for long. The caller holds the lock.
func (g *Gossip) updateLiveness(now time.Duration) {
	for name, p := range g.hosts {
		alive := now-p.lastHeard < aliveTimeout
		if alive != p.alive {
			klog.InfoS("host", "host", name, "alive", alive, "silent", (now - p.lastHeard).String(), "stopping", p.report.GetStopping())
		}
		p.alive = alive
		if now-p.lastHeard > forgetAfter {
			delete(g.hosts, name)
			g.dropMark(p)
			g.hostsChanged = true
		}
	}
}
