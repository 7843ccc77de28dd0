// Package gossip spreads what hosts know among them: copies of the platform's
// tables, positions, demands, and who is alive. Only what a host asked for
// itself renews anything that ages; what others send unasked may have been
// held up on its way.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// interval is the time between two exchanges of a host in a small fleet, or
	// of one that passes on what it learns in a large one; leafInterval that of
	// all others there. With the readers' 0.5 s a copy of the fleet's table is
	// a second old at most.
	interval     = 200 * time.Millisecond
	leafInterval = 350 * time.Millisecond
	// smallFleet is the number of hosts from which on gossip goes by hubs.
	smallFleet = 16
	// exchangeTimeout bounds one exchange, which takes a round trip.
	exchangeTimeout = 600 * time.Millisecond
	// aliveFor is how long a host counts as alive after it last said
	// something: several rounds of gossip.
	aliveFor = 2500 * time.Millisecond
	// forgetAfter is how long a host that fell silent is remembered.
	forgetAfter = 30 * time.Second
	// urgentPeers is how many hosts are told of a change at once.
	urgentPeers = 4
	// urgentPause is the least time between two such rounds.
	urgentPause = 60 * time.Millisecond
	// unreachableAfter is how long a host fails to reach a primary before it
	// says so to others.
	unreachableAfter = 700 * time.Millisecond
	// connections is how many idle connections are kept to one host.
	connections = 2
)

// groups is what is known of the services.
type groups interface {
	Reports() []*wasabislipv1.ServiceReport
	Learn(list []*wasabislipv1.ServiceReport, since time.Duration)
	Behind(list []*wasabislipv1.ServiceReport) bool
	Unreachable(limit time.Duration) []string
	Unfinished() []string
}

// demands is what this host is asked for.
type demands interface {
	Demands() (demands []byte, version uint64)
}

type dial func(ctx context.Context, network, address string) (net.Conn, error)

// Gossip exchanges knowledge with other hosts. It is safe for concurrent use.
type Gossip struct {
	self    host.Host
	seeds   []string
	mirror  *mirror.Mirror
	groups  groups
	demands demands
	client  *http.Client
	urgent  chan struct{}

	mu       sync.Mutex
	sequence uint64
	stopping bool
	hosts    map[string]*peer
}

// peer is another host.
type peer struct {
	report *wasabislipv1.HostReport
	// heard is when the host said what the report holds, or later.
	heard time.Duration
	// avoid is until when exchanges prefer others: it did not answer.
	avoid time.Duration
	alive bool
}

// New returns gossip for the host self, which answers others at its address.
// Seeds are addresses of hosts to ask before any other is known.
func New(self host.Host, seeds []string, m *mirror.Mirror, g groups, d demands, dialer dial) *Gossip {
	return &Gossip{
		self:    self,
		seeds:   seeds,
		mirror:  m,
		groups:  g,
		demands: d,
		urgent:  make(chan struct{}, 1),
		hosts:   map[string]*peer{},
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer,
				DisableCompression:  true,
				MaxIdleConnsPerHost: connections,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
}

// Run exchanges until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var parts conc.WaitGroup
	parts.Go(func() {
		for wait(ctx, g.pause()) {
			if p, ok := g.partner(); ok {
				g.exchange(ctx, p)
			}
		}
	})
	parts.Go(func() {
		g.spread(ctx)
	})
	parts.Wait()
}

func (g *Gossip) pause() time.Duration {
	d := interval
	if known := g.known(); len(known) >= smallFleet && !g.passes(known) {
		d = leafInterval
	}
	return d/2 + rand.N(d)
}

// spread tells some hosts at once when something changed.
func (g *Gossip) spread(ctx context.Context) {
	for {
		changed := g.mirror.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-g.urgent:
		}
		g.tell(ctx)
		if !wait(ctx, urgentPause) {
			return
		}
	}
}

// Urge makes the host tell others what it knows without delay.
func (g *Gossip) Urge() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// tell exchanges with hosts that are alive, or after a start, when none was
// heard, with those that are registered.
func (g *Gossip) tell(ctx context.Context) {
	alive := g.Alive()
	if len(alive) == 0 {
		alive = g.known()
	}
	list := g.urgentOf(alive)
	rand.Shuffle(len(list), func(i, j int) {
		list[i], list[j] = list[j], list[i]
	})
	var calls conc.WaitGroup
	for _, h := range list[:min(len(list), urgentPeers)] {
		calls.Go(func() {
			g.exchange(ctx, h)
		})
	}
	calls.Wait()
}

