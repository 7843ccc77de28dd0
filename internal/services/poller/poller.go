// Package poller polls primaries for their positions in the log while no traffic
// tells them, so that reads can run on replicas and a failed primary is noticed.
package poller

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/probe"
)

const (
	// checkInterval is the time between two checks of all services.
	checkInterval = 100 * time.Millisecond
	// maxPositionAge is how old the newest position of a primary may be before
	// the first host in the ranking polls it; each further host waits that much
	// longer. It leaves most of the freshness bounds, which are 1.5 s and more,
	// for gossip and for the lag of replicas.
	maxPositionAge = 350 * time.Millisecond
	// maxPollers is how many hosts in the ranking poll a primary. The later
	// ones only do so when those before them can't.
	maxPollers = 3
	// leaseRenewalInterval is how old the lease must be before the replicas are
	// asked to renew it: a fifth of the lease's time.
	leaseRenewalInterval = 500 * time.Millisecond
	// maxTableAge is the age of the fleet's table past which the store counts
	// as not answering, so that the lease is renewed by asking the replicas
	// whether they still follow the primary. A table whose records of primaries
	// are not complete, since the store was restored, does not count.
	maxTableAge = 1200 * time.Millisecond
)

// directory lists the services and their instances.
type directory interface {
	Services() []string
	Servers(service string) []server.Server
	Server(id string) (server.Server, bool)
	LeasesAsOf() time.Duration
}

// views gives what this host knows of a service's instances.
type views interface {
	View(service string) *dbview.View
}

// fleet ranks this host among the live hosts for a duty, and pushes this host's
// state to other hosts at once.
type fleet interface {
	Rank(duty string) int
	PushNow()
}

// Poller polls primaries, with up to one goroutine for each service.
type Poller struct {
	directory directory
	views     views
	hosts     fleet
	prober    *probe.Prober
	running   map[string]chan struct{}
}

// New returns a poller.
func New(d directory, v views, h fleet, p *probe.Prober) *Poller {
	return &Poller{
		directory: d,
		views:     v,
		hosts:     h,
		prober:    p,
		running:   map[string]chan struct{}{},
	}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
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
			p.prober.CloseIdle()
		}
	}
}

// startRounds starts a poll of each service for which this host is one of the
// pollers and has no poll under way.
func (p *Poller) startRounds(ctx context.Context, parts *conc.WaitGroup) {
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
			guard.Run("poll", func() {
				p.pollService(ctx, service, rank)
			})
		})
	}
}

// pollService polls the primary of a service if its newest position is too old,
// and renews the lease if the store does not answer.
func (p *Poller) pollService(ctx context.Context, service string, rank int) {
	v := p.views.View(service)
	l, _ := v.Leader()
	s, ok := p.directory.Server(l.Primary)
	if !ok {
		return
	}
	asked, _, known := v.NewestPosition()
	stale := maxPositionAge * time.Duration(rank+1)
	if !known || uptime.Now()-asked > stale {
		p.pollPosition(ctx, v, s)
	}
	if uptime.Now()-p.directory.LeasesAsOf() > maxTableAge && v.LeaseAge() > leaseRenewalInterval {
		p.renewLease(ctx, v, s)
	}
}

// pollPosition asks the primary where its log ends.
func (p *Poller) pollPosition(ctx context.Context, v *dbview.View, s server.Server) {
	asked := uptime.Now()
	r, outcome, err := p.prober.Status(ctx, s)
	if err != nil {
		v.RecordFailure(s.ID)
		return
	}
	v.RecordAlive(s.ID)
	if outcome == reply.Done && r.Primary {
		v.RecordPosition(s.ID, asked, r.Received)
	}
}

// renewLease renews the lease if all replicas still follow the primary. A host
// that promotes a replica makes it stop receiving first (PauseReplication), so that no
// replica had been promoted when all of them were still receiving.
func (p *Poller) renewLease(ctx context.Context, v *dbview.View, primary server.Server) {
	asked := uptime.Now()
	lead, outcome, err := p.prober.Status(ctx, primary)
	if err != nil || outcome != reply.Done || !lead.Primary {
		return
	}
	replicas := 0
	for _, s := range p.directory.Servers(v.Service()) {
		if s.ID == primary.ID {
			continue
		}
		replicas++
		r, outcome, err := p.prober.Status(ctx, s)
		if err != nil || outcome != reply.Done || !follows(r, lead) {
			klog.V(1).InfoS("the lease was not renewed: a replica did not answer or does not follow the primary", "service", v.Service(), "primary", primary.ID, "replica", s.ID)
			return
		}
	}
	if replicas == 0 {
		return // the copy of the table lacks those that may have been promoted
	}
	v.RenewLease(primary.ID, asked)
	p.hosts.PushNow()
}

// follows reports whether a replica with the report r follows the primary with
// the report lead.
func follows(r, lead report.Report) bool {
	return !r.Primary && r.PausedTerm == 0 && r.Term <= lead.Term
}
