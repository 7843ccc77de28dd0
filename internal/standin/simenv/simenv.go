// Package simenv simulates a whole environment in one process: the platform's
// store and its promotion API, database instances, an operator, and real hosts
// on an in-memory network. Tests run under the fake clock of testing/synctest,
// so that a script of hours takes seconds.
package simenv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/models/tuning"
	"wasabislip.example/wasabislip/internal/modules/conf"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/routers/edge"
	"wasabislip.example/wasabislip/internal/routers/wire"
	"wasabislip.example/wasabislip/internal/standin/bills"
	"wasabislip.example/wasabislip/internal/standin/linedb"
	"wasabislip.example/wasabislip/internal/standin/memnet"
	"wasabislip.example/wasabislip/internal/standin/rowsrv"
	"wasabislip.example/wasabislip/platform/decode"
	"wasabislip.example/wasabislip/platform/lines"
	"wasabislip.example/wasabislip/platform/order"
	"wasabislip.example/wasabislip/platform/rows"
)

// Addresses and times of the simulated environment.
const (
	StoreAddress = "10.200.1.1:8466"
	orderAddress = "10.200.0.2:8466"
	callerPort   = ":8465"
	readyPort    = ":8460"
	peerPort     = ":8462"
	runPort      = ":7560"
	instancePort = ":8080"
	metricsPort  = ":9464"
	// sameCentreDelay and crossCentreDelay are the network delays within a data
	// centre and between two of them.
	sameCentreDelay  = 100 * time.Microsecond
	crossCentreDelay = 500 * time.Microsecond
	// heartbeatInterval is how often an instance renews its entry in the store.
	heartbeatInterval = 1200 * time.Millisecond
	// settleTime is longer than any call or timer of the stand-ins, so that
	// none is left when Close returns.
	settleTime = 5 * time.Second
	// ReportWindow, UsageDelay, UsageTolerance and leaseDuration are the parameters of
	// the usage reports.
	ReportWindow   = 5 * time.Second
	UsageDelay     = 10 * time.Second
	UsageTolerance = 0.05
	leaseDuration  = 3 * time.Second
	// memoryMB is more than the hosts of a large fleet take together: all of them run in
	// one process, which the runtime's limit of one host made collect without end.
	memoryMB = 8 << 10
	// DrainTimeout is how long after an instance's announcement that it leaves new work may
	// reach it.
	DrainTimeout = 7 * time.Second
	// EvacuationTimeout is how long after operators took a data centre out of service
	// statements may reach its instances.
	EvacuationTimeout = 5 * time.Second
	// GracePeriod is how long a planned stop of a host may take.
	GracePeriod = 6 * time.Second
)

// Times of the databases and the instances.
const (
	// TargetLatency and StatementTimeout are those of every database.
	TargetLatency    = 250 * time.Millisecond
	StatementTimeout = 800 * time.Millisecond
	// MaxStaleness bounds the age of reads in the database bounded.
	MaxStaleness = 1500 * time.Millisecond
	// ApplyLag is how long replicas take to apply what they received.
	// StatementTime is how long a statement takes.
	ApplyLag      = 60 * time.Millisecond
	StatementTime = 5 * time.Millisecond
)

// Environment is the simulated environment. One goroutine calls its methods.
type Environment struct {
	// Net is the in-memory network.
	Net *memnet.Network
	// Store is the platform's store.
	Store *rowsrv.Store
	// Tuning holds the tuning parameters of hosts. It is set before they start, as
	// is NewConn, which wraps callers' connections to hosts.
	Tuning  tuning.Tuning
	NewConn func(c net.Conn) wire.Conn
	// InstanceChoice is the setting of that name of the hosts. It is set before they
	// start.
	InstanceChoice string
	// Pause is called where a host that replaces a primary may be suspended; nil is no
	// pause. It is set before the hosts start. See the steps of pausingStore and
	// pausingPromoter.
	Pause func(host int, step string)
	// Group holds the instances of the only service: i-1, the first primary, and
	// the replicas i-2 and i-3.
	Group *linedb.Group
	// Bills takes usage reports. ReportsUsage enables them; it is set before the hosts
	// start.
	Bills        *bills.Bills
	ReportsUsage bool
	// idle are the groups of the services that AddServices added.
	idle []*linedb.Group

	mu      sync.Mutex
	config  map[string]any
	version int
	// hosts holds the running hosts by IP address.
	hosts        map[string]*process
	draining     map[string]bool
	heartbeatOff map[string]bool
	listeners    []net.Listener
	stopped      chan struct{}
	running      sync.WaitGroup
}

