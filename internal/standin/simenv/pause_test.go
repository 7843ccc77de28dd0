package simenv_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/rowsrv"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// forEachCutLink calls f for the links between hosts 0 and 3 with the primary on one
// side, and the other hosts with the store on the other. Both reach the replicas.
func forEachCutLink(f func(from, to string)) {
	_, primary := simenv.Instance(0)
	forEachBetween([]string{simenv.HostIP(0), simenv.HostIP(3), primary}, f)
}

// forEachHostsLink calls f for the links between hosts 0 and 3 on one side, and the other
// hosts with the store on the other. Both reach all instances.
func forEachHostsLink(f func(from, to string)) {
	forEachBetween([]string{simenv.HostIP(0), simenv.HostIP(3)}, f)
}

// forEachBetween calls f for the links between a side and the other hosts with the store.
func forEachBetween(side []string, f func(from, to string)) {
	rest := []string{"10.200.1.1", "10.200.0.2"}
	for _, i := range []int{1, 2, 4, 5} {
		rest = append(rest, simenv.HostIP(i))
	}
	for _, a := range side {
		for _, b := range rest {
			f(a, b)
			f(b, a)
		}
	}
}

// countSuperseded writes through host 0 for some time, and returns how many writes were
// acknowledged that were sent while another instance than i-1 led.
func countSuperseded(env *simenv.Environment, length time.Duration) int {
	n := 0
	for began := time.Now(); time.Since(began) < length; time.Sleep(20 * time.Millisecond) {
		superseded := env.Group.Primary() != "i-1"
		c, _, accepted := env.OpenSession(0, "strict", "key-one")
		if !accepted {
			continue
		}
		if c.Do("WRITE late x").OK() && superseded {
			n++
		}
		c.Close()
	}
	return n
}

func TestReplicaNotStopped(t *testing.T) {
	busy := map[string][]string{
		"all replicas were busy": {"i-2", "i-3"},
		"one replica was busy":   {"i-3"},
	}
	for name, replicas := range busy {
		t.Run("no write is acknowledged by the former primary after "+name, func(t *testing.T) {
			runScript(t, 6, func(is *is.I, env *simenv.Environment) {
				forEachCutLink(env.Net.Cut)
				defer forEachCutLink(env.Net.Heal)
				time.Sleep(600 * time.Millisecond)
				for _, id := range replicas {
					env.Group.SetBusy(id, true)
				}
				time.Sleep(2600 * time.Millisecond)
				for _, id := range replicas {
					env.Group.SetBusy(id, false)
				}
				is.Equal(countSuperseded(env, 8*time.Second), 0)
				is.True(env.Group.Primary() != "i-1")
			})
		})
	}
	t.Run("no write is acknowledged by the former primary after a replica restarted", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			forEachCutLink(env.Net.Cut)
			defer forEachCutLink(env.Net.Heal)
			time.Sleep(2600 * time.Millisecond)
			for _, id := range []string{"i-2", "i-3"} {
				env.CrashInstance(id)
				env.StartInstance(id)
			}
			is.Equal(countSuperseded(env, 8*time.Second), 0)
			is.True(env.Group.Primary() != "i-1")
		})
	})
}

// countStale writes through host 1 and reads through host 0, n times, and returns how many
// reads did not show the acknowledged write before them.
func countStale(is *is.I, env *simenv.Environment, n int) int {
	stale := 0
	for i := range n {
		writer, _, accepted := env.OpenSession(1, "strict", "key-one")
		is.True(accepted)
		value := fmt.Sprint(i)
		written := writer.Do("WRITE counter " + value).OK()
		writer.Close()
		reader, _, accepted := env.OpenSession(0, "strict", "key-one")
		is.True(accepted)
		a := reader.Do("READ counter")
		reader.Close()
		if written && a.OK() && !slices.Equal(a.Rows, []string{value}) {
			stale++
		}
		time.Sleep(20 * time.Millisecond)
	}
	return stale
}

func TestReadAfterStepDown(t *testing.T) {
	t.Run("a host that no other reaches reads nothing stale from the former primary", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			env.Group.SetTimes(100*time.Millisecond, time.Millisecond)
			forEachHostsLink(env.Net.Cut)
			defer forEachHostsLink(env.Net.Heal)
			time.Sleep(2 * time.Second)
			env.DrainInstance("i-1")
			stale := countStale(is, env, 300)
			is.True(env.Group.Primary() != "i-1")
			is.Equal(stale, 0)
		})
	})
}

