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

func (b objects) Get(_ context.Context, name string) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.platformDown(b.host) {
		return nil, errDown
	}
	return b.objects[name], nil
}

func (b objects) Put(_ context.Context, name string, body []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.objects[name] = body
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
	m := l.hosts[l.to]
	lost := m == nil || l.isolated(l.from) || l.isolated(l.to)
	l.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m, nil
}

func (l link) Exchange(ctx context.Context, r *connect.Request[wasabislipv1.ExchangeRequest]) (*connect.Response[wasabislipv1.ExchangeResponse], error) {
	m, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return m.Exchange(ctx, r)
}

func (l link) Probe(ctx context.Context, r *connect.Request[wasabislipv1.ProbeRequest]) (*connect.Response[wasabislipv1.ProbeResponse], error) {
	m, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return m.Probe(ctx, r)
}

func (l link) Fetch(ctx context.Context, r *connect.Request[wasabislipv1.FetchRequest]) (*connect.Response[wasabislipv1.FetchResponse], error) {
	m, err := l.connect(ctx)
	if err != nil {
		return nil, err
	}
	return m.Fetch(ctx, r)
}

func none(string) bool { return false }

func hostName(i int) string { return fmt.Sprintf("entry-%d", i) }

// startFleet runs the hosts of a fleet until the test ends.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	w := &testFleet{
		objects:      map[string][]byte{},
		hosts:        map[string]*testHost{},
		platformDown: none,
		isolated:     none,
	}
	ctx, cancel := context.WithCancel(t.Context())
	for i := range hostCount {
		w.add(ctx, hostName(i))
	}
	t.Cleanup(func() {
		cancel()
		for _, m := range w.hosts {
			<-m.config.Done()
			<-m.fleet.Done()
		}
	})
	time.Sleep(10 * time.Second)
	return w
}

func (w *testFleet) add(ctx context.Context, name string) {
	k := &config.Manager{
		Table: rows{
			testFleet: w,
			host:      name,
		},
		Objects: objects{
			testFleet: w,
			host:      name,
		},
	}
	f := &fleet.Fleet{
		Host: host.Host{
			Name:    name,
			Address: name,
		},
		Seeds:  []string{"entry-0"},
		Config: k,
		Dial: func(address string) wasabislipv1connect.PeerServiceClient {
			return link{
				testFleet: w,
				from:      name,
				to:        address,
			}
		},
	}
	k.Hosts = f
	m := &testHost{
		config: k,
		fleet:  f,
	}
	m.Handler = peer.Handler{
		Fleet:  f,
		Config: k,
	}
	w.mu.Lock()
	w.hosts[name] = m
	w.mu.Unlock()
	k.Start(ctx)
	f.Start(ctx)
}

func (w *testFleet) setFaults(platformDown, isolated func(host string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platformDown = platformDown
	w.isolated = isolated
}

func (w *testFleet) applyConfig(t *testing.T, id string) {
	t.Helper()
	is := is.New(t)
	body, err := os.ReadFile("../../../examples/hanbit.yaml")
	is.NoErr(err)
	_, err = w.hosts[hostName(0)].config.Apply(t.Context(), append(body, "# "+id+"\n"...), 0, id, "ann")
	is.NoErr(err)
}

// assertInForce checks that every host has version in force and confirmed.
func (w *testFleet) assertInForce(t *testing.T, version uint64) {
	t.Helper()
	is := is.New(t)
	for _, m := range w.hosts {
		_, v := m.config.Current()
		is.Equal(v, version)
		is.NoErr(m.config.CheckConfirmed())
	}
}

// TestConfiguration checks how versions of the configuration reach hosts while the
// platform or the network fails.
func TestConfiguration(t *testing.T) {
	run := func(what string, f func(t *testing.T, w *testFleet)) {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, startFleet(t)) })
		})
	}
	run("a version reaches hosts that the platform does not answer", func(t *testing.T, w *testFleet) {
		w.setFaults(func(host string) bool { return host != hostName(0) }, none)
		w.applyConfig(t, "1")
		time.Sleep(time.Second)
		w.assertInForce(t, 1)
		w.applyConfig(t, "2")
		time.Sleep(time.Second)
		w.assertInForce(t, 2)
	})
	run("the fleet serves through a minute without the platform", func(t *testing.T, w *testFleet) {
		w.applyConfig(t, "1")
		time.Sleep(2 * time.Second)
		w.setFaults(func(string) bool { return true }, none)
		for range 60 {
			time.Sleep(time.Second)
			w.assertInForce(t, 1)
		}
	})
	run("a host cut off from all refuses within the bound, and catches up", func(t *testing.T, w *testFleet) {
		w.applyConfig(t, "1")
		time.Sleep(2 * time.Second)
		lost := func(host string) bool { return host == hostName(5) }
		w.setFaults(lost, lost)
		w.applyConfig(t, "2")
		time.Sleep(7 * time.Second)
		err := w.hosts[hostName(5)].config.CheckConfirmed()
		is.New(t).True(fault.IsKind(err, fault.Unconfirmed))
		w.setFaults(none, none)
		time.Sleep(3 * time.Second)
		w.assertInForce(t, 2)
	})
}
