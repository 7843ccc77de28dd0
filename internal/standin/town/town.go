// Package town is an emulator of the users' platform: store, instances,
// operator and whole hosts in one process, on a network in memory, so that a
// day is a script that plays under a paused clock.
package town

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/models/tuning"
	"wasabislip.example/wasabislip/internal/modules/local"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/routers/edge"
	"wasabislip.example/wasabislip/internal/standin/memnet"
	"wasabislip.example/wasabislip/internal/standin/mimic"
	"wasabislip.example/wasabislip/internal/standin/shelf"
	"wasabislip.example/wasabislip/platform/decode"
	"wasabislip.example/wasabislip/platform/lines"
	"wasabislip.example/wasabislip/platform/order"
	"wasabislip.example/wasabislip/platform/rows"
)

// Addresses and times of the emulated platform.
const (
	StoreAddress = "10.200.1.1:8466"
	orderAddress = "10.200.0.2:8466"
	callerPort   = ":8465"
	readyPort    = ":8460"
	peerPort     = ":8462"
	runPort      = ":7560"
	metricsPort  = ":9464"
	// near and far are the delays inside of and between data centres.
	near = 100 * time.Microsecond
	far  = 500 * time.Microsecond
	// heartbeat is the time between two entries of an instance.
	heartbeat = 1200 * time.Millisecond
	// settleTime is longer than any call or timer of the stand-ins.
	settleTime = 5 * time.Second
	// Grace is how long a planned stop may take.
	Grace = 6 * time.Second
)

// What the databases and the instances are like.
const (
	// Target and Timeout are those of every database.
	Target  = 250 * time.Millisecond
	Timeout = 800 * time.Millisecond
	// Lag is how long replicas take to apply, and Work how long a statement
	// takes.
	Lag  = 60 * time.Millisecond
	Work = 5 * time.Millisecond
)

// Town is the platform. Its methods are for one test goroutine.
type Town struct {
	// Net is the network.
	Net *memnet.Network
	// Store is the platform's store.
	Store *shelf.Shelf
	// Tuning is the hosts'; set before they start.
	Tuning tuning.Tuning
	// Group is the one service's instances, i-1, i-2 and i-3, the first being
	// the primary.
	Group *mimic.Group

	mu        sync.Mutex
	config    map[string]any
	version   int
	hosts     map[string]*process
	draining  map[string]bool
	silent    map[string]bool
	listeners []net.Listener
	stopped   chan struct{}
	parts     sync.WaitGroup
}

// process is one host.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// centres are the data centres.
var centres = []string{"a", "b", "c"}

// New starts a platform with one service of three instances and a
// configuration with the databases strict, bounded and own.
func New() *Town {
	uptime.Restart()
	t := &Town{
		Net:    memnet.New(near),
		Store:  shelf.New(),
		Tuning: tuning.Default(),
		Group: &mimic.Group{
			Service:     "ledger",
			Lag:         Lag,
			Work:        Work,
			Slots:       3,
			Connections: 22,
		},
		hosts:    map[string]*process{},
		draining: map[string]bool{},
		silent:   map[string]bool{},
		stopped:  make(chan struct{}),
	}
	for i, a := range centres {
		for _, b := range centres[i+1:] {
			t.Net.SetDelay(a, b, far)
		}
	}
	t.serve(StoreAddress, t.Store)
	t.serve(orderAddress, t.Group)
	for i, dc := range centres {
		t.instance(i, dc)
	}
	t.Configure(func(map[string]any) {})
	return t
}

func (t *Town) serve(address string, h http.Handler) {
	l := t.listen(address)
	t.parts.Add(1)
	go func() {
		defer t.parts.Done()
		s := &http.Server{
			Handler: h,
		}
		_ = s.Serve(l) // ends with its listener
	}()
}

func (t *Town) listen(address string) net.Listener {
	l, err := t.Net.Listen(address)
	if err != nil {
		panic(err) // a test's own address
	}
	t.listeners = append(t.listeners, l)
	return l
}

