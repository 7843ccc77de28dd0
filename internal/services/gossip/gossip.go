// Package gossip exchanges state between hosts by push-pull gossip: copies of
// the platform's tables, log positions, the demand on each host, and which
// hosts are alive.
//
// Only the answer to a host's own request renews the age of tables and service
// reports: the host knows when it sent the request. A pushed message may have
// been delayed on its way, and its age can't be told.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// CompressMinBytes is the least size of an answer to an exchange that is compressed
// as a whole: one with the rows of tables. The list of hosts is compressed by itself,
// once for many answers.
const CompressMinBytes = 32 << 10

const (
	// interval is the mean time between two exchanges of a host in a small
	// fleet, and of a reader or hub in a large one (see partner.go);
	// leafInterval is that of the other hosts of a large fleet. Together with the 0.5 s between two reads of the
	// store, a copy of the fleet table is at most a second old.
	interval     = 200 * time.Millisecond
	leafInterval = 350 * time.Millisecond
	// detourDivisor shortens the pause after an exchange of a large fleet with a random
	// host, which reports travel by more slowly than through the hubs.
	detourDivisor = 4
	// maxFirstPause bounds the time from the start to the first exchange, which
	// gives this host its first copies of the tables.
	maxFirstPause = 80 * time.Millisecond
	// hubThreshold is the number of known hosts from which on gossip goes
	// through hubs.
	hubThreshold = 16
	// exchangeTimeout bounds one exchange, which takes one round trip.
	exchangeTimeout = 600 * time.Millisecond
	// dialTimeout bounds the opening of a connection, so that an exchange with a host
	// that has lost power, which refuses nothing, ends early.
	dialTimeout = 200 * time.Millisecond
	// aliveTimeout is how long a host counts as alive after its last known
	// report: several rounds of gossip.
	aliveTimeout = 2800 * time.Millisecond
	// forgetAfter is how long after its last report a host is removed.
	forgetAfter = 30 * time.Second
	// pushFanout is the number of hosts that a change is pushed to at once; in a
	// large fleet, the number beside all hubs.
	pushFanout = 4
	// minPushInterval is the least time between two pushes.
	minPushInterval = 60 * time.Millisecond
	// unreachableAfter is how long a host fails to reach a primary before it
	// reports the primary as unreachable.
	unreachableAfter = 700 * time.Millisecond
	// unrestoredPrefix starts the names of messages' tables that hold rows which a
	// restored store lacks, before the name of the rows' own table.
	unrestoredPrefix = "unrestored-"
	// maxIdleConns is the number of idle connections kept to each host.
	maxIdleConns = 2
)

// views holds what this host knows of each service: its instances' roles and
// log positions.
type views interface {
	Questions(all bool) []*wasabislipv1.ServiceReport
	Outdated(limit time.Duration) []string
	Reports(questions []*wasabislipv1.ServiceReport) []*wasabislipv1.ServiceReport
	MergeReports(list []*wasabislipv1.ServiceReport, since time.Duration)
	PeerHasNewerLease(list []*wasabislipv1.ServiceReport) bool
	UnreachableServices(limit time.Duration) []string
	ServicesInTransaction() []string
}

// demands tells how many operations a second of each workspace arrive at this
// host, one byte for each workspace, for a version of the configuration.
type demands interface {
	Demands() (demands []byte, version uint64)
}

type dial func(ctx context.Context, network, address string) (net.Conn, error)

// withTimeout returns the function with a time limit. The context of a request is not
// enough: an HTTP transport goes on dialling after the request has ended.
func (d dial) withTimeout(limit time.Duration) dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		return d(ctx, network, address)
	}
}

