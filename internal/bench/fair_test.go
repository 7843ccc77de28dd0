package bench_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/bench/clust"
	"wasabislip.example/wasabislip/internal/bench/load"
	"wasabislip.example/wasabislip/internal/bench/user"
)

const (
	fairShareLimit = 0.95
	fairTime       = 8 * time.Second
	// flooder is the index of the workspace that exceeds its rate by floodFactor.
	flooder     = 2
	floodFactor = 10
	// usualUse is the fraction of the primary's slots in use while no workspace
	// exceeds its rate.
	usualUse = 0.8
	// workerRate is how many requests per second one worker offers.
	workerRate = 5.0
)

// TestFairShare measures the fraction of its requests that the worst-served
// workspace gets answered while another sends ten times its rate. The requests
// go through hosts to instances. The baseline is a single first-come,
// first-served queue without rates.
func TestFairShare(t *testing.T) {
	eachUser(t, func(t *testing.T, fresh func() *user.User) {
		got := worstServed(t, fresh().Truncate(1, 9), false)
		base := worstServed(t, fresh().Truncate(1, 9), true)
		met := got >= fairShareLimit
		table.Add("3 worst-served workspace, share of its load", fresh().Name, "one at 10 times its rate, whole path", percent(got), percent(base), ">= 95%", met)
		is.New(t).True(met) // share of the worst-served workspace
	})
}

// worstServed returns the smallest fraction of its offered requests that a
// workspace other than the flooder got answered. A workspace offers a third of
// its rate to this database, because it has three databases. That is less than
// its fair share of the slots. With shared, which is the baseline, all requests
// come from one workspace whose rate doesn't limit them.
func worstServed(t *testing.T, u *user.User, shared bool) float64 {
	t.Helper()
	totalRate := 0.0
	rates := make([]float64, len(u.Spec.Workspaces))
	for i, w := range u.Spec.Workspaces {
		rates[i] = w.Rate / 3
		totalRate += rates[i]
	}
	if shared {
		u.Spec.Workspaces[0].Rate *= 1000
		u.Spec.Workspaces[0].Burst *= 1000
	}
	slots := float64(u.Spec.Databases[0].Instances[0].Slots)
	statementTime := time.Duration(usualUse*slots/totalRate*float64(time.Second)) - u.CentreLatency
	worst := 1.0
	withCluster(t, u, nil, func(ctx context.Context, c *clust.Cluster) {
		is.New(t).NoErr(c.SetStatementTime(statementTime))
		end := time.Now().Add(fairTime)
		generators := make([]*load.Generator, len(rates))
		var group conc.WaitGroup
		for i, r := range rates {
			if i == flooder {
				r *= floodFactor
			}
			gen := &load.Generator{
				Workspace:     u.Spec.Workspaces[i].Name,
				Route:         u.Spec.DefaultRoute,
				Rate:          r,
				Workers:       int(r/workerRate) + 2,
				Seed:          uint64(i),
				ChooseHost:    func(rng *rand.Rand) int { return rng.IntN(len(u.Hosts)) },
				NextStatement: func(worker, _ int) string { return fmt.Sprintf("SELECT put('%d-%d','1')", i, worker) },
			}
			if shared {
				gen.Workspace = u.Spec.Workspaces[0].Name
			}
			generators[i] = gen
			group.Go(func() { gen.Run(ctx, c, end) })
		}
		group.Wait()
		for i, gen := range generators {
			share := float64(gen.Succeeded.Load()) / float64(max(gen.Offered.Load(), 1))
			t.Logf("workspace %d offered %d done %d over-rate %d other %d", i, gen.Offered.Load(), gen.Succeeded.Load(), gen.OverRate.Load(), gen.Other.Load())
			if i != flooder {
				worst = min(worst, share)
			}
		}
	})
	return worst
}
