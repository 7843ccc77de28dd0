package bill_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/models/usage"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/bill"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/internal/standin/bills"
	"wasabislip.example/wasabislip/internal/standin/memnet"
	"wasabislip.example/wasabislip/internal/standin/rowsrv"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/platform/order"
	"wasabislip.example/wasabislip/platform/rows"
)

const (
	storeAddress = "10.0.0.1:1"
	apiAddress   = "10.0.0.2:1"
	// openAfter is how long after a restore the new era is opened.
	openAfter = 2700 * time.Millisecond
	// gossipTime is how old copies of the tables are at least.
	gossipTime = 250 * time.Millisecond
	// settleTime is longer than any call.
	settleTime = 5 * time.Second
)

// params are the parameters of the specification.
var params = usage.Params{
	Window:    5 * time.Second,
	Delay:     10 * time.Second,
	Lease:     3 * time.Second,
	Tolerance: 0.05,
}

// shortParams give more windows and changes of holder in the same time.
var shortParams = usage.Params{
	Window:    time.Second,
	Delay:     3 * time.Second,
	Lease:     3 * time.Second,
	Tolerance: 0.05,
}

// world is a store, the platform's API and some hosts that share them.
type world struct {
	params usage.Params
	net    *memnet.Network
	store  *rowsrv.Store
	bills  *bills.Bills
	// duel makes each host take itself for the first in rank.
	duel      bool
	mu        sync.Mutex
	hosts     []*process
	suspended map[int]time.Time
	// held holds up the next write to the store until it is closed; nil for none.
	held chan struct{}
	// atCall is for how long a host is suspended right before its next report, by
	// index.
	atCall    map[int]time.Duration
	eras      uint64
	running   sync.WaitGroup
	stopped   chan struct{}
	listeners []net.Listener
}

// process is one process of a host.
type process struct {
	world    *world
	index    int
	self     host.Host
	skew     time.Duration
	mirror   *mirror.Mirror
	reporter *bill.Reporter
	cancel   context.CancelFunc
	done     chan struct{}
}

// run runs a script in a world of some hosts that start one after the other.
func run(t *testing.T, p usage.Params, hosts int, script func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		uptime.Restart()
		w := &world{
			params:    p,
			net:       memnet.New(100 * time.Microsecond),
			store:     rowsrv.New(),
			bills:     bills.New(params.Lease),
			hosts:     make([]*process, hosts),
			suspended: map[int]time.Time{},
			atCall:    map[int]time.Duration{},
			stopped:   make(chan struct{}),
		}
		w.serve(storeAddress, http.HandlerFunc(w.serveStore))
		w.serve(apiAddress, w.bills)
		w.store.Put(mirror.Fleet, "first", 1)
		w.running.Go(w.sendCounts)
		for i := range hosts {
			w.start(i)
		}
		defer w.close()
		script(t, w)
	})
}

// close ends all processes and waits for their calls.
func (w *world) close() {
	close(w.stopped)
	for i := range w.hosts {
		w.kill(i)
	}
	for _, l := range w.listeners {
		_ = l.Close()
	}
	w.net.Crash("10.0.0.1")
	w.net.Crash("10.0.0.2")
	w.running.Wait()
	time.Sleep(settleTime)
}

func (w *world) serve(address string, h http.Handler) {
	l, err := w.net.Listen(address)
	if err != nil {
		panic(err) // the address is a constant
	}
	w.listeners = append(w.listeners, l)
	w.running.Go(func() {
		s := &http.Server{
			Handler: h,
		}
		_ = s.Serve(l) // ends with its listener
	})
}

// serveStore passes a call on to the store; the next write is held up on its way if so
// set.
func (w *world) serveStore(a http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	held := w.held
	if r.URL.Path == "/-/rows-tx" {
		w.held = nil
	} else {
		held = nil
	}
	w.mu.Unlock()
	if held != nil {
		<-held
	}
	w.store.ServeHTTP(a, r)
}