// Gossip exchanges state with other hosts. It is safe for concurrent use.
type Gossip struct {
	self          host.Host
	seeds         []string
	mirror        *mirror.Mirror
	views         views
	demands       demands
	client        *http.Client
	pushRequested chan struct{}
	started       time.Duration

	// ReportsUsage says that this host tells its wall clock and passes the row of the
	// usage reports on. It is set before Run.
	ReportsUsage bool

	mu       sync.Mutex
	sequence uint64
	stopping bool
	hosts    map[string]*peer
	packed   packedList
	// packedTables are rows of tables that were sent lately.
	packedTables packedTables
	// marks are the other hosts by the marks of their reports. listNeeded says that a
	// beat could not be assigned to one, lastList is when the list of hosts last came,
	// and lists how often it did.
	marks      map[uint64]*peer
	listNeeded bool
	lists      int64
	// beats caches the answers' beats.
	beats    *liveBeats
	lastList time.Duration
	// unreachable caches CountUnreachable.
	unreachable unreachableCount
	// hostsChanged says that a host came, went, restarted or stopped.
	hostsChanged bool

	// topologyMu guards cached and its ranks, the number of known hosts and since when it
	// is the same, and how often the topology was built from the hosts. It is taken before mu.
	topologyMu sync.Mutex
	cached     *topology
	knownCount int
	rankings   uint64
	knownSince time.Duration
}

// peer is another host.
type peer struct {
	report *wasabislipv1.HostReport
	// lastHeard is an estimate of when the host made its newest report; it is
	// never too early.
	lastHeard time.Duration
	// clock is the host's wall clock, since the start of 1970, less this host's clock of
	// uptime at the same moment; 0 if the host does not tell it.
	clock time.Duration
	// avoidUntil is the time until which exchanges prefer other hosts, since
	// this one did not answer.
	avoidUntil time.Duration
	alive      bool
	// packs says that the host accepts packed reports.
	packs bool
	// mark is the hash of what the report says, and changed when it last changed; see
	// beats.go.
	mark    uint64
	changed time.Duration
	// listed says whether the topology lists the host as alive.
	listed bool
}

// New returns the gossip of the host self, which serves other hosts at its
// address. Seeds are the addresses of hosts to contact while no other host is
// known.
func New(self host.Host, seeds []string, m *mirror.Mirror, v views, d demands, dialer dial) *Gossip {
	now := uptime.Now()
	return &Gossip{
		self:          self,
		seeds:         seeds,
		mirror:        m,
		views:         v,
		demands:       d,
		pushRequested: make(chan struct{}, 1),
		started:       now,
		knownSince:    now,
		hosts:         map[string]*peer{},
		marks:         map[uint64]*peer{},
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.withTimeout(dialTimeout),
				DisableCompression:  true,
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
}

// Run exchanges state with other hosts until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var parts conc.WaitGroup
	parts.Go(func() {
		guard.Keep(ctx, "gossip", g.exchangeLoop)
	})
	parts.Go(func() {
		guard.Keep(ctx, "gossip-push", g.pushLoop)
	})
	parts.Go(func() {
		guard.Keep(ctx, "gossip-positions", g.positionLoop)
	})
	parts.Wait()
}

// exchangeLoop exchanges with one host after the other.
func (g *Gossip) exchangeLoop(ctx context.Context) {
	pause := rand.N(maxFirstPause)
	for wait(ctx, pause) {
		p, upstream, ok := g.pickPeer()
		if ok {
			g.exchange(ctx, p, true)
		}
		pause = g.pause()
		if ok && !upstream {
			pause /= detourDivisor
		}
	}
}

// pause returns the time until the next exchange: random, from half to one and a
// half times the mean.
func (g *Gossip) pause() time.Duration {
	d := interval
	switch {
	case g.needsCopies():
		d = joinInterval
	case g.hasJustStarted():
		d = startInterval
	case g.isLeaf():
		d = leafInterval
	}
	return d/2 + rand.N(d)
}

// pushLoop pushes this host's state to some hosts when a table has changed or
// PushNow was called. In a large fleet only readers and hubs push what changed.
func (g *Gossip) pushLoop(ctx context.Context) {
	for {
		changed := g.mirror.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
			if g.isLeaf() {
				continue // it got the change from a hub, and the others do so too
			}
		case <-g.pushRequested:
		}
		g.push(ctx)
		if !wait(ctx, minPushInterval) {
			return
		}
	}
}

// PushNow makes this host push its state to others without waiting for the
// next exchange. It returns at once.
func (g *Gossip) PushNow() {
	select {
	case g.pushRequested <- struct{}{}:
	default:
	}
}

// isLarge reports whether gossip goes through hubs.
func (g *Gossip) isLarge() bool {
	return len(g.topology().known) >= hubThreshold
}

// isLeaf reports whether this host of a large fleet is neither a reader nor a hub.
func (g *Gossip) isLeaf() bool {
	return g.isLarge() && !g.topology().passesOn
}

