package simenv_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// runScript runs a script in an environment with hosts that have had time to
// start, under the fake clock of testing/synctest.
func runScript(t *testing.T, hosts int, script func(is *is.I, env *simenv.Environment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := simenv.New()
		defer env.Close()
		for i := range hosts {
			env.StartHost(i)
		}
		time.Sleep(5 * time.Second)
		script(is, env)
		checkPromises(is, env)
	})
}

// checkPromises checks what must hold in every script: no two primaries serve at once,
// and no acknowledged write is lost that docs/PLATFORM.md promises to keep.
func checkPromises(is *is.I, env *simenv.Environment) {
	is.Helper()
	is.Equal(env.Group.SupersededWrites(), []string(nil))
	is.Equal(env.Group.LostWrites(), []string(nil))
}

func TestSessions(t *testing.T) {
	t.Run("a session reads its own writes", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			c, _, accepted := env.OpenSession(0, "own", "key-one")
			is.True(accepted)
			defer c.Close()
			for i := range 20 {
				a := c.Do(fmt.Sprintf("WRITE item %d", i))
				is.True(a.OK())
				is.Equal(a.Signature, "sig-"+a.ID)
				r := c.Do("READ item")
				is.True(r.OK())
				is.Equal(r.Rows, []string{fmt.Sprint(i)})
			}
		})
	})
	t.Run("a read with bounded staleness runs on a replica", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			c, _, _ := env.OpenSession(1, "bounded", "key-one")
			defer c.Close()
			for range 10 {
				is.True(c.Do("READ item").OK())
				time.Sleep(100 * time.Millisecond)
			}
			for _, r := range env.Group.Executions() {
				is.True(r.Instance != env.Group.Primary())
			}
		})
	})
	t.Run("a transaction stays on one connection and can be rolled back", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			c, _, _ := env.OpenSession(2, "strict", "key-one")
			defer c.Close()
			is.Equal(c.Do("BEGIN").State, "T")
			is.True(c.Do("WRITE item one").OK())
			is.Equal(c.Do("READ item").Rows, []string{"one"})
			is.Equal(c.Do("ROLLBACK").State, "I")
			is.Equal(c.Do("READ item").Rows, []string{"-"})
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("WRITE item two").OK())
			a := c.Do("COMMIT")
			is.True(a.OK())
			is.Equal(a.Signature, "sig-"+a.ID)
			is.Equal(c.Do("READ item").Rows, []string{"two"})
		})
	})
	t.Run("session values and prepared statements follow the session", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			one, _, _ := env.OpenSession(0, "strict", "key-one")
			two, _, _ := env.OpenSession(0, "strict", "key-one")
			defer one.Close()
			defer two.Close()
			is.True(one.Do("SET zone east").OK())
			is.True(two.Do("SET tone low").OK())
			is.True(one.Do("PREPARE s READ q1").OK())
			is.True(two.Do("PREPARE s WRITE q2").OK())
			for range 5 {
				a := one.Do("EXECUTE s item")
				b := two.Do("EXECUTE s item x")
				is.True(a.OK())
				is.True(b.OK())
				checkValues(is, env, a.ID, map[string]string{"zone": "east"})
				checkValues(is, env, b.ID, map[string]string{"tone": "low"})
			}
			is.True(one.Do("DEALLOCATE s").OK())
			is.Equal(one.Do("EXECUTE s item").Code, "NOSUCHSTMT")
		})
	})
	t.Run("values set in a transaction that is rolled back stay", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			c, _, _ := env.OpenSession(0, "strict", "key-one")
			defer c.Close()
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("READ item").OK())
			is.True(c.Do("SET zone west").OK())
			is.True(c.Do("ROLLBACK").OK())
			a := c.Do("READ item")
			is.True(a.OK())
			checkValues(is, env, a.ID, map[string]string{"zone": "west"})
		})
	})
}

// checkValues checks the session values that a statement ran under.
func checkValues(is *is.I, env *simenv.Environment, id string, want map[string]string) {
	is.Helper()
	for _, r := range env.Group.Executions() {
		if r.ID == id {
			is.Equal(r.SessionValues, want)
			return
		}
	}
	is.Fail() // the statement did not run
}

func TestRefusals(t *testing.T) {
	t.Run("an unknown database and an unknown key", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			_, a, _ := env.OpenSession(0, "none", "key-one")
			is.Equal(a, "NOSUCHDB")
			_, b, _ := env.OpenSession(0, "strict", "nobody")
			is.Equal(b, "UNAUTH")
		})
	})
	t.Run("open sessions are refused within the bound after their key is withdrawn", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			c, _, _ := env.OpenSession(2, "strict", "key-one")
			defer c.Close()
			is.True(c.Do("READ item").OK())
			env.Configure(func(config map[string]any) {
				config["tenants"] = []any{simenv.WorkspaceConfig("one", 1000, "spare-one")}
			})
			time.Sleep(2 * time.Second)
			is.Equal(c.Do("READ item").Code, "UNAUTH")
		})
	})
	t.Run("a statement that cannot be parsed", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			c, _, _ := env.OpenSession(0, "strict", "key-one")
			defer c.Close()
			for _, text := range []string{"SELECT 1", "READ", "BEGIN WRITE", "PREPARE s", "COMMIT", "ROLLBACK"} {
				is.Equal(c.Do(text).Code, "MALFORMED")
			}
			is.True(c.Do("READ item").OK())
		})
	})
	t.Run("an idle transaction is rolled back and its caller told", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			c, _, _ := env.OpenSession(0, "strict", "key-one")
			defer c.Close()
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("WRITE item x").OK())
			time.Sleep(5 * time.Second)
			a := c.Do("COMMIT")
			is.Equal(a.Code, "ABORTED")
			is.Equal(a.State, "I")
			is.Equal(c.Do("READ item").Rows, []string{"-"})
		})
	})
	t.Run("no more than the rate and the burst over all hosts", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			env.Configure(func(config map[string]any) {
				config["tenants"] = []any{simenv.WorkspaceConfig("one", 20, "key-one")}
			})
			time.Sleep(3 * time.Second)
			for i := range 3 {
				c, _, _ := env.OpenSession(i, "bounded", "key-one")
				defer c.Close()
				for range 200 {
					if a := c.Do("READ item"); !a.OK() {
						is.Equal(a.Code, "BUSY")
						time.Sleep(5 * time.Millisecond)
					}
				}
			}
			// Rate times window plus burst (20/s x 5 s + 20), a tenth over, and 20
			// more: the hosts' RateOverage and RateTolerance.
			is.True(mostRuns(env, 5*time.Second) <= 152)
		})
	})
}

// mostRuns returns the largest number of statements that ran within any window of
// this length.
func mostRuns(env *simenv.Environment, window time.Duration) int {
	runs := env.Group.Executions()
	most, first := 0, 0
	for i, r := range runs {
		for r.At.Sub(runs[first].At) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
