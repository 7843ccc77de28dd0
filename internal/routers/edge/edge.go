// Package edge runs a host of a fleet whose instances register themselves in the
// platform's store. It builds and starts the host's services, accepts callers, and
// stops without interrupting a statement.
package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/models/leave"
	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/models/tuning"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/conf"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/modules/reqlog"
	"wasabislip.example/wasabislip/internal/modules/stats"
	"wasabislip.example/wasabislip/internal/routers/tasks"
	"wasabislip.example/wasabislip/internal/routers/wire"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/enroll"
	"wasabislip.example/wasabislip/internal/services/eras"
	"wasabislip.example/wasabislip/internal/services/failov"
	"wasabislip.example/wasabislip/internal/services/forwd"
	"wasabislip.example/wasabislip/internal/services/gossip"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/internal/services/poller"
	"wasabislip.example/wasabislip/internal/services/pools"
	"wasabislip.example/wasabislip/internal/services/probe"
	"wasabislip.example/wasabislip/internal/services/rates"
	"wasabislip.example/wasabislip/internal/services/views"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// shareInterval is how often this host's shares of the workspaces' rates are
	// computed.
	shareInterval = 200 * time.Millisecond
	// homeTimeout bounds the call that asks the home of a workspace's rate to
	// admit an operation, which takes a round trip. After it the host decides
	// by its own share of the rate.
	homeTimeout = 60 * time.Millisecond
	// joinPeriod is how long after its start a host may not have heard of all
	// other hosts: some rounds of gossip.
	joinPeriod = 2 * time.Second
	// isolatedAfter is how long a host hears neither from the store nor from
	// most other hosts before it tells the balancer to send callers elsewhere.
	// Without faults, copies of the store and reports are at most a second old.
	// The balancer needs about as long again.
	isolatedAfter = 1500 * time.Millisecond
	// heapFraction is the fraction of the memory limit that is set as the Go
	// runtime's soft limit, from which the garbage collector works harder. The
	// rest is for stacks and for memory that only the kernel counts.
	heapFraction = 0.7
	// gcPercent is how far the heap may grow before a garbage collection: a
	// host's live heap is a few megabytes, and processor time is scarcer.
	gcPercent = 300
	// headerTimeout bounds the reading of a request's header on the host's HTTP
	// ports.
	headerTimeout = 5 * time.Second
)

// store is the platform's store. Watch returns the rows that changed after a
// version; it waits for a change for at most wait. Write fails unless the rows in
// expected are unchanged.
type store interface {
	Read(ctx context.Context, table string) ([]tuple.Tuple, uint64, error)
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]tuple.Tuple, uint64, error)
	Write(ctx context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error)
}

// decoder decodes the rows of the store that operators and instances write.
type decoder interface {
	IsPolicy(key string) bool
	Evacuated(key string) (dataCentre string, ok bool)
	Policy(value []byte) (*policy.Policy, error)
	Server(id string, value []byte) (server.Server, error)
}

// promoter promotes an instance to primary, and takes usage reports; token is the
// fencing token.
type promoter interface {
	Promote(ctx context.Context, service, id, holder string, token uint64) error
	Report(ctx context.Context, window uint64, counts map[string]uint64, holder string, token uint64, until time.Duration) error
}

// dialer opens connections to instances.
type dialer interface {
	Dial(ctx context.Context, address string) (link.Link, error)
}

