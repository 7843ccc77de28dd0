package bench_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/bench/clust"
	"wasabislip.example/wasabislip/internal/bench/dist"
	"wasabislip.example/wasabislip/internal/bench/user"
	"wasabislip.example/wasabislip/internal/standin/inproc"
)

const (
	leastShare    = 0.95
	readsPerWrite = 10
	shareTime     = 10 * time.Second
	// shareStatementTime is how long each statement holds a slot of an instance.
	shareStatementTime = 2 * time.Millisecond
	// thinkTime is the average pause of a session before a read.
	thinkTime = 250 * time.Millisecond
)

// readStats holds the outcomes and latencies of the reads of all sessions. The
// failed writes count as failed as well.
type readStats struct {
	replica, primary, failed atomic.Int64
	latency                  dist.Distribution
}

// share returns the fraction of the answered reads that ran on replicas.
func (r *readStats) share() float64 {
	return float64(r.replica.Load()) / float64(max(r.replica.Load()+r.primary.Load(), 1))
}

// TestReplicaShare measures the fraction of reads with session freshness that run
// on replicas, and the latency of these reads. The baseline reads from the
// primary only.
func TestReplicaShare(t *testing.T) {
	eachUser(t, func(t *testing.T, fresh func() *user.User) {
		lags := []time.Duration{0, 100 * time.Millisecond, 2 * time.Second}
		if !*long {
			lags = lags[1:2]
		}
		for _, lag := range lags {
			t.Run(lag.String(), func(t *testing.T) {
				is := is.New(t)
				got := readAll(t, fresh(), lag, user.SessionRoute)
				base := readAll(t, fresh(), lag, user.PrimaryRoute)
				is.Equal(got.failed.Load(), int64(0))
				target, met := "", true
				if lag <= 100*time.Millisecond {
					target, met = fmt.Sprintf(">= %.0f%%", leastShare*100), got.share() >= leastShare
				}
				name := "lag " + lag.String()
				table.Add("1 session reads on replicas", fresh().Name, name, percent(got.share()), percent(base.share()), target, met)
				for _, q := range []float64{0.5, 0.99} {
					gotLatency, baseLatency := got.latency.Quantile(q), base.latency.Quantile(q)
					table.Add("1 session read latency", fresh().Name, fmt.Sprintf("%s, p%.0f", name, q*100), gotLatency.String(), baseLatency.String(), "<= baseline", gotLatency <= baseLatency)
				}
				is.True(met) // share of session reads on replicas
			})
		}
	})
}

func percent(v float64) string {
	return fmt.Sprintf("%.2f%%", v*100)
}

// readAll runs one session of each workspace on each database. The reads use the
// given route.
func readAll(t *testing.T, u *user.User, lag time.Duration, route string) *readStats {
	t.Helper()
	r := &readStats{}
	withCluster(t, u, func(s *inproc.Cluster) { s.ApplyLag = lag }, func(ctx context.Context, c *clust.Cluster) {
		is.New(t).NoErr(c.SetStatementTime(shareStatementTime))
		end := time.Now().Add(shareTime)
		var group conc.WaitGroup
		n := 0
		for b := range u.Spec.Databases {
			for w := range u.Spec.Workspaces {
				n++
				rng := rand.New(rand.NewPCG(1, uint64(n)))
				group.Go(func() { r.session(ctx, c, rng, b, u.Spec.Workspaces[w].Name, route, end) })
			}
		}
		group.Wait()
	})
	return r
}

// session repeats a write and readsPerWrite reads until end.
func (r *readStats) session(ctx context.Context, c *clust.Cluster, rng *rand.Rand, b int, workspace, route string, end time.Time) {
	conn, err := c.Connect(ctx, rng.IntN(len(c.User.Hosts)), b, workspace, route)
	if err != nil {
		r.failed.Add(1)
		return
	}
	defer conn.Close(ctx)
	write := "/* wasabislip.route=" + c.User.Spec.DefaultRoute + " */ SELECT put('" + workspace + "','1')"
	for time.Now().Before(end) {
		if _, err := clust.Query(ctx, conn, write); err != nil {
			r.failed.Add(1)
		}
		for range readsPerWrite {
			time.Sleep(time.Duration(rng.Int64N(int64(2 * thinkTime))))
			start := time.Now()
			text, err := clust.Query(ctx, conn, "SELECT pg_is_in_recovery()")
			r.latency.Add(time.Since(start))
			switch {
			case err != nil:
				r.failed.Add(1)
			case text == "t":
				r.replica.Add(1)
			default:
				r.primary.Add(1)
			}
		}
	}
}
