package serve

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/pkg/model/host"
)

// gaugeInterval is how often the gauges are set.
const gaugeInterval = time.Second

// updateGauges sets the gauges of the fleet and of the databases that this host
// serves, until ctx ends.
func (h *Host) updateGauges(ctx context.Context) {
	previous := map[string]bool{}
	for {
		h.countMembers()
		now := map[string]bool{}
		for _, d := range h.databases.DatabaseStatuses(ctx) {
			now[d.GetDatabase()] = true
			h.metrics.SetTerm(d.GetDatabase(), d.GetTerm())
		}
		for name := range previous {
			if !now[name] {
				h.metrics.SetTerm(name, 0)
			}
		}
		previous = now
		if !sleep(ctx, gaugeInterval) {
			return
		}
	}
}

// countMembers sets the number of hosts in each state.
func (h *Host) countMembers() {
	counts := map[string]int{
		host.Alive:   0,
		host.Suspect: 0,
		host.Leaving: 0,
		host.Dead:    0,
	}
	for _, other := range h.fleet.Hosts() {
		counts[other.State]++
	}
	for state, n := range counts {
		h.metrics.SetMembers(state, n)
	}
}
