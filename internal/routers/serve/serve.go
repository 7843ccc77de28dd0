// Package serve runs a host of the fleet: it builds and starts the host's services,
// and stops them in an order that interrupts no request.
package serve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/modules/client"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/modules/metric"
	"wasabislip.example/wasabislip/internal/modules/setup"
	"wasabislip.example/wasabislip/internal/routers/caller"
	"wasabislip.example/wasabislip/internal/services/assign"
	"wasabislip.example/wasabislip/internal/services/config"
	"wasabislip.example/wasabislip/internal/services/dbmgr"
	"wasabislip.example/wasabislip/internal/services/fleet"
	"wasabislip.example/wasabislip/internal/services/quota"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// dialTimeout bounds the opening of one connection.
const dialTimeout = 2 * time.Second

// dialFunc opens a connection; see net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Host is one host of the fleet. Its exported fields are set before Run.
type Host struct {
	// Settings are the host's own settings.
	Settings *setup.Settings
	// Version is the product's version, which SHOW wasabislip.version returns.
	Version string
	// Dial opens connections to other hosts, instances and the platform; TCP
	// when nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Listen opens a listener at ip:port; TCP when nil.
	Listen func(address string) (net.Listener, error)
	// OnReady is called once every listener is open.
	OnReady func()

	metrics    *metric.Set
	clients    *client.Cache
	config     *config.Manager
	fleet      *fleet.Fleet
	assigner   *assign.Assigner
	quota      *quota.Quota
	databases  *dbmgr.Manager
	callers    *caller.Server
	servers    []*http.Server
	group      conc.WaitGroup
	stopped    chan struct{}
	drainState drainState
}

// Run serves until ctx ends. It then stops without interrupting a request, unless
// that takes longer than the drain timeout of the settings. Run fails if a listener
// can't be opened. If a later process uses this host's name, Run stops at once and
// returns fault.Superseded.
func (h *Host) Run(ctx context.Context) error {
	h.setDefaults()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer h.group.Wait()
	defer cancel()
	if err := h.build(background); err != nil {
		return err
	}
	if err := h.listen(); err != nil {
		return err
	}
	h.start(background)
	if h.OnReady != nil {
		h.OnReady()
	}
	klog.InfoS("host is up", "host", h.Settings.Host, "data-centre", h.Settings.DataCentre)
	select {
	case <-ctx.Done():
		h.stop(background)
		return nil
	case <-h.superseded(background):
		return h.abort()
	}
}

// setDefaults sets the fields that were left out.
func (h *Host) setDefaults() {
	h.stopped = make(chan struct{})
	h.metrics = metric.New()
	declog.SetLimit(h.Settings.Log.LinesPerSecond)
	if h.Dial == nil {
		h.Dial = (&net.Dialer{}).DialContext
	}
	h.Dial = withTimeout(h.Dial)
	if h.Listen == nil {
		h.Listen = func(address string) (net.Listener, error) {
			return net.Listen("tcp", address)
		}
	}
}

// withTimeout returns dial with a timeout. The context of the request is not enough:
// HTTP transports go on dialling after the request has ended.
func withTimeout(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// start begins the background work of the host's services, which ends with ctx.
func (h *Host) start(ctx context.Context) {
	h.config.Start(ctx)
	h.fleet.Start(ctx)
	h.group.Go(func() { h.assigner.Run(ctx) })
	h.group.Go(func() { h.databases.Run(ctx) })
	h.keep(ctx, "follow-hosts", h.followHosts)
	h.keep(ctx, "follow-configuration", h.followConfig)
	h.keep(ctx, "gauges", h.updateGauges)
}

// keep runs a part in the background until ctx ends, and again after a panic.
func (h *Host) keep(ctx context.Context, name string, run func(ctx context.Context)) {
	h.group.Go(func() { guard.Keep(ctx, name, run) })
}

// followHosts makes the database manager check its databases whenever the state of a
// host changes.
func (h *Host) followHosts(ctx context.Context) {
	for ctx.Err() == nil {
		changed := h.fleet.Changed()
		h.databases.Wake()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// followConfig applies each configuration that comes into force.
func (h *Host) followConfig(ctx context.Context) {
	for ctx.Err() == nil {
		changed := h.config.Changed()
		if s, version := h.config.Current(); s != nil {
			h.assigner.Apply(s)
			h.databases.Apply(s)
			h.quota.SetLimits(s.Workspaces)
			h.metrics.SetConfigVersion(version)
			h.setDrained(ctx, s.HostDrained(h.Settings.Host, h.Settings.DataCentre))
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// self describes this host to the others.
func (h *Host) self() host.Host {
	return host.Host{
		Name:       h.Settings.Host,
		Address:    h.Settings.PeerAddress,
		DataCentre: h.Settings.DataCentre,
		State:      host.Alive,
	}
}