func TestUnknownReplicas(t *testing.T) {
	t.Run("a host whose copy lacks the replicas does not use the former primary", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			env.ExpireHeartbeat("i-2")
			env.ExpireHeartbeat("i-3")
			time.Sleep(9 * time.Second)
			forEachCutLink(env.Net.Cut)
			defer forEachCutLink(env.Net.Heal)
			time.Sleep(100 * time.Millisecond)
			env.ResumeHeartbeat("i-2")
			env.ResumeHeartbeat("i-3")
			is.Equal(countSuperseded(env, 12*time.Second), 0)
			is.True(env.Group.Primary() != "i-1")
		})
	})
	t.Run("a host whose copy lacks one replica does not use the former primary", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			env.ExpireHeartbeat("i-3")
			time.Sleep(9 * time.Second)
			_, known := simenv.Instance(1)
			cut := func(f func(from, to string)) {
				forEachCutLink(f)
				forEachBetween([]string{known}, f)
			}
			cut(env.Net.Cut)
			defer cut(env.Net.Heal)
			time.Sleep(100 * time.Millisecond)
			env.ResumeHeartbeat("i-3")
			is.Equal(countSuperseded(env, 12*time.Second), 0)
			is.True(env.Group.Primary() != "i-1")
		})
	})
}

func TestHandoverEnds(t *testing.T) {
	t.Run("a commit is not acknowledged by a handover that was given up", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			c, _, accepted := env.OpenSession(0, "strict", "key-one")
			is.True(accepted)
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("WRITE late x").OK())
			env.DrainInstance("i-1")
			for range 400 {
				if strings.Contains(string(env.Store.Get("wasabislip", "leader-ledger")), "changing") {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(150 * time.Millisecond)
			forEachCutLink(env.Net.Cut)
			defer forEachCutLink(env.Net.Heal)
			// The open transaction is kept from being idle until another instance leads.
			for began := time.Now(); time.Since(began) < 15*time.Second && env.Group.Primary() == "i-1"; {
				if !c.Do("READ other").OK() {
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			for range 50 {
				if env.Group.Primary() != "i-1" {
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(time.Second)
			is.True(env.Group.Primary() != "i-1")
			is.True(!c.Do("COMMIT").OK())
		})
	})
}

func TestRemovedHost(t *testing.T) {
	// Its own copy of the fleet table, which nothing renews, still shows it.
	t.Run("a host whose registration was removed does not use the former primary", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			forEachHostsLink(env.Net.Cut)
			defer forEachHostsLink(env.Net.Heal)
			time.Sleep(30 * time.Second)
			forEachCutLink(env.Net.Cut)
			defer forEachCutLink(env.Net.Heal)
			is.Equal(countSuperseded(env, 8*time.Second), 0)
			is.True(env.Group.Primary() != "i-1")
		})
	})
	t.Run("hosts that hear of each other use the primary through a long outage of the store", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			env.Store.SetFault(func(string, bool) string {
				return rowsrv.Silent
			})
			time.Sleep(3 * time.Minute)
			is.True(writeUntil(is, env, 0, time.Second) < time.Second)
			is.True(writeUntil(is, env, 5, time.Second) < time.Second)
		})
	})
}

func TestReplicasRestartLate(t *testing.T) {
	restart := func(env *simenv.Environment) {
		for _, id := range []string{"i-2", "i-3"} {
			env.CrashInstance(id)
			env.StartInstance(id)
		}
	}
	t.Run("no order goes out after the replicas restarted behind the choice", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			orders := func(f func(from, to string)) {
				for i := range 6 {
					f(simenv.HostIP(i), "10.200.0.2")
				}
			}
			forEachCutLink(env.Net.Cut)
			defer forEachCutLink(env.Net.Heal)
			orders(env.Net.Cut)
			go func() {
				for range 1000 {
					if strings.Contains(string(env.Store.Get("wasabislip", "leader-ledger")), `"primary":"i-`) {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				restart(env)
				time.Sleep(2500 * time.Millisecond)
				for _, i := range []int{1, 2, 4, 5} {
					env.Net.Heal(simenv.HostIP(i), "10.200.0.2")
				}
			}()
			is.Equal(countSuperseded(env, 20*time.Second), 0)
			is.True(env.Group.Primary() != "i-1")
		})
	})
	for _, after := range []time.Duration{2960, 3000, 3040} {
		t.Run(fmt.Sprintf("no stale read when the replicas restart %d ms after the record of a planned change", after), func(t *testing.T) {
			runScript(t, 6, func(is *is.I, env *simenv.Environment) {
				env.Group.SetTimes(100*time.Millisecond, time.Millisecond)
				c, _, accepted := env.OpenSession(1, "strict", "key-one")
				is.True(accepted)
				forEachHostsLink(env.Net.Cut)
				defer forEachHostsLink(env.Net.Heal)
				time.Sleep(2 * time.Second)
				is.True(c.Do("BEGIN").OK())
				is.True(c.Do("WRITE late x").OK())
				go func() {
					for range 30 {
						time.Sleep(300 * time.Millisecond)
						c.Do("READ other")
					}
				}()
				env.DrainInstance("i-1")
				for range 400 {
					if strings.Contains(string(env.Store.Get("wasabislip", "leader-ledger")), "changing") {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				go func() {
					time.Sleep(after * time.Millisecond)
					restart(env)
				}()
				is.Equal(countStale(is, env, 300), 0)
				is.True(env.Group.Primary() != "i-1")
			})
		})
	}
}
