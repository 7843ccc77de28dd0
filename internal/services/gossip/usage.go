package gossip

import (
	"time"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// usageTable is the name of the messages' table that holds only the row of the
	// usage reports. Hosts of earlier builds ignore it.
	usageTable = "usage-row"
	// maxWallMs bounds a wall clock, so that no arithmetic overflows: the year 2109.
	maxWallMs = 1 << 42
)

// wallMs returns this host's wall clock; 0 if no usage is reported.
func (g *Gossip) wallMs() uint64 {
	if !g.ReportsUsage {
		return 0
	}
	return uint64(time.Now().UnixMilli())
}

// passOnWallMs returns the wall clock in another host's report; 0 if no usage is
// reported.
func (g *Gossip) passOnWallMs(r *wasabislipv1.HostReport) uint64 {
	if !g.ReportsUsage {
		return 0
	}
	return r.GetWallMs()
}

// clockOf returns the wall clock in a report that was made at a time, less that time;
// 0 if there is none, or an impossible one.
func clockOf(r *wasabislipv1.HostReport, made time.Duration) time.Duration {
	if r.GetWallMs() == 0 || r.GetWallMs() > maxWallMs || made == 0 {
		return 0
	}
	return time.Duration(r.GetWallMs())*time.Millisecond - made
}

// Clocks returns the wall clocks of the other live hosts, less this host's clock of
// uptime.
func (g *Gossip) Clocks() []time.Duration {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]time.Duration, 0, len(g.hosts))
	for _, p := range g.hosts {
		if p.clock != 0 && now-p.lastHeard < aliveTimeout {
			list = append(list, p.clock)
		}
	}
	return list
}

// Lead returns the live host other than except that ranks first for a duty. It returns
// false if that is this host.
func (g *Gossip) Lead(duty, except string) (host.Host, bool) {
	var best host.Host
	most := weight(duty, g.self.Name)
	if g.isStopping() || g.self.Name == except {
		most = 0
	}
	for _, h := range g.topology().alive {
		if n := weight(duty, h.Name); h.State == host.Alive && h.Name != except && n > most {
			best = h
			most = n
		}
	}
	return best, best.Name != ""
}

func (g *Gossip) isStopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

// withUsage adds the row of the usage reports to a message. theirs describes the other
// host's copies; the row is sent with its value if the other host's is older.
func (g *Gossip) withUsage(k *wasabislipv1.Knowledge, theirs []*wasabislipv1.Table) *wasabislipv1.Knowledge {
	if !g.ReportsUsage {
		return k
	}
	r := g.mirror.Usage()
	t := &wasabislipv1.Table{
		Name:    usageTable,
		Version: r.Version,
	}
	for _, other := range theirs {
		if other.GetName() == usageTable && other.GetVersion() < r.Version {
			t.Rows = toRows([]tuple.Tuple{r})
		}
	}
	k.Tables = append(k.Tables, t)
	return k
}

// mergeUsage takes the row of the usage reports from a message. Its versions order it,
// so that it does not matter how old the message is.
func (g *Gossip) mergeUsage(list []*wasabislipv1.Table) {
	for _, t := range list {
		if t.GetName() != usageTable {
			continue
		}
		for _, r := range t.GetRows() {
			g.mirror.MergeUsage(tuple.Tuple{
				Table:   mirror.Fleet,
				Key:     r.GetKey(),
				Value:   r.GetValue(),
				Version: r.GetVersion(),
			})
		}
	}
}