// network opens listeners and connections; tests use one in memory.
type network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Host is one host of the fleet. Its exported fields are set before Run.
type Host struct {
	// Settings are the host's own settings.
	Settings *conf.Settings
	// Store is the platform's store.
	Store store
	// Decoder decodes the rows that operators and instances write.
	Decoder decoder
	// OperatorTable is the name of the store's table with the operators'
	// configuration.
	OperatorTable string
	// ServerTable is the name of the store's table with the registered
	// instances.
	ServerTable string
	// Promoter promotes instances to primary and takes usage reports.
	Promoter promoter
	// InstanceDialer opens connections to instances.
	InstanceDialer dialer
	// Network opens listeners and connections to other hosts.
	Network network
	// Tuning sets how long statements wait.
	Tuning tuning.Tuning
	// NewConn wraps a network connection in the callers' protocol.
	NewConn func(c net.Conn) wire.Conn
	// DroppedLogLines returns how many log lines were dropped since the start.
	DroppedLogLines func() int64

	mirror     *mirror.Mirror
	views      *views.Views
	gossip     *gossip.Gossip
	registrar  *enroll.Registrar
	rates      *rates.Rates
	pools      *pools.Pools
	forwarder  *forwd.Forwarder
	tasks      *tasks.Server
	requestLog *reqlog.Logger
	stats      *stats.Stats
	// usage reports how many requests each workspace ran; nil if that is off.
	usage *usageReports
	// callersDone is closed once no caller is accepted any more.
	callersDone chan struct{}

	mu       sync.Mutex
	sessions map[*caller]struct{}
	stopping bool
	started  time.Time
	accepted int64
}

// deferredRank lets the mirror, which is built before the gossip, ask the gossip
// for ranks.
type deferredRank struct {
	gossip *gossip.Gossip
}

func (d *deferredRank) Rank(duty string) int {
	return d.gossip.Rank(duty)
}

func (d *deferredRank) Joining() bool {
	return d.gossip.Joining()
}

// deferredRegistrar lets the views, which are built before the registrar, ask it
// for this host's registration.
type deferredRegistrar struct {
	registrar *enroll.Registrar
}

func (d *deferredRegistrar) Registered() (since, until time.Duration, ok bool) {
	return d.registrar.Registered()
}

// CountPoolHosts returns how many hosts have pools of connections to the instances
// of a data centre: the hosts in that data centre. For another data centre than this
// host's it returns so many that this host's pools there have the least size, since
// it opens a connection there only if none of that data centre's hosts answers.
func (h *Host) CountPoolHosts(dataCentre string) int {
	if dataCentre != h.Settings.DataCentre {
		return math.MaxInt
	}
	heard := 1
	for _, other := range h.gossip.Alive() {
		if other.DataCentre == dataCentre && other.State == host.Alive {
			heard++
		}
	}
	// A host that is cut off from the others hears from none of them, but they
	// still hold their connections.
	registered := 0
	for _, other := range h.mirror.Registered() {
		if other.DataCentre == dataCentre && other.State == host.Alive {
			registered++
		}
	}
	return max(heard, registered)
}

// Home returns the home of a workspace's rate: the host that owns the workspace's
// token bucket. It returns false if that is this host.
func (h *Host) Home(workspace string) (host.Host, bool) {
	return h.forwarder.Home(workspace)
}

// RequestPermit asks the home of a workspace's rate, which is another host, to admit
// one operation.
func (h *Host) RequestPermit(ctx context.Context, home host.Host, workspace string, request permit.Request) (ok bool, after time.Duration, why string, err error) {
	r, err := h.forwarder.Call(ctx, home, &task.Task{
		Kind:          task.Admit,
		Workspace:     workspace,
		PermitRequest: request,
		Deadline:      time.Now().Add(homeTimeout),
	})
	if r.Outcome != reply.Done {
		return false, r.RetryAfter, r.Message, err
	}
	return true, r.StartAfter, "", err
}

// CountRateHosts returns how many hosts share the workspaces' rates: the hosts that
// are alive. Soon after its start a host has heard from few of them, but all are
// registered in the store.
func (h *Host) CountRateHosts() int {
	heard := len(h.gossip.Alive()) + 1
	if time.Since(h.started) < joinPeriod {
		return max(heard, len(h.mirror.Registered()))
	}
	return heard
}

