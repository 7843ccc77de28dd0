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

// Targets of the measurements.
const (
	minReplicaShare = 0.95
	maxMedianGap    = 2 * time.Second
	maxWorstGap     = 5 * time.Second
)

const (
	readsPerWrite   = 10
	measureDuration = 20 * time.Second
	writeInterval   = 20 * time.Millisecond
	sessionCount    = 6
)

// readCounts counts the session reads of one run by where they were served.
type readCounts struct {
	replica int
	primary int
	failed  int
}

// replicaShare returns the fraction of the reads that replicas served.
func (r readCounts) replicaShare() float64 {
	return float64(r.replica) / float64(max(r.replica+r.primary, 1))
}

// TestReplicaShare measures the fraction of session reads that replicas serve,
// by how long replicas lag behind. It has a target for short lags only.
func TestReplicaShare(t *testing.T) {
	for _, lag := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			is := is.New(t)
			r := runReaders(t, lag)
			t.Logf("measure: replica-share lag=%s replica=%d primary=%d failed=%d share=%.4f", lag, r.replica, r.primary, r.failed, r.replicaShare())
			is.Equal(r.failed, 0)
			if lag <= 100*time.Millisecond {
				is.True(r.replicaShare() >= minReplicaShare)
			}
		})
	}
}

// runReaders runs sessions that write once for every readsPerWrite reads, and
// returns their counts together.
func runReaders(t *testing.T, lag time.Duration) readCounts {
	var total readCounts
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, func(s *inproc.Cluster) { s.ApplyLag = lag })
		end := time.Now().Add(measureDuration)
		results := make([]readCounts, sessionCount)
		var group conc.WaitGroup
		for n := range sessionCount {
			c := newCaller(cl, n, 1, newRecorder())
			group.Go(func() { results[n] = c.countReads(cl.ctx, end) })
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

// countReads reads readsPerWrite times for each write, on one connection, and
// counts the reads. Failed writes count as failed, too.
func (c *caller) countReads(ctx context.Context, end time.Time) readCounts {
	var r readCounts
	for time.Now().Before(end) {
		if _, out := c.query(ctx, "settle", "SELECT put('"+fmt.Sprint("k", c.n)+"','1')"); out.failed || out.unknown {
			r.failed++
		}
		for range readsPerWrite {
			time.Sleep(time.Duration(c.rng.Int64N(int64(thinkTime))))
			switch text, out := c.query(ctx, "browse", "SELECT pg_is_in_recovery()"); {
			case out.failed || out.unknown:
				r.failed++
			case text == "t":
				r.replica++
			default:
				r.primary++
			}
		}
	}
	c.disconnect(ctx)
	return r
}

// TestFailoverGap measures for how long no write succeeds when the primary
// fails.
func TestFailoverGap(t *testing.T) {
	is := is.New(t)
	var gaps []time.Duration
	for seed := *firstSeed; seed < *firstSeed+uint64(2**seedCount); seed++ {
		gaps = append(gaps, measureWriteGap(t, seed))
	}
	slices.Sort(gaps)
	median, worst := gaps[len(gaps)/2], gaps[len(gaps)-1]
	t.Logf("measure: failover-gap seeds=%d median=%s worst=%s", len(gaps), median, worst)
	is.True(median < maxMedianGap)
	is.True(worst < maxWorstGap)
}

// measureWriteGap makes the primary fail at a random time and returns the
// longest time between two writes that succeeded.
func measureWriteGap(t *testing.T, seed uint64) time.Duration {
	var gap time.Duration
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(seed, 7))
		cl := newCluster(t, 3, nil)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
		failure := time.AfterFunc(time.Second, func() { cl.failPrimary(rng) })
		defer failure.Stop()
		c := newCaller(cl, 0, seed, newRecorder())
		last := time.Now()
		for end := last.Add(15 * time.Second); time.Now().Before(end); time.Sleep(writeInterval) {
			ctx, cancel := context.WithTimeout(cl.ctx, opTimeout)
			_, out := c.query(ctx, "settle", "SELECT put('gap','1')")
			cancel()
			if !out.failed && !out.unknown {
				gap = max(gap, time.Since(last))
				last = time.Now()
			}
		}
		gap = max(gap, time.Since(last))
		c.disconnect(cl.ctx)
	})
	return gap
}

// failPrimary isolates the primary and, half of the time, also crashes it.
func (cl *cluster) failPrimary(rng *rand.Rand) {
	for i := range cl.Spec.Databases[0].Instances {
		ip := instanceIP(cl, i)
		if !cl.Instance(cl.Spec.Databases[0].Instances[i].Address).IsPrimary() {
			continue
		}
		cl.net.Isolate(ip)
		if rng.IntN(2) == 0 {
			cl.net.Crash(ip)
		}
	}
}
