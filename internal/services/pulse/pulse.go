// Package pulse asks primaries for their positions while no traffic does, so
// that reads can run on replicas and a primary that is gone is noticed.
package pulse

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/probe"
)

const (
	// every is the time between two looks.
	checkInterval = 100 * time.Millisecond
	// fresh is how old the newest position of a primary may be before the
	// first host in the ranking asks for it; each host after it waits as long
	// again. It leaves most of the freshness bounds, 1.5 s and more, for
	// gossip and for the lag of replicas.
	maxPositionAge = 350 * time.Millisecond
	// probers is how many hosts ask at most, where the first ones can't.
	maxPollers = 3
	// proofEvery is how old the lease is at least when the replicas are asked
	// again: a fifth of it.
	leaseProofInterval = 500 * time.Millisecond
	// proofAge is the age of the fleet's table at which replicas are asked
	// whether they still follow the primary: the store does not answer.
	maxTableAge = 1200 * time.Millisecond
)

// directory tells which services and instances there are.
type directory interface {
	Services() []string
	Servers(service string) []server.Server
	Server(id string) (server.Server, bool)
	Age(name string) time.Duration
}

// groups are the beliefs about services.
type views interface {
	View(service string) *dbview.View
}

// fleet tells how many live hosts come before this one for a duty, and tells
// other hosts news at once.
type fleet interface {
	Rank(duty string) int
	Urge()
}

// Pulse asks. Its Run keeps one goroutine for each service that it asks about.
type Pulse struct {
	directory directory
	views    views
	hosts     fleet
	prober    *probe.Prober
	leaseTable     string
	running      map[string]chan struct{}
}

// New returns a pulse; table is the name of the one that renews leases.
func New(d directory, g views, h fleet, p *probe.Prober, table string) *Pulse {
	return &Pulse{
		directory: d,
		views:    g,
		hosts:     h,
		prober:    p,
		leaseTable:     table,
		running:      map[string]chan struct{}{},
	}
}

// Run asks until ctx ends.
func (p *Pulse) Run(ctx context.Context) {
	var parts conc.WaitGroup
	defer parts.Wait()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.startRounds(ctx, &parts)
			p.prober.Trim()
		}
	}
}

// look starts a round for each service that needs one and has none under way.
func (p *Pulse) startRounds(ctx context.Context, parts *conc.WaitGroup) {
	for _, service := range p.directory.Services() {
		if c := p.running[service]; c != nil {
			select {
			case <-c:
			default:
				continue
			}
		}
		rank := p.hosts.Rank("pulse/" + service)
		if rank >= maxPollers {
			continue
		}
		c := make(chan struct{})
		p.running[service] = c
		parts.Go(func() {
			defer close(c)
			p.pollService(ctx, service, rank)
		})
	}
}

func (p *Pulse) pollService(ctx context.Context, service string, rank int) {
	v := p.views.View(service)
	l, _ := v.Leading()
	s, ok := p.directory.Server(l.Primary)
	if !ok {
		return
	}
	asked, _, known := v.Newest()
	stale := maxPositionAge * time.Duration(rank+1)
	if !known || uptime.Now()-asked > stale {
		p.pollPosition(ctx, v, s)
	}
	if p.directory.Age(p.leaseTable) > maxTableAge && v.LeaseAge() > leaseProofInterval {
		p.proveLease(ctx, v, s)
	}
}

// position asks the primary where its log ends.
func (p *Pulse) pollPosition(ctx context.Context, v *dbview.View, s server.Server) {
	asked := uptime.Now()
	r, outcome, err := p.prober.Status(ctx, s)
	if err != nil {
		v.Failed(s.ID)
		return
	}
	v.Alive(s.ID)
	if outcome == reply.Done && r.Primary {
		v.Position(s.ID, asked, r.Received)
	}
}

// prove asks all replicas whether they still follow the primary. A host that
// promotes one of them holds it first, so that nobody was promoted when all
// said that they are not held.
func (p *Pulse) proveLease(ctx context.Context, v *dbview.View, primary server.Server) {
	asked := uptime.Now()
	lead, outcome, err := p.prober.Status(ctx, primary)
	if err != nil || outcome != reply.Done || !lead.Primary {
		return
	}
	for _, s := range p.directory.Servers(v.Service()) {
		if s.ID == primary.ID {
			continue
		}
		r, outcome, err := p.prober.Status(ctx, s)
		if err != nil || outcome != reply.Done || !follows(r, lead) {
			klog.V(1).InfoS("no proof of the primary", "service", v.Service(), "primary", primary.ID, "replica", s.ID)
			return
		}
	}
	v.Proven(primary.ID, asked)
	p.hosts.Urge()
}

func follows(r, lead report.Report) bool {
	return !r.Primary && r.HeldTerm == 0 && r.Term <= lead.Term
}
