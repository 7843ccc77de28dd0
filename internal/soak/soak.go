// Package soak runs hosts as processes on loopback, injects faults from outside
// them by a seed, and checks what callers and instances see.
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

	"wasabislip.example/wasabislip/internal/standin/linedb"
	"wasabislip.example/wasabislip/internal/standin/netem"
	"wasabislip.example/wasabislip/internal/standin/rowsrv"
)

const (
	// heartbeat is the time between two entries of an instance.
	heartbeat = 400 * time.Millisecond
	// startTime is how long hosts get before faults begin.
	startTime = 3 * time.Second
	// settleTime is how long they get after the last fault.
	settleTime = 8 * time.Second
	// instances is how many members the one service has.
	instances = 3
	// rate is the workspaces' rate and burst, above what the callers send.
	rate = 2000
)

// Soak is one run. Its fields are set before Run.
type Soak struct {
	// Binary is the product's program.
	Binary string
	// Hosts is how many processes run, Callers how many sessions each.
	Hosts   int
	Callers int
	// For is how long faults are injected.
	For time.Duration
	// Seed chooses the faults.
	Seed uint64
	// Dir takes the hosts' settings and logs.
	Dir string
	// Keep leaves Dir in place also when no promise was broken.
	Keep bool
	// Out is told what happens.
	Out io.Writer

	random *rand.Rand
	store  *rowsrv.Store
	group  *linedb.Group
	ways   []*netem.Relay // to the instances, shared by all hosts
	hosts  []*process
	order  string
	check  *checker

	mu     sync.Mutex
	fault  string
	silent map[string]bool
	close  []func()
}

// Run plays the seed. The error names the promises that were broken.
func (s *Soak) Run(ctx context.Context) error {
	s.random = rand.New(rand.NewPCG(s.Seed, s.Seed))
	s.silent = map[string]bool{}
	s.check = newChecker()
	defer s.end()
	if err := s.platform(); err != nil {
		return err
	}
	for i := range s.Hosts {
		if err := s.host(i); err != nil {
			return err
		}
	}
	wait(ctx, startTime)
	load, stop := context.WithCancel(ctx)
	var parts conc.WaitGroup
	for i := range s.Hosts * s.Callers {
		parts.Go(func() {
			s.session(load, i)
		})
	}
	s.faults(ctx)
	wait(ctx, settleTime)
	stop()
	parts.Wait()
	return s.verdict()
}

func (s *Soak) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, "%s "+format+"\n", append([]any{time.Now().Format("15:04:05.000")}, args...)...) // a lost line changes nothing
}

// listen opens a port of loopback.
func listen() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// platform starts the store, the orders and the instances.
func (s *Soak) platform() error {
	s.store = rowsrv.New()
	s.store.SetFault(func(string, bool) string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fault
	})
	s.group = &linedb.Group{
		Service:       "ledger",
		ApplyLag:      30 * time.Millisecond,
		StatementTime: 2 * time.Millisecond,
		Slots:         3,
		Connections:   40,
	}
	orders, err := s.serve(s.group)
	if err != nil {
		return err
	}
	s.order = orders
	for i := range instances {
		if err := s.instance(i); err != nil {
			return err
		}
	}
	s.store.Put("op", "config", configuration())
	return nil
}

func (s *Soak) serve(h http.Handler) (address string, err error) {
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
	s.close = append(s.close, func() {
		_ = server.Close()
	})
	return l.Addr().String(), nil
}

// cable starts a relay that faults can cut.
func (s *Soak) cable(target string) (*netem.Relay, string, error) {
	l, err := listen()
	if err != nil {
		return nil, "", err
	}
	c := netem.New(target)
	go func() {
		_ = c.Serve(l) // ends with Close
	}()
	s.close = append(s.close, func() {
		_ = l.Close()
		c.Close()
	})
	return c, l.Addr().String(), nil
}

func (s *Soak) instance(i int) error {
	id := fmt.Sprintf("i-%d", i+1)
	s.group.Add(id)
	l, err := listen()
	if err != nil {
		return err
	}
	go s.group.Serve(id, l)
	s.close = append(s.close, func() {
		_ = l.Close()
	})
	c, address, err := s.cable(l.Addr().String())
	if err != nil {
		return err
	}
	s.ways = append(s.ways, c)
	done := make(chan struct{})
	go s.beat(id, address, i, done)
	s.close = append(s.close, func() {
		close(done)
	})
	return nil
}

// beat writes an instance's entry until the run ends.
func (s *Soak) beat(id, address string, i int, done chan struct{}) {
	for n := 1; ; n++ {
		s.mu.Lock()
		silent := s.silent[id]
		s.mu.Unlock()
		role := "replica"
		if s.group.IsPrimary(id) {
			role = "primary"
		}
		if silent {
			s.store.Delete("servers", id)
		} else {
			s.store.Put("servers", id, map[string]any{
				"service":  "ledger",
				"address":  address,
				"zone":     centre(i),
				"capacity": 3,
				"state":    "ready",
				"db_role":  role,
				"sequence": n,
			})
		}
		select {
		case <-done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// centre spreads hosts and instances over three data centres.
func centre(i int) string {
	return []string{"a", "b", "c"}[i%3]
}

func configuration() map[string]any {
	lane := func(host, kind string, age int) map[string]any {
		return map[string]any{
			"host":              host,
			"type":              kind,
			"timeout_ms":        800,
			"target_latency_ms": 250,
			"service":           "ledger",
			"max_staleness_ms":  age,
		}
	}
	space := func(name, key string) map[string]any {
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
			lane("strict", "primary", 0),
			lane("own", "read_your_writes", 2500),
		},
		"services": []any{map[string]any{
			"name":            "ledger",
			"max_connections": 40,
		}},
		"limits": map[string]any{
			"txn_idle_ms": 3000,
		},
		"tenants": []any{space("one", "key-one"), space("two", "key-two")},
	}
}

// end stops everything that the run started.
func (s *Soak) end() {
	for _, p := range s.hosts {
		p.finish()
	}
	for i := len(s.close) - 1; i >= 0; i-- {
		s.close[i]()
	}
}

// verdict sums the run up.
func (s *Soak) verdict() error {
	for _, p := range s.hosts {
		if why := p.failure(); why != "" {
			s.check.broken("%s", why)
		}
	}
	s.check.finish(s.group)
	s.say("orders: %v", s.group.PromotionOrders())
	s.say("seed %d: %s", s.Seed, s.check.summary())
	if err := s.check.err(); err != nil {
		return fmt.Errorf("seed %d: %w (settings and logs in %s)", s.Seed, err, s.Dir)
	}
	if s.Keep {
		return nil
	}
	return os.RemoveAll(s.Dir)
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