// build creates the host's services.
func (h *Host) build() {
	h.started = time.Now()
	h.sessions = map[*caller]struct{}{}
	h.callersDone = make(chan struct{})
	self := host.Host{
		Name:        h.Settings.Host,
		Address:     h.Settings.PeerAddress,
		RunAddress:  h.Settings.RunAddress,
		DataCentre:  h.Settings.DataCentre,
		State:       host.Alive,
		Incarnation: uint64(h.started.UnixMilli()),
	}
	rank := &deferredRank{}
	registrar := &deferredRegistrar{}
	h.mirror = mirror.New(h.Store, h.Decoder, rank, h.OperatorTable, h.ServerTable)
	h.mirror.Leave = leave.Bound{
		Timeout: h.Settings.DrainTimeout,
	}
	h.mirror.Evacuation = leave.Bound{
		Timeout: h.Settings.EvacuationTimeout,
	}
	h.stats = stats.New()
	h.views = views.New(func(service string) *dbview.View {
		v := dbview.New(service, self.DataCentre, mirror.Fleet, h.mirror, registrar)
		if h.Settings.InstanceChoice == conf.Even {
			v.ChooseEvenly(rand.Float64, h.forwarder.CountHolders, h.stats)
		}
		return v
	})
	h.rates = &rates.Rates{
		Homes:     h,
		Window:    h.Settings.RateWindow,
		Overage:   h.Settings.RateOverage,
		Tolerance: h.Settings.RateTolerance,
	}
	h.gossip = gossip.New(self, h.Settings.SeedList(), h.mirror, h.views, h.rates, h.Network.Dial)
	rank.gossip = h.gossip
	h.registrar = enroll.New(self, h.mirror, h.Store, h.gossip)
	registrar.registrar = h.registrar
	h.pools = pools.New(h.mirror, h, h.InstanceDialer)
	h.forwarder = forwd.New(self, h.gossip, h.mirror, h.pools, h.Network.Dial)
	h.tasks = tasks.New(h.mirror, h.pools, h.rates)
	h.requestLog = reqlog.New()
	h.pools.Observer = &mismatches{
		log:   h.requestLog,
		stats: h.stats,
	}
	h.registerGauges()
	if h.Settings.InstanceChoice == conf.Even {
		h.pools.ReportLoad()
		h.stats.AddCounters("instance_statements_total", "Statements sent to each registered instance.", "instance", h.views.Sent)
	}
	h.buildUsage(self)
}

// Run serves callers until ctx ends, and then stops; see stop.
func (h *Host) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(h.Settings.MemoryMB) * heapFraction * (1 << 20)))
	h.build()
	prober := probe.New(h.InstanceDialer, h.mirror)
	h.registerProbeGauges(prober)
	klog.InfoS("start", "host", h.Settings.Host, "data-centre", h.Settings.DataCentre, "callers", h.Settings.CallerAddress)
	if h.Settings.InstanceChoice == conf.Even {
		klog.InfoS("reads are divided evenly among instances", "instance-choice", h.Settings.InstanceChoice)
	}
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	h.serveHTTP(&wg, listeners)
	wg.Go(func() { h.mirror.Run(background) })
	wg.Go(func() { h.gossip.Run(background) })
	wg.Go(func() { guard.Keep(background, "registrar", h.registrar.Run) })
	wg.Go(func() { guard.Keep(background, "pools", h.pools.Run) })
	wg.Go(func() { guard.Keep(background, "shares", h.updateShares) })
	wg.Go(func() {
		guard.Keep(background, "poller", poller.New(h.mirror, h.views, h.gossip, h.registrar, prober).Run)
	})
	wg.Go(func() { guard.Keep(background, "failover", h.newFailover(prober).Run) })
	wg.Go(func() { guard.Keep(background, "eras", h.newKeeper(prober).Run) })
	h.usage.run(background, &wg)
	wg.Go(func() { h.tasks.Serve(background, listeners.runs) })
	wg.Go(func() { h.accept(background, listeners.callers) })
	<-ctx.Done()
	h.stop(background, listeners)
	cancel()
	wg.Wait()
	klog.InfoS("stop", "host", h.Settings.Host, "after", time.Since(h.started).String())
	return nil
}

