// Package edge runs a host of a fleet whose instances register themselves: it
// joins the parts, serves callers, and stops without cutting a request.
package edge

import (
	"context"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/models/tuning"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/audit"
	"wasabislip.example/wasabislip/internal/modules/counts"
	"wasabislip.example/wasabislip/internal/modules/local"
	"wasabislip.example/wasabislip/internal/routers/holder"
	"wasabislip.example/wasabislip/internal/routers/wire"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/enroll"
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
	// divideEvery is the time between two divisions of the workspaces' rates.
	shareInterval = 200 * time.Millisecond
	// homeTimeout bounds the question whether an operation is within its
	// workspace's rate, which takes a round trip; past it the host's own part
	// of the rate decides.
	homeTimeout = 60 * time.Millisecond
	// settleTime is how long after its start a host may not have heard of all
	// others: some rounds of gossip.
	joinPeriod = 2 * time.Second
	// cutOffAfter is how long a host hears neither of the store nor of most
	// others before it sends callers elsewhere: copies and reports are a second
	// old at most in the calm, and the balancer needs as long again.
	isolatedAfter = 1500 * time.Millisecond
	// memoryPart is the part of the memory limit at which the collector works
	// harder; the rest is for stacks and for what the kernel counts.
	heapFraction = 0.7
	// collectAt lets the heap grow to this percentage before a collection: a
	// host's live heap is a few megabytes, and processor time is dearer.
	gcPercent = 300
	// headerTimeout bounds a request's head on the host's own HTTP ports.
	headerTimeout = 5 * time.Second
)

// store is the platform's store.
type store interface {
	Read(ctx context.Context, table string) ([]tuple.Tuple, uint64, error)
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) ([]tuple.Tuple, uint64, error)
	Write(ctx context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error)
}

// decoder reads the rows that others wrote.
type decoder interface {
	IsPolicy(key string) bool
	Evacuated(key string) (dataCentre string, ok bool)
	Policy(value []byte) (*policy.Policy, error)
	Server(id string, value []byte) (server.Server, error)
}

// promoter gives the order that makes an instance the primary.
type promoter interface {
	Promote(ctx context.Context, service, id, holder string, token uint64) error
}

// dialer opens connections to instances.
type dialer interface {
	Dial(ctx context.Context, address string) (link.Link, error)
}

// network listens and dials; tests use one in memory.
type network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Host is one host. Its fields are set before Run.
type Host struct {
	// Settings are the host's own.
	Settings *local.Settings
	// Store is the platform's store.
	Store store
	// Decoder reads the rows that others wrote.
	Decoder decoder
	// OperatorTable and ServerTable are the store's names of their tables.
	OperatorTable string
	// ServerTable holds the registered instances.
	ServerTable string
	// Orders changes primaries.
	Orders promoter
	// Instances opens connections to instances.
	Instances dialer
	// Network listens and dials other hosts.
	Network network
	// Tuning decides how long statements wait.
	Tuning tuning.Tuning
	// Wire wraps a caller's connection.
	Wire func(c net.Conn) wire.Wire
	// Dropped tells how many log lines were dropped.
	Dropped func() int64

	mirror    *mirror.Mirror
	views     *views.Views
	gossip    *gossip.Gossip
	registrar *enroll.Registrar
	rates     *rates.Rates
	pools     *pools.Pools
	forwarder *forwd.Forwarder
	tasks     *holder.Holder
	audit     *audit.Audit
	metrics   *counts.Counts

	mu       sync.Mutex
	sessions map[*caller]struct{}
	stopping bool
	started  time.Time
	accepted int64
}

// lateRank gives the mirror the ranking of a gossip that is made after it.
type deferredRank struct {
	gossip *gossip.Gossip
}

func (l *deferredRank) Rank(duty string) int {
	return l.gossip.Rank(duty)
}

// lateCensus gives the views the registration of a census made after them.
type deferredRegistrar struct {
	registrar *enroll.Registrar
}

func (l *deferredRegistrar) RegisteredSince() (time.Duration, bool) {
	return l.registrar.RegisteredSince()
}

// Sharing returns how many hosts hold connections to the instances of a data
// centre: those that stand there. Others open one only where none of those
// answers.
func (h *Host) Sharing(dataCentre string) int {
	if dataCentre != h.Settings.DataCentre {
		return math.MaxInt
	}
	heard := 1
	for _, other := range h.gossip.Alive() {
		if other.DataCentre == dataCentre && other.State == host.Alive {
			heard++
		}
	}
	// A host that is cut off hears of nobody; the others are still there.
	registered := 0
	for _, other := range h.mirror.Registered() {
		if other.DataCentre == dataCentre && other.State == host.Alive {
			registered++
		}
	}
	return max(heard, registered)
}

// Home returns the host that counts a workspace's operations; false when it is
// this one.
func (h *Host) Home(workspace string) (host.Host, bool) {
	return h.forwarder.Home(workspace)
}

// Ask asks another host to count one operation.
func (h *Host) Ask(ctx context.Context, home host.Host, workspace string, c permit.Request) (ok bool, after time.Duration, why string, err error) {
	r, err := h.forwarder.Call(ctx, home, &task.Task{
		Kind:          task.Admit,
		Workspace:     workspace,
		PermitRequest: c,
		Deadline:      time.Now().Add(homeTimeout),
	})
	if r.Outcome != reply.Done {
		return false, r.RetryAfter, r.Message, err
	}
	return true, r.StartAfter, "", err
}

// Size returns how many hosts share the workspaces' rates. Soon after the start few were heard, but all are
// registered.
func (h *Host) Size() int {
	heard := len(h.gossip.Alive()) + 1
	if time.Since(h.started) < joinPeriod {
		return max(heard, len(h.mirror.Registered()))
	}
	return heard
}

