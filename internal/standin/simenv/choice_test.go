package simenv_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// Guards against reads at the log end of a chosen replica that is not promoted after all.
func TestChoiceNotPromoted(t *testing.T) {
	t.Run("no read lacks a commit that the next choice keeps", func(t *testing.T) {
		runScript(t, 0, func(is *is.I, env *simenv.Environment) {
			killed := killHolder(env)
			for i := range 6 {
				env.StartHost(i)
			}
			time.Sleep(5 * time.Second)
			is.True(writeUntil(is, env, 0, time.Second) < time.Second)
			time.Sleep(time.Second)
			forEachCutLink(env.Net.Cut)
			defer forEachCutLink(env.Net.Heal)
			env.Group.BlockReplication("i-2", true)
			env.Group.BlockReplication("i-3", true)
			acknowledged := writeUntilChoice(is, env)
			older, others := countOlderReads(env, acknowledged, 3*time.Second)
			t.Logf("%d reads lack write %d, which was acknowledged before, %d do not", older, acknowledged, others)
			env.Group.BlockReplication("i-3", false)
			env.PowerOff(<-killed)
			is.True(writeUntil(is, env, 1, 15*time.Second) < 15*time.Second)
			is.Equal(env.Group.Primary(), "i-3")
			value, _ := env.Group.CommittedValue("counter")
			kept, err := strconv.Atoi(value)
			is.NoErr(err)
			is.True(kept >= acknowledged) // the last write may have an unknown outcome
			is.Equal(older, 0)
		})
	})
}

// killHolder cuts the first host that replaces the primary from a replica, and ends it once
// it has chosen the other one. The channel tells which host that is.
func killHolder(env *simenv.Environment) <-chan int {
	killed := make(chan int, 1)
	holder := atomic.Int64{}
	holder.Store(-1)
	_, replica := simenv.Instance(2)
	env.Pause = func(host int, at string) {
		if at == "before "+simenv.StepIntent && holder.CompareAndSwap(-1, int64(host)) {
			env.Net.Cut(simenv.HostIP(host), replica)
			return
		}
		if at == "after "+simenv.StepChoice && holder.Load() == int64(host) {
			env.Net.Isolate(simenv.HostIP(host))
			env.Net.Crash(simenv.HostIP(host))
			killed <- host
		}
	}
	return killed
}

// writeUntilChoice writes rising numbers through host 0 until a new primary is chosen, and
// returns the last one that was acknowledged, more than the bound on staleness ago.
func writeUntilChoice(is *is.I, env *simenv.Environment) int {
	is.Helper()
	acknowledged := 0
	last := time.Now()
	for n := 1; !strings.Contains(string(env.Store.Get("wasabislip", "leader-ledger")), `"primary":"i-`); n++ {
		is.True(n < 1000) // no new primary was chosen
		c, _, accepted := env.OpenSession(0, "strict", "key-one")
		if accepted {
			if c.Do(fmt.Sprintf("WRITE counter %d", n)).OK() {
				acknowledged = n
				last = time.Now()
			}
			c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(max(0, simenv.MaxStaleness-time.Since(last)))
	return acknowledged
}

// countOlderReads reads through the hosts that host 0 does not reach. It returns how many
// reads lack the number and how many do not.
func countOlderReads(env *simenv.Environment, number int, length time.Duration) (older, others int) {
	began := time.Now()
	var mu sync.Mutex
	var readers sync.WaitGroup
	for i := range 16 {
		readers.Go(func() {
			for time.Since(began) < length {
				value, ok := readCounter(env, []int{1, 2, 4, 5}[i%4])
				mu.Lock()
				switch {
				case ok && value < number:
					older++
				case ok:
					others++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	readers.Wait()
	return older, others
}

// readCounter reads the counter on a session of its own; ok is false if nothing was read.
func readCounter(env *simenv.Environment, host int) (value int, ok bool) {
	c, _, accepted := env.OpenSession(host, "bounded", "key-one")
	if !accepted {
		return 0, false
	}
	defer c.Close()
	a := c.Do("READ counter")
	if len(a.Rows) == 1 {
		value, _ = strconv.Atoi(a.Rows[0])
	}
	return value, a.OK()
}
