package simenv_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/rowsrv"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

func TestReady(t *testing.T) {
	t.Run("a partitioned host reports not ready until it is back", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			is.True(env.Ready(0))
			away := []string{simenv.HostIP(0)}
			partition(env, away)
			// Its lease on the primary has not expired yet, but it will have by the
			// time that new callers send statements.
			time.Sleep(2 * time.Second)
			is.True(!env.Ready(0))
			time.Sleep(3 * time.Second)
			is.True(!env.Ready(0))
			is.True(env.Ready(1))
			heal(env, away)
			time.Sleep(4 * time.Second)
			is.True(env.Ready(0))
		})
	})
	t.Run("an outage of the store leaves all hosts ready", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			env.Store.SetFault(func(string, bool) string {
				return rowsrv.Busy
			})
			time.Sleep(6 * time.Second)
			for i := range 6 {
				is.True(env.Ready(i))
			}
		})
	})
}