// process is a running host.
type process struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// dataCentres holds the names of the data centres. Hosts and instances are
// spread over them by their index.
var dataCentres = []string{"a", "b", "c"}

// New starts an environment without hosts: one service of three instances, and
// a configuration with the databases strict, bounded and own, which differ in
// the consistency of their reads.
func New() *Environment {
	uptime.Restart()
	e := &Environment{
		Net:     memnet.New(sameCentreDelay),
		Store:   rowsrv.New(),
		Tuning:  tuning.Default(),
		NewConn: lines.NewCallerConn,
		Group: &linedb.Group{
			Service:       "ledger",
			ApplyLag:      ApplyLag,
			StatementTime: StatementTime,
			Slots:         3,
			Connections:   22,
		},
		Bills:        bills.New(leaseDuration),
		hosts:        map[string]*process{},
		draining:     map[string]bool{},
		heartbeatOff: map[string]bool{},
		stopped:      make(chan struct{}),
	}
	for i, a := range dataCentres {
		for _, b := range dataCentres[i+1:] {
			e.Net.SetDelay(a, b, crossCentreDelay)
		}
	}
	e.serve(StoreAddress, e.Store)
	orders := http.NewServeMux()
	orders.Handle("/usage", e.Bills)
	orders.HandleFunc("/", e.serveOrder)
	e.serve(orderAddress, orders)
	for i, dc := range dataCentres {
		e.addInstance(i, dc)
	}
	e.Configure(func(map[string]any) {})
	return e
}

func (e *Environment) serve(address string, h http.Handler) {
	l := e.listen(address)
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		s := &http.Server{
			Handler: h,
		}
		_ = s.Serve(l) // ends with its listener
	}()
}

func (e *Environment) listen(address string) net.Listener {
	l, err := e.Net.Listen(address)
	if err != nil {
		panic(err) // the address is a constant
	}
	e.listeners = append(e.listeners, l)
	return l
}

// Instance returns the id and the IP address of the instance at index i.
func Instance(i int) (id, ip string) {
	return fmt.Sprintf("i-%d", i+1), fmt.Sprintf("10.128.0.%d", i+1)
}

func (e *Environment) addInstance(i int, dc string) {
	id, ip := Instance(i)
	e.startInstance(e.Group, id, ip, dc)
}

func (e *Environment) startInstance(g *linedb.Group, id, ip, dc string) {
	e.Net.SetDataCentre(ip, dc)
	g.Add(id)
	l := e.listen(ip + instancePort)
	e.running.Add(2)
	go func() {
		defer e.running.Done()
		g.Serve(id, l)
	}()
	go func() {
		defer e.running.Done()
		e.sendHeartbeats(g, id, ip, dc)
	}()
}

// AddServices adds n services of three instances each, named ServiceName(0) and so on.
// Each has one database, of the service's name, with a bounded staleness of 1.5 s.
func (e *Environment) AddServices(n int) {
	var routes, services []any
	for k := range n {
		g := &linedb.Group{
			Service:       ServiceName(k),
			ApplyLag:      ApplyLag,
			StatementTime: StatementTime,
			Slots:         3,
			Connections:   22,
		}
		e.idle = append(e.idle, g)
		for i, dc := range dataCentres {
			e.startInstance(g, fmt.Sprintf("%s-%d", g.Service, i+1), fmt.Sprintf("10.%d.%d.%d", 130+i, k/250, k%250+1), dc)
		}
		routes = append(routes, routeConfig(g.Service, "bounded_staleness", g.Service, 1500))
		services = append(services, map[string]any{
			"name":            g.Service,
			"max_connections": g.Connections,
		})
	}
	e.Configure(func(config map[string]any) {
		config["routes"] = append(config["routes"].([]any), routes...)
		config["services"] = append(config["services"].([]any), services...)
	})
}

// serveOrder passes an order to promote an instance to the group of the instance.
func (e *Environment) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	var order struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(body, &order) // the group answers to an order that can't be read
	for _, g := range e.idle {
		if strings.HasPrefix(order.ID, g.Service+"-") {
			g.ServeHTTP(w, r)
			return
		}
	}
	e.Group.ServeHTTP(w, r)
}

