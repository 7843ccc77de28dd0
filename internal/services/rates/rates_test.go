package rates_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/services/rates"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/space"
)

const (
	windowLength = 5 * time.Second
	overage      = 0.1
	tolerance    = 20
	// gossipDelay is how long it takes until other hosts know a host's demand.
	gossipDelay = 600 * time.Millisecond
	// hosts is the size of the simulated fleet.
	hosts = 9
	// step is the simulation's time step.
	step = 5 * time.Millisecond
)

// fleet simulates hosts that learn of each other's demands after gossipDelay.
type fleet struct {
	hosts  []*rates.Rates
	policy *policy.Policy
	// wait is how long an operation can wait for a token.
	wait time.Duration
	// reported holds the demands that the hosts reported, by round and host.
	reported [][][]byte
}

func newFleet(rate, burst float64) *fleet {
	f := &fleet{
		policy: &policy.Policy{
			Version: 1,
			Workspaces: map[string]space.Workspace{
				"w": {
					Name:  "w",
					Rate:  rate,
					Burst: burst,
				},
			},
		},
	}
	for range hosts {
		f.hosts = append(f.hosts, &rates.Rates{
			Window:    windowLength,
			Overage:   overage,
			Tolerance: tolerance,
		})
	}
	return f
}

// gossip simulates one round: each host learns the demands that the others
// reported gossipDelay ago.
func (f *fleet) gossip() {
	var round [][]byte
	for _, h := range f.hosts {
		d, _ := h.Demands()
		round = append(round, d)
	}
	f.reported = append(f.reported, round)
	late := len(f.reported) - 1 - int(gossipDelay/(200*time.Millisecond))
	for i, h := range f.hosts {
		var others [][]byte
		for j := range f.hosts {
			if j != i && late < 0 {
				others = append(others, nil) // nothing reported yet
			}
			if j != i && late >= 0 {
				others = append(others, f.reported[late][j])
			}
		}
		h.UpdateShares(f.policy, others, len(f.hosts), len(f.hosts))
	}
}

// load is the number of operations a second that callers send, by the time since
// the start of the simulation.
type load func(at time.Duration) float64

// simulate sends load to the hosts and returns the times of the admitted
// operations and the number of operations sent. A refused operation is retried
// with a probability of 0.66. skew is the fraction of the load that goes to the
// first host.
func (f *fleet) simulate(length time.Duration, l load, skew float64) (admitted []time.Duration, asked int) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	again := map[int]int{}
	for n := 0; time.Since(start) < length; n++ {
		if n%40 == 0 {
			f.gossip()
		}
		arrivals := again[n]
		delete(again, n)
		expected := l(time.Since(start)) * step.Seconds()
		for expected > 0 && random.Float64() < expected {
			arrivals++
			asked++
			expected--
		}
		for range arrivals {
			host := 0
			if random.Float64() > skew {
				host = random.IntN(len(f.hosts))
			}
			if ok, after, _ := f.hosts[host].Admit(context.Background(), "w", permit.Request{
				Wait: f.wait,
			}); ok {
				admitted = append(admitted, time.Since(start)+after)
			} else if random.Float64() < 0.66 {
				again[n+10+random.IntN(30)]++
			}
		}
		time.Sleep(step)
	}
	return admitted, asked
}

