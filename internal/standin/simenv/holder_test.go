package simenv_test

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// holderPause is how long the holder of a failover is suspended: longer than another
// host takes to take it over and to finish it.
const holderPause = 15 * time.Second

// pauseHolder suspends the first host that reaches a step, once: nothing reaches it
// meanwhile, and when it goes on it knows what it knew before. The channel is closed
// then.
func pauseHolder(env *simenv.Environment, step string) <-chan struct{} {
	var paused atomic.Bool
	resumed := make(chan struct{})
	env.Pause = func(host int, at string) {
		if at == step && paused.CompareAndSwap(false, true) {
			defer close(resumed)
			env.Net.Isolate(simenv.HostIP(host))
			time.Sleep(holderPause)
			env.Net.Rejoin(simenv.HostIP(host))
		}
	}
	return resumed
}

// Guards against two hosts that both act around a hand-over: the holder of a failover
// is suspended at a step, and goes on after another host has finished the failover.
func TestHolderPaused(t *testing.T) {
	var steps []string
	for _, step := range []string{simenv.StepIntent, simenv.StepChoice, simenv.StepOrder, simenv.StepSettle} {
		steps = append(steps, "before "+step, "after "+step)
		if step != simenv.StepOrder {
			steps = append(steps, "read "+step)
		}
	}
	for _, step := range steps {
		for _, planned := range []bool{false, true} {
			name := step + ", unplanned"
			if planned {
				name = step + ", planned"
			}
			t.Run(name, func(t *testing.T) {
				runScript(t, 0, func(is *is.I, env *simenv.Environment) {
					playHolderPause(t, is, env, step, planned)
				})
			})
		}
	}
}

// playHolderPause replaces the primary while the holder is suspended at a step, and
// checks the orders and what is left of the failover.
func playHolderPause(t *testing.T, is *is.I, env *simenv.Environment, step string, planned bool) {
	t.Helper()
	const hosts = 3
	resumed := pauseHolder(env, step)
	for i := range hosts {
		env.StartHost(i)
	}
	time.Sleep(5 * time.Second)
	former, _ := simenv.Instance(0)
	if planned {
		env.DrainInstance(former)
	} else {
		env.CrashInstance(former)
	}
	select {
	case <-resumed:
	case <-time.After(time.Minute):
		t.Fatal("no host reached the step")
	}
	time.Sleep(10 * time.Second)
	orders := env.Group.PromotionOrders()
	t.Logf("orders %v", orders)
	is.Equal(env.Group.BadTokens(), 0) // lower than an earlier one, or of two holders
	promoted := map[string]string{}
	last := ""
	for _, order := range orders {
		id, token, _ := strings.Cut(order, "/")
		is.True(promoted[token] == "" || promoted[token] == id) // one instance a token
		promoted[token] = id
		last = id
	}
	is.Equal(env.Group.Primary(), last)
	is.Equal(env.Group.Paused(), 0)
	for i := range hosts {
		writeUntil(is, env, i, time.Second)
	}
	_, term := env.Group.CommittedValue("probe")
	is.True(term > 1)
}
