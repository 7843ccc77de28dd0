package simenv_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

func TestStalePrimary(t *testing.T) {
	// The former primary, cut off, still says that it leads. It was chosen in about half
	// of the cases, by the order of a map.
	for i := range 6 {
		t.Run(fmt.Sprintf("no acknowledged write is lost to a primary of an earlier term, %d", i), func(t *testing.T) {
			runScript(t, 6, func(is *is.I, env *simenv.Environment) {
				requireSyncReplica(env)
				_, former := simenv.Instance(0)
				isolate := func(f func(from, to string)) {
					forEachLink([]string{former}, f)
				}
				isolate(env.Net.Cut)
				is.True(writeUntil(is, env, 0, 12*time.Second) < 12*time.Second)
				next := env.Group.Primary()
				is.True(next != "i-1")
				for i := range 20 {
					c, _, accepted := env.OpenSession(0, "strict", "key-one")
					is.True(accepted)
					is.True(c.Do(fmt.Sprintf("WRITE kept-%d x", i)).OK())
					c.Close()
				}
				time.Sleep(time.Second)
				env.CrashInstance(next)
				isolate(env.Net.Heal)
				time.Sleep(12 * time.Second)
				is.True(env.Group.Primary() != next)
				for i := range 20 {
					value, _ := env.Group.CommittedValue(fmt.Sprintf("kept-%d", i))
					is.Equal(value, "x")
				}
			})
		})
	}
}
