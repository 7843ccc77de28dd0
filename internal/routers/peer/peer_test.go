package peer_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/routers/peer"
	"wasabislip.example/wasabislip/internal/services/config"
	"wasabislip.example/wasabislip/internal/services/fleet"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	hostCount = 9
	oneWay    = time.Millisecond
)

var errDown = fault.New(fault.Platform, "down", "wait")

// testFleet is a fleet of hosts, with its platform and the network between the
// hosts.
type testFleet struct {
	mu      sync.Mutex
	row     record.Record
	objects map[string][]byte
	hosts   map[string]*testHost
	// platformDown reports whether the platform does not answer a host.
	platformDown func(host string) bool
	// isolated reports whether a host is cut off from all others.
	isolated func(host string) bool
}

// testHost is one host of the fleet.
type testHost struct {
	peer.Handler
	config *config.Manager
	fleet  *fleet.Fleet
}

// rows is one host's access to the platform's table.
type rows struct {
	*testFleet
	host string
}

// objects is one host's access to the platform's object store.
type objects struct {
	*testFleet
	host string
}

func (r rows) Get(context.Context, string, string) (record.Record, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.platformDown(r.host) {
		return record.Record{}, errDown
	}
	return r.row, nil
}

func (r rows) Put(_ context.Context, rec record.Record, expect uint64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.platformDown(r.host) || r.row.Version != expect {
		return errDown
	}
	r.row = rec
	return nil
}

func (o objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.platformDown(o.host) {
		return nil, errDown
	}
	return o.objects[name], nil
}

func (o objects) Put(_ context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[name] = body
	return nil
}

// link is the network from one host to another.
type link struct {
	wasabislipv1connect.PeerServiceClient
	*testFleet
	from string
	to   string
}

func (l link) connect(ctx context.Context) (*testHost, error) {
	time.Sleep(2 * oneWay)
	l.mu.Lock()
	h := l.hosts[l.to]
	lost := h == nil || l.isolated(l.from) || l.isolated(l.to)
	l.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return h, nil
}

func (l link) Exchange(ctx context.Context, r *connect.Request[wasabislipv1.ExchangeRequest]) (*connect.Response[wasabislipv1.ExchangeResponse], error) {
	h, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return h.Exchange(ctx, r)
}

func (l link) Probe(ctx context.Context, r *connect.Request[wasabislipv1.ProbeRequest]) (*connect.Response[wasabislipv1.ProbeResponse], error) {
	h, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return h.Probe(ctx, r)
}

func (l link) Fetch(ctx context.Context, r *connect.Request[wasabislipv1.FetchRequest]) (*connect.Response[wasabislipv1.FetchResponse], error) {
	h, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return h.Fetch(ctx, r)
}

func none(string) bool { return false }

func hostName(i int) string { return fmt.Sprintf("entry-%d", i) }

// startFleet runs the hosts of a fleet until the test ends.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{
		objects:      map[string][]byte{},
		hosts:        map[string]*testHost{},
		platformDown: none,
		isolated:     none,
	}
	ctx, cancel := context.WithCancel(t.Context())
	for i := range hostCount {
		f.add(ctx, hostName(i))
	}
	t.Cleanup(func() {
		cancel()
		for _, h := range f.hosts {
			<-h.config.Done()
			<-h.fleet.Done()
		}
	})
	time.Sleep(10 * time.Second)
	return f
}

func (f *testFleet) add(ctx context.Context, name string) {
	manager := &config.Manager{
		Table: rows{
			testFleet: f,
			host:      name,
		},
		Objects: objects{
			testFleet: f,
			host:      name,
		},
	}
	members := &fleet.Fleet{
		Host: host.Host{
			Name:    name,
			Address: name,
		},
		Seeds:  []string{"entry-0"},
		Config: manager,
		Dial: func(address string) wasabislipv1connect.PeerServiceClient {
			return link{
				testFleet: f,
				from:      name,
				to:        address,
			}
		},
	}
	manager.Hosts = members
	h := &testHost{
		config: manager,
		fleet:  members,
	}
	h.Handler = peer.Handler{
		Fleet:  members,
		Config: manager,
	}
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	manager.Start(ctx)
	members.Start(ctx)
}

func (f *testFleet) setFaults(platformDown, isolated func(host string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platformDown = platformDown
	f.isolated = isolated
}

func (f *testFleet) applyConfig(t *testing.T, id string) {
	t.Helper()
	is := is.New(t)
	body, err := os.ReadFile("../../../examples/hanbit.yaml")
	is.NoErr(err)
	_, err = f.hosts[hostName(0)].config.Apply(t.Context(), append(body, "# "+id+"\n"...), 0, id, "ann")
	is.NoErr(err)
}

// assertInForce checks that every host has version in force and confirmed.
func (f *testFleet) assertInForce(t *testing.T, version uint64) {
	t.Helper()
	is := is.New(t)
	for _, h := range f.hosts {
		_, v := h.config.Current()
		is.Equal(v, version)
		is.NoErr(h.config.CheckConfirmed())
	}
}

// TestConfiguration checks how versions of the configuration reach hosts while the
// platform or the network fails.
func TestConfiguration(t *testing.T) {
	run := func(what string, test func(t *testing.T, f *testFleet)) {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, startFleet(t)) })
		})
	}
	run("a version reaches hosts that the platform does not answer", func(t *testing.T, f *testFleet) {
		f.setFaults(func(host string) bool { return host != hostName(0) }, none)
		f.applyConfig(t, "1")
		time.Sleep(time.Second)
		f.assertInForce(t, 1)
		f.applyConfig(t, "2")
		time.Sleep(time.Second)
		f.assertInForce(t, 2)
	})
	run("the fleet serves through a minute without the platform", func(t *testing.T, f *testFleet) {
		f.applyConfig(t, "1")
		time.Sleep(2 * time.Second)
		f.setFaults(func(string) bool { return true }, none)
		for range 60 {
			time.Sleep(time.Second)
			f.assertInForce(t, 1)
		}
	})
	run("a host cut off from all refuses within the bound, and catches up", func(t *testing.T, f *testFleet) {
		f.applyConfig(t, "1")
		time.Sleep(2 * time.Second)
		lost := func(host string) bool { return host == hostName(5) }
		f.setFaults(lost, lost)
		f.applyConfig(t, "2")
		time.Sleep(7 * time.Second)
		err := f.hosts[hostName(5)].config.CheckConfirmed()
		is.New(t).True(fault.IsKind(err, fault.Unconfirmed))
		f.setFaults(none, none)
		time.Sleep(3 * time.Second)
		f.assertInForce(t, 2)
	})
}
