package proofs_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/pkg/model/spec"
)

// drainTimeout is the time within which a drain must end. After it, nothing may
// depend on what was drained.
const drainTimeout = 8 * time.Second

// drainDataCentre drains one data centre and no other, or none if name is empty.
func (cl *cluster) drainDataCentre(t *testing.T, name string) {
	t.Helper()
	is := is.New(t)
	next := *cl.Spec
	next.DataCentres = append(next.DataCentres[:0:0], cl.Spec.DataCentres...)
	for i := range next.DataCentres {
		next.DataCentres[i].Drained = next.DataCentres[i].Name == name
	}
	cl.applySpec(is, &next)
}

// drainPrimary drains the primary instance only.
func (cl *cluster) drainPrimary(t *testing.T) {
	t.Helper()
	is := is.New(t)
	next := *cl.Spec
	d := cl.Spec.Databases[0]
	d.Instances = slices.Clone(d.Instances)
	for i := range d.Instances {
		d.Instances[i].Drained = cl.Instance(d.Instances[i].Address).IsPrimary()
	}
	next.Databases = append(next.Databases[:0:0], d)
	cl.applySpec(is, &next)
}

// applySpec applies a configuration. It retries while that fails.
func (cl *cluster) applySpec(is *is.I, next *spec.Spec) {
	is.Helper()
	for range 20 {
		if _, err := cl.Apply(cl.ctx, next); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	is.Fail() // the configuration was not accepted
}

// setIsolated isolates all hosts and instances of a data centre, or reconnects
// them.
func (cl *cluster) setIsolated(name string, isolated bool) {
	change := cl.net.Rejoin
	if isolated {
		change = cl.net.Isolate
	}
	for _, h := range cl.Hosts {
		if h.DataCentre == name {
			change(h.Address)
		}
	}
	for i := range cl.Spec.Databases[0].Instances {
		if cl.Spec.Databases[0].Instances[i].DataCentre == name {
			change(instanceIP(cl, i))
		}
	}
}

// assertOnlyUnready asserts that the hosts of a data centre are not ready and
// that all others are.
func assertOnlyUnready(t *testing.T, b *balancer, name string) {
	t.Helper()
	for i, h := range b.cluster.Hosts {
		is.New(t).Equal(b.fetch(i, "/readyz") == "", h.DataCentre == name)
	}
}

// runWithCluster runs a subtest under a simulated clock, on a cluster of six
// hosts.
func runWithCluster(t *testing.T, name string, test func(t *testing.T, cl *cluster)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(t, newCluster(t, 6, nil))
		})
	})
}

// TestDrain drains data centres under load. No operation may be refused or end
// with an unknown outcome, even if the data centre is isolated once the drain is
// done. When a primary fails as well, each operation that succeeds must still
// end within opTimeout.
func TestDrain(t *testing.T) {
	runWithCluster(t, "each data centre in turn, twice", func(t *testing.T, cl *cluster) {
		clients := runListClients(t, cl, 110*time.Second, func(b *balancer) {
			for range 2 {
				for _, name := range centres {
					cl.drainDataCentre(t, name)
					time.Sleep(drainTimeout)
					assertOnlyUnready(t, b, name)
					cl.setIsolated(name, true)
					time.Sleep(2 * time.Second)
					cl.setIsolated(name, false)
					cl.drainDataCentre(t, "")
					time.Sleep(drainTimeout)
					assertOnlyUnready(t, b, "")
				}
			}
		})
		is := is.New(t)
		is.Equal(clients.disconnected(), 0)
		is.Equal(clients.refused(), 0)
	})
	runWithCluster(t, "while the platform is slow", func(t *testing.T, cl *cluster) {
		clients := runListClients(t, cl, 40*time.Second, func(*balancer) {
			is.New(t).NoErr(cl.SetFaults(`{"slow":"400ms"}`))
			for _, name := range centres[:2] {
				cl.drainDataCentre(t, name)
				time.Sleep(drainTimeout)
				cl.drainDataCentre(t, "")
				time.Sleep(drainTimeout)
			}
			is.New(t).NoErr(cl.SetFaults(`{"slow":"0s"}`))
		})
		is := is.New(t)
		is.Equal(clients.disconnected(), 0)
		is.Equal(clients.refused(), 0)
	})
	runWithCluster(t, "while a primary fails", func(t *testing.T, cl *cluster) {
		clients := runListClients(t, cl, 45*time.Second, func(b *balancer) {
			for i := range 2 {
				cl.net.Isolate(instanceIP(cl, i))
				cl.drainDataCentre(t, centres[i+1])
				time.Sleep(drainTimeout)
				assertOnlyUnready(t, b, centres[i+1])
				cl.net.Rejoin(instanceIP(cl, i))
				cl.drainDataCentre(t, "")
				time.Sleep(drainTimeout)
				assertOnlyUnready(t, b, "")
			}
		})
		is.New(t).True(clients.worstLatency() < opTimeout)
	})
}

// TestReplacedHostStops starts a second process under the name of a running
// host, at another address. The first process must stop, and every host must
// still serve writes.
func TestReplacedHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, nil)
		b := newBalancer(cl)
		is.True(b.fetch(1, "/healthz") != "")
		replacement := cl.Hosts[1]
		replacement.Address = "10.1.0.99"
		is.NoErr(cl.StartHost(cl.ctx, replacement))
		time.Sleep(10 * time.Second)
		is.Equal(b.fetch(1, "/healthz"), "") // the replaced process has stopped
		cl.Hosts[1] = replacement
		is.True(b.fetch(1, "/healthz") != "")
		for i := range cl.Hosts {
			_, err := cl.query(i, "settle", "SELECT put('hold-17','lotus')")
			is.NoErr(err)
		}
	})
}
