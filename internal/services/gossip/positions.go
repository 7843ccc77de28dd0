package gossip

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// positionInterval is the time between two checks of a reader or hub for services
	// whose positions its leaves lack, and maxPositionCalls the number of hosts that
	// it asks at each.
	positionInterval = 200 * time.Millisecond
	maxPositionCalls = 8
	// maxPositionAge is the age from which on a position is asked for. It leaves half of
	// a freshness bound of 1.5 s for the leaves' next exchange and the lag of replicas.
	maxPositionAge = 600 * time.Millisecond
)

// positionLoop keeps the positions of the services up to date that the hosts use which
// ask this reader or hub of a large fleet: it asks the hosts that poll the primaries.
// Exchanges with random hosts would bring few of them.
func (g *Gossip) positionLoop(ctx context.Context) {
	for wait(ctx, positionInterval) {
		if !g.isLarge() || g.isLeaf() {
			continue
		}
		var calls conc.WaitGroup
		for _, p := range g.pollersOf(g.views.Outdated(maxPositionAge)) {
			calls.Go(func() {
				guard.Run("gossip-position", func() {
					g.exchangeAbout(ctx, p.host, false, p.questions)
				})
			})
		}
		calls.Wait()
	}
}

// pollerOf is a host that polls the primaries of services, and the questions about them.
type pollerOf struct {
	host      host.Host
	questions []*wasabislipv1.ServiceReport
}

// pollersOf returns the hosts that poll the primaries of services, at most
// maxPositionCalls and without this one. Each is asked only for what it polls: a hub that
// noted other services as asked for would ask others in turn, for ever.
func (g *Gossip) pollersOf(services []string) []*pollerOf {
	ranked := g.topology().ranked
	byName := map[string]*pollerOf{}
	var list []*pollerOf
	for _, service := range services {
		h := topRanked(ranked, g.self, leader.Duty(service))
		if h.Name == g.self.Name {
			continue
		}
		p, ok := byName[h.Name]
		if !ok {
			if len(list) == maxPositionCalls {
				continue
			}
			p = &pollerOf{
				host: h,
			}
			byName[h.Name] = p
			list = append(list, p)
		}
		p.questions = append(p.questions, &wasabislipv1.ServiceReport{
			Service: service,
		})
	}
	return list
}

// topRanked returns the host of rank 0 for a duty among a list and one more host.
func topRanked(list []host.Host, own host.Host, duty string) host.Host {
	best := weight(duty, own.Name)
	h := own
	for _, other := range list {
		if w := weight(duty, other.Name); w > best {
			best = w
			h = other
		}
	}
	return h
}
