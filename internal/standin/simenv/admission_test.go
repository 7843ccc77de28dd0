package simenv_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// burst is callers of one database that each send a statement after the other for some
// time, and come back when they are told to.
type burst struct {
	database string
	kind     string // WRITE or READ
	callers  int
	pause    time.Duration

	mu sync.Mutex
	// sent counts the operations, inTarget those that were served within their
	// target, and retries how often callers were told each time to come back.
	sent, inTarget int
	retries        map[time.Duration]int
}

func (b *burst) play(env *simenv.Environment, hosts int, length time.Duration) {
	var running sync.WaitGroup
	began := time.Now()
	for i := range b.callers {
		running.Go(func() {
			c, _, ok := env.OpenSession(i%hosts, b.database, "key-one")
			if !ok {
				return
			}
			defer c.Close()
			for time.Since(began) < length {
				b.call(func() (ok bool, after time.Duration) {
					a := c.Do(fmt.Sprintf("%s item-%d", b.kind, i))
					if at := strings.LastIndex(a.Text, "retry after "); at >= 0 {
						var ms time.Duration
						_, _ = fmt.Sscanf(a.Text[at:], "retry after %d ms", &ms) // 0 if it tells no time
						after = ms * time.Millisecond
					}
					return a.OK(), after
				})
				time.Sleep(b.pause)
			}
		})
	}
	running.Wait()
}

// call is one operation, which is tried three times.
func (b *burst) call(try func() (ok bool, after time.Duration)) {
	began := time.Now()
	served := false
	for range 3 {
		ok, after := try()
		if ok {
			served = time.Since(began) <= simenv.TargetLatency
			break
		}
		b.mu.Lock()
		b.retries[after]++
		b.mu.Unlock()
		time.Sleep(after)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	if served {
		b.inTarget++
	}
}

func newBurst(database, kind string, callers int, pause time.Duration) *burst {
	return &burst{
		database: database,
		kind:     kind,
		callers:  callers,
		pause:    pause,
		retries:  map[time.Duration]int{},
	}
}

func (b *burst) served() float64 { return float64(b.inTarget) / float64(max(1, b.sent)) }

// TestAdmission plays bursts of the least urgent of three priorities, whole: callers,
// hosts and three instances, each of which runs 75 statements a second.
func TestAdmission(t *testing.T) {
	t.Run("writes", func(t *testing.T) {
		playBurst(t, newBurst("strict", "WRITE", 5, 300*time.Millisecond), newBurst("own", "WRITE", 40, 150*time.Millisecond))
	})
	t.Run("reads, on any instance", func(t *testing.T) {
		playBurst(t, newBurst("strict", "READ", 5, 300*time.Millisecond), newBurst("bounded", "READ", 110, 150*time.Millisecond))
	})
}

func playBurst(t *testing.T, urgent, least *burst) {
	t.Helper()
	const (
		hosts  = 3
		length = 15 * time.Second
	)
	runScript(t, hosts, func(is *is.I, env *simenv.Environment) {
		env.Group.SetTimes(simenv.ApplyLag, 40*time.Millisecond)
		env.SetWorkspaces(map[string]float64{"one": 1000}, map[string]int{
			"strict":       0,
			least.database: 2,
		})
		time.Sleep(3 * time.Second)
		calm := newBurst(urgent.database, urgent.kind, urgent.callers, urgent.pause)
		calm.play(env, hosts, length)
		var running sync.WaitGroup
		running.Go(func() { urgent.play(env, hosts, length) })
		running.Go(func() { least.play(env, hosts, length) })
		running.Wait()
		t.Logf("urgent: %.3f of %d in target (calm %.3f); least: %.3f of %d; told %v", urgent.served(), urgent.sent, calm.served(), least.served(), least.sent, least.retries)
		is.True(urgent.served() >= calm.served()-0.02)
		is.True(least.served() >= 0.1)
		is.True(len(least.retries) >= 10) // different times to come back
		rejected := 0.0
		for i := range hosts {
			rejected += env.Metric(i, `wasabislip_admission_rejected_total{level="2"}`)
		}
		is.True(rejected > 0)
	})
}
