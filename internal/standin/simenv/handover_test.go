package simenv_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// TestHandover guards against a host that takes a primary for one that hands over,
// after the planned change has become an unplanned one.
func TestHandover(t *testing.T) {
	t.Run("a host cut off in a planned change commits nothing after the promotion", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			const caller = 5
			c, _, ok := env.OpenSession(caller, "strict", "key-one")
			is.True(ok)
			defer c.Close()
			is.True(c.Do("BEGIN").OK())
			env.DrainInstance("i-1")
			for range 500 {
				if bytes.Contains(env.Store.Get("wasabislip", "leader-ledger"), []byte(`"changing"`)) {
					break
				}
				is.True(c.Do("WRITE item 1").OK()) // the transaction must not be idle
				time.Sleep(10 * time.Millisecond)
			}
			// The change waits for the open transaction, and all hosts see the record.
			time.Sleep(200 * time.Millisecond)
			_, primary := simenv.Instance(0)
			side := []string{simenv.HostIP(0), simenv.HostIP(caller), primary}
			partition(env, side)
			defer heal(env, side)
			for range 7 {
				time.Sleep(time.Second)
				c.Do("WRITE item 2")
			}
			is.True(env.Group.Primary() != "i-1")
			is.True(env.Group.IsPrimary("i-1")) // it does not know that it was replaced
			is.True(!c.Do("COMMIT").OK())
		})
	})
}

// TestLateAnswer guards against a success that a host reports although the statement
// ran after the host's lease had ended: it was sent in time, and ran for long.
func TestLateAnswer(t *testing.T) {
	// slowStatement is so long that what is sent before the lease ends is committed
	// after the promotion of another instance.
	const slowStatement = 6 * time.Second
	run := func(what string, before []string, statement, want string) {
		t.Run(what, func(t *testing.T) {
			runScript(t, 6, func(is *is.I, env *simenv.Environment) {
				env.Configure(func(config map[string]any) {
					for _, r := range config["routes"].([]any) {
						r.(map[string]any)["timeout_ms"] = 8000
					}
				})
				time.Sleep(2 * time.Second)
				c, _, ok := env.OpenSession(0, "strict", "key-one")
				is.True(ok)
				defer c.Close()
				is.True(c.Do("WRITE item 1").OK())
				for _, text := range before {
					is.True(c.Do(text).OK())
				}
				_, primary := simenv.Instance(0)
				side := []string{simenv.HostIP(0), primary}
				partition(env, side)
				defer heal(env, side)
				env.Group.SetTimes(simenv.ApplyLag, slowStatement)
				time.Sleep(1800 * time.Millisecond) // the lease still holds
				is.Equal(env.Group.Primary(), "i-1")
				is.Equal(c.Do(statement).Code, want)
				is.True(env.Group.Primary() != "i-1")
				last := env.Group.Executions()[len(env.Group.Executions())-1]
				is.Equal(last.Instance, "i-1") // it ran, and long
			})
		})
	}
	run("of a transaction", []string{"BEGIN", "WRITE item 2"}, "COMMIT", "INDOUBT")
	run("of a single write", nil, "WRITE item 3", "INDOUBT")
	run("of a read in a transaction", []string{"BEGIN"}, "READ item", "ABORTED")
}