// newFailover returns the service that replaces primaries.
func (h *Host) newFailover(p *probe.Prober) *failov.Failover {
	return &failov.Failover{
		Host:       h.Settings.Host,
		FleetTable: mirror.Fleet,
		Directory:  h.mirror,
		Store:      h.Store,
		Platform:   h.Promoter,
		Prober:     p,
		Hosts:      h.gossip,
		Views:      h.views,
		Meter:      h.stats,
	}
}

// newKeeper returns the service that opens the eras of the store.
func (h *Host) newKeeper(p *probe.Prober) *eras.Keeper {
	return &eras.Keeper{
		Host:      h.Settings.Host,
		Directory: h.mirror,
		Store:     h.Store,
		Prober:    p,
		Hosts:     h.gossip,
		Views:     h.views,
	}
}

// updateShares keeps this host's shares of the workspaces' rates up to date. It
// recomputes them at once when the configuration changes.
func (h *Host) updateShares(ctx context.Context) {
	t := time.NewTicker(shareInterval)
	defer t.Stop()
	var last *policy.Policy
	for {
		changed := h.mirror.Changed()
		p := h.mirror.Policy()
		if p == last {
			select {
			case <-ctx.Done():
				return
			case <-changed:
				continue
			case <-t.C:
			}
		}
		last = p
		if p != nil {
			h.rates.UpdateShares(p, h.gossip.PeerDemands(p.Version), h.CountRateHosts(), len(h.gossip.Alive())+1)
		}
	}
}

// listeners are the host's listeners.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	peers   net.Listener
	metrics net.Listener
	runs    net.Listener
}

func (h *Host) listen() (*listeners, error) {
	l := &listeners{}
	for _, p := range []struct {
		address string
		into    *net.Listener
	}{
		{address: h.Settings.PeerAddress, into: &l.peers},
		{address: h.Settings.ReadyAddress, into: &l.ready},
		{address: h.Settings.MetricsAddress, into: &l.metrics},
		{address: h.Settings.RunAddress, into: &l.runs},
		{address: h.Settings.CallerAddress, into: &l.callers},
	} {
		listener, err := h.Network.Listen(p.address)
		if err != nil {
			return nil, err
		}
		*p.into = listener
	}
	return l, nil
}

// serveHTTP serves gossip, the balancer's readiness check and the metrics.
func (h *Host) serveHTTP(wg *conc.WaitGroup, l *listeners) {
	peers := http.NewServeMux()
	path, handler := wasabislipv1connect.NewGossipServiceHandler(h.gossip, connect.WithCompressMinBytes(gossip.CompressMinBytes))
	peers.Handle(path, handler)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", h.stats.Handler())
	for listener, handler := range map[net.Listener]http.Handler{
		l.peers:   peers,
		l.ready:   http.HandlerFunc(h.serveReady),
		l.metrics: metrics,
	} {
		s := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
		}
		wg.Go(func() {
			if err := s.Serve(listener); err != nil && !isClosed(err) {
				klog.ErrorS(err, "serving HTTP failed", "address", listener.Addr().String())
			}
		})
	}
}

// isIsolated reports whether this host has lost both the store and most other
// hosts. Its leases on the primaries then end soon, while the other hosts may still
// use the primaries.
func (h *Host) isIsolated() bool {
	if h.mirror.Age(mirror.Fleet) < isolatedAfter {
		return false
	}
	return 2*(h.gossip.CountHeard(isolatedAfter)+1) < len(h.mirror.Registered())
}

// serveReady tells the balancer whether to send new callers here.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.isStopping() || h.mirror.Policy() == nil || h.isIsolated() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
