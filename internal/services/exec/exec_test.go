package exec_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// acknowledged fails the test unless the statement succeeded.
func acknowledged(is *is.I, r result) {
	is.Helper()
	is.Equal(r.kind, "")
	is.Equal(r.code, "")
	is.True(r.done)
}

// unacknowledged fails the test unless the statement was refused with a fault of
// this kind, without a success.
func unacknowledged(is *is.I, r result, kind string) {
	is.Helper()
	is.Equal(r.kind, kind)
	is.True(!r.done)
}

func TestRun(t *testing.T) {
	t.Run("confirmed write is read back on a replica", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			w := h.write(t, "x")
			acknowledged(is, w)
			time.Sleep(time.Second)
			r := h.read(t, "session", w.position)
			acknowledged(is, r)
			is.True(r.instance != g.primary().name)
			is.Equal(r.count, "1")
		})
	})
	t.Run("session reads its own write while replicas lag", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			g.set(func() { g.lag = 1 })
			for i := range 5 {
				w := h.write(t, "x")
				acknowledged(is, w)
				for _, routeName := range []string{"session", "bounded", "primary"} {
					r := h.read(t, routeName, w.position)
					is.Equal(r.count, strconv.Itoa(i+1))
					is.Equal(h.read(t, routeName, nil).count, strconv.Itoa(i+1))
				}
			}
		})
	})
	t.Run("write on a read route is refused before it runs", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, _ *fakeGroup, _ *fakeTable, h *host) {
			r := h.call(t, &v1.Open{
				Route: "session",
			}, query("write x"), time.Second)
			is.Equal(r.code, "25006")
		})
	})
	t.Run("connection without an answer is not used again", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			p := g.primary()
			is.Equal(p.dials, 1)
			g.set(func() { p.hangStatements = true })
			unacknowledged(is, h.write(t, "y"), fault.OutcomeUnknown)
			g.set(func() { p.hangStatements = false })
			acknowledged(is, h.write(t, "z"))
			is.Equal(p.dials, 2)
		})
	})
	// Guards against a cancel request that arrives late and ends a statement of
	// another session.
	t.Run("connection of a cancelled batch is not used again", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			p := g.primary()
			var wg conc.WaitGroup
			wg.Go(func() {
				h.call(t, &v1.Open{
					Route:     "write",
					RequestId: "slow",
				}, query("sleep 100ms"), time.Second)
			})
			time.Sleep(50 * time.Millisecond)
			is.NoErr(h.Cancel(h.ctx, "slow"))
			wg.Wait()
			is.Equal(p.dials, 1)
			is.NoErr(h.Cancel(h.ctx, "slow")) // of a batch that has ended
			acknowledged(is, h.write(t, "y"))
			is.Equal(p.dials, 2)
			acknowledged(is, h.write(t, "z"))
			is.Equal(p.dials, 2)
		})
	})
	t.Run("read without an answer may have run", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			g.set(func() {
				for _, n := range g.instances {
					n.hangStatements = true
				}
			})
			for _, routeName := range []string{"session", "bounded", "primary"} {
				unacknowledged(is, h.read(t, routeName, nil), fault.OutcomeUnknown)
			}
		})
	})
	t.Run("read whose replica failed while no other instance answers", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			w := h.write(t, "x")
			acknowledged(is, w)
			for range 6 {
				// The choice between idle replicas depends on the time.
				time.Sleep(time.Millisecond + 1)
				acknowledged(is, h.read(t, "session", w.position))
			}
			g.set(func() {
				for _, n := range g.instances {
					n.unresponsive, n.dropStatements = true, true
				}
			})
			unacknowledged(is, h.read(t, "session", w.position), fault.OutcomeUnknown)
		})
	})
	t.Run("transaction idle for too long is rolled back", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			c := &fakeStream{
				requests: make(chan *v1.RunRequest),
				ready:    make(chan struct{}, 8),
			}
			is.NoErr(h.Run(h.ctx, &v1.RunRequest{
				Open: &v1.Open{
					Route: "write",
				},
				Messages: query("begin"),
			}, c))
			is.Equal(c.result().kind, fault.NotRun)
			is.Equal(len(g.primary().log), 0)
		})
	})
}

