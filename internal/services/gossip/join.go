package gossip

import (
	"context"
	"slices"
	"time"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
)

const (
	// joinTime is how long a host that has just started waits for the seeds' copies
	// of the tables: several exchanges.
	joinTime = 1200 * time.Millisecond
	// joinInterval is the mean time between two exchanges of such a host. A seed that
	// has no copies either delays its answer, which bounds the calls.
	joinInterval = 80 * time.Millisecond
	// startInterval is the mean time between two exchanges of a host that has just
	// started and has copies: it has yet to hear of the other hosts, and others of it.
	startInterval = 110 * time.Millisecond
	// settleTime is how long after its start a host that hears of less than half of
	// the known hosts shares duties with all of them.
	settleTime = 3 * time.Second
	// knownFor is how long the number of known hosts has not changed when a host
	// that has just started takes the fleet for known: several exchanges. It does so
	// after maxUnknown in any case. Hosts that start again are registered, so that
	// their number does not change; those of a new fleet take some two seconds to
	// register.
	knownFor   = 300 * time.Millisecond
	maxUnknown = 2500 * time.Millisecond
	// firstCopiesTimeout bounds how long an answer waits for this host's first
	// copies. It is shorter than exchangeTimeout.
	firstCopiesTimeout = 350 * time.Millisecond
)

// Joining reports whether this host started so lately that a seed may give it copies
// of the tables. A seed itself, and a host without other seeds, reads the store at
// once.
func (g *Gossip) Joining() bool {
	if slices.Contains(g.seeds, g.self.Address) || len(g.seeds) == 0 {
		return false
	}
	return g.hasJustStarted()
}

func (g *Gossip) hasJustStarted() bool {
	return uptime.Now()-g.started < joinTime
}

// KnowsFleet reports whether this host knows the other hosts well enough to take up
// duties that few hosts carry out.
func (g *Gossip) KnowsFleet() bool {
	now := uptime.Now()
	if now-g.started >= maxUnknown {
		return true
	}
	g.topology()
	g.topologyMu.Lock()
	defer g.topologyMu.Unlock()
	return now-g.knownSince >= knownFor
}

// needsCopies reports whether this host has just started and lacks copies that a seed
// may give it.
func (g *Gossip) needsCopies() bool {
	return g.Joining() && !g.hasAllCopies()
}

// waitFirstCopies delays the answer to a host without copies of the tables while this
// host, a seed, has just started and has none either: when a whole fleet starts, the
// others then get the copies as soon as the seeds have them, and not one exchange
// later.
func (g *Gossip) waitFirstCopies(ctx context.Context, theirs []*wasabislipv1.Table) {
	if !g.hasJustStarted() || g.Joining() || hasCopies(theirs) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstCopiesTimeout)
	defer cancel()
	for {
		changed := g.mirror.Changed()
		if g.hasAllCopies() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// hasCopies reports whether a list of tables describes any copy.
func hasCopies(list []*wasabislipv1.Table) bool {
	return slices.ContainsFunc(list, func(t *wasabislipv1.Table) bool {
		return t.GetVersion() > 0
	})
}

// hasAllCopies reports whether this host has a copy of each table.
func (g *Gossip) hasAllCopies() bool {
	for _, name := range []string{mirror.Operators, mirror.Servers, mirror.Fleet} {
		if g.mirror.Version(name) == 0 {
			return false
		}
	}
	return true
}
