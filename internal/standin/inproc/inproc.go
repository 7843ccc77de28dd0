// Package inproc runs a whole cluster in one process: the stand-ins for the
// platform and the database instances, and real hosts, over any network.
package inproc

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

// Ports of a host.
const (
	callerPort = "5432"
	peerPort   = "7000"
	opsPort    = "9090"
)

const (
	tableName     = "wasabislip"
	headerTimeout = 5 * time.Second
)

// network connects the parts of the cluster; it is the system's or one in memory.
type network interface {
	Listen(address string) (net.Listener, error)
	Dialer(ip string) func(ctx context.Context, network, address string) (net.Conn, error)
}

// hostProcess is a running host.
type hostProcess struct {
	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Cluster is a cluster with its platform. The exported fields are set before
// Start.
type Cluster struct {
	// Network connects hosts, instances, the platform and callers.
	Network network
	// PlatformAddress is the address that the platform listens at, ip:port.
	PlatformAddress string
	// Spec is the configuration that Start applies. Start runs its instances at
	// their addresses.
	Spec *spec.Spec
	// Hosts are the hosts. Only Name, DataCentre and Address are used; Address is
	// an IP address without a port.
	Hosts []host.Host
	// ApplyLag is how long replicas wait before they apply a received log entry.
	ApplyLag time.Duration
	// ShipDelay is how long log entries take from the primary to a replica.
	ShipDelay time.Duration
	// AdjustSettings changes a host's settings before its start; it may be nil.
	AdjustSettings func(s *setup.Settings)

	mu         sync.Mutex
	processes  map[string]*hostProcess
	instances  map[string]*dbase.Instance
	cloud      *cloud.Server
	httpServer *http.Server
	manager    *config.Manager
	cancel     context.CancelFunc
	group      conc.WaitGroup
}

// Start runs the platform, the instances and the hosts, and applies the
// configuration.
func (c *Cluster) Start(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	c.processes = map[string]*hostProcess{}
	c.instances = map[string]*dbase.Instance{}
	if err := c.startPlatform(); err != nil {
		return err
	}
	for d := range c.Spec.Databases {
		for i := range c.Spec.Databases[d].Instances {
			if err := c.StartInstance(c.Spec.Databases[d].Instances[i]); err != nil {
				return err
			}
		}
	}
	platform := c.access()
	c.manager = &config.Manager{
		Table:   table.New(platform, tableName),
		Objects: object.New(platform, tableName),
	}
	c.manager.Start(ctx)
	for _, h := range c.Hosts {
		if err := c.StartHost(ctx, h); err != nil {
			return err
		}
	}
	_, err := c.Apply(ctx, c.Spec)
	return err
}

func (c *Cluster) startPlatform() error {
	l, err := c.Network.Listen(c.PlatformAddress)
	if err != nil {
		return err
	}
	c.cloud = cloud.New()
	c.httpServer = &http.Server{
		Handler:           c.cloud,
		ReadHeaderTimeout: headerTimeout,
	}
	c.group.Go(func() { _ = c.httpServer.Serve(l) })
	return nil
}

// access returns how the configuration manager of the cluster itself, which is
// that of no host, reaches the platform.
func (c *Cluster) access() access.Access {
	ip, _, _ := net.SplitHostPort(c.PlatformAddress)
	return access.Access{
		Endpoint: "http://" + c.PlatformAddress,
		Client: &http.Client{
			Transport: &http.Transport{
				DialContext: c.Network.Dialer(ip),
			},
		},
	}
}

// Apply stores cfg as the next configuration and returns its version.
func (c *Cluster) Apply(ctx context.Context, cfg *spec.Spec) (uint64, error) {
	body, err := yaml.Marshal(cfg)
	if err != nil {
		return 0, err
	}
	return c.manager.Apply(ctx, body, 0, uuid.NewString(), "stage")
}

// SetFaults sets the platform's faults. The body is the JSON that a request to
// cloud.FaultsPath has.
func (c *Cluster) SetFaults(body string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.PlatformAddress+cloud.FaultsPath, strings.NewReader(body))
	if err != nil {
		return err
	}
	w := &statusRecorder{
		header: http.Header{},
	}
	c.cloud.ServeHTTP(w, r)
	if w.status >= http.StatusBadRequest {
		return fmt.Errorf("inproc: faults %s: status %d", body, w.status)
	}
	return nil
}

