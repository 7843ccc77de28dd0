package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// Alive returns the other hosts that lately said something.
func (g *Gossip) Alive() []host.Host {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []host.Host
	for _, p := range g.hosts {
		if now-p.heard >= aliveFor {
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

// Heard returns how many other hosts said something so lately.
func (g *Gossip) Heard(within time.Duration) int {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.hosts {
		if now-p.heard < within {
			n++
		}
	}
	return n
}

// Seen returns the newest version of the leaders' records that a host obeys; 0
// when it never said.
func (g *Gossip) Seen(name string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.hosts[name]; p != nil {
		return p.report.GetSeen()
	}
	return 0
}

// Unreachable counts the live hosts and those among them that can't reach the
// primary of a service.
func (g *Gossip) Unreachable(service string) (hosts, failing int) {
	return g.count(func(r *wasabislipv1.HostReport) bool {
		return slices.Contains(r.GetUnreachable(), service)
	})
}

// Unfinished counts the live hosts with transactions open on the primary of a
// service.
func (g *Gossip) Unfinished(service string) int {
	_, n := g.count(func(r *wasabislipv1.HostReport) bool {
		return slices.Contains(r.GetUnfinished(), service)
	})
	return n
}

func (g *Gossip) count(matches func(r *wasabislipv1.HostReport) bool) (hosts, matching int) {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.hosts {
		if now-p.heard >= aliveFor {
			continue
		}
		hosts++
		if matches(p.report) {
			matching++
		}
	}
	return hosts, matching
}

// Others returns the demands of the other live hosts for a configuration; a
// host that told them for another one counts with none.
func (g *Gossip) Others(version uint64) [][]byte {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list [][]byte
	for _, p := range g.hosts {
		if now-p.heard >= forgetAfter/2 || p.report.GetStopping() && now-p.heard >= aliveFor {
			continue
		}
		if p.report.GetDemandsVersion() != version {
			list = append(list, nil)
			continue
		}
		list = append(list, p.report.GetDemands())
	}
	return list
}

// Rank tells how many live hosts come before this one for a duty.
func (g *Gossip) Rank(duty string) int {
	own := weight(duty, g.self.Name)
	rank := 0
	for _, h := range g.Alive() {
		if h.State == host.Alive && weight(duty, h.Name) > own {
			rank++
		}
	}
	return rank
}

func weight(duty, name string) uint64 {
	return xxhash.Sum64String(duty + "/" + name)
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