// holdWrite holds the next write to the store up until the channel is closed.
func (w *world) holdWrite() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = make(chan struct{})
	return w.held
}

// ip returns the IP address of a host.
func ip(i int) string {
	return fmt.Sprintf("10.1.0.%d", i+1)
}

// start starts a process of a host, unless one runs.
func (w *world) start(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hosts[i] != nil {
		return
	}
	p := &process{
		world: w,
		index: i,
		self: host.Host{
			Name:        fmt.Sprintf("host-%d", i),
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		skew: time.Duration(i-1) * 100 * time.Millisecond,
		done: make(chan struct{}),
	}
	store := &gatedStore{
		Client: rows.New(storeAddress, w.net.Dialer(ip(i))),
		gate:   p.gate,
	}
	p.mirror = mirror.New(&lateSource{
		gatedStore: store,
	}, noDecoder{}, p, "op", "servers")
	p.reporter = &bill.Reporter{
		Self:      p.self,
		Params:    w.params,
		Clock:     p,
		Directory: p,
		Store:     store,
		Platform: order.New(apiAddress, func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := w.net.Dialer(ip(i))(ctx, network, address)
			w.suspendAtCall(i)
			p.gate()
			return c, err
		}),
		Hosts:     p,
		Forwarder: p,
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	w.hosts[i] = p
	w.running.Go(func() { p.mirror.Run(ctx) })
	w.running.Go(func() {
		defer close(p.done)
		p.reporter.Run(ctx)
	})
}

// kill ends a host's process at once.
func (w *world) kill(i int) {
	w.mu.Lock()
	p := w.hosts[i]
	w.hosts[i] = nil
	delete(w.suspended, i)
	w.mu.Unlock()
	if p != nil {
		p.cancel()
	}
}

// stop ends a host's process in order.
func (w *world) stop(i int) {
	w.mu.Lock()
	p := w.hosts[i]
	w.mu.Unlock()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	p.reporter.Stop(ctx)
	w.kill(i)
}

// suspend stops a host's process for some time: no call of it begins or returns.
func (w *world) suspend(i int, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspended[i] = time.Now().Add(length)
}

// suspendAtCall suspends a host if that was to happen right before its next report.
func (w *world) suspendAtCall(i int) {
	w.mu.Lock()
	d, ok := w.atCall[i]
	delete(w.atCall, i)
	w.mu.Unlock()
	if ok {
		w.suspend(i, d)
	}
}

// restore brings back an older copy of the store, and opens the era later.
func (w *world) restore(age time.Duration) {
	w.store.Restore(age)
	w.mu.Lock()
	w.eras++
	era := w.eras
	w.mu.Unlock()
	w.running.Go(func() {
		select {
		case <-w.stopped:
			return
		case <-time.After(openAfter):
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.eras != era {
			return // restored again meanwhile
		}
		w.store.Put(mirror.Fleet, mirror.EraKey(era), 1)
		for former := range era {
			w.store.Delete(mirror.Fleet, mirror.EraKey(former))
		}
	})
}

// sendCounts tells the counts of each host to each host, now and then, so that hosts
// differ in what they know.
func (w *world) sendCounts() {
	r := rand.New(rand.NewPCG(1, 1))
	n := uint64(0)
	for {
		select {
		case <-w.stopped:
			return
		case <-time.After(300 * time.Millisecond):
		}
		n++
		for _, from := range w.processes() {
			now, _ := from.Now()
			for _, to := range w.processes() {
				if r.IntN(3) == 0 {
					continue
				}
				current := w.params.At(now)
				_ = to.reporter.Add(&usage.Message{
					From:        from.self.Name,
					Incarnation: from.self.Incarnation,
					Windows: []usage.Content{{
						Window: current - 1,
						Counts: map[string]uint64{"one": 100 + n},
					}, {
						Window: current,
						Counts: map[string]uint64{"one": n},
					}},
				})
			}
		}
	}
}

func (w *world) processes() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*process
	for _, p := range w.hosts {
		if p != nil {
			list = append(list, p)
		}
	}
	return list
}

// holder returns the index of the host that is the holder, or -1.
func (w *world) holder() int {
	for _, p := range w.processes() {
		if p.reporter.Stats().Holder {
			return p.index
		}
	}
	return -1
}

// gate waits while the host is suspended.
func (p *process) gate() {
	for {
		p.world.mu.Lock()
		d := time.Until(p.world.suspended[p.index])
		p.world.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(min(d, 50*time.Millisecond))
	}
}

// Now returns the host's wall clock.
func (p *process) Now() (time.Time, bool) {
	return time.Now().Add(p.skew), true
}

// At returns the host's wall clock at a reading.
func (p *process) At(reading time.Duration) (time.Time, bool) {
	return time.Now().Add(p.skew + reading - uptime.Now()), true
}

// Usage returns the copy of the record. Each decision begins with it.
func (p *process) Usage() tuple.Tuple {
	p.gate()
	return p.mirror.Usage()
}

// Version returns the version of the copy.
func (p *process) Version(name string) uint64 { return p.mirror.Version(name) }

// EraOpen reports whether the era of the copy is open.
func (p *process) EraOpen() (open bool, rowVersion uint64) { return p.mirror.EraOpen() }

// EraSince returns the era of the copy.
func (p *process) EraSince(name string) (uint64, time.Duration) { return p.mirror.EraSince(name) }

// Joining reports that no other host gives copies.
func (p *process) Joining() bool { return false }

// Alive returns the other hosts that run.
func (p *process) Alive() []host.Host {
	var list []host.Host
	for _, other := range p.world.processes() {
		if other.index != p.index {
			list = append(list, other.self)
		}
	}
	return list
}

// Rank returns the number of running hosts with a lower index.
func (p *process) Rank(duty string) int {
	p.world.mu.Lock()
	duel := p.world.duel
	p.world.mu.Unlock()
	if duty == "readers" || duel {
		return 0
	}
	n := 0
	for _, other := range p.world.processes() {
		if other.index < p.index {
			n++
		}
	}
	return n
}

// Lead returns no other host.
func (p *process) Lead(string, string) (host.Host, bool) { return host.Host{}, false }

// Forward is not called.
func (p *process) Forward(context.Context, host.Host, *usage.Message) error { return nil }

// gatedStore is a host's client of the store.
type gatedStore struct {
	*rows.Client
	gate func()
}

// Read reads a table.
func (s *gatedStore) Read(ctx context.Context, table string) ([]tuple.Tuple, uint64, error) {
	s.gate()
	defer s.gate()
	return s.Client.Read(ctx, table)
}

// Watch waits for changes of a table.
func (s *gatedStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]tuple.Tuple, uint64, error) {
	s.gate()
	defer s.gate()
	return s.Client.Watch(ctx, table, after, wait)
}

// Write writes rows.
func (s *gatedStore) Write(ctx context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error) {
	s.gate()
	defer s.gate()
	return s.Client.Write(ctx, expected, puts, deletes)
}

// lateSource is what a host's copies of the tables come from, some time later than they
// are read: copies come by way of other hosts.
type lateSource struct {
	*gatedStore
}

// Read reads a table.
func (s *lateSource) Read(ctx context.Context, table string) ([]tuple.Tuple, uint64, error) {
	list, version, err := s.gatedStore.Read(ctx, table)
	time.Sleep(gossipTime)
	return list, version, err
}

// Watch waits for changes of a table.
func (s *lateSource) Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]tuple.Tuple, uint64, error) {
	list, version, err := s.gatedStore.Watch(ctx, table, after, wait)
	time.Sleep(gossipTime)
	return list, version, err
}

// noDecoder decodes no rows.
type noDecoder struct{}

func (noDecoder) IsPolicy(string) bool                         { return false }
func (noDecoder) Evacuated(string) (string, bool)              { return "", false }
func (noDecoder) Policy([]byte) (*policy.Policy, error)        { return nil, nil }
func (noDecoder) Server(string, []byte) (server.Server, error) { return server.Server{}, nil }
