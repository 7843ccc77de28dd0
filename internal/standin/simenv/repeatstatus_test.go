package simenv_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// Guards against reads with bounded staleness that lack commits older than the bound, after
// the primary has repeated its status: hosts take the log for shorter than it is.
func TestRepeatedStatus(t *testing.T) {
	runScript(t, 3, func(is *is.I, env *simenv.Environment) {
		for i := range 3 {
			id, _ := simenv.Instance(i)
			env.Group.RepeatAnswers(id, 7*time.Millisecond)
		}
		writer, _, accepted := env.OpenSession(0, "strict", "key-one")
		is.True(accepted)
		defer writer.Close()
		reader, _, accepted := env.OpenSession(1, "bounded", "key-one")
		is.True(accepted)
		defer reader.Close()
		is.True(writer.Do("WRITE item old").OK())
		time.Sleep(20 * time.Second) // the hosts poll all the while
		for i := range 3 {
			if id, _ := simenv.Instance(i); id != env.Group.Primary() {
				env.Group.BlockReplication(id, true)
			}
		}
		// Host 1 learns of the write from the primary alone.
		for i := 1; i < 3; i++ {
			env.Net.Cut(simenv.HostIP(0), simenv.HostIP(i))
			env.Net.Cut(simenv.HostIP(i), simenv.HostIP(0))
		}
		is.True(writer.Do("WRITE item new").OK())
		written := time.Now()
		time.Sleep(1600 * time.Millisecond) // max_staleness_ms is 1500
		stale := 0
		for range 30 {
			if a := reader.Do("READ item"); a.OK() && a.Row() != "new" {
				stale++
				t.Logf("read %q %v after the write of another value", a.Row(), time.Since(written))
			}
			time.Sleep(100 * time.Millisecond)
		}
		for i := 1; i < 3; i++ {
			env.Net.Heal(simenv.HostIP(0), simenv.HostIP(i))
			env.Net.Heal(simenv.HostIP(i), simenv.HostIP(0))
		}
		for i := range 3 {
			id, _ := simenv.Instance(i)
			env.Group.BlockReplication(id, false)
		}
		time.Sleep(5 * time.Second)
		is.Equal(stale, 0)
	})
}
