package exec_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
)

const (
	chaosSeeds   = 3
	chaosCallers = 6
	chaosTime    = 15 * time.Second
)

// injectFault changes one fault of one instance, or the replication lag, or
// nothing.
func injectFault(g *fakeGroup, r *rand.Rand) {
	g.set(func() {
		n := g.instances[r.IntN(len(g.instances))]
		switch r.IntN(7) {
		case 0:
			n.unresponsive = !n.unresponsive
		case 1:
			n.partitioned = !n.partitioned
		case 2:
			n.controlUnresponsive = !n.controlUnresponsive
		case 3:
			n.hangStatements = !n.hangStatements
		case 4:
			n.latency = time.Duration(r.IntN(400)) * time.Millisecond
		case 5:
			g.lag = r.IntN(3)
		}
	})
}

// healAll ends all faults.
func healAll(g *fakeGroup) {
	g.set(func() {
		g.lag = 0
		for _, n := range g.instances {
			n.unresponsive, n.partitioned, n.controlUnresponsive, n.hangStatements, n.latency = false, false, false, false, 0
		}
	})
}

// TestChaos runs callers against coordinators that supersede one another while
// instances fail. Every acknowledged write must be there at the end, and each
// session must read at least as many entries as there were after its last
// acknowledged write.
func TestChaos(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			withFakeGroup(t, func(is *is.I, ctx context.Context, g *fakeGroup, table *fakeTable, h *host) {
				var mu sync.Mutex
				hosts := []*host{h}
				acked := map[string]bool{}
				latest := func() *host {
					mu.Lock()
					defer mu.Unlock()
					return hosts[len(hosts)-1]
				}
				var wg conc.WaitGroup
				start := time.Now()
				for c := range chaosCallers {
					rnd := rand.New(rand.NewPCG(seed, uint64(c)))
					wg.Go(func() {
						var minPosition *v1.Position
						for i := 0; time.Since(start) < chaosTime; i++ {
							name := fmt.Sprintf("%d-%d", c, i)
							if w := latest().write(t, name); w.done {
								mu.Lock()
								acked[name] = true
								mu.Unlock()
								minPosition = w.position
							}
							sent := minPosition
							if rnd.IntN(2) == 0 {
								sent = nil
							}
							read := latest().read(t, "session", sent)
							if seen, _ := strconv.Atoi(read.count); read.done && uint64(seen) < minPosition.GetOffset() {
								t.Errorf("seed %d: read %d entries on %s after a write at %v", seed, seen, read.instance, minPosition)
							}
							time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
						}
					})
				}
				rnd := rand.New(rand.NewPCG(seed, 99))
				for time.Since(start) < chaosTime {
					time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
					injectFault(g, rnd)
					if rnd.IntN(4) == 0 {
						next := newHost(ctx, "h"+strconv.Itoa(len(hosts)+1), g, table)
						mu.Lock()
						hosts = append(hosts, next)
						mu.Unlock()
					}
					if rnd.IntN(4) == 0 {
						healAll(g)
					}
				}
				wg.Wait()
				healAll(g)
				time.Sleep(10 * time.Second)
				acknowledged(is, latest().write(t, "end"))
				for name := range acked {
					if !g.holds(g.primary(), name) {
						t.Errorf("seed %d: acknowledged write %s is lost", seed, name)
					}
				}
				t.Logf("seed %d: %d writes acknowledged, %d coordinators", seed, len(acked), len(hosts))
			})
		})
	}
}