// StartInstance starts an instance at its address, with an empty log.
func (c *Cluster) StartInstance(i inst.Instance) error {
	l, err := c.Network.Listen(i.Address)
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
		ShipDelay:   c.ShipDelay,
		ApplyLag:    c.ApplyLag,
		Dial:        c.Network.Dialer(ip),
	})
	c.mu.Lock()
	c.instances[i.Address] = d
	c.mu.Unlock()
	c.group.Go(func() { _ = d.Serve(l) })
	return nil
}

// Instance returns the instance at an address, or nil.
func (c *Cluster) Instance(address string) *dbase.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[address]
}

// StartHost starts a host and waits until it is ready or has failed.
func (c *Cluster) StartHost(ctx context.Context, h host.Host) error {
	settings := setup.Default()
	settings.Host = h.Name
	settings.DataCentre = h.DataCentre
	settings.CallerAddress = net.JoinHostPort(h.Address, callerPort)
	settings.PeerAddress = net.JoinHostPort(h.Address, peerPort)
	settings.OpsAddress = net.JoinHostPort(h.Address, opsPort)
	settings.Platform.TableEndpoint = "http://" + c.PlatformAddress
	settings.Platform.ObjectEndpoint = "http://" + c.PlatformAddress
	settings.Callers.Plain = true
	settings.Peers.Plain = true
	for _, other := range c.Hosts {
		if other.Name != h.Name {
			settings.Seeds = append(settings.Seeds, net.JoinHostPort(other.Address, peerPort))
		}
	}
	if c.AdjustSettings != nil {
		c.AdjustSettings(settings)
	}
	return c.run(ctx, h, settings)
}

func (c *Cluster) run(ctx context.Context, h host.Host, settings *setup.Settings) error {
	ctx, stop := context.WithCancel(ctx)
	p := &hostProcess{
		stop: stop,
		done: make(chan struct{}),
	}
	ready := make(chan struct{})
	server := &serve.Host{
		Settings: settings,
		Dial:     c.Network.Dialer(h.Address),
		Listen:   c.Network.Listen,
		OnReady:  func() { close(ready) },
	}
	c.mu.Lock()
	c.processes[h.Name] = p
	c.mu.Unlock()
	c.group.Go(func() {
		defer close(p.done)
		p.err = server.Run(ctx)
	})
	select {
	case <-ready:
		return nil
	case <-p.done:
		return p.err
	}
}

// StopHost stops a host as SIGTERM does and waits until it has stopped.
func (c *Cluster) StopHost(name string) error {
	c.mu.Lock()
	p := c.processes[name]
	c.mu.Unlock()
	if p == nil {
		return errors.New("inproc: no host " + name)
	}
	p.stop()
	<-p.done
	return p.err
}

// CallerAddress returns the address at which a host accepts callers.
func (c *Cluster) CallerAddress(h host.Host) string {
	return net.JoinHostPort(h.Address, callerPort)
}

// Close stops the hosts, the instances and the platform.
func (c *Cluster) Close() {
	c.mu.Lock()
	processes, instances := c.processes, c.instances
	c.mu.Unlock()
	for _, p := range processes {
		p.stop()
	}
	for _, p := range processes {
		<-p.done
	}
	for _, i := range instances {
		i.Close()
	}
	c.cancel()
	_ = c.httpServer.Close()
	c.group.Wait()
	<-c.manager.Done()
}

// statusRecorder is an http.ResponseWriter that records the status and drops the
// body.
type statusRecorder struct {
	header http.Header
	status int
}

// Header returns the response's header.
func (r *statusRecorder) Header() http.Header { return r.header }

// Write drops the response's body.
func (r *statusRecorder) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader records the status.
func (r *statusRecorder) WriteHeader(status int) { r.status = status }