func hostOf(r *wasabislipv1.HostReport) host.Host {
	return host.Host{
		Name:        r.GetName(),
		Address:     r.GetAddress(),
		RunAddress:  r.GetRunAddress(),
		DataCentre:  r.GetDataCentre(),
		Incarnation: r.GetIncarnation(),
	}
}

// exchange sends what this host knows to another and takes what that lacks.
func (g *Gossip) exchange(ctx context.Context, h host.Host) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	asked := uptime.Now()
	c := wasabislipv1connect.NewGossipServiceClient(g.client, "http://"+h.Address)
	r, err := c.Spread(ctx, connect.NewRequest(&wasabislipv1.SpreadRequest{
		From:      g.self.Name,
		Knowledge: g.knowledge(nil, g.told()),
	}))
	if err != nil {
		g.avoid(h.Name)
		return
	}
	k := r.Msg.GetKnowledge()
	g.learnHosts(k.GetHosts(), asked)
	g.learnTables(k.GetTables(), asked)
	g.groups.Learn(k.GetServices(), asked)
}

func (g *Gossip) avoid(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.hosts[name]; p != nil {
		p.avoid = uptime.Now() + time.Second
	}
}

// Spread answers another host's exchange.
func (g *Gossip) Spread(_ context.Context, r *connect.Request[wasabislipv1.SpreadRequest]) (*connect.Response[wasabislipv1.SpreadResponse], error) {
	k := r.Msg.GetKnowledge()
	g.learnHosts(k.GetHosts(), uptime.Now())
	if g.behind(k.GetTables()) || g.groups.Behind(k.GetServices()) {
		g.fetch(r.Msg.GetFrom())
	}
	return connect.NewResponse(&wasabislipv1.SpreadResponse{
		Knowledge: g.knowledge(k.GetTables(), g.reports()),
	}), nil
}

// fetch asks the host that knows more.
func (g *Gossip) fetch(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.hosts[name]; p != nil {
		go g.exchange(context.Background(), hostOf(p.report))
	}
}

// behind reports whether another host has newer copies of the tables whose
// changes must not wait.
func (g *Gossip) behind(list []*wasabislipv1.Table) bool {
	for _, t := range list {
		if t.GetName() == mirror.Servers || !isTable(t.GetName()) {
			continue
		}
		digest, version, _ := g.mirror.Digest(t.GetName())
		if t.GetVersion() > version && t.GetDigest() != digest {
			return true
		}
	}
	return false
}

func isTable(name string) bool {
	return slices.Contains([]string{mirror.Operators, mirror.Servers, mirror.Fleet}, name)
}

// knowledge tells what this host knows; theirs are the copies that the other
// host has, so that newer ones are sent whole.
func (g *Gossip) knowledge(theirs []*wasabislipv1.Table, hosts []*wasabislipv1.HostReport) *wasabislipv1.Knowledge {
	k := &wasabislipv1.Knowledge{
		Services: g.groups.Reports(),
		Hosts:    hosts,
	}
	for _, name := range []string{mirror.Operators, mirror.Servers, mirror.Fleet} {
		k.Tables = append(k.Tables, g.copyOf(name, theirs))
	}
	return k
}

func (g *Gossip) copyOf(name string, theirs []*wasabislipv1.Table) *wasabislipv1.Table {
	digest, version, asOf := g.mirror.Digest(name)
	t := &wasabislipv1.Table{
		Name:    name,
		Version: version,
		Digest:  digest,
		AgeMs:   uint64((uptime.Now()-asOf)/time.Millisecond) + 1,
	}
	for _, other := range theirs {
		if other.GetName() != name || other.GetVersion() >= version || other.GetDigest() == digest {
			continue
		}
		rows, v, _ := g.mirror.Copy(name)
		t.Full = true
		t.Version = v
		for _, r := range rows {
			t.Rows = append(t.Rows, &wasabislipv1.Row{
				Key:     r.Key,
				Value:   r.Value,
				Version: r.Version,
			})
		}
	}
	return t
}

