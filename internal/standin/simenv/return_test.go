package simenv_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// TestRatesAfterReturn guards against hosts that grant a small part of the rates after
// all of them were lost and came back at once: 1,176 of 1,770 rejections named a demand
// below the rate. The bound is the target: half of what the rate and the burst allow in
// the first 2 s after the return, if so much is requested, and no window above the
// bound, what was granted before the loss included.
func TestRatesAfterReturn(t *testing.T) {
	const (
		hosts  = 9
		window = 5 * time.Second
	)
	for _, rate := range []float64{31, 80} {
		for _, load := range []float64{0.8, 3} {
			for _, down := range []time.Duration{0, time.Second} {
				t.Run(fmt.Sprintf("rate %.0f, %.1f requested, down for %v", rate, load, down), func(t *testing.T) {
					runScript(t, hosts, func(is *is.I, env *simenv.Environment) {
						env.SetWorkspaces(map[string]float64{"one": rate}, nil)
						time.Sleep(3 * time.Second)
						began := time.Now()
						var before sync.WaitGroup
						before.Go(func() {
							sendReads(env, hosts, int(load*rate), 2*time.Second)
						})
						time.Sleep(2 * time.Second)
						env.PowerOff(0, 1, 2, 3, 4, 5, 6, 7, 8)
						time.Sleep(down)
						for i := range hosts {
							env.StartHost(i)
						}
						before.Wait()
						waitServed(env)
						back := time.Now()
						a := sendReads(env, hosts, int(load*rate), 2*time.Second)
						granted := countSince(env, back, 2*time.Second)
						wanted := min(float64(a.sent), rate*2+rate) / 2
						most := mostInWindow(env, began, window)
						t.Logf("granted %d of %d in 2 s, wanted %.0f; at most %d in a window", granted, a.sent, wanted, most)
						is.True(float64(granted) >= wanted)
						is.True(float64(most) <= (rate*5+rate)*1.1+20)
					})
				})
			}
		}
	}
}

// waitServed waits until a read of another workspace succeeds.
func waitServed(env *simenv.Environment) {
	for {
		c, _, ok := env.OpenSession(0, "bounded", "key-one")
		if ok {
			served := c.Do("READ item").OK()
			c.Close()
			if served {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// countSince returns how many statements began to run within a time.
func countSince(env *simenv.Environment, since time.Time, length time.Duration) int {
	seen := map[string]bool{}
	for _, x := range env.Group.Executions() {
		if !x.At.Before(since) && x.At.Before(since.Add(length)) {
			seen[x.ID] = true
		}
	}
	return len(seen)
}
