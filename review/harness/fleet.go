package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wasabislip.example/wasabislip/internal/standin/rowsrv"
)

const (
	// program is what the deploy file builds and runs.
	program = "target/wasabislip"
	// heartbeatInterval is the heartbeat_ms of the settings in DEPLOY.md.
	heartbeatInterval = 1200 * time.Millisecond
	// startTime bounds the wait until a host is ready.
	startTime = 15 * time.Second
	// databases is how many databases there are, each a service of its own, and
	// instancesEach how many instances a service has, the first of them the primary.
	databases     = 3
	instancesEach = 3
	// database is the one that clients use, of the first service, and accessKey their key.
	database  = "checkout"
	accessKey = "key-club"
	// firstPort is the first port of a host on its own loopback address.
	firstPort = 17560
	// warmUpPrefix starts the ids of the statements that are sent before a case begins.
	warmUpPrefix = "warm-up."
)

// record is the file that shows what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...) // the verdict does not depend on it
}

// fleet is a platform with hosts and services, all on loopback addresses.
type fleet struct {
	record *record
	dir    string
	// group holds the instances of the service that clients use.
	group *group
	store *rowsrv.Store
	hosts []*hostProcess

	storeAddress string
	orderAddress string
	closers      []func()
}

// hostProcess is one host, a process of the product.
type hostProcess struct {
	fleet    *fleet
	name     string
	settings string
	callers  string
	ready    string
	log      string

	cmd  *exec.Cmd
	done chan struct{}
}

// newFleet starts the platform, the instances and the hosts, and waits until all hosts
// are ready.
// The fleet that is returned with an error must be stopped, too.
func newFleet(rec *record, dir string, hosts int) (*fleet, error) {
	f := &fleet{
		record: rec,
		dir:    dir,
		store:  rowsrv.New(),
	}
	f.store.Put("op", "config", configuration())
	var err error
	if f.storeAddress, err = f.serveHTTP(f.store); err != nil {
		return f, err
	}
	// No primary is replaced here.
	orders := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec.log("order to the platform: %s", r.URL.Path)
		w.WriteHeader(http.StatusConflict)
	})
	if f.orderAddress, err = f.serveHTTP(orders); err != nil {
		return f, err
	}
	for k := range databases {
		g := &group{
			service: serviceName(k),
			record:  rec,
			data:    map[string]string{},
		}
		if k == 0 {
			f.group = g
		}
		for n := range instancesEach {
			if err := f.startInstance(g, k*instancesEach+n, n == 0); err != nil {
				return f, err
			}
		}
	}
	for n := range hosts {
		if err := f.addHost(n); err != nil {
			return f, err
		}
	}
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return f, err
		}
	}
	for _, h := range f.hosts {
		if err := h.waitReady(); err != nil {
			return f, err
		}
	}
	for _, h := range f.hosts {
		if err := h.waitServing(); err != nil {
			return f, err
		}
	}
	return f, nil
}

func listen() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// serveHTTP serves a part of the platform until the fleet is stopped.
func (f *fleet) serveHTTP(h http.Handler) (string, error) {
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
	f.closers = append(f.closers, func() {
		_ = server.Close()
	})
	return l.Addr().String(), nil
}

func serviceName(k int) string {
	return fmt.Sprintf("ledger-%d", k+1)
}

func zone(n int) string {
	return []string{"plateau", "almadies", "pikine"}[n%3]
}

// startInstance starts an instance of a service and its heartbeat.
func (f *fleet) startInstance(g *group, n int, primary bool) error {
	l, err := listen()
	if err != nil {
		return err
	}
	i := &instance{
		group:   g,
		id:      fmt.Sprintf("i-%d", n+1),
		primary: primary,
	}
	go i.serve(l)
	done := make(chan struct{})
	f.closers = append(f.closers, func() {
		close(done)
		_ = l.Close()
	})
	role := "replica"
	if i.primary {
		role = "primary"
	}
	born := time.Now().UnixMilli()
	beat := func(sequence int) {
		f.store.Put("servers", i.id, map[string]any{
			"service":             g.service,
			"address":             l.Addr().String(),
			"zone":                zone(n),
			"version":             "1.0",
			"capacity":            2,
			"state":               "ready",
			"db_role":             role,
			"warmup_remaining_ms": 0,
			"sequence":            sequence,
			"born":                born,
		})
	}
	beat(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-done:
				return
			case <-time.After(heartbeatInterval):
				beat(sequence)
			}
		}
	}()
	return nil
}

