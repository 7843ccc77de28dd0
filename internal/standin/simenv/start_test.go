package simenv_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/rowsrv"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

func TestFleetStart(t *testing.T) {
	// Guards against a fleet whose hosts all read the store, over and over, while
	// they register: on hanbit-swap-large, quiet-1, 195 hosts made some 2,400
	// calls at their start.
	t.Run("hosts that start together get the tables from the seeds", func(t *testing.T) {
		const hosts = 40
		runScript(t, hosts, func(is *is.I, env *simenv.Environment) {
			calls := env.Store.CallCount()
			t.Logf("%d calls of the store by %d hosts in 5 s", calls, hosts)
			// Each host registers once; two readers take 8 calls a second.
			is.True(calls <= hosts+100)
			for i := range hosts {
				c, _, ok := env.OpenSession(i, "strict", "key-one")
				is.True(ok)
				is.True(c.Do("WRITE item x").OK())
				c.Close()
			}
		})
	})
	// The load of a fleet that has lost power: its callers try again every fraction of
	// a second, and give up after 1.5 s. Hosts with little processor time start at
	// different times.
	t.Run("hosts that start before the seed are ready as soon as it has read the store", func(t *testing.T) {
		const (
			hosts = 40
			seeds = 1
			// lateBy is by how much the seed starts later than the others.
			lateBy = 200 * time.Millisecond
			// A host asks again within 120 ms; a read of the store and an exchange take
			// some milliseconds each.
			readyWithin = 150 * time.Millisecond
			// Homes grant by how many hosts they hear of. Reports take up to four
			// exchanges.
			heardWithin = 400 * time.Millisecond
		)
		runScript(t, hosts, func(is *is.I, env *simenv.Environment) {
			var all []int
			for i := range hosts {
				all = append(all, i)
			}
			env.PowerOff(all...)
			time.Sleep(time.Second)
			for _, i := range all[seeds:] {
				env.StartHost(i)
			}
			time.Sleep(lateBy)
			for _, i := range all[:seeds] {
				env.StartHost(i)
			}
			time.Sleep(readyWithin)
			ready := 0
			for _, i := range all {
				if !env.Ready(i) {
					t.Logf("host %d is not ready", i)
				} else {
					ready++
				}
			}
			is.Equal(ready, hosts)
			time.Sleep(heardWithin - readyWithin)
			heard := 0.0
			for _, i := range all {
				heard += env.Metric(i, "wasabislip_hosts")
			}
			t.Logf("%.3f of the other hosts are heard of", heard/hosts/(hosts-1))
			is.True(heard >= 0.95*hosts*(hosts-1))
		})
	})
}

func TestStartWhileStoreIsBusy(t *testing.T) {
	t.Run("hosts without a copy of the store open no era", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			env := simenv.New()
			defer env.Close()
			writes := 0
			env.Store.SetFault(func(_ string, write bool) string {
				if write {
					writes++
					return ""
				}
				return rowsrv.Busy
			})
			for i := range 6 {
				env.StartHost(i)
			}
			time.Sleep(4 * time.Second)
			is.Equal(writes, 0)
			is.Equal(len(env.Store.Get("wasabislip", "era-0")), 0)
		})
	})
}
