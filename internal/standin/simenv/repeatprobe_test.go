package simenv_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// Guards against a failover that takes repeated answers for those to its own requests: a
// replica that receives would count as held, or a replica that lacks commits as the one
// that received most.
func TestRepeatedStatusAnswers(t *testing.T) {
	for name, after := range map[string]time.Duration{
		"at once":                          time.Microsecond,
		"while the next request runs":      7 * time.Millisecond,
		"several requests later":           60 * time.Millisecond,
		"at about the next poll":           350 * time.Millisecond,
		"more than a second after the own": 1200 * time.Millisecond,
	} {
		t.Run("the primary crashes while instances repeat answers "+name, func(t *testing.T) {
			runScript(t, 3, func(is *is.I, env *simenv.Environment) {
				env.Group.SetSyncReplicas(1)
				for i := range 3 {
					id, _ := simenv.Instance(i)
					env.Group.RepeatAnswers(id, after)
				}
				acknowledged := ""
				write := func(value string) {
					c, _, accepted := env.OpenSession(0, "strict", "key-one")
					if !accepted {
						return
					}
					defer c.Close()
					if c.Do("WRITE item " + value).OK() {
						acknowledged = value
					}
				}
				for n := range 20 {
					write(fmt.Sprint("before-", n))
					time.Sleep(100 * time.Millisecond)
				}
				env.Group.BlockReplication("i-2", true)
				for n := range 5 {
					write(fmt.Sprint("last-", n))
				}
				is.Equal(acknowledged, "last-4")
				env.CrashInstance("i-1")
				for began := time.Now(); env.Group.RunningPrimary() == "" && time.Since(began) < 10*time.Second; {
					time.Sleep(20 * time.Millisecond)
				}
				env.Group.BlockReplication("i-2", false)
				is.Equal(env.Group.RunningPrimary(), "i-3") // i-2 lacks acknowledged commits
				time.Sleep(3 * time.Second)
				is.Equal(env.Group.Paused(), 0)
				write("after")
				is.Equal(acknowledged, "after")
			})
		})
	}
}

// Guards against a lease that is renewed by answers that replicas gave before another host
// told them to stop receiving: the former primary's writes would be lost.
func TestRepeatedAnswersOfReplicas(t *testing.T) {
	for name, after := range map[string]time.Duration{
		"at once":                     time.Microsecond,
		"while the next request runs": 7 * time.Millisecond,
		"at about the next renewal":   500 * time.Millisecond,
	} {
		t.Run("no write is acknowledged by the former primary while replicas repeat answers "+name, func(t *testing.T) {
			runScript(t, 6, func(is *is.I, env *simenv.Environment) {
				env.Group.RepeatAnswers("i-2", after)
				env.Group.RepeatAnswers("i-3", after)
				// Hosts 0 and 3 renew their leases by the replicas for a while.
				forEachHostsLink(env.Net.Cut)
				defer forEachHostsLink(env.Net.Heal)
				time.Sleep(6 * time.Second)
				is.Equal(env.Group.Primary(), "i-1")
				forEachCutLink(env.Net.Cut)
				defer forEachCutLink(env.Net.Heal)
				is.Equal(countSuperseded(env, 8*time.Second), 0)
				is.True(env.Group.Primary() != "i-1")
			})
		})
	}
}