// ServiceName returns the name of the service at index k of those that AddServices adds.
func ServiceName(k int) string {
	return fmt.Sprintf("s-%d", k)
}

// Service returns the instances of the service at index k of those that AddServices
// added.
func (e *Environment) Service(k int) *linedb.Group {
	return e.idle[k]
}

// Load is the work that hosts have caused.
type Load struct {
	// StatusQueries counts the instances' status queries, InstanceConns the connections
	// opened to them, and InstanceBytes the bytes on them.
	StatusQueries int64
	InstanceConns int64
	InstanceBytes int64
	// StoreCalls counts the calls of the store, StoreBytes their bytes.
	StoreCalls int64
	StoreBytes int64
	// PeerConns and PeerBytes are the connections that hosts opened for gossip, and
	// their bytes.
	PeerConns int64
	PeerBytes int64
}

// Load returns the work that hosts have caused so far.
func (e *Environment) Load() Load {
	instances := e.Net.Traffic(portOf(instancePort))
	peers := e.Net.Traffic(portOf(peerPort))
	l := Load{
		StatusQueries: int64(e.Group.CountStatusQueries()),
		InstanceConns: instances.Conns,
		InstanceBytes: instances.Bytes,
		StoreCalls:    int64(e.Store.CallCount()),
		StoreBytes:    e.Net.Traffic(portOf(StoreAddress)).Bytes,
		PeerConns:     peers.Conns,
		PeerBytes:     peers.Bytes,
	}
	for _, g := range e.idle {
		l.StatusQueries += int64(g.CountStatusQueries())
	}
	return l
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// sendHeartbeats renews an instance's entry in the store until the environment
// stops. Heartbeats that are switched off are skipped.
func (e *Environment) sendHeartbeats(g *linedb.Group, id, ip, dc string) {
	for n := 1; ; n++ {
		e.mu.Lock()
		state, skip := "ready", e.heartbeatOff[id]
		if e.draining[id] {
			state = "draining"
		}
		e.mu.Unlock()
		if !skip {
			e.Store.Put(decode.ServerTable, id, map[string]any{
				"service":  g.Service,
				"address":  ip + instancePort,
				"zone":     dc,
				"capacity": 3,
				"state":    state,
				"db_role":  role(g.IsPrimary(id)),
				"sequence": n,
				"born":     1_700_000_000_000,
			})
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func role(primary bool) string {
	if primary {
		return "primary"
	}
	return "replica"
}

// DrainInstance makes an instance report the state draining, which it does before
// it leaves.
func (e *Environment) DrainInstance(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining[id] = true
}

// StopLeaving makes an instance report the state ready again, as one does that was
// replaced at its address.
func (e *Environment) StopLeaving(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining[id] = false
}

// CrashInstance stops an instance at once. Its entry expires after three missed
// heartbeats.
func (e *Environment) CrashInstance(id string) {
	e.mu.Lock()
	e.heartbeatOff[id] = true
	e.mu.Unlock()
	e.Group.Crash(id)
	go func() {
		time.Sleep(3 * heartbeatInterval)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.heartbeatOff[id] {
			e.Store.Delete(decode.ServerTable, id)
		}
	}()
}

// ExpireHeartbeat stops an instance's heartbeats and removes its entry, while the
// instance itself serves on. ResumeHeartbeat ends that.
func (e *Environment) ExpireHeartbeat(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heartbeatOff[id] = true
	e.Store.Delete(decode.ServerTable, id)
}

// ResumeHeartbeat ends ExpireHeartbeat: the next heartbeat writes the entry again.
func (e *Environment) ResumeHeartbeat(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heartbeatOff[id] = false
}

// StartInstance starts an instance again after CrashInstance.
func (e *Environment) StartInstance(id string) {
	e.mu.Lock()
	e.heartbeatOff[id] = false
	e.mu.Unlock()
	e.Group.Start(id)
}

// RestoreStore brings back the copy of the store that is as old as age. The operator
// writes the newest configuration again after rewrite; the instances do so with
// their next heartbeat.
func (e *Environment) RestoreStore(age, rewrite time.Duration) {
	e.Store.Restore(age)
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		select {
		case <-e.stopped:
			return
		case <-time.After(rewrite):
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.Store.Put(decode.OperatorTable, "config", e.config)
	}()
}

// HostIP returns the IP address of the host at an index.
func HostIP(host int) string {
	return fmt.Sprintf("10.1.%d.%d", (host+1)/250, (host+1)%250)
}

// StartHost starts the host at an index. Hosts are spread over the data centres.
func (e *Environment) StartHost(i int) {
	ip := HostIP(i)
	dc := dataCentres[i%len(dataCentres)]
	e.Net.SetDataCentre(ip, dc)
	network := &hostNetwork{
		network: e.Net,
		ip:      ip,
	}
	settings := &conf.Settings{
		Host:              fmt.Sprintf("host-%d", i),
		DataCentre:        dc,
		CallerAddress:     ip + callerPort,
		ReadyAddress:      ip + readyPort,
		PeerAddress:       ip + peerPort,
		RunAddress:        ip + runPort,
		MetricsAddress:    ip + metricsPort,
		Seeds:             HostIP(0) + peerPort,
		StoreAddress:      StoreAddress,
		OrderAddress:      orderAddress,
		GracePeriod:       GracePeriod,
		DrainTimeout:      DrainTimeout,
		EvacuationTimeout: EvacuationTimeout,
		RateWindow:        5 * time.Second,
		RateOverage:       0.1,
		RateTolerance:     20,
		MemoryMB:          memoryMB,
		MaxFiles:          4200,
		InstanceChoice:    e.InstanceChoice,
	}
	if e.ReportsUsage {
		settings.ReportWindow = ReportWindow
		settings.UsageDelay = UsageDelay
		settings.UsageTolerance = UsageTolerance
		settings.LeaseDuration = leaseDuration
	}
	h := &edge.Host{
		Settings: settings,
		Store: &pausingStore{
			Client: rows.New(StoreAddress, network.Dial),
			env:    e,
			host:   i,
		},
		Decoder:       decode.Decoder{},
		OperatorTable: decode.OperatorTable,
		ServerTable:   decode.ServerTable,
		Promoter: &pausingPromoter{
			Client: order.New(orderAddress, network.Dial),
			env:    e,
			host:   i,
		},
		InstanceDialer: lines.NewDialer(network.Dial),
		Network:        network,
		Tuning:         e.Tuning,
		NewConn:        e.NewConn,
		DroppedLogLines: func() int64 {
			return 0
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{
		cancel: cancel,
		done:   make(chan struct{}),
	}
	e.hosts[ip] = p
	go func() {
		defer close(p.done)
		p.err = h.Run(ctx)
	}()
}

// StopHost asks a host to stop and returns a channel that is closed once it has.
func (e *Environment) StopHost(i int) <-chan struct{} {
	p := e.hosts[HostIP(i)]
	p.cancel()
	return p.done
}

// PowerOff ends some hosts without notice, as a loss of power does: from then on
// nothing that they send arrives, and nothing reaches them.
func (e *Environment) PowerOff(hosts ...int) {
	for _, i := range hosts {
		e.Net.Isolate(HostIP(i))
		e.Net.Crash(HostIP(i))
		e.hosts[HostIP(i)].cancel()
	}
	for _, i := range hosts {
		<-e.hosts[HostIP(i)].done
		e.Net.Rejoin(HostIP(i))
	}
}

// Close stops all hosts and the simulated platform.
func (e *Environment) Close() {
	for _, p := range e.hosts {
		p.cancel()
	}
	for _, p := range e.hosts {
		<-p.done
	}
	close(e.stopped)
	for _, l := range e.listeners {
		_ = l.Close()
	}
	for ip := range e.hosts {
		e.Net.Crash(ip)
	}
	for _, address := range []string{StoreAddress, orderAddress} {
		ip, _, _ := net.SplitHostPort(address)
		e.Net.Crash(ip)
	}
	e.running.Wait()
	time.Sleep(settleTime) // pending calls and timers end
}

// hostNetwork gives a host access to the in-memory network under its own IP
// address.
type hostNetwork struct {
	network *memnet.Network
	ip      string
}

func (h *hostNetwork) Listen(address string) (net.Listener, error) {
	return h.network.Listen(address)
}

func (h *hostNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return h.network.Dialer(h.ip)(ctx, network, address)
}