// configuration is the operators' configuration: the routes of a small deployment.
func configuration() map[string]any {
	route := func(host, kind string, staleness, k int) map[string]any {
		return map[string]any{
			"host":              host,
			"type":              kind,
			"timeout_ms":        800,
			"target_latency_ms": 200,
			"priority":          1,
			"service":           serviceName(k),
			"max_staleness_ms":  staleness,
		}
	}
	routes := []any{route("deposit", "read_your_writes", 2500, 0)}
	var services []any
	for k := range databases {
		host := database
		if k > 0 {
			host = fmt.Sprintf("%s-%d", database, k+1)
		}
		routes = append(routes, route(host, "primary", 0, k))
		services = append(services, map[string]any{
			"name":            serviceName(k),
			"max_connections": 30,
		})
	}
	return map[string]any{
		"version":  1,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"txn_idle_ms": 3000,
		},
		"tenants": []any{map[string]any{
			"name":       "club",
			"api_keys":   []string{accessKey},
			"rate_per_s": 500,
			"burst":      500,
		}},
	}
}

// freePorts returns n free addresses on a random loopback address: outgoing connections
// take their ports on 127.0.0.1, and a host must get its ports again after a restart.
func freePorts(n int) ([]string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(60), rand.IntN(256), 1+rand.IntN(254))
	var ports []string
	for i := range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(firstPort+i)))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().String())
	}
	return ports, nil
}

// addHost writes the settings of a host, as deploy/settings.yaml.tmpl renders them for a
// small deployment.
func (f *fleet) addHost(n int) error {
	ports, err := freePorts(5)
	if err != nil {
		return err
	}
	h := &hostProcess{
		fleet:    f,
		name:     fmt.Sprintf("edge-%s-%d", zone(n), n/3+1),
		callers:  ports[0],
		ready:    ports[1],
		settings: filepath.Join(f.dir, fmt.Sprintf("node-%d.yaml", n)),
		log:      filepath.Join(f.dir, fmt.Sprintf("node-%d.log", n)),
	}
	text := strings.NewReplacer(
		"NAME", h.name,
		"ZONE", zone(n),
		"CALLERS", ports[0],
		"READY", ports[1],
		"PEER", ports[2],
		"RUN", ports[3],
		"METRICS", ports[4],
		"STORE", f.storeAddress,
		"ORDER", f.orderAddress,
	).Replace(`host: "NAME"
data-centre: "ZONE"
caller-address: "CALLERS"
ready-address: "READY"
peer-address: "PEER"
run-address: "RUN"
metrics-address: "METRICS"
seeds: ""
store-address: "STORE"
order-address: "ORDER"
grace: "6s"
rate-window: "5s"
rate-overage: 0.1
rate-tolerance: 20
memory-mb: 284
files: 4300
drain-timeout: "7000ms"
evacuation-timeout: "5000ms"
`)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	f.hosts = append(f.hosts, h)
	return nil
}

// start starts the process with the command of the deploy file.
func (h *hostProcess) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, "edge")
	cmd.Env = append(os.Environ(), "WASABISLIP_BOOT="+h.settings)
	cmd.Stdout = out
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = cmd.Wait() // it ends by being killed
	}()
	h.cmd = cmd
	h.done = done
	return nil
}

// waitReady waits until the host answers 200 to the balancer.
func (h *hostProcess) waitReady() error {
	for limit := time.Now().Add(startTime); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + h.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", h.name, startTime)
}

// waitServing waits until a write is served: a host that is ready may not be registered
// in the store yet.
func (h *hostProcess) waitServing() error {
	var last error
	try := 0
	for limit := time.Now().Add(startTime); time.Now().Before(limit); time.Sleep(200 * time.Millisecond) {
		try++
		c, err := openSession(h.fleet.record, fmt.Sprintf("%s%s.%d", warmUpPrefix, h.name, try), h.callers)
		if err != nil {
			last = err
			continue
		}
		_, a := c.do("WRITE warm-up 1")
		c.close()
		if a.isSuccess() {
			return nil
		}
		last = fmt.Errorf("a write was answered: %s", a)
	}
	return fmt.Errorf("%s serves no write after %s: %w", h.name, startTime, last)
}

// kill ends the process.
func (h *hostProcess) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill() // it may have ended
	select {
	case <-h.done:
	case <-time.After(time.Second):
	}
}

// stop ends everything that the fleet started.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.kill()
	}
	for _, c := range f.closers {
		c()
	}
}
