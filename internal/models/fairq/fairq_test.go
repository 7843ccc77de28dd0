package fairq_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"wasabislip.example/wasabislip/internal/models/fairq"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const service = 10 * time.Millisecond

// load is a closed loop of clients of one workspace.
type load struct {
	workspace string
	weight    float64
	clients   int
}

func clients(workspace string, weight float64, n int) load {
	return load{
		workspace: workspace,
		weight:    weight,
		clients:   n,
	}
}

// run applies the loads for d and returns the number of slots that each
// workspace got.
func run(q *fairq.Queue, loads []load, d time.Duration) map[string]int {
	served := make(map[string]int)
	var mu sync.Mutex
	var wg conc.WaitGroup
	end := time.Now().Add(d)
	for _, l := range loads {
		for range l.clients {
			wg.Go(func() {
				for time.Now().Before(end) {
					release, err := q.Acquire(context.Background(), l.workspace, l.weight)
					if err != nil {
						time.Sleep(fault.As(err).RetryAfter)
						continue
					}
					time.Sleep(service)
					release()
					mu.Lock()
					served[l.workspace]++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return served
}

func assertShare(is *is.I, served map[string]int, workspace string, fair float64) {
	is.Helper()
	got := float64(served[workspace])
	if got < 0.95*fair {
		is.Fail() // got less than 95% of its fair share
	}
}

func TestShares(t *testing.T) {
	t.Run("an overloading workspace does not starve others", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			q := fairq.New(3, 0, 0)
			loads := []load{clients("hot", 1, 100)}
			for i := range 7 {
				loads = append(loads, clients(fmt.Sprintf("w%d", i), 1, 10))
			}
			served := run(q, loads, 20*time.Second)
			fair := 20.0 / service.Seconds() * 3 / 8
			for _, l := range loads {
				assertShare(is, served, l.workspace, fair)
			}
		})
	})
	t.Run("weights divide contended slots", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			q := fairq.New(2, 0, 0)
			served := run(q, []load{clients("a", 0.5, 20), clients("b", 1, 20), clients("c", 2.5, 20)}, 20*time.Second)
			total := 20.0 / service.Seconds() * 2
			assertShare(is, served, "a", total/8)
			assertShare(is, served, "b", total/4)
			assertShare(is, served, "c", total*5/8)
		})
	})
	t.Run("a lone workspace gets all slots", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			q := fairq.New(3, 0, 0)
			served := run(q, []load{clients("a", 0.1, 3)}, 10*time.Second)
			is.Equal(served["a"], 3000)
		})
	})
}

func TestAcquireRefusals(t *testing.T) {
	hold := func(q *fairq.Queue) func() {
		release, err := q.Acquire(context.Background(), "a", 1)
		if err != nil {
			panic(err)
		}
		return release
	}
	t.Run("at once when the deadline can't be met", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			q := fairq.New(1, 0, 0)
			release := hold(q)
			time.Sleep(100 * time.Millisecond)
			release()
			release = hold(q)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			start := time.Now()
			_, err := q.Acquire(ctx, "b", 1)
			is.Equal(time.Since(start), time.Duration(0))
			is.True(fault.IsKind(err, fault.Overloaded))
			is.Equal(fault.As(err).RetryAfter, 50*time.Millisecond)
			release()
		})
	})
	t.Run("at once when the workspace's queue is full", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			q := fairq.New(1, 0, 1)
			defer hold(q)()
			go func() { _, _ = q.Acquire(context.Background(), "b", 1) }()
			synctest.Wait()
			start := time.Now()
			_, err := q.Acquire(context.Background(), "b", 1)
			is.True(fault.IsKind(err, fault.Overloaded))
			is.Equal(time.Since(start), time.Duration(0))
			time.Sleep(time.Minute)
		})
	})
	t.Run("at the maximum wait", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			q := fairq.New(1, time.Second, 0)
			defer hold(q)()
			start := time.Now()
			_, err := q.Acquire(context.Background(), "b", 1)
			is.True(fault.IsKind(err, fault.Overloaded))
			is.Equal(time.Since(start), time.Second)
		})
	})
	t.Run("waiters when closed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			q := fairq.New(1, 0, 0)
			release := hold(q)
			failed := make(chan error)
			go func() {
				_, err := q.Acquire(context.Background(), "b", 1)
				failed <- err
			}()
			synctest.Wait()
			q.Close()
			is.True(fault.IsKind(<-failed, fault.Draining))
			release()
			_, err := q.Acquire(context.Background(), "b", 1)
			is.True(fault.IsKind(err, fault.Draining))
		})
	})
}

// TestNoLostSlot lets deadlines, releases and a resize coincide and then checks
// that every slot can still be taken. A slot granted to a waiter that gives up
// at the same time must not be lost.
func TestNoLostSlot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		ticks := rapid.SliceOfN(rapid.IntRange(0, 6), 30, 30).Draw(rt, "ticks")
		holds := rapid.SliceOfN(rapid.IntRange(1, 4), 30, 30).Draw(rt, "holds")
		resize := rapid.IntRange(1, 4).Draw(rt, "resize")
		synctest.Test(t, func(t *testing.T) {
			q := fairq.New(slots, 0, 0)
			var wg conc.WaitGroup
			for i := range ticks {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(ticks[i])*time.Millisecond)
					defer cancel()
					release, err := q.Acquire(ctx, fmt.Sprint(i%5), 1)
					if err == nil {
						time.Sleep(time.Duration(holds[i]) * time.Millisecond)
						release()
						release()
					}
				})
			}
			time.Sleep(3 * time.Millisecond)
			q.Resize(resize)
			wg.Wait()
			assertFree(t, q, resize)
		})
	})
}

// assertFree checks that exactly n slots can be taken.
func assertFree(t *testing.T, q *fairq.Queue, n int) {
	t.Helper()
	is := is.New(t)
	for range n {
		_, err := q.Acquire(context.Background(), "x", 1)
		is.NoErr(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	_, err := q.Acquire(ctx, "x", 1)
	is.True(fault.IsKind(err, fault.Overloaded))
}

func BenchmarkAcquire(b *testing.B) {
	q := fairq.New(64, 0, 0)
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%d", i)
	}
	ctx := context.Background()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		release, err := q.Acquire(ctx, names[i%len(names)], 1)
		if err != nil {
			b.Fatal(err)
		}
		release()
		i++
	}
}
