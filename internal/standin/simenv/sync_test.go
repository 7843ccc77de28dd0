package simenv_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// requireSyncReplica makes commits wait for one synchronous replica, and sets
// sync_replicas in the configuration to match.
func requireSyncReplica(env *simenv.Environment) {
	env.Group.SetSyncReplicas(1)
	env.Configure(func(config map[string]any) {
		config["services"].([]any)[0].(map[string]any)["sync_replicas"] = 1
	})
	time.Sleep(time.Second)
}

// TestAcknowledged checks that acknowledged writes outlive the replacement of
// their primary.
func TestAcknowledged(t *testing.T) {
	t.Run("with a synchronous replica no acknowledged write is lost", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			requireSyncReplica(env)
			l := startLoad(env, 6)
			time.Sleep(time.Second)
			env.Group.BlockReplication("i-2", true)
			time.Sleep(time.Second)
			env.CrashInstance("i-1")
			time.Sleep(3 * time.Second)
			env.Group.BlockReplication("i-2", false)
			time.Sleep(3 * time.Second)
			l.stopAndWait()
			is.Equal(env.Group.Primary(), "i-3")
			is.True(len(l.acknowledged) > 0)
			is.Equal(l.countLostWrites(env), 0)
		})
	})
	t.Run("a replica that may lack acknowledged writes is not promoted", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			requireSyncReplica(env)
			env.Group.BlockReplication("i-2", true)
			time.Sleep(time.Second)
			is.True(writeUntil(is, env, 0, time.Second) < time.Second)
			env.CrashInstance("i-3")
			env.CrashInstance("i-1")
			time.Sleep(2500 * time.Millisecond)
			is.Equal(len(env.Group.PromotionOrders()), 0)
			env.StartInstance("i-3")
			env.Group.BlockReplication("i-2", false)
			is.True(writeUntil(is, env, 0, 12*time.Second) < 12*time.Second)
			is.Equal(env.Group.Primary(), "i-3")
		})
	})
	t.Run("a replica that leaves shows that another holds every acknowledged write", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			requireSyncReplica(env)
			is.True(writeUntil(is, env, 0, time.Second) < time.Second)
			announceLeave(is, env, "i-3")
			time.Sleep(2 * time.Second)
			env.CrashInstance("i-1")
			is.True(writeUntil(is, env, 0, changeLimit) < changeLimit)
			is.Equal(env.Group.Primary(), "i-2")
		})
	})
	t.Run("a replica that holds less than one that leaves is not promoted", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			requireSyncReplica(env)
			env.Group.BlockReplication("i-2", true)
			time.Sleep(time.Second)
			is.True(writeUntil(is, env, 0, time.Second) < time.Second)
			announceLeave(is, env, "i-3")
			time.Sleep(2 * time.Second)
			env.CrashInstance("i-1")
			time.Sleep(2500 * time.Millisecond)
			is.Equal(len(env.Group.PromotionOrders()), 0)
			env.StopLeaving("i-3")
			env.Group.BlockReplication("i-2", false)
			is.True(writeUntil(is, env, 0, changeLimit) < changeLimit)
			is.Equal(env.Group.Primary(), "i-3")
		})
	})
	t.Run("without a synchronous replica a planned change of the primary loses nothing", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			l := startLoad(env, 6)
			time.Sleep(time.Second)
			env.DrainInstance("i-1")
			time.Sleep(6 * time.Second)
			l.stopAndWait()
			is.True(env.Group.Primary() != "i-1")
			is.True(len(l.acknowledged) > 0)
			is.Equal(l.countLostWrites(env), 0)
		})
	})
	t.Run("no write is acknowledged while no synchronous replica receives", func(t *testing.T) {
		runScript(t, 6, func(is *is.I, env *simenv.Environment) {
			requireSyncReplica(env)
			env.Group.BlockReplication("i-2", true)
			env.Group.BlockReplication("i-3", true)
			c, _, ok := env.OpenSession(0, "strict", "key-one")
			is.True(ok)
			a := c.Do("WRITE item x")
			is.True(!a.OK())
			is.True(!a.GuaranteesNoEffect())
		})
	})
}