// maxInWindow returns the largest number of operations admitted in any window.
func maxInWindow(admitted []time.Duration) int {
	best, first := 0, 0
	for i, at := range admitted {
		for admitted[first] < at-windowLength {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

func TestWindow(t *testing.T) {
	loads := map[string]load{
		"eight times the usual at once": func(at time.Duration) float64 {
			if at > 8*time.Second && at < 16*time.Second {
				return 8 * 125
			}
			return 125
		},
		"on and off": func(at time.Duration) float64 {
			if int(at/(3*time.Second))%2 == 0 {
				return 1500
			}
			return 10
		},
		"far above the rate all the time": func(time.Duration) float64 {
			return 900
		},
	}
	for name, l := range loads {
		for _, skew := range []float64{0, 0.7} {
			for _, wait := range []time.Duration{0, 200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, waits up to %s", name, wait), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						f := newFleet(200, 200)
						f.wait = wait
						admitted, _ := f.simulate(30*time.Second, l, skew)
						slices.Sort(admitted)
						allowed := (200*windowLength.Seconds()+200)*(1+overage) + tolerance
						t.Logf("at most %d in a window, allowed %.0f", maxInWindow(admitted), allowed)
						is.True(float64(maxInWindow(admitted)) <= allowed)
					})
				})
			}
		}
	}
	t.Run("below the rate next to nothing is refused", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(40, 40)
			admitted, asked := f.simulate(30*time.Second, func(at time.Duration) float64 {
				if at < 2*time.Second {
					return 0 // hosts start before callers come
				}
				return 25
			}, 0.3)
			t.Logf("admitted %d of %d", len(admitted), asked)
			is.True(len(admitted)*1000 >= asked*995)
		})
	})
	t.Run("right after a start of all hosts most is admitted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(40, 40)
			admitted, asked := f.simulate(3*time.Second, func(time.Duration) float64 { return 25 }, 0.3)
			is.True(len(admitted)*100 >= asked*90)
		})
	})
	t.Run("above the rate a workspace gets what the window allows", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(25, 25)
			admitted, _ := f.simulate(30*time.Second, func(time.Duration) float64 { return 40 }, 0.3)
			is.True(len(admitted) >= 30*25)
		})
	})
}

func TestHomes(t *testing.T) {
	// A home that has just taken over must not grant the burst that the former
	// home granted. Found by hunt chps-dakar, limits-and-floods --vary --seed
	// 29846580017.
	for _, wait := range []time.Duration{0, 250 * time.Millisecond} {
		t.Run(fmt.Sprintf("a home that moves grants no second burst, waits up to %s", wait), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(85, 85)
				var granted []time.Duration
				start := time.Now()
				for time.Since(start) < hosts*time.Second {
					f.gossip()
					// The home moves to the next host each second.
					home := f.hosts[int(time.Since(start)/time.Second)]
					for range 40 {
						for range 4 {
							ok, after, _ := home.Grant("w", permit.Request{
								Wait: wait,
							})
							if ok {
								granted = append(granted, time.Since(start)+after)
							}
						}
						time.Sleep(step)
					}
				}
				slices.Sort(granted)
				allowed := (85*windowLength.Seconds()+85)*(1+overage) + tolerance
				t.Logf("at most %d in a window, allowed %.0f", maxInWindow(granted), allowed)
				is.True(float64(maxInWindow(granted)) <= allowed)
				is.True(len(granted) >= hosts*85*9/10-int(hosts*85*wait.Seconds()))
			})
		})
	}
}

// TestUnreachableHome checks that the burst is not granted twice: the home has
// granted it and leaves, and each host that gets no answer from the home admits
// operations from its local bucket for a moment. Found by hunt hanbit-swap,
// limits-and-floods --vary --seed 1034405844715.
func TestUnreachableHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(85, 85)
		for _, h := range f.hosts {
			h.Homes = unreachable{}
		}
		f.gossip()
		home := f.hosts[0]
		home.Grant("w", permit.Request{})
		time.Sleep(windowLength) // the bucket is full again
		f.gossip()
		granted := 0
		for range 8 {
			f.gossip()
			for range 245 {
				if ok, _, _ := home.Grant("w", permit.Request{}); ok {
					granted++
				}
				time.Sleep(step / 2)
			}
		}
		for _, h := range f.hosts[1:] {
			for range 100 {
				if ok, _, _ := h.Admit(context.Background(), "w", permit.Request{}); ok {
					granted++
				}
			}
		}
		allowed := (85*windowLength.Seconds()+85)*(1+overage) + tolerance
		t.Logf("%d in less than a window, allowed %.0f", granted, allowed)
		is.True(float64(granted) <= allowed)
	})
}

// unreachable is a home that does not answer.
type unreachable struct{}

