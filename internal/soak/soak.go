// Package soak runs hosts as processes on loopback, injects faults into them and
// their network, and checks what callers and instances see. A seed chooses the
// faults, so that a failed run can be repeated.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/standin/bills"
	"wasabislip.example/wasabislip/internal/standin/linedb"
	"wasabislip.example/wasabislip/internal/standin/netem"
	"wasabislip.example/wasabislip/internal/standin/rowsrv"
)

const (
	// heartbeatInterval is the time between two writes of an instance's row in the
	// store.
	heartbeatInterval = 400 * time.Millisecond
	// startUpTime is how long hosts get to start before the load and the faults
	// begin.
	startUpTime = 3 * time.Second
	// settleTime is how long hosts get to recover after the last fault.
	settleTime = 8 * time.Second
	// instanceCount is how many instances the one service has.
	instanceCount = 3
	// rate is the rate and the burst of each workspace, above what the callers
	// send.
	rate = 2000
	// leaseDuration is the lease of the host that reports usage.
	leaseDuration = 3 * time.Second
)

// Soak is one run. Its fields are set before Run.
type Soak struct {
	// Binary is the product's program.
	Binary string
	// Hosts is how many hosts run, CallersPerHost how many sessions for each.
	Hosts          int
	CallersPerHost int
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Seed is the seed of the random choice of faults.
	Seed uint64
	// Dir is the directory of the hosts' settings and logs.
	Dir string
	// KeepDir leaves Dir in place after a run without a problem, too.
	KeepDir bool
	// Out receives a line for each fault and the run's result.
	Out io.Writer

	rng              *rand.Rand
	store            *rowsrv.Store
	bills            *bills.Bills
	group            *linedb.Group
	instanceRelays   []*netem.Relay // one for each instance, shared by all hosts
	hosts            []*process
	promotionAddress string
	checker          *checker

	mu               sync.Mutex
	storeFault       string          // the fault that the store injects, or empty
	heartbeatStopped map[string]bool // by instance
	closers          []func()
}

// Run starts hosts, callers and faults, and checks the outcome. The error lists
// the first problems that were found.
func (s *Soak) Run(ctx context.Context) error {
	s.rng = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.heartbeatStopped = map[string]bool{}
	s.checker = newChecker()
	defer s.stopAll()
	if err := s.startPlatform(); err != nil {
		return err
	}
	for i := range s.Hosts {
		if err := s.startHost(i); err != nil {
			return err
		}
	}
	sleep(ctx, startUpTime)
	loadCtx, stop := context.WithCancel(ctx)
	var sessions conc.WaitGroup
	for i := range s.Hosts * s.CallersPerHost {
		sessions.Go(func() {
			s.runSession(loadCtx, i)
		})
	}
	s.injectFaults(ctx)
	sleep(ctx, settleTime)
	stop()
	sessions.Wait()
	return s.report()
}

func (s *Soak) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, "%s "+format+"\n", append([]any{time.Now().Format(timeOfDay)}, args...)...) // the run does not depend on its output
}

// listen listens on a free port of the loopback interface.
func listen() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// startPlatform starts the store, the server for promotion orders and the
// instances.
func (s *Soak) startPlatform() error {
	s.store = rowsrv.New()
	s.store.SetFault(func(string, bool) string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.storeFault
	})
	s.group = &linedb.Group{
		Service:       "ledger",
		ApplyLag:      30 * time.Millisecond,
		StatementTime: 2 * time.Millisecond,
		Slots:         3,
		Connections:   40,
	}
	s.bills = bills.New(leaseDuration)
	s.bills.SetFault(s.usageFault())
	orders := http.NewServeMux()
	orders.Handle("/usage", s.bills)
	orders.Handle("/", s.group)
	address, err := s.startServer(orders)
	if err != nil {
		return err
	}
	s.promotionAddress = address
	for i := range instanceCount {
		if err := s.startInstance(i); err != nil {
			return err
		}
	}
	s.store.Put("op", "config", configuration())
	return nil
}

// usageFault returns the faults of the calls that report usage. They have a sequence of
// their own, which leaves the other faults of a seed as they are.
func (s *Soak) usageFault() func() string {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	return func() string {
		return []string{bills.Busy, bills.Silent, bills.Slow, bills.AnswerLost, "", "", "", ""}[rng.IntN(8)]
	}
}