// Instance returns the id and the IP number of the instance at index i.
func Instance(i int) (id, ip string) {
	return fmt.Sprintf("i-%d", i+1), fmt.Sprintf("10.128.0.%d", i+1)
}

func (t *Town) instance(i int, dc string) {
	id, ip := Instance(i)
	t.Net.Place(ip, dc)
	t.Group.Add(id)
	l := t.listen(ip + ":8080")
	t.parts.Add(2)
	go func() {
		defer t.parts.Done()
		t.Group.Serve(id, l)
	}()
	go func() {
		defer t.parts.Done()
		t.beat(id, ip, dc)
	}()
}

// beat writes an instance's entry until the platform stops.
func (t *Town) beat(id, ip, dc string) {
	for n := 1; ; n++ {
		t.mu.Lock()
		state, silent := "ready", t.silent[id]
		if t.draining[id] {
			state = "draining"
		}
		t.mu.Unlock()
		if !silent {
			t.Store.Put(decode.ServerTable, id, map[string]any{
				"service":  "ledger",
				"address":  ip + ":8080",
				"zone":     dc,
				"capacity": 3,
				"state":    state,
				"db_role":  role(t.Group.IsPrimary(id)),
				"sequence": n,
				"born":     1_700_000_000_000,
			})
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

func role(primary bool) string {
	if primary {
		return "primary"
	}
	return "replica"
}

// Drain makes an instance say that it is about to leave.
func (t *Town) Drain(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining[id] = true
}

// Crash ends an instance; its entry lapses.
func (t *Town) Crash(id string) {
	t.mu.Lock()
	t.silent[id] = true
	t.mu.Unlock()
	t.Group.Crash(id)
	go func() {
		time.Sleep(3 * heartbeat)
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.silent[id] {
			t.Store.Drop(decode.ServerTable, id)
		}
	}()
}

// Lapse removes the entry of an instance, which serves on. It is written again
// at the next heartbeat after Renew.
func (t *Town) Lapse(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent[id] = true
	t.Store.Drop(decode.ServerTable, id)
}

// Renew ends a Lapse.
func (t *Town) Renew(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent[id] = false
}

// Start brings an instance back.
func (t *Town) Start(id string) {
	t.mu.Lock()
	t.silent[id] = false
	t.mu.Unlock()
	t.Group.Start(id)
}

// Configure changes the configuration and puts its next version into force.
func (t *Town) Configure(change func(config map[string]any)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.config == nil {
		t.config = firstConfig()
	}
	change(t.config)
	t.version += 3
	t.config["version"] = t.version
	t.Store.Put(decode.OperatorTable, "config", t.config)
}

// Declare makes these the workspaces, by name with their rates, each with the key
// key-NAME, and gives databases priorities; the others keep theirs.
func (t *Town) Declare(rates map[string]float64, priorities map[string]int) {
	t.Configure(func(config map[string]any) {
		var list []any
		for _, name := range slices.Sorted(maps.Keys(rates)) {
			list = append(list, Workspace(name, rates[name], "key-"+name))
		}
		config["tenants"] = list
		for _, r := range config["routes"].([]any) {
			lane := r.(map[string]any)
			if n, ok := priorities[lane["host"].(string)]; ok {
				lane["priority"] = n
			}
		}
	})
}

func firstConfig() map[string]any {
	lane := func(host, kind string, age int) map[string]any {
		return map[string]any{
			"name":              "r-" + host,
			"host":              host,
			"type":              kind,
			"timeout_ms":        Timeout.Milliseconds(),
			"target_latency_ms": Target.Milliseconds(),
			"priority":          1,
			"service":           "ledger",
			"max_staleness_ms":  age,
		}
	}
	return map[string]any{
		"routes": []any{
			lane("strict", "primary", 0),
			lane("bounded", "bounded_staleness", 1500),
			lane("own", "read_your_writes", 2500),
		},
		"services": []any{map[string]any{
			"name":            "ledger",
			"max_connections": 22,
		}},
		"limits": map[string]any{
			"txn_idle_ms": 3000,
		},
		"tenants": []any{
			Workspace("one", 1000, "key-one", "spare-one"),
			Workspace("two", 1000, "key-two"),
		},
	}
}

// Workspace returns a workspace's part of the configuration.
func Workspace(name string, rate float64, keys ...string) map[string]any {
	return map[string]any{
		"name":       name,
		"api_keys":   keys,
		"rate_per_s": rate,
		"burst":      rate,
	}
}

// IP returns the IP number of a host.
func IP(host int) string {
	return fmt.Sprintf("10.1.0.%d", host+1)
}

// Host starts the host at an index; hosts are spread over the data centres.
func (t *Town) Host(i int) {
	ip := IP(i)
	dc := centres[i%len(centres)]
	t.Net.Place(ip, dc)
	machine := &machine{
		net: t.Net,
		ip:  ip,
	}
	h := &edge.Host{
		Settings: &local.Settings{
			Host:           fmt.Sprintf("host-%d", i),
			DataCentre:     dc,
			CallerAddress:  ip + callerPort,
			ReadyAddress:   ip + readyPort,
			PeerAddress:    ip + peerPort,
			RunAddress:     ip + runPort,
			MetricsAddress: ip + metricsPort,
			Seeds:          IP(0) + peerPort,
			StoreAddress:   StoreAddress,
			OrderAddress:   orderAddress,
			Grace:          Grace,
			RateWindow:     5 * time.Second,
			RateOverage:    0.1,
			RateTolerance:  20,
			Memory:         284,
			Files:          4200,
		},
		Store:         rows.New(StoreAddress, machine.Dial),
		Decoder:       decode.Decoder{},
		OperatorTable: decode.OperatorTable,
		ServerTable:   decode.ServerTable,
		Orders:        order.New(orderAddress, machine.Dial),
		Instances:     lines.Dialer(machine.Dial),
		Network:       machine,
		Tuning:        t.Tuning,
		Wire:          lines.Caller,
		Dropped: func() int64 {
			return 0
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		cancel: cancel,
		done:   make(chan struct{}),
	}
	t.hosts[ip] = p
	go func() {
		defer close(p.done)
		p.err = h.Run(ctx)
	}()
}

// Stop asks a host to stop and returns a channel that closes when it has.
func (t *Town) Stop(i int) <-chan struct{} {
	p := t.hosts[IP(i)]
	p.cancel()
	return p.done
}

// PowerOff ends some hosts without notice: nothing that they send or get from
// then on arrives.
func (t *Town) PowerOff(hosts ...int) {
	for _, i := range hosts {
		t.Net.Isolate(IP(i))
		t.Net.Crash(IP(i))
		t.hosts[IP(i)].cancel()
	}
	for _, i := range hosts {
		<-t.hosts[IP(i)].done
		t.Net.Rejoin(IP(i))
	}
}

// Close ends all hosts and the platform.
func (t *Town) Close() {
	for _, p := range t.hosts {
		p.cancel()
	}
	for _, p := range t.hosts {
		<-p.done
	}
	close(t.stopped)
	for _, l := range t.listeners {
		_ = l.Close()
	}
	for ip := range t.hosts {
		t.Net.Crash(ip)
	}
	for _, address := range []string{StoreAddress, orderAddress} {
		ip, _, _ := net.SplitHostPort(address)
		t.Net.Crash(ip)
	}
	t.parts.Wait()
	time.Sleep(settleTime) // calls and timers that are under way end
}

// machine is the network as one machine sees it.
type machine struct {
	net *memnet.Network
	ip  string
}

func (m *machine) Listen(address string) (net.Listener, error) {
	return m.net.Listen(address)
}

func (m *machine) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return m.net.Dialer(m.ip)(ctx, network, address)
}
