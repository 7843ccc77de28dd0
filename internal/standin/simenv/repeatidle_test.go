package simenv_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simcli"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// refusedScript makes an instance refuse a statement of c and send the refusal again 1 s later.
type refusedScript func(env *simenv.Environment, c *simcli.Client, primary string)

// Guards against a promise that nothing is kept for a write that ran, and against the answer to
// that write for the next statement: an earlier refusal was sent again a second later, and lay
// unread on an idle connection.
func TestRefusalRepeatedWhileIdle(t *testing.T) {
	t.Run("of a statement in a transaction", func(t *testing.T) {
		playIdle(t, func(env *simenv.Environment, c *simcli.Client, primary string) {
			c.Do("BEGIN")
			time.Sleep(100 * time.Millisecond)
			env.Group.RefuseEvery(primary, 1)
			env.Group.RepeatAnswers(primary, time.Second)
			c.Do("WRITE item one")
		})
	})
	t.Run("of the second start of a transaction", func(t *testing.T) {
		for range 10 { // the order in which the instance repeats its last two answers varies
			playIdle(t, func(env *simenv.Environment, c *simcli.Client, primary string) {
				c.Do("BEGIN")
				c.Do("WRITE item one")
				c.Do("COMMIT")
				env.Group.RefuseShare(primary, 1)
				env.Group.RepeatAnswers(primary, time.Second)
				c.Do("BEGIN")
				time.Sleep(100 * time.Millisecond)
			})
		}
	})
}

// playIdle runs a script and writes 7 s later over the same connection to the instance.
func playIdle(t *testing.T, script refusedScript) {
	t.Helper()
	runScript(t, 3, func(is *is.I, env *simenv.Environment) {
		c, _, accepted := env.OpenSession(0, "strict", "key-one")
		is.True(accepted)
		defer c.Close()
		primary := env.Group.Primary()
		script(env, c, primary)
		env.Group.RepeatAnswers(primary, 0)
		env.Group.RefuseEvery(primary, 0)
		env.Group.RefuseShare(primary, 0)
		c.Do("ROLLBACK")
		time.Sleep(7 * time.Second)
		w := c.Do("WRITE item two")
		r := c.Do("READ item")
		time.Sleep(time.Second) // the write may still run
		committed := env.Group.CountCommitted()["item=two"]
		t.Logf("%s: %s %s %s, committed %d times; %s: %s %s %q", w.ID, w.Code, w.Text, w.Signature, committed, r.ID, r.Code, r.Signature, r.Rows)
		if w.GuaranteesNoEffect() && committed > 0 {
			t.Error("the write ran, but was told to be refused")
		}
		if r.OK() && r.Signature != "sig-"+r.ID {
			t.Error("the read was given the answer to another statement")
		}
	})
}