func (g *Gossip) learnTables(list []*wasabislipv1.Table, asked time.Duration) {
	for _, t := range list {
		if !isTable(t.GetName()) || t.GetVersion() == 0 {
			continue
		}
		asOf := asked - time.Duration(t.GetAgeMs())*time.Millisecond
		if !t.GetFull() {
			g.mirror.Confirm(t.GetName(), t.GetDigest(), t.GetVersion(), asOf)
			continue
		}
		rows := make([]tuple.Tuple, 0, len(t.GetRows()))
		for _, r := range t.GetRows() {
			rows = append(rows, tuple.Tuple{
				Table:   t.GetName(),
				Key:     r.GetKey(),
				Value:   r.GetValue(),
				Version: r.GetVersion(),
			})
		}
		g.mirror.Replace(t.GetName(), rows, t.GetVersion(), asOf)
	}
}

// told returns what this host sends unasked: all that it knows of the hosts, or
// in a large fleet only itself, unless it passes on what it learns.
func (g *Gossip) told() []*wasabislipv1.HostReport {
	known := g.known()
	if len(known) < smallFleet || g.passes(known) {
		return g.reports()
	}
	return g.own()
}

// own returns what this host tells of itself.
func (g *Gossip) own() []*wasabislipv1.HostReport {
	d, version := g.demands.Demands()
	unreachable := g.groups.Unreachable(unreachableAfter)
	unfinished := g.groups.Unfinished()
	seen := g.mirror.Version(mirror.Fleet)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	list := []*wasabislipv1.HostReport{{
		Name:           g.self.Name,
		Address:        g.self.Address,
		RunAddress:     g.self.RunAddress,
		DataCentre:     g.self.DataCentre,
		Incarnation:    g.self.Incarnation,
		Sequence:       g.sequence,
		Stopping:       g.stopping,
		Seen:           seen,
		Unreachable:    unreachable,
		Unfinished:     unfinished,
		Demands:        d,
		DemandsVersion: version,
	}}
	return list
}

// reports returns what the live hosts told of themselves, this one included.
func (g *Gossip) reports() []*wasabislipv1.HostReport {
	now := uptime.Now()
	list := g.own()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.hosts {
		if now-p.heard > aliveFor {
			continue
		}
		list = append(list, &wasabislipv1.HostReport{
			Name:           p.report.GetName(),
			Address:        p.report.GetAddress(),
			RunAddress:     p.report.GetRunAddress(),
			DataCentre:     p.report.GetDataCentre(),
			Incarnation:    p.report.GetIncarnation(),
			Sequence:       p.report.GetSequence(),
			AgeMs:          uint64((now - p.heard) / time.Millisecond),
			Stopping:       p.report.GetStopping(),
			Seen:           p.report.GetSeen(),
			Unreachable:    p.report.GetUnreachable(),
			Unfinished:     p.report.GetUnfinished(),
			Demands:        p.report.GetDemands(),
			DemandsVersion: p.report.GetDemandsVersion(),
		})
	}
	return list
}

func (g *Gossip) learnHosts(list []*wasabislipv1.HostReport, since time.Duration) {
	now := uptime.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range list {
		if r.GetName() == g.self.Name || r.GetName() == "" {
			continue
		}
		heard := since - time.Duration(r.GetAgeMs())*time.Millisecond
		p, ok := g.hosts[r.GetName()]
		if !ok {
			p = &peer{}
			g.hosts[r.GetName()] = p
		}
		if ok && !newer(r, p.report, heard > p.heard) {
			continue
		}
		p.report = r
		p.heard = max(p.heard, heard)
	}
	g.sweep(now)
}

// newer reports whether r says more than old. Two starts of one host can't be
// told apart by their incarnations, since clocks jump: the one heard later is
// the newer.
func newer(r, old *wasabislipv1.HostReport, later bool) bool {
	if r.GetIncarnation() != old.GetIncarnation() {
		return later
	}
	return r.GetSequence() > old.GetSequence()
}

// sweep logs which hosts came and went, and forgets those long silent.
func (g *Gossip) sweep(now time.Duration) {
	for name, p := range g.hosts {
		alive := now-p.heard < aliveFor
		if alive != p.alive {
			klog.InfoS("host", "host", name, "alive", alive, "silent", (now - p.heard).String(), "stopping", p.report.GetStopping())
		}
		p.alive = alive
		if now-p.heard > forgetAfter {
			delete(g.hosts, name)
		}
	}
}

// Stop tells the others that this host is leaving.
func (g *Gossip) Stop() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.Urge()
}