func TestTerms(t *testing.T) {
	t.Run("superseded coordinator confirms nothing", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, ctx context.Context, g *fakeGroup, table *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			old := g.primary()
			// The first host and the primary are partitioned from the rest.
			g.set(func() { old.partitioned, old.controlUnresponsive = true, true })
			h2 := newHost(ctx, "h2", g, table)
			time.Sleep(5 * time.Second)
			acknowledged(is, h2.write(t, "y"))
			is.True(g.primary() != old)
			g.set(func() { old.controlUnresponsive = false })
			lost := h.write(t, "lost")
			is.True(lost.kind != "")
			is.True(!lost.done)
			time.Sleep(time.Second)
			g.set(func() { old.partitioned = false })
			time.Sleep(time.Second)
			is.True(!g.holds(old, "lost"))
			is.True(g.holds(old, "y"))
			unacknowledged(is, h.write(t, "z"), fault.NotCoordinator)
		})
	})
	t.Run("primary isolated after it took a write", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			old := g.primary()
			g.set(func() { old.partitioned = true })
			unacknowledged(is, h.write(t, "tail"), fault.OutcomeUnknown)
			g.set(func() { old.unresponsive = true })
			time.Sleep(5 * time.Second)
			is.True(g.primary() != old)
			acknowledged(is, h.write(t, "y"))
			g.set(func() { old.unresponsive, old.partitioned = false, false })
			time.Sleep(5 * time.Second)
			is.True(!g.holds(old, "tail"))
			is.True(g.holds(old, "y"))
			is.Equal(h.read(t, "session", nil).count, "2")
		})
	})
	t.Run("table answer is lost", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, _ *fakeGroup, table *fakeTable, h *host) {
			table.mu.Lock()
			table.loseAnswers = 2
			table.mu.Unlock()
			acknowledged(is, h.write(t, "x"))
		})
	})
	t.Run("primary fails while the table is down", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, table *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			time.Sleep(time.Second)
			table.mu.Lock()
			table.down = true
			table.mu.Unlock()
			old := g.primary()
			g.set(func() { old.unresponsive, old.partitioned = true, true })
			time.Sleep(3 * time.Second)
			acknowledged(is, h.write(t, "y"))
			is.True(g.primary() != old)
		})
	})
	t.Run("own write is read after a change of coordinator", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, ctx context.Context, g *fakeGroup, table *fakeTable, h *host) {
			w := h.write(t, "x")
			acknowledged(is, w)
			g.set(func() { g.lag = 1 })
			w = h.write(t, "y")
			acknowledged(is, w)
			h.coordinator.Stop(ctx)
			<-h.coordinator.Done()
			h2 := newHost(ctx, "h2", g, table)
			is.Equal(h2.read(t, "session", w.position).count, "2")
			is.Equal(h2.read(t, "session", nil).count, "2")
			unacknowledged(is, h.read(t, "session", w.position), fault.NotCoordinator)
		})
	})
	t.Run("only one of two racing coordinators serves", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, ctx context.Context, g *fakeGroup, table *fakeTable, h *host) {
			h2 := newHost(ctx, "h2", g, table)
			time.Sleep(5 * time.Second)
			one, two := h.write(t, "x"), h2.write(t, "y")
			is.True(one.done != two.done)
		})
	})
	t.Run("slow primary is not replaced", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			p := g.primary()
			for _, latency := range []time.Duration{300, 900, 1200, 900, 300} {
				g.set(func() { p.latency = latency * time.Millisecond })
				time.Sleep(10 * time.Second)
			}
			is.Equal(g.primary(), p)
			is.Equal(p.term, uint64(1))
		})
	})
}

func TestFailoverGap(t *testing.T) {
	withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
		worst := time.Duration(0)
		for i := range 20 {
			for !h.write(t, "x").done {
				continue
			}
			time.Sleep(time.Duration(i) * 37 * time.Millisecond)
			old := g.primary()
			g.set(func() { old.unresponsive, old.partitioned = true, true })
			start := time.Now()
			for !h.write(t, "y").done {
				continue
			}
			worst = max(worst, time.Since(start))
			g.set(func() { old.unresponsive, old.partitioned = false, false })
			time.Sleep(10 * time.Second)
		}
		t.Logf("worst gap %s", worst)
		is.True(worst < 5*time.Second)
	})
}

func TestPlannedFailover(t *testing.T) {
	withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
		acknowledged(is, h.write(t, "x"))
		old := g.primary()
		h.coordinator.SetDrained([]string{old.name})
		start := time.Now()
		for time.Since(start) < 3*time.Second {
			acknowledged(is, h.write(t, "y"))
			acknowledged(is, h.read(t, "session", nil))
			time.Sleep(5 * time.Millisecond)
		}
		is.True(g.primary() != old)
	})
}

// TestDrainedPrimaryWithoutSuccessor guards against a drained primary that gets new work for
// good, since no other instance can take over.
func TestDrainedPrimaryWithoutSuccessor(t *testing.T) {
	const limit = 5 * time.Second
	withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
		acknowledged(is, h.write(t, "x"))
		old := g.primary()
		h.coordinator.SetDrained([]string{"a", "b", "c"})
		start := time.Now()
		for time.Since(start) < limit-time.Second {
			acknowledged(is, h.write(t, "y"))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Until(start.Add(limit)))
		for range 20 {
			sent := time.Now()
			is.Equal(h.write(t, "z").kind, fault.NoPrimary)
			is.True(time.Since(sent) < 100*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		h.coordinator.SetDrained([]string{old.name})
		time.Sleep(time.Second)
		acknowledged(is, h.write(t, "z"))
		is.True(g.primary() != old)
	})
}

func TestOpenTransactions(t *testing.T) {
	withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
		acknowledged(is, h.write(t, "x"))
		kinds := map[string]int{}
		var wg conc.WaitGroup
		for i := range database().Instances[0].Connections {
			c := &fakeStream{
				requests: make(chan *v1.RunRequest),
				ready:    make(chan struct{}, 8),
			}
			wg.Go(func() {
				_ = h.Run(h.ctx, &v1.RunRequest{
					Open: &v1.Open{
						RequestId: strconv.Itoa(i),
						Workspace: "greedy",
						Route:     "write",
					},
					Messages: query("begin"),
				}, c)
			})
			<-c.ready
			kinds[c.result().kind]++
		}
		is.Equal(kinds[""], 14)
		is.Equal(kinds[fault.Overloaded], 6)
		start := time.Now()
		acknowledged(is, h.write(t, "y"))
		is.True(time.Since(start) < time.Second)
		wg.Wait()
	})
}
