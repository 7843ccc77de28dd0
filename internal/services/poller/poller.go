// Package poller polls primaries for their positions in the log while no traffic
// tells them, so that reads can run on replicas and a failed primary is noticed.
package poller

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/leader"
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
	// minPause and maxPause bound the pause after a poll without a position, which
	// doubles: an instance that refuses connections since it has too many must not be
	// asked for one more ten times a second. With maxPause a primary that fails after
	// it refused is noticed before it has been silent for 0.9 s, when it is replaced.
	minPause = 100 * time.Millisecond
	maxPause = 600 * time.Millisecond
	// maxUnconfirmed is the age of a primary's last known answer to any host from which
	// on the other pollers are asked for a newer one.
	maxUnconfirmed = 300 * time.Millisecond
	// maxRunning bounds the polls under way. A host of the design size polls six
	// primaries; one that hears of no other host would poll all 1,100.
	maxRunning = 64
	// leaseRenewalInterval is how old the lease must be before the replicas are
	// asked to renew it: a fifth of the lease's time.
	leaseRenewalInterval = 500 * time.Millisecond
	// leaseRankDelay is how much longer each further host in the ranking waits. A renewal
	// opens a connection to each instance, and the other hosts hear of it. It is at most
	// maxLeaseRankDelay, so that leases are renewed in time whichever hosts are lost.
	leaseRankDelay    = 250 * time.Millisecond
	maxLeaseRankDelay = time.Second
	// maxTableAge is the age of the fleet's table past which the store counts
	// as not answering, so that the lease is renewed by asking the replicas
	// whether they still follow the primary. A table whose records of primaries
	// are not complete, since the store was restored, does not count.
	maxTableAge = 1200 * time.Millisecond
	// maxRegistrationWait is how long after the start nothing is polled while this host is
	// not registered. After that it looks for primaries that fail.
	maxRegistrationWait = 2 * time.Second
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
	IsAmong(duty string, n int) bool
	RankingVersion() uint64
	KnowsFleet() bool
	AskFirst(ctx context.Context, duty string, n int)
	PushNow()
}

// registry knows since when this host is registered in the platform's store.
type registry interface {
	Registered() (since, until time.Duration, ok bool)
}

// Poller polls primaries, with up to one goroutine for each of maxRunning services.
type Poller struct {
	directory directory
	views     views
	hosts     fleet
	registry  registry
	prober    *probe.Prober
	services  map[string]*serviceState
	// running holds an element for each poll under way.
	running chan struct{}
	// started is when Run began. registered is set once this host has been registered.
	started    time.Duration
	registered bool
}

// serviceState is what is kept of one service between two checks.
type serviceState struct {
	// duty is the name under which hosts are ranked for polling the primary: that for
	// replacing it, so that those who may replace it notice that it fails.
	duty string
	// polls says that this host is one of the pollers, as of a version of the ranking.
	polls   bool
	ranking uint64
	// polling says that a poll is under way. The fields after it belong to the
	// poll until it ends.
	polling atomic.Bool
	// nextPoll is when the primary may be polled again, after the present pause.
	nextPoll time.Duration
	pause    time.Duration
}

