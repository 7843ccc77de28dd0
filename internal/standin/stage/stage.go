// Package stage runs a whole installation in one process: the platform's
// stand-in, database instances and hosts, over any network.
package stage

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/modules/access"
	"wasabislip.example/wasabislip/internal/modules/object"
	"wasabislip.example/wasabislip/internal/modules/setup"
	"wasabislip.example/wasabislip/internal/modules/table"
	"wasabislip.example/wasabislip/internal/routers/serve"
	"wasabislip.example/wasabislip/internal/services/config"
	"wasabislip.example/wasabislip/internal/standin/cloud"
	"wasabislip.example/wasabislip/internal/standin/dbase"
	"wasabislip.example/wasabislip/internal/standin/dbcfg"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Ports of a host, beside its own IP number.
const (
	callerPort = "5432"
	peerPort   = "7000"
	opsPort    = "9090"
)

const (
	tableName     = "wasabislip"
	headerTimeout = 5 * time.Second
)

// network is what the installation runs over.
type network interface {
	Listen(address string) (net.Listener, error)
	Dialer(ip string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// machine is one running host.
type hostProcess struct {
	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Stage is an installation. The exported fields are set before Start.
type Stage struct {
	// Network joins everything.
	Network network
	// Platform is the platform's address, ip:port.
	Platform string
	// Spec is the configuration that Start applies; instances listen at its
	// addresses.
	Spec *spec.Spec
	// Hosts are the hosts, of which Name, DataCentre and Address are used;
	// Address is an IP number without a port.
	Hosts []host.Host
	// ApplyLag is how long received entries stay invisible on replicas.
	ApplyLag time.Duration
	// ShipDelay is how long entries take from a primary to a replica.
	ShipDelay time.Duration
	// Adjust changes a host's settings before its start; it may be nil.
	Adjust func(s *setup.Settings)

	mu         sync.Mutex
	processes  map[string]*hostProcess
	instances  map[string]*dbase.Instance
	cloud      *cloud.Server
	httpServer *http.Server
	manager    *config.Manager
	cancel     context.CancelFunc
	group      conc.WaitGroup
}

// Start runs everything and applies the configuration.
func (s *Stage) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.processes = map[string]*hostProcess{}
	s.instances = map[string]*dbase.Instance{}
	if err := s.startPlatform(); err != nil {
		return err
	}
	for d := range s.Spec.Databases {
		for i := range s.Spec.Databases[d].Instances {
			if err := s.StartInstance(s.Spec.Databases[d].Instances[i]); err != nil {
				return err
			}
		}
	}
	reach := s.access()
	s.manager = &config.Manager{
		Table:   table.New(reach, tableName),
		Objects: object.New(reach, tableName),
	}
	s.manager.Start(ctx)
	for _, h := range s.Hosts {
		if err := s.StartHost(ctx, h); err != nil {
			return err
		}
	}
	_, err := s.Apply(ctx, s.Spec)
	return err
}

func (s *Stage) startPlatform() error {
	l, err := s.Network.Listen(s.Platform)
	if err != nil {
		return err
	}
	s.cloud = cloud.New()
	s.httpServer = &http.Server{
		Handler:           s.cloud,
		ReadHeaderTimeout: headerTimeout,
	}
	s.group.Go(func() { _ = s.httpServer.Serve(l) })
	return nil
}

// access returns how the installation's own keeper reaches the platform.
func (s *Stage) access() access.Access {
	ip, _, _ := net.SplitHostPort(s.Platform)
	return access.Access{
		Endpoint: "http://" + s.Platform,
		Client: &http.Client{
			Transport: &http.Transport{
				DialContext: s.Network.Dialer(ip),
			},
		},
	}
}

// Apply makes cfg the next configuration and returns its version.
func (s *Stage) Apply(ctx context.Context, cfg *spec.Spec) (uint64, error) {
	body, err := yaml.Marshal(cfg)
	if err != nil {
		return 0, err
	}
	return s.manager.Apply(ctx, body, 0, uuid.NewString(), "stage")
}

// Fault sets the platform's faults; body is the JSON of its control.
func (s *Stage) Fault(body string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Platform+cloud.FaultsPath, strings.NewReader(body))
	if err != nil {
		return err
	}
	w := &statusRecorder{
		header: http.Header{},
	}
	s.cloud.ServeHTTP(w, r)
	if w.status >= http.StatusBadRequest {
		return fmt.Errorf("stage: faults %s: status %d", body, w.status)
	}
	return nil
}

// StartInstance runs an instance at its address, with an empty log.
func (s *Stage) StartInstance(i inst.Instance) error {
	l, err := s.Network.Listen(i.Address)
	if err != nil {
		return err
	}
	ip, _, err := net.SplitHostPort(i.Address)
	if err != nil {
		return err
	}
	d := dbase.New(dbcfg.Config{
		Name:        i.Name,
		Slots:       i.Slots,
		Connections: i.Connections,
		ShipDelay:   s.ShipDelay,
		ApplyLag:    s.ApplyLag,
		Dial:        s.Network.Dialer(ip),
	})
	s.mu.Lock()
	s.instances[i.Address] = d
	s.mu.Unlock()
	s.group.Go(func() { _ = d.Serve(l) })
	return nil
}

// Instance returns the instance at an address.
func (s *Stage) Instance(address string) *dbase.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[address]
}