func (h *Host) build() {
	h.started = time.Now()
	h.sessions = map[*caller]struct{}{}
	self := host.Host{
		Name:        h.Settings.Host,
		Address:     h.Settings.PeerAddress,
		RunAddress:  h.Settings.RunAddress,
		DataCentre:  h.Settings.DataCentre,
		State:       host.Alive,
		Incarnation: uint64(h.started.UnixMilli()),
	}
	rank := &deferredRank{}
	registry := &deferredRegistrar{}
	h.mirror = mirror.New(h.Store, h.Decoder, rank, h.OperatorTable, h.ServerTable)
	h.views = views.New(func(service string) *dbview.View {
		return dbview.New(service, self.DataCentre, mirror.Fleet, h.mirror, registry)
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
	registry.registrar = h.registrar
	h.pools = pools.New(h.mirror, h, h.Instances)
	h.forwarder = forwd.New(self, h.gossip, h.mirror, h.pools, h.Network.Dial)
	h.tasks = holder.New(h.mirror, h.pools, h.rates)
	h.audit = audit.New()
	h.metrics = counts.New()
	h.registerGauges()
}

// publish adds what is read when metrics are fetched.
func (h *Host) registerGauges() {
	h.metrics.Gauge("callers", "Callers connected.", func() float64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return float64(len(h.sessions))
	})
	h.metrics.Gauge("instance_connections", "Connections to instances.", func() float64 {
		open, _, _ := h.pools.Counts()
		return float64(open)
	})
	h.metrics.Gauge("instance_connections_opened", "Connections to instances opened since the start.", func() float64 {
		_, opened, _ := h.pools.Counts()
		return float64(opened)
	})
	h.metrics.Gauge("configuration_version", "The configuration in force.", func() float64 {
		if p := h.mirror.Policy(); p != nil {
			return float64(p.Version)
		}
		return 0
	})
	h.metrics.Gauge("lease_age_seconds", "Age of the copy that renews the leases of primaries.", func() float64 {
		return h.mirror.Age(mirror.Fleet).Seconds()
	})
	h.metrics.Gauge("hosts", "Other hosts alive.", func() float64 {
		return float64(len(h.gossip.Alive()))
	})
	h.metrics.Gauge("log_lines_dropped", "Log lines dropped since the start.", func() float64 {
		return float64(h.Dropped())
	})
}

// Run serves until ctx ends, and then stops in order.
func (h *Host) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(h.Settings.Memory) * heapFraction * (1 << 20)))
	h.build()
	klog.InfoS("start", "host", h.Settings.Host, "data-centre", h.Settings.DataCentre, "callers", h.Settings.CallerAddress)
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var parts conc.WaitGroup
	h.serveHTTP(&parts, listeners)
	parts.Go(func() { h.mirror.Run(background) })
	parts.Go(func() { h.gossip.Run(background) })
	parts.Go(func() { h.registrar.Run(background) })
	parts.Go(func() { h.pools.Run(background) })
	parts.Go(func() { h.updateShares(background) })
	prober := probe.New(h.Instances, h.mirror)
	parts.Go(func() {
		poller.New(h.mirror, h.views, h.gossip, prober, mirror.Fleet).Run(background)
	})
	parts.Go(func() { h.newFailover(prober).Run(background) })
	parts.Go(func() { h.tasks.Serve(background, listeners.runs) })
	parts.Go(func() { h.accept(background, listeners.callers) })
	<-ctx.Done()
	h.stop(background, listeners)
	cancel()
	parts.Wait()
	klog.InfoS("stop", "host", h.Settings.Host, "after", time.Since(h.started).String())
	return nil
}

func (h *Host) newFailover(p *probe.Prober) *failov.Failover {
	return &failov.Failover{
		Host:       h.Settings.Host,
		FleetTable: mirror.Fleet,
		Directory:  h.mirror,
		Store:      h.Store,
		Platform:   h.Orders,
		Prober:     p,
		Hosts:      h.gossip,
		Views:      h.views,
		Meter:      h.metrics,
	}
}

// divide keeps this host's parts of the workspaces' rates up to date.
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
			h.rates.UpdateShares(p, h.gossip.PeerDemands(p.Version), h.Size(), len(h.gossip.Alive())+1)
		}
	}
}

// listeners are the host's open ports.
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

// serveHTTP answers other hosts, the balancer and who reads metrics.
func (h *Host) serveHTTP(parts *conc.WaitGroup, l *listeners) {
	peers := http.NewServeMux()
	path, handler := wasabislipv1connect.NewGossipServiceHandler(h.gossip)
	peers.Handle(path, handler)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", h.metrics.Handler())
	for listener, handler := range map[net.Listener]http.Handler{
		l.peers:   peers,
		l.ready:   http.HandlerFunc(h.serveReady),
		l.metrics: metrics,
	} {
		s := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
		}
		parts.Go(func() {
			if err := s.Serve(listener); err != nil && !isClosed(err) {
				klog.ErrorS(err, "a port is not served any more", "address", listener.Addr().String())
			}
		})
	}
}

// cutOff reports whether this host has lost both the store and most other
// hosts, so that it soon can use no primary and others can.
func (h *Host) isIsolated() bool {
	if h.mirror.Age(mirror.Fleet) < isolatedAfter {
		return false
	}
	return 2*(h.gossip.CountHeard(isolatedAfter)+1) < len(h.mirror.Registered())
}

// answerReady tells the balancer whether to send new callers here.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.isStopping() || h.mirror.Policy() == nil || h.isIsolated() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
