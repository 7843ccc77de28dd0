package proofs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/standin/inproc"
)

// Targets of the measures.
const (
	leastReplicaShare = 0.95
	medianGapLimit    = 2 * time.Second
	worstGapLimit     = 5 * time.Second
)

const (
	readsPerWrite  = 10
	measureTime    = 20 * time.Second
	writeEvery     = 20 * time.Millisecond
	sharedSessions = 6
)

// reads counts where the session reads of one run were served.
type reads struct {
	replica int
	primary int
	failed  int
}

// share returns the part of reads served by replicas.
func (r reads) share() float64 {
	return float64(r.replica) / float64(max(r.replica+r.primary, 1))
}

// TestReplicaShare measures the share of session reads on replicas.
func TestReplicaShare(t *testing.T) {
	for _, lag := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			is := is.New(t)
			r := countReads(t, lag)
			t.Logf("measure: replica-share lag=%s replica=%d primary=%d failed=%d share=%.4f", lag, r.replica, r.primary, r.failed, r.share())
			is.Equal(r.failed, 0)
			if lag <= 100*time.Millisecond {
				is.True(r.share() >= leastReplicaShare)
			}
		})
	}
}

// countReads runs sessions that write once in ten reads.
func countReads(t *testing.T, lag time.Duration) reads {
	var total reads
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, func(s *inproc.Cluster) { s.ApplyLag = lag })
		end := time.Now().Add(measureTime)
		results := make([]reads, sharedSessions)
		var group conc.WaitGroup
		for n := range sharedSessions {
			m := newMember(w, n, 1, newDiary())
			group.Go(func() { results[n] = m.browse(w.ctx, end) })
		}
		group.Wait()
		for _, r := range results {
			total.replica += r.replica
			total.primary += r.primary
			total.failed += r.failed
		}
	})
	return total
}

// browse reads ten times for each write, on one connection that stays.
func (m *member) browse(ctx context.Context, end time.Time) reads {
	var r reads
	for time.Now().Before(end) {
		if _, out := m.ask(ctx, "settle", "SELECT put('"+fmt.Sprint("k", m.n)+"','1')"); out.failed || out.unknown {
			r.failed++
		}
		for range readsPerWrite {
			time.Sleep(time.Duration(m.rng.Int64N(int64(thinkTime))))
			switch text, out := m.ask(ctx, "browse", "SELECT pg_is_in_recovery()"); {
			case out.failed || out.unknown:
				r.failed++
			case text == "t":
				r.replica++
			default:
				r.primary++
			}
		}
	}
	m.leave(ctx)
	return r
}

// TestFailoverGap measures how long writes fail when the primary is lost.
func TestFailoverGap(t *testing.T) {
	is := is.New(t)
	var gaps []time.Duration
	for seed := *first; seed < *first+uint64(2**seeds); seed++ {
		gaps = append(gaps, failover(t, seed))
	}
	slices.Sort(gaps)
	median, worst := gaps[len(gaps)/2], gaps[len(gaps)-1]
	t.Logf("measure: failover-gap seeds=%d median=%s worst=%s", len(gaps), median, worst)
	is.True(median < medianGapLimit)
	is.True(worst < worstGapLimit)
}

// failover loses the primary at a random moment and returns the longest time
// between two writes that succeeded.
func failover(t *testing.T, seed uint64) time.Duration {
	var gap time.Duration
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 7))
		w := newWorld(t, 3, nil)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
		lost := time.AfterFunc(time.Second, func() { w.losePrimary(rng) })
		defer lost.Stop()
		m := newMember(w, 0, seed, newDiary())
		last := time.Now()
		for end := last.Add(15 * time.Second); time.Now().Before(end); time.Sleep(writeEvery) {
			ctx, cancel := context.WithTimeout(w.ctx, opTimeout)
			_, out := m.ask(ctx, "settle", "SELECT put('gap','1')")
			cancel()
			if !out.failed && !out.unknown {
				gap = max(gap, time.Since(last))
				last = time.Now()
			}
		}
		gap = max(gap, time.Since(last))
		m.leave(w.ctx)
	})
	return gap
}

// losePrimary crashes the present primary or cuts it off.
func (w *world) losePrimary(rng *rand.Rand) {
	for i := range w.Spec.Databases[0].Instances {
		ip := addressOf(w, i)
		if !w.Instance(w.Spec.Databases[0].Instances[i].Address).IsPrimary() {
			continue
		}
		w.net.Isolate(ip)
		if rng.IntN(2) == 0 {
			w.net.Crash(ip)
		}
	}
}