// New returns a poller.
func New(d directory, v views, h fleet, r registry, p *probe.Prober) *Poller {
	return &Poller{
		directory: d,
		views:     v,
		hosts:     h,
		registry:  r,
		prober:    p,
		services:  map[string]*serviceState{},
		running:   make(chan struct{}, maxRunning),
	}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	var parts conc.WaitGroup
	defer parts.Wait()
	p.started = uptime.Now()
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
// pollers, has no poll under way and needs an answer. It begins with a random service,
// so that each gets its turn when there are too many.
func (p *Poller) startRounds(ctx context.Context, parts *conc.WaitGroup) {
	if p.directory.LeasesAsOf() == 0 || !p.hosts.KnowsFleet() {
		// Without a copy of the fleet table there is no lease, and no answer counts. A
		// host that does not know the others would take itself for one of few, and poll
		// all primaries.
		return
	}
	if p.awaitsRegistration() {
		return
	}
	now := uptime.Now()
	ranking := p.hosts.RankingVersion()
	list := p.directory.Services()
	first := 0
	if len(list) > 0 {
		first = rand.N(len(list))
	}
	for i := range list {
		service := list[(first+i)%len(list)]
		state, ok := p.services[service]
		if !ok {
			state = &serviceState{
				duty: leader.Duty(service),
			}
			p.services[service] = state
		}
		if state.ranking != ranking {
			state.polls = p.hosts.IsAmong(state.duty, maxPollers)
			state.ranking = ranking
		}
		if !state.polls || state.polling.Load() || now < state.nextPoll {
			continue
		}
		v := p.views.View(service)
		r := p.need(v, state.duty)
		if !r.position && !r.lease {
			continue
		}
		select {
		case p.running <- struct{}{}:
		default:
			return // the others get their turn in a later check
		}
		state.polling.Store(true)
		parts.Go(func() {
			defer func() {
				<-p.running
				state.polling.Store(false)
			}()
			guard.Run("poll", func() {
				p.pollService(ctx, v, state, r)
			})
		})
	}
}

// awaitsRegistration reports whether this host has just started and is not registered yet.
// It has no lease then, so that no position counts that a primary tells, and all pollers
// would go on asking at each check.
func (p *Poller) awaitsRegistration() bool {
	if !p.registered {
		_, _, p.registered = p.registry.Registered()
	}
	return !p.registered && uptime.Now()-p.started < maxRegistrationWait
}

// round is what a poll of a service is for.
type round struct {
	position bool
	lease    bool
}

// need returns what this host has to ask a service's instances for: the primary's
// position if its newest one is too old, and a renewal of the lease if the store does
// not answer.
func (p *Poller) need(v *dbview.View, duty string) round {
	asked, _, known := v.NewestPosition()
	age := uptime.Now() - asked
	leaseAge := v.LeaseAge()
	rank := func() time.Duration { return time.Duration(p.hosts.Rank(duty)) } // only if needed
	return round{
		position: !known || age > maxPositionAge && age > maxPositionAge*(rank()+1),
		lease:    uptime.Now()-p.directory.LeasesAsOf() > maxTableAge && leaseAge > leaseRenewalInterval && leaseAge > leaseRenewalInterval+min(rank()*leaseRankDelay, maxLeaseRankDelay),
	}
}

// pollService polls the primary of a service, and renews the lease, as far as needed.
func (p *Poller) pollService(ctx context.Context, v *dbview.View, state *serviceState, r round) {
	l, _ := v.Leader()
	s, ok := p.directory.Server(l.Primary)
	if !ok {
		return
	}
	if !r.position || p.pollPosition(ctx, v, s, state.duty) {
		state.pause = 0
	} else {
		state.pause = min(max(2*state.pause, minPause), maxPause)
		if r.lease {
			state.pause = min(state.pause, maxPause/2) // several trials in the time of a lease
		}
		state.nextPoll = uptime.Now() + state.pause
	}
	if r.lease {
		p.renewLease(ctx, v, s)
	}
}

// pollPosition asks the primary where its log ends. It reports whether the primary told.
// If it does not answer, the other pollers are asked whether it answers them.
func (p *Poller) pollPosition(ctx context.Context, v *dbview.View, s server.Server, duty string) bool {
	asked := uptime.Now()
	r, outcome, err := p.prober.Status(ctx, s)
	if err != nil {
		v.RecordFailure(s.ID)
		// It is not silent if it answers another one; in a large fleet their reports
		// take longer than the time after which it is replaced.
		if uptime.Now()-v.LastAnswer(s.ID) > maxUnconfirmed {
			p.hosts.AskFirst(ctx, duty, maxPollers-1)
		}
		return false
	}
	v.RecordAlive(s.ID)
	if outcome != reply.Done || !r.Primary {
		return false
	}
	v.RecordPosition(s.ID, asked, r.Received)
	return true
}

// renewLease renews the lease if all replicas still follow the primary. A host
// that promotes a replica makes it stop receiving first (PauseReplication), so that no
// replica had been promoted when all of them were still receiving. Each answer has to be
// from after asked.
func (p *Poller) renewLease(ctx context.Context, v *dbview.View, primary server.Server) {
	asked := uptime.Now()
	lead, outcome, err := p.prober.FreshStatus(ctx, primary)
	if err != nil || outcome != reply.Done || !lead.Primary {
		return
	}
	replicas := 0
	for _, s := range p.directory.Servers(v.Service()) {
		if s.ID == primary.ID {
			continue
		}
		replicas++
		r, outcome, err := p.prober.FreshStatus(ctx, s)
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