// push exchanges with live hosts. Soon after a start, when no host was heard of,
// it exchanges with the hosts that are registered in the store.
func (g *Gossip) push(ctx context.Context) {
	list, n := g.pushTargets(g.topology())
	var calls conc.WaitGroup
	for _, h := range list[:min(len(list), n)] {
		calls.Go(func() {
			guard.Run("gossip-push", func() {
				g.exchange(ctx, h, !g.isLarge())
			})
		})
	}
	calls.Wait()
}

// exchange sends this host's state to another host and merges the answer; hosts says
// whether the reports of other hosts are exchanged too, beside the tables.
func (g *Gossip) exchange(ctx context.Context, h host.Host, hosts bool) {
	g.exchangeAbout(ctx, h, hosts, g.views.Questions(!g.isLarge()))
}

// exchangeAbout is exchange with questions about these services.
func (g *Gossip) exchangeAbout(ctx context.Context, h host.Host, hosts bool, services []*wasabislipv1.ServiceReport) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := g.knowledge(h.Name, services, nil, hosts && g.pushesAll(), g.packsFor(h.Name))
	var marks []uint64
	if hosts {
		marks = g.askForBeats(sent)
	}
	asked := uptime.Now()
	c := wasabislipv1connect.NewGossipServiceClient(g.client, "http://"+h.Address)
	r, err := c.Spread(ctx, connect.NewRequest(&wasabislipv1.SpreadRequest{
		From:         g.self.Name,
		Knowledge:    g.withUsage(sent, nil),
		WithoutHosts: !hosts,
	}))
	if err != nil {
		g.avoid(h.Name)
		return
	}
	k := r.Msg.GetKnowledge()
	g.mergeHosts(k.GetHosts(), asked)
	g.mergePacked(k, asked)
	if t := findBeats(k.GetTables()); t != nil && marks != nil {
		g.mergeBeats(t, marks, markOf(sent.GetHosts()[0]), asked)
	} else if hosts {
		g.noteList()
	}
	g.notePacks(h.Name, k.GetAcceptsPacked())
	g.mergeTables(k.GetTables(), asked)
	g.mergeUnrestored(k.GetTables())
	g.mergeUsage(k.GetTables())
	g.views.MergeReports(k.GetServices(), asked)
}

// avoid makes exchanges prefer other hosts for a second.
func (g *Gossip) avoid(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.hosts[name]; p != nil {
		p.avoidUntil = uptime.Now() + time.Second
	}
}

// Spread answers another host's exchange. When that host has newer state, this
// one pulls it by an exchange of its own: the request may have been delayed, so
// that its tables and service reports are not merged.
func (g *Gossip) Spread(ctx context.Context, r *connect.Request[wasabislipv1.SpreadRequest]) (*connect.Response[wasabislipv1.SpreadResponse], error) {
	k := r.Msg.GetKnowledge()
	g.mergeHosts(k.GetHosts(), uptime.Now())
	g.mergePacked(k, uptime.Now())
	g.notePacks(r.Msg.GetFrom(), k.GetAcceptsPacked())
	g.mergeUnrestored(k.GetTables())
	if g.peerHasNewerTable(k.GetTables()) || g.views.PeerHasNewerLease(k.GetServices()) {
		g.pullFrom(r.Msg.GetFrom())
	}
	g.waitFirstCopies(ctx, k.GetTables())
	hosts := !r.Msg.GetWithoutHosts()
	beats := findBeats(k.GetTables())
	answer := g.knowledge(r.Msg.GetFrom(), g.views.Reports(k.GetServices()), k.GetTables(), hosts && beats == nil, k.GetAcceptsPacked())
	if hosts && beats != nil && !g.addBeats(answer, beats) {
		g.setHosts(answer, true, k.GetAcceptsPacked())
	}
	return connect.NewResponse(&wasabislipv1.SpreadResponse{
		Knowledge: g.withUsage(answer, k.GetTables()),
	}), nil
}

// pullFrom exchanges in the background with a host that has newer state.
func (g *Gossip) pullFrom(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.hosts[name]; p != nil {
		h := hostOf(p.report)
		go guard.Run("gossip-pull", func() {
			g.exchange(context.Background(), h, false)
		})
	}
}

// Stop announces to the other hosts that this host is leaving.
func (g *Gossip) Stop() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.PushNow()
}
