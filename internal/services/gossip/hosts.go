package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// countMaxAge is how old the counts of CountUnreachable may be, which is asked for each
// service ten times a second.
const countMaxAge = 50 * time.Millisecond

// Alive returns the other hosts whose last report is recent; those that announced
// a stop are in the state Leaving. The list must not be changed.
func (g *Gossip) Alive() []host.Host {
	return g.topology().alive
}

// CountHeard returns the number of other hosts whose last report is at most so
// old.
func (g *Gossip) CountHeard(within time.Duration) int {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.hosts {
		if now-p.lastHeard < within {
			n++
		}
	}
	return n
}

// OldestReport returns the age of the oldest report of a live host; 0 if there is none.
// A host falls silent when it reaches aliveTimeout.
func (g *Gossip) OldestReport() time.Duration {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	oldest := time.Duration(0)
	for _, p := range g.hosts {
		if age := now - p.lastHeard; age < aliveTimeout {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// FleetVersion returns the version of the fleet table, which holds the records of
// the primaries, that a host last reported to have applied; 0 if it never
// reported.
func (g *Gossip) FleetVersion(name string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.hosts[name]; p != nil {
		return p.report.GetSeen()
	}
	return 0
}

// CountUnreachable returns the number of other live hosts, and how many of them
// can't reach the primary of a service, as of at most countMaxAge ago.
func (g *Gossip) CountUnreachable(service string) (hosts, failing int) {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.unreachable
	if c.services == nil || now-c.at >= countMaxAge {
		c.at = now
		c.hosts = 0
		c.services = map[string]int{}
		for _, p := range g.hosts {
			if now-p.lastHeard >= aliveTimeout {
				continue
			}
			c.hosts++
			for _, name := range p.report.GetUnreachable() {
				c.services[name]++
			}
		}
	}
	return c.hosts, c.services[service]
}

// unreachableCount counts the live hosts that can't reach the primaries of services.
type unreachableCount struct {
	at       time.Duration
	hosts    int
	services map[string]int
}

// CountOpenTransactions returns the number of other live hosts that have open
// transactions on the primary of a service.
func (g *Gossip) CountOpenTransactions(service string) int {
	_, n := g.count(func(r *wasabislipv1.HostReport) bool {
		return slices.Contains(r.GetUnfinished(), service)
	})
	return n
}

// count returns the number of other live hosts, and how many of their reports
// match.
func (g *Gossip) count(matches func(r *wasabislipv1.HostReport) bool) (hosts, matching int) {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.hosts {
		if now-p.lastHeard >= aliveTimeout {
			continue
		}
		hosts++
		if matches(p.report) {
			matching++
		}
	}
	return hosts, matching
}

// PeerDemands returns the demands that the other hosts reported for a version of
// the configuration, one element for each host; nil for a host that reported
// them for another version. A host that stops without notice is counted for half
// of forgetAfter, one that announced its stop only while it is alive.
func (g *Gossip) PeerDemands(version uint64) [][]byte {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list [][]byte
	for _, p := range g.hosts {
		if now-p.lastHeard >= forgetAfter/2 || p.report.GetStopping() && now-p.lastHeard >= aliveTimeout {
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

// Rank returns how many live hosts rank before this one for a duty by rendezvous
// hashing: the host of rank 0 comes first.
func (g *Gossip) Rank(duty string) int {
	t := g.topology()
	g.topologyMu.Lock()
	defer g.topologyMu.Unlock()
	if rank, ok := t.ranks[duty]; ok {
		return rank
	}
	own := weight(duty, g.self.Name)
	rank := 0
	for _, h := range t.ranked {
		if weight(duty, h.Name) > own {
			rank++
		}
	}
	t.ranks[duty] = rank
	return rank
}

// RankingVersion returns a number that changes when IsAmong and Rank may change.
func (g *Gossip) RankingVersion() uint64 {
	return g.topology().version
}

// IsAmong reports whether this host is among the first n live hosts for a duty: its
// Rank is less than n. It stops at the first n hosts that rank before this one, so that
// asking for each of many services costs little when hosts have come or gone.
func (g *Gossip) IsAmong(duty string, n int) bool {
	t := g.topology()
	g.topologyMu.Lock()
	defer g.topologyMu.Unlock()
	if rank, ok := t.ranks[duty]; ok {
		return rank < n
	}
	key := amongKey{
		duty: duty,
		n:    n,
	}
	if is, ok := t.among[key]; ok {
		return is
	}
	own := weight(duty, g.self.Name)
	before := 0
	for _, h := range t.ranked {
		if weight(duty, h.Name) > own {
			before++
		}
		if before == n {
			break
		}
	}
	t.among[key] = before < n
	return before < n
}

// AskFirst exchanges with the other hosts among the first n for a duty, without the
// reports of hosts. It returns once they have answered, or did not in time.
func (g *Gossip) AskFirst(ctx context.Context, duty string, n int) {
	list := first(sortByRank(g.topology().ranked, duty), n)
	var calls conc.WaitGroup
	for _, h := range list {
		calls.Go(func() {
			guard.Run("gossip-ask", func() {
				g.exchange(ctx, h, false)
			})
		})
	}
	calls.Wait()
}

// amongKey is a question to IsAmong.
type amongKey struct {
	duty string
	n    int
}

// weight is the rendezvous hash of a host for a duty; the largest ranks first.
func weight(duty, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{duty, "/", name} {
		_, _ = d.WriteString(text) // never fails
	}
	return d.Sum64()
}

// wait waits for d; it returns false if ctx ends first.
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