// startServer serves h on a free port until the run ends.
func (s *Soak) startServer(h http.Handler) (address string, err error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		_ = server.Serve(l) // ends with Close
	}()
	s.closers = append(s.closers, func() {
		_ = server.Close()
	})
	return l.Addr().String(), nil
}

// startRelay starts a relay to target that faults can cut or delay.
func (s *Soak) startRelay(target string) (*netem.Relay, string, error) {
	l, err := listen()
	if err != nil {
		return nil, "", err
	}
	relay := netem.New(target)
	go func() {
		_ = relay.Serve(l) // ends with Close
	}()
	s.closers = append(s.closers, func() {
		_ = l.Close()
		relay.Close()
	})
	return relay, l.Addr().String(), nil
}

// startInstance starts an instance, a relay to it and its heartbeat.
func (s *Soak) startInstance(i int) error {
	id := fmt.Sprintf("i-%d", i+1)
	s.group.Add(id)
	l, err := listen()
	if err != nil {
		return err
	}
	go s.group.Serve(id, l)
	s.closers = append(s.closers, func() {
		_ = l.Close()
	})
	relay, address, err := s.startRelay(l.Addr().String())
	if err != nil {
		return err
	}
	s.instanceRelays = append(s.instanceRelays, relay)
	done := make(chan struct{})
	go s.sendHeartbeats(id, address, i, done)
	s.closers = append(s.closers, func() {
		close(done)
	})
	return nil
}

// sendHeartbeats writes an instance's row in the store until the run ends. While
// its heartbeat is stopped, the row is absent.
func (s *Soak) sendHeartbeats(id, address string, i int, done chan struct{}) {
	for n := 1; ; n++ {
		s.mu.Lock()
		stopped := s.heartbeatStopped[id]
		s.mu.Unlock()
		role := "replica"
		if s.group.IsPrimary(id) {
			role = "primary"
		}
		if stopped {
			s.store.Delete("servers", id)
		} else {
			s.store.Put("servers", id, map[string]any{
				"service":  "ledger",
				"address":  address,
				"zone":     centreName(i),
				"capacity": 3,
				"state":    "ready",
				"db_role":  role,
				"sequence": n,
			})
		}
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// centreName spreads hosts and instances over three data centres.
func centreName(i int) string {
	return []string{"a", "b", "c"}[i%3]
}

// configuration returns two routes to the service and two workspaces.
func configuration() map[string]any {
	route := func(host, kind string, age int) map[string]any {
		return map[string]any{
			"host":              host,
			"type":              kind,
			"timeout_ms":        800,
			"target_latency_ms": 250,
			"service":           "ledger",
			"max_staleness_ms":  age,
		}
	}
	workspace := func(name, key string) map[string]any {
		return map[string]any{
			"name":       name,
			"api_keys":   []string{key},
			"rate_per_s": rate,
			"burst":      rate,
		}
	}
	return map[string]any{
		"version": 1,
		"routes": []any{
			route("strict", "primary", 0),
			route("own", "read_your_writes", 2500),
		},
		"services": []any{map[string]any{
			"name":            "ledger",
			"max_connections": 40,
		}},
		"limits": map[string]any{
			"txn_idle_ms": 3000,
		},
		"tenants": []any{workspace("one", "key-one"), workspace("two", "key-two")},
	}
}

// stopAll stops everything that the run started.
func (s *Soak) stopAll() {
	for _, p := range s.hosts {
		p.stop()
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// report logs a summary of the run and returns its problems. It removes Dir after a
// run without any.
func (s *Soak) report() error {
	for _, p := range s.hosts {
		if problem := p.failure(); problem != "" {
			s.checker.addProblem("%s", problem)
		}
	}
	s.checker.checkExecutions(s.group)
	s.checker.checkCommits(s.group)
	s.checker.checkProgress()
	for _, problem := range s.group.SupersededWrites() {
		s.checker.addProblem("%s", problem)
	}
	for _, problem := range s.bills.Violations() {
		s.checker.addProblem("usage reports: %s", problem)
	}
	s.logf("promotion orders: %v", s.group.PromotionOrders())
	s.logf("usage reports: %d windows, %d calls", len(s.bills.Reports()), s.bills.Calls())
	s.logf("seed %d: %s", s.Seed, s.checker.summary())
	if err := s.checker.err(); err != nil {
		return fmt.Errorf("seed %d: %w (settings and logs in %s)", s.Seed, err, s.Dir)
	}
	if s.KeepDir {
		return nil
	}
	return os.RemoveAll(s.Dir)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
