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

	"wasabislip.example/wasabislip/internal/models/claim"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/services/rates"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/space"
)

const (
	counted   = 5 * time.Second
	overage   = 0.1
	tolerance = 20
	// gossipDelay is how long a host's demand takes to the others.
	gossipDelay = 600 * time.Millisecond
	// hosts is how many hosts play.
	hosts = 9
	// step is the time between two arrivals of the play.
	step = 5 * time.Millisecond
)

// fleet is hosts that hear each other's demands late.
type fleet struct {
	hosts  []*rates.Rates
	policy *policy.Policy
	// wait is how long an operation can wait.
	wait time.Duration
	told [][][]byte // by round, by host
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
			Window:    counted,
			Overage:   overage,
			Tolerance: tolerance,
		})
	}
	return f
}

// share is one round: each host hears the others' demands of a while ago.
func (f *fleet) share() {
	var round [][]byte
	for _, h := range f.hosts {
		d, _ := h.Demands()
		round = append(round, d)
	}
	f.told = append(f.told, round)
	late := len(f.told) - 1 - int(gossipDelay/(200*time.Millisecond))
	for i, h := range f.hosts {
		var others [][]byte
		for j := range f.hosts {
			if j != i && late < 0 {
				others = append(others, nil) // not heard yet
			}
			if j != i && late >= 0 {
				others = append(others, f.told[late][j])
			}
		}
		h.Divide(f.policy, others, len(f.hosts), len(f.hosts))
	}
}

// load is the operations a second that callers ask for, at a time of the play.
type load func(at time.Duration) float64

// play returns the times of the operations admitted; each refused one comes
// again twice. skew is the part of the load that goes to the first host.
func (f *fleet) play(length time.Duration, l load, skew float64) (admitted []time.Duration, asked int) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Now()
	again := map[int]int{}
	for n := 0; time.Since(start) < length; n++ {
		if n%40 == 0 {
			f.share()
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
			if ok, after, _ := f.hosts[host].Admit(context.Background(), "w", claim.Claim{
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

// most returns the most operations admitted in any window.
func most(admitted []time.Duration) int {
	best, first := 0, 0
	for i, at := range admitted {
		for admitted[first] < at-counted {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

func TestWindow(t *testing.T) {
	plays := map[string]load{
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
	for name, l := range plays {
		for _, skew := range []float64{0, 0.7} {
			for _, wait := range []time.Duration{0, 200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, waits up to %s", name, wait), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						f := newFleet(200, 200)
						f.wait = wait
						admitted, _ := f.play(30*time.Second, l, skew)
						slices.Sort(admitted)
						allowed := (200*counted.Seconds()+200)*(1+overage) + tolerance
						t.Logf("at most %d in a window, allowed %.0f", most(admitted), allowed)
						is.True(float64(most(admitted)) <= allowed)
					})
				})
			}
		}
	}
	t.Run("below the rate next to nothing is refused", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(40, 40)
			admitted, asked := f.play(30*time.Second, func(at time.Duration) float64 {
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
			admitted, asked := f.play(3*time.Second, func(time.Duration) float64 { return 25 }, 0.3)
			is.True(len(admitted)*100 >= asked*90)
		})
	})
	t.Run("above the rate a workspace gets what the window allows", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(25, 25)
			admitted, _ := f.play(30*time.Second, func(time.Duration) float64 { return 40 }, 0.3)
			is.True(len(admitted) >= 30*25)
		})
	})
}

func TestHomes(t *testing.T) {
	// Found by hunt chps-dakar, limits-and-floods --vary --seed 29846580017.
	for _, wait := range []time.Duration{0, 250 * time.Millisecond} {
		t.Run(fmt.Sprintf("a home that moves grants no second burst, waits up to %s", wait), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(85, 85)
				var granted []time.Duration
				start := time.Now()
				for time.Since(start) < hosts*time.Second {
					f.share()
					// Homes leave one after the other.
					home := f.hosts[int(time.Since(start)/time.Second)]
					for range 40 {
						for range 4 {
							ok, after, _ := home.Grant("w", claim.Claim{
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
				allowed := (85*counted.Seconds()+85)*(1+overage) + tolerance
				t.Logf("at most %d in a window, allowed %.0f", most(granted), allowed)
				is.True(float64(most(granted)) <= allowed)
				is.True(len(granted) >= hosts*85*9/10-int(hosts*85*wait.Seconds()))
			})
		})
	}
}

// TestMoves plays hanbit-swap, limits-and-floods --vary --seed 1034405844715: a
// workspace that has its whole burst asks for far more than its rate while the
// hosts that are its home leave, each two seconds after the one before.
func TestMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(85, 85)
		f.share()
		c := claim.Claim{
			Wait: 250 * time.Millisecond,
		}
		f.hosts[0].Grant("w", c)
		time.Sleep(counted) // the burst is whole
		var granted []time.Duration
		start := time.Now()
		for time.Since(start) < 8*time.Second {
			f.share()
			home := f.hosts[int(time.Since(start)/(2*time.Second))]
			for range 40 {
				for range 4 {
					if ok, after, _ := home.Grant("w", c); ok {
						granted = append(granted, time.Since(start)+after)
					}
				}
				time.Sleep(step)
			}
		}
		slices.Sort(granted)
		allowed := (85*counted.Seconds()+85)*(1+overage) + tolerance
		t.Logf("at most %d in a window, allowed %.0f", most(granted), allowed)
		is.True(float64(most(granted)) <= allowed)
	})
}

// away is a home that does not answer.
type away struct{}

func (away) Home(string) (host.Host, bool) {
	return host.Host{}, true
}

