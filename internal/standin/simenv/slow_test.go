package simenv_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// Guards against work that is run again, or said not to have run, when its holder
// answers at about the time at which the host gives up: 40 ms after the statement's
// timeout.
func TestSlowHolder(t *testing.T) {
	giveUp := simenv.StatementTimeout + 40*time.Millisecond
	for _, answers := range []bool{false, true} {
		for _, margin := range []time.Duration{-100, -40, -12, -7, -6, -5, -2, 0, 1, 2, 20, 100} {
			message := "the request"
			from, to := simenv.HostIP(1), simenv.HostIP(0)
			if answers {
				message = "the answer"
				from, to = to, from
			}
			held := giveUp + margin*time.Millisecond
			t.Run(fmt.Sprintf("%s is held up for %v", message, held), func(t *testing.T) {
				runScript(t, 3, func(is *is.I, env *simenv.Environment) {
					c, _, ok := env.OpenSession(1, "strict", "key-one")
					is.True(ok)
					defer c.Close()
					is.True(c.Do("WRITE warm-up 1").OK()) // opens the connections
					env.Net.Cut(from, to)
					healed := make(chan struct{})
					go func() {
						defer close(healed)
						time.Sleep(held)
						env.Net.Heal(from, to)
					}()
					a := c.Do("WRITE item slow")
					next := c.Do("WRITE item-2 next")
					<-healed
					time.Sleep(2 * time.Second)
					counts := env.Group.CountCommitted()
					ran := counts["item=slow"]
					t.Logf("ran %d times, code %q; the next one: code %q", ran, a.Code, next.Code)
					is.True(!a.Lost)
					is.True(ran <= 1)
					if a.OK() {
						is.Equal(ran, 1)
					}
					if a.GuaranteesNoEffect() {
						is.Equal(ran, 0)
					}
					is.True(next.OK())
					is.Equal(counts["item-2=next"], 1)
				})
			})
		}
	}
}

// Guards against operations that are admitted twice, or refused inside the rate, when
// the home of a rate answers at about the time at which hosts go on without it: 100 ms
// after they began to ask, which may take one round trip to connect and one to ask.
func TestSlowHome(t *testing.T) {
	const (
		hosts   = 4
		perHost = 6
		rate    = 40
		window  = 5 * time.Second
		length  = 20 * time.Second
		// tolerance is 0.1 of what a window may have, and 20; see StartHost.
		tolerance = 0.1*(rate*5+rate) + 20
	)
	for _, oneWay := range []time.Duration{20, 24, 30, 49, 51} {
		for _, load := range []float64{0.8, 3} {
			t.Run(fmt.Sprintf("an answer takes %v, %.1f of the rate", 2*oneWay*time.Millisecond, load), func(t *testing.T) {
				runScript(t, hosts, func(is *is.I, env *simenv.Environment) {
					env.SetWorkspaces(map[string]float64{"one": rate}, nil)
					for _, pair := range [][2]string{{"a", "b"}, {"a", "c"}, {"b", "c"}, {"a", "a"}} {
						env.Net.SetDelay(pair[0], pair[1], oneWay*time.Millisecond)
					}
					time.Sleep(3 * time.Second)
					began := time.Now()
					refused := sendAtRate(env, hosts, perHost, load*rate, length)
					most := mostInWindow(env, began, window)
					t.Logf("%d operations at most in %v, %d refused", most, window, refused)
					is.True(float64(most) <= rate*window.Seconds()+rate+tolerance)
					if load < 1 {
						is.Equal(refused, 0)
					}
				})
			})
		}
	}
}

// sendAtRate sends reads at a rate through all hosts in turn, on sessions that stay
// open, and returns how many were refused.
func sendAtRate(env *simenv.Environment, hosts, perHost int, rate float64, length time.Duration) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	sessions := hosts * perHost
	pause := time.Duration(float64(sessions) / rate * float64(time.Second))
	for i := range sessions {
		wg.Go(func() {
			c, _, ok := env.OpenSession(i%hosts, "bounded", "key-one")
			if !ok {
				return
			}
			defer c.Close()
			time.Sleep(pause * time.Duration(i) / time.Duration(sessions))
			end := time.Now().Add(length)
			for next := time.Now(); next.Before(end); next = next.Add(pause) {
				time.Sleep(time.Until(next))
				if a := c.Do("READ item"); !a.OK() {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return refused
}

// mostInWindow returns the highest number of statements that ran in any window of this
// length since a time. A read that ran on two instances counts once.
func mostInWindow(env *simenv.Environment, since time.Time, window time.Duration) int {
	seen := map[string]bool{}
	var times []time.Time
	most, first := 0, 0
	for _, x := range env.Group.Executions() {
		if x.At.Before(since) || seen[x.ID] {
			continue
		}
		seen[x.ID] = true
		times = append(times, x.At)
		for x.At.Sub(times[first]) > window {
			first++
		}
		most = max(most, len(times)-first)
	}
	return most
}
