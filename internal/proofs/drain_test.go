package proofs_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/pkg/model/spec"
)

// settleTime is how long a drain may take until nothing depends on the place.
const settleTime = 8 * time.Second

// applyDrain drains a data centre, or none when name is empty.
func (w *world) applyDrain(t *testing.T, name string) {
	t.Helper()
	is := is.New(t)
	next := *w.Spec
	next.DataCentres = append(next.DataCentres[:0:0], w.Spec.DataCentres...)
	for i := range next.DataCentres {
		next.DataCentres[i].Drained = next.DataCentres[i].Name == name
	}
	w.apply(is, &next)
}

// drainPrimary takes the primary instance out of service, alone.
func (w *world) drainPrimary(t *testing.T) {
	t.Helper()
	is := is.New(t)
	next := *w.Spec
	d := w.Spec.Databases[0]
	d.Instances = slices.Clone(d.Instances)
	for i := range d.Instances {
		d.Instances[i].Drained = w.Instance(d.Instances[i].Address).IsPrimary()
	}
	next.Databases = append(next.Databases[:0:0], d)
	w.apply(is, &next)
}

func (w *world) apply(is *is.I, next *spec.Spec) {
	is.Helper()
	for range 20 {
		if _, err := w.Apply(w.ctx, next); err == nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	is.Fail() // the configuration was not accepted
}

// cutCentre isolates, or joins again, all that stands in a data centre.
func (w *world) cutCentre(name string, cut bool) {
	change := w.net.Rejoin
	if cut {
		change = w.net.Isolate
	}
	for _, h := range w.Hosts {
		if h.DataCentre == name {
			change(h.Address)
		}
	}
	for i := range w.Spec.Databases[0].Instances {
		if w.Spec.Databases[0].Instances[i].DataCentre == name {
			change(addressOf(w, i))
		}
	}
}

// unready asserts that exactly the hosts of a data centre are not ready.
func unready(t *testing.T, b *balancer, name string) {
	t.Helper()
	for i, h := range b.w.Hosts {
		is.New(t).Equal(b.page(i, "/readyz") == "", h.DataCentre == name)
	}
}

func inWorld(t *testing.T, name string, test func(t *testing.T, w *world)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(t, newWorld(t, 6, nil))
		})
	})
}

func TestDrain(t *testing.T) {
	inWorld(t, "each data centre in turn, twice", func(t *testing.T, w *world) {
		c := shop(t, w, 110*time.Second, func(b *balancer) {
			for range 2 {
				for _, name := range centres {
					w.applyDrain(t, name)
					time.Sleep(settleTime)
					unready(t, b, name)
					w.cutCentre(name, true)
					time.Sleep(2 * time.Second)
					w.cutCentre(name, false)
					w.applyDrain(t, "")
					time.Sleep(settleTime)
					unready(t, b, "")
				}
			}
		})
		is := is.New(t)
		is.Equal(c.cut(), 0)
		is.Equal(c.refused(), 0)
	})
	inWorld(t, "while the platform is slow", func(t *testing.T, w *world) {
		c := shop(t, w, 40*time.Second, func(*balancer) {
			is.New(t).NoErr(w.SetFaults(`{"slow":"400ms"}`))
			for _, name := range centres[:2] {
				w.applyDrain(t, name)
				time.Sleep(settleTime)
				w.applyDrain(t, "")
				time.Sleep(settleTime)
			}
			is.New(t).NoErr(w.SetFaults(`{"slow":"0s"}`))
		})
		is := is.New(t)
		is.Equal(c.cut(), 0)
		is.Equal(c.refused(), 0)
	})
	inWorld(t, "while a primary fails", func(t *testing.T, w *world) {
		c := shop(t, w, 45*time.Second, func(b *balancer) {
			for i := range 2 {
				w.net.Isolate(addressOf(w, i))
				w.applyDrain(t, centres[i+1])
				time.Sleep(settleTime)
				unready(t, b, centres[i+1])
				w.net.Rejoin(addressOf(w, i))
				w.applyDrain(t, "")
				time.Sleep(settleTime)
				unready(t, b, "")
			}
		})
		is.New(t).True(c.worst() < opTimeout)
	})
}

func TestSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3, nil)
		b := newBalancer(w)
		is.True(b.page(1, "/healthz") != "")
		later := w.Hosts[1]
		later.Address = "10.1.0.99"
		is.NoErr(w.StartHost(w.ctx, later))
		time.Sleep(10 * time.Second)
		is.Equal(b.page(1, "/healthz"), "") // the former process has stopped
		w.Hosts[1] = later
		is.True(b.page(1, "/healthz") != "")
		for i := range w.Hosts {
			_, err := w.ask(i, "settle", "SELECT put('hold-17','lotus')")
			is.NoErr(err)
		}
	})
}