func (away) Ask(context.Context, host.Host, string, claim.Claim) (bool, time.Duration, string, error) {
	return false, 0, "", errors.New("no answer")
}

// TestAway plays hanbit-swap, limits-and-floods --vary --seed 1034405844715: the
// home has granted the burst and leaves, and every host that gets no answer from
// it goes by its part for a moment.
func TestAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(85, 85)
		for _, h := range f.hosts {
			h.Homes = away{}
		}
		f.share()
		home := f.hosts[0]
		home.Grant("w", claim.Claim{})
		time.Sleep(counted) // the burst is whole
		f.share()
		granted := 0
		for range 8 {
			f.share()
			for range 245 {
				if ok, _, _ := home.Grant("w", claim.Claim{}); ok {
					granted++
				}
				time.Sleep(step / 2)
			}
		}
		for _, h := range f.hosts[1:] {
			for range 100 {
				if ok, _, _ := h.Admit(context.Background(), "w", claim.Claim{}); ok {
					granted++
				}
			}
		}
		allowed := (85*counted.Seconds()+85)*(1+overage) + tolerance
		t.Logf("%d in less than a window, allowed %.0f", granted, allowed)
		is.True(float64(granted) <= allowed)
	})
}

// placed tells hosts where the home is.
type placed struct {
	here bool
}

func (p *placed) Home(string) (host.Host, bool) {
	return host.Host{}, !p.here
}

func (p *placed) Ask(context.Context, host.Host, string, claim.Claim) (bool, time.Duration, string, error) {
	return false, 0, "", errors.New("not asked in this play")
}

// TestReturn plays hanbit-swap and chps-dakar, limits-and-floods --vary --seed
// 1034405844715 and 1048802820803: a host that was the home for a moment, when
// all hosts had started, becomes it again after others granted the burst.
func TestReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(85, 85)
		var homes []*placed
		for _, h := range f.hosts {
			p := &placed{}
			homes = append(homes, p)
			h.Homes = p
		}
		var granted []time.Duration
		start := time.Now()
		ask := func(n int, length time.Duration, pause time.Duration) {
			homes[n].here = true
			for began := time.Now(); time.Since(began) < length; {
				f.share()
				for range int(200 * time.Millisecond / pause) {
					if ok, _, _ := f.hosts[n].Grant("w", claim.Claim{}); ok {
						granted = append(granted, time.Since(start))
					}
					time.Sleep(pause)
				}
			}
			homes[n].here = false
		}
		ask(0, 400*time.Millisecond, 50*time.Millisecond)
		ask(1, 5*time.Second, 50*time.Millisecond) // its burst is whole
		ask(1, 2*time.Second, time.Millisecond)
		ask(0, 3*time.Second, time.Millisecond)
		allowed := (85*counted.Seconds()+85)*(1+overage) + tolerance
		t.Logf("at most %d in a window, allowed %.0f", most(granted), allowed)
		is.True(float64(most(granted)) <= allowed)
	})
}

// crowd sends operations to a workspace's home: some at once, then others at a
// steady pace. Each is offered three times, as callers do that come back soon
// whatever they were told. It returns the part that was admitted.
func crowd(home *rates.Rates, at, perSecond int, length time.Duration, c claim.Claim) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	var callers sync.WaitGroup
	var admitted atomic.Int64
	asked := 0
	send := func() {
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
		send()
	}
	pace := time.Second / time.Duration(perSecond)
	for range int(length / pace) {
		time.Sleep(pace)
		send()
	}
	callers.Wait()
	return float64(admitted.Load()) / float64(asked)
}

// TestCrowd plays the load of trouble-2 of hanbit-swap: callers that were kept
// out for a second come at once to a home that has just started.
func TestCrowd(t *testing.T) {
	play := func(t *testing.T, wait time.Duration) (part float64) {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(190, 190)
			f.share()
			part = crowd(f.hosts[0], 120, 110, 2*time.Second, claim.Claim{
				Wait: wait,
			})
		})
		t.Logf("waits up to %s: %.3f admitted", wait, part)
		return part
	}
	t.Run("those who can wait are admitted in turn", func(t *testing.T) {
		is := is.New(t)
		// The last try of the crowd is at most 0.38 s after its first and waits
		// for 0.2 s; until then 80 a second more are admitted than come.
		lost := 120 - (190-110)*(0.38+0.2)
		is.True(play(t, 200*time.Millisecond) >= 1-lost/340)
	})
	t.Run("it takes the wait", func(t *testing.T) {
		is := is.New(t)
		is.True(play(t, 0) < play(t, 200*time.Millisecond))
	})
}

// TestUrgent plays quiet-1 of hanbit-swap: a workspace asks for a third more
// than its rate all day, a sixth of it urgent and quick to give up.
func TestUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(25, 25)
		f.share()
		home := f.hosts[0]
		var urgent, others float64
		play := func(length time.Duration) {
			var callers sync.WaitGroup
			callers.Go(func() {
				urgent = crowd(home, 0, 6, length, claim.Claim{
					Wait: 75 * time.Millisecond,
				})
			})
			callers.Go(func() {
				others = crowd(home, 0, 28, length, claim.Claim{
					Wait:  125 * time.Millisecond,
					Level: 1,
				})
			})
			callers.Wait()
		}
		play(3 * time.Second) // it takes a while to tell it from a crowd
		t.Logf("at first: %.3f of the urgent, %.3f of the others", urgent, others)
		play(20 * time.Second)
		t.Logf("then: %.3f of the urgent, %.3f of the others", urgent, others)
		is.True(urgent >= 0.99)             // all that the rate can hold
		is.True(others*28+urgent*6 >= 24.5) // the rate is used
	})
}
