package simenv_test

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/rowsrv"
	"wasabislip.example/wasabislip/internal/standin/simenv"
	"wasabislip.example/wasabislip/platform/decode"
)

const (
	// sendingHosts is through how many hosts sendStatements sends.
	sendingHosts = 6
	// changeLimit is how long a change of primary may take.
	changeLimit = 12 * time.Second
	// usableTime is for how long callers may expect a leaving primary that nothing can
	// replace to serve.
	usableTime = 4 * time.Second
	// promptly is within what time callers hear that a statement can't be served.
	promptly = simenv.TargetLatency / 10
	// lapseTime is longer than hosts keep an instance whose entry is gone.
	lapseTime = 8 * time.Second
)

// announceLeave makes an instance announce that it leaves, and returns when the store had
// the announcement.
func announceLeave(is *is.I, env *simenv.Environment, id string) time.Time {
	is.Helper()
	env.DrainInstance(id)
	for range 2000 {
		if bytes.Contains(env.Store.Get(decode.ServerTable, id), []byte(`"draining"`)) {
			return time.Now()
		}
		time.Sleep(time.Millisecond)
	}
	is.Fail() // the announcement did not arrive
	return time.Time{}
}

// sendStatements sends statements of a database through the first hosts until a moment. It returns
// how many succeeded and failed, and the longest time that one took.
func sendStatements(env *simenv.Environment, database, statement string, until time.Time) (done, failed int, longest time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range sendingHosts {
		wg.Go(func() {
			for time.Now().Before(until) {
				c, _, ok := env.OpenSession(i, database, "key-one")
				sent := time.Now()
				ok = ok && c.Do(statement).OK()
				c.Close()
				mu.Lock()
				longest = max(longest, time.Since(sent))
				if ok {
					done++
				} else {
					failed++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return done, failed, longest
}

// countLate returns how many single statements reached an instance after a moment.
func countLate(env *simenv.Environment, id string, after time.Time) int {
	n := 0
	for _, x := range env.Group.Executions() {
		if x.Instance == id && x.At.After(after) && !x.InTransaction {
			n++
		}
	}
	return n
}

// TestLeavingPrimary guards against a primary that gets new work long after it announced
// that it leaves, since no other instance can take over.
func TestLeavingPrimary(t *testing.T) {
	others := []string{"i-2", "i-3"}
	play := func(what string, within time.Duration, isolate, back func(is *is.I, env *simenv.Environment)) {
		t.Run(what, func(t *testing.T) {
			runScript(t, sendingHosts, func(is *is.I, env *simenv.Environment) {
				isolate(is, env)
				left := announceLeave(is, env, "i-1")
				_, failed, _ := sendStatements(env, "strict", "WRITE item 1", left.Add(usableTime))
				is.Equal(failed, 0)
				_, _, _ = sendStatements(env, "strict", "WRITE item 2", left.Add(simenv.DrainTimeout))
				done, _, longest := sendStatements(env, "strict", "WRITE item 3", left.Add(2*simenv.DrainTimeout))
				is.Equal(countLate(env, "i-1", left.Add(simenv.DrainTimeout)), 0)
				is.Equal(done, 0)
				is.True(longest < within)
				back(is, env)
				is.True(writeUntil(is, env, 0, changeLimit) < changeLimit)
			})
		})
	}
	play("the others are cut off from the store", promptly, func(_ *is.I, env *simenv.Environment) {
		for _, id := range others {
			env.ExpireHeartbeat(id)
		}
		time.Sleep(lapseTime)
	}, func(_ *is.I, env *simenv.Environment) {
		for _, id := range others {
			env.ResumeHeartbeat(id)
		}
	})
	play("the others leave too", promptly, func(is *is.I, env *simenv.Environment) {
		for _, id := range others {
			announceLeave(is, env, id)
		}
	}, func(_ *is.I, env *simenv.Environment) {
		env.StopLeaving("i-2")
	})
	play("the data centres of the others are evacuated", promptly, func(_ *is.I, env *simenv.Environment) {
		for _, dc := range []string{"b", "c"} {
			env.Store.Put(decode.OperatorTable, "evacuate/"+dc, map[string]any{})
		}
		time.Sleep(time.Second)
	}, func(_ *is.I, env *simenv.Environment) {
		env.Store.Delete(decode.OperatorTable, "evacuate/b")
	})
	play("the store takes no record of a failover", simenv.StatementTimeout, func(_ *is.I, env *simenv.Environment) {
		env.Store.SetFault(func(_ string, write bool) string {
			if write {
				return rowsrv.Silent
			}
			return ""
		})
	}, func(_ *is.I, env *simenv.Environment) {
		env.Store.SetFault(nil)
	})
}

// TestLeavingReplicas guards against reads that are refused although replicas that leave
// still accept them, and against reads that reach such a replica too late.
func TestLeavingReplicas(t *testing.T) {
	const later = 3 * time.Second
	runScript(t, sendingHosts, func(is *is.I, env *simenv.Environment) {
		env.Store.SetFault(func(_ string, write bool) string {
			if write {
				return rowsrv.Silent // no failover
			}
			return ""
		})
		first := announceLeave(is, env, "i-1")
		time.Sleep(later)
		last := announceLeave(is, env, "i-2")
		announceLeave(is, env, "i-3")
		time.Sleep(time.Until(first.Add(simenv.DrainTimeout)))
		done, failed, _ := sendStatements(env, "bounded", "READ item", first.Add(simenv.DrainTimeout+later/2))
		is.True(done > 0)
		is.Equal(failed, 0)
		_, _, _ = sendStatements(env, "bounded", "READ item", last.Add(simenv.DrainTimeout+2*time.Second))
		is.Equal(countLate(env, "i-1", first.Add(simenv.DrainTimeout)), 0)
		is.Equal(countLate(env, "i-2", last.Add(simenv.DrainTimeout)), 0)
	})
}

// TestLeavingTransactions guards against a transaction that begins in time and sends its
// first statement to a leaving primary too late, and against cutting off one that has run
// statements.
func TestLeavingTransactions(t *testing.T) {
	runScript(t, 6, func(is *is.I, env *simenv.Environment) {
		for _, id := range []string{"i-2", "i-3"} {
			env.ExpireHeartbeat(id)
		}
		time.Sleep(lapseTime)
		left := announceLeave(is, env, "i-1")
		time.Sleep(4800 * time.Millisecond) // idle transactions end after 3 s
		idle, _, _ := env.OpenSession(0, "strict", "key-one")
		defer idle.Close()
		is.True(idle.Do("BEGIN").OK())
		busy, _, _ := env.OpenSession(1, "strict", "key-one")
		defer busy.Close()
		is.True(busy.Do("BEGIN").OK())
		is.True(busy.Do("WRITE busy 1").OK())
		time.Sleep(time.Until(left.Add(simenv.DrainTimeout + 200*time.Millisecond)))
		is.Equal(idle.Do("WRITE idle 1").Code, "ABORTED")
		is.True(busy.Do("WRITE busy 2").OK())
		is.True(busy.Do("COMMIT").OK())
		for _, x := range env.Group.Executions() {
			is.True(x.Text != "WRITE idle 1")
		}
	})
}

// TestEvacuatedTransaction guards against a transaction whose statements reach an evacuated
// data centre after the bound, since the time counts from its next statement.
func TestEvacuatedTransaction(t *testing.T) {
	const bound = simenv.EvacuationTimeout
	dataCentre := map[string]string{"i-1": "a", "i-2": "b", "i-3": "c"}
	play := func(what, database, begin, statement string, isolate func(env *simenv.Environment)) {
		t.Run(what, func(t *testing.T) {
			runScript(t, 6, func(is *is.I, env *simenv.Environment) {
				c, _, _ := env.OpenSession(0, database, "key-one")
				defer c.Close()
				isolate(env)
				is.True(c.Do(begin).OK())
				is.True(c.Do(statement).OK())
				runs := env.Group.Executions()
				instance := runs[len(runs)-1].Instance
				env.Store.Put(decode.OperatorTable, "evacuate/"+dataCentre[instance], map[string]any{})
				evacuated := time.Now()
				for _, after := range []time.Duration{2800 * time.Millisecond, bound + 300*time.Millisecond} {
					time.Sleep(time.Until(evacuated.Add(after))) // idle transactions end after 3 s
					c.Do(statement)
				}
				is.True(len(env.Group.Executions()) > len(runs)) // it may go on for a while
				for _, x := range env.Group.Executions() {
					is.True(x.Instance != instance || x.At.Before(evacuated.Add(bound)))
				}
			})
		})
	}
	play("on a replica", "bounded", "BEGIN READ", "READ item", func(*simenv.Environment) {})
	play("on a primary without a successor", "strict", "BEGIN", "WRITE item 1", func(env *simenv.Environment) {
		for _, id := range []string{"i-2", "i-3"} {
			env.ExpireHeartbeat(id)
		}
		time.Sleep(lapseTime)
	})
}

// TestUnregisteredPrimary guards against a primary that gets new work long after its entry was
// removed, since no other instance can take over and the store was away for a while.
func TestUnregisteredPrimary(t *testing.T) {
	const outage = 2900 * time.Millisecond
	for _, away := range []time.Duration{0, outage} {
		t.Run("the store is away for "+away.String(), func(t *testing.T) {
			runScript(t, sendingHosts, func(is *is.I, env *simenv.Environment) {
				for _, id := range []string{"i-2", "i-3"} {
					env.ExpireHeartbeat(id)
				}
				time.Sleep(lapseTime)
				env.ExpireHeartbeat("i-1")
				gone := time.Now()
				if away > 0 {
					env.Store.SetFault(func(string, bool) string { return rowsrv.Busy })
					time.AfterFunc(away, func() { env.Store.SetFault(nil) })
				}
				done, _, _ := sendStatements(env, "strict", "WRITE item 1", gone.Add(simenv.DrainTimeout+lapseTime))
				is.True(done > 0)
				is.Equal(countLate(env, "i-1", gone.Add(simenv.DrainTimeout)), 0)
			})
		})
	}
}