func (unreachable) Home(string) (host.Host, bool) {
	return host.Host{}, true
}

func (unreachable) RequestPermit(context.Context, host.Host, string, permit.Request) (bool, time.Duration, string, error) {
	return false, 0, "", errors.New("no answer")
}

// placement tells a host whether it is the home.
type placement struct {
	here bool
}

func (p *placement) Home(string) (host.Host, bool) {
	return host.Host{}, !p.here
}

func (p *placement) RequestPermit(context.Context, host.Host, string, permit.Request) (bool, time.Duration, string, error) {
	return false, 0, "", errors.New("not asked in this test")
}

// send sends operations to a workspace's home: a number of them at once, then
// others at a steady rate. Each is tried up to three times, like callers that
// retry early whatever retry-after they got. It returns the fraction admitted.
func send(home *rates.Rates, at, perSecond int, length time.Duration, c permit.Request) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	var callers sync.WaitGroup
	var admitted atomic.Int64
	asked := 0
	sendOne := func() {
		asked++
		pauses := []time.Duration{
			time.Duration(30+random.IntN(160)) * time.Millisecond,
			time.Duration(30+random.IntN(160)) * time.Millisecond,
			0,
		}
		callers.Go(func() {
			for _, pause := range pauses {
				if ok, _, _ := home.Grant("w", c); ok {
					admitted.Add(1)
					return
				}
				time.Sleep(pause)
			}
		})
	}
	for range at {
		sendOne()
	}
	interval := time.Second / time.Duration(perSecond)
	for range int(length / interval) {
		time.Sleep(interval)
		sendOne()
	}
	callers.Wait()
	return float64(admitted.Load()) / float64(asked)
}

// TestReconnects checks that operations that can wait are admitted when callers
// that were shut out for a second come all at once to a home that has just
// started. The load is that of trouble-2 of hanbit-swap.
func TestReconnects(t *testing.T) {
	simulate := func(t *testing.T, wait time.Duration) (part float64) {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(190, 190)
			f.gossip()
			part = send(f.hosts[0], 120, 110, 2*time.Second, permit.Request{
				Wait: wait,
			})
		})
		t.Logf("waits up to %s: %.3f admitted", wait, part)
		return part
	}
	t.Run("operations that can wait are admitted in turn", func(t *testing.T) {
		is := is.New(t)
		// The last try of the operations sent at once is at most 0.38 s after the
		// first and waits for 0.2 s; until then, 80 a second more are admitted
		// than sent.
		lost := 120 - (190-110)*(0.38+0.2)
		is.True(simulate(t, 200*time.Millisecond) >= 1-lost/340)
	})
	t.Run("fewer are admitted without waiting", func(t *testing.T) {
		is := is.New(t)
		is.True(simulate(t, 0) < simulate(t, 200*time.Millisecond))
	})
}

// TestUrgent checks that urgent operations come first when a workspace asks for a
// third more than its rate all the time: a sixth of its operations is urgent, and
// can wait less than the others. The load is that of quiet-1 of hanbit-swap.
func TestUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(25, 25)
		f.gossip()
		home := f.hosts[0]
		var urgent, others float64
		simulate := func(length time.Duration) {
			var callers sync.WaitGroup
			callers.Go(func() {
				urgent = send(home, 0, 6, length, permit.Request{
					Wait: 75 * time.Millisecond,
				})
			})
			callers.Go(func() {
				others = send(home, 0, 28, length, permit.Request{
					Wait:  125 * time.Millisecond,
					Level: 1,
				})
			})
			callers.Wait()
		}
		simulate(3 * time.Second) // before that the load may be a short peak
		t.Logf("at first: %.3f of the urgent, %.3f of the others", urgent, others)
		simulate(20 * time.Second)
		t.Logf("then: %.3f of the urgent, %.3f of the others", urgent, others)
		is.True(urgent >= 0.99)             // all urgent ones fit into the rate
		is.True(others*28+urgent*6 >= 24.5) // the rate is used
	})
}