// StartHost runs a host.
func (s *Stage) StartHost(ctx context.Context, h host.Host) error {
	settings := setup.Default()
	settings.Host = h.Name
	settings.DataCentre = h.DataCentre
	settings.CallerAddress = net.JoinHostPort(h.Address, callerPort)
	settings.PeerAddress = net.JoinHostPort(h.Address, peerPort)
	settings.OpsAddress = net.JoinHostPort(h.Address, opsPort)
	settings.Platform.TableEndpoint = "http://" + s.Platform
	settings.Platform.ObjectEndpoint = "http://" + s.Platform
	settings.Callers.Plain = true
	settings.Peers.Plain = true
	for _, other := range s.Hosts {
		if other.Name != h.Name {
			settings.Seeds = append(settings.Seeds, net.JoinHostPort(other.Address, peerPort))
		}
	}
	if s.Adjust != nil {
		s.Adjust(settings)
	}
	return s.run(ctx, h, settings)
}

func (s *Stage) run(ctx context.Context, h host.Host, settings *setup.Settings) error {
	ctx, stop := context.WithCancel(ctx)
	m := &hostProcess{
		stop: stop,
		done: make(chan struct{}),
	}
	ready := make(chan struct{})
	one := &serve.Host{
		Settings: settings,
		Dial:     s.Network.Dialer(h.Address),
		Listen:   s.Network.Listen,
		Ready:    func() { close(ready) },
	}
	s.mu.Lock()
	s.processes[h.Name] = m
	s.mu.Unlock()
	s.group.Go(func() {
		defer close(m.done)
		m.err = one.Run(ctx)
	})
	select {
	case <-ready:
		return nil
	case <-m.done:
		return m.err
	}
}

// StopHost stops a host as SIGTERM does and waits for its end.
func (s *Stage) StopHost(name string) error {
	s.mu.Lock()
	m := s.processes[name]
	s.mu.Unlock()
	if m == nil {
		return errors.New("stage: no host " + name)
	}
	m.stop()
	<-m.done
	return m.err
}

// Callers returns a host's address for callers.
func (s *Stage) Callers(h host.Host) string {
	return net.JoinHostPort(h.Address, callerPort)
}

// Close ends everything.
func (s *Stage) Close() {
	s.mu.Lock()
	machines, instances := s.processes, s.instances
	s.mu.Unlock()
	for _, m := range machines {
		m.stop()
	}
	for _, m := range machines {
		<-m.done
	}
	for _, i := range instances {
		i.Close()
	}
	s.cancel()
	_ = s.httpServer.Close()
	s.group.Wait()
	<-s.manager.Done()
}

// discard is an http.ResponseWriter that keeps the status only.
type statusRecorder struct {
	header http.Header
	status int
}

// Header returns the answer's header.
func (d *statusRecorder) Header() http.Header { return d.header }

// Write drops the answer's body.
func (d *statusRecorder) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader keeps the status.
func (d *statusRecorder) WriteHeader(status int) { d.status = status }
