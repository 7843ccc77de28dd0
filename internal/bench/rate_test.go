package bench_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"wasabislip.example/wasabislip/internal/bench/clust"
	"wasabislip.example/wasabislip/internal/bench/load"
	"wasabislip.example/wasabislip/internal/bench/user"
)

const (
	refusedLimit = 0.001
	rateTime     = 150 * time.Second
	// rateUse is the fraction of the workspace's rate that its callers use.
	rateUse = 0.9
	// rateTimeShort replaces rateTime without -measures.long.
	rateTimeShort = 10 * time.Second
	// ratedWorkspace is the index of the workspace whose requests are measured.
	ratedWorkspace = 3
	// skew is the fraction of the requests that go to the first host.
	skew = 0.9
	// faultAt is when the platform fails, or the host of a home.
	faultAt        = 30 * time.Second
	outageDuration = time.Minute
)

// refusalCounts compares the refusals that callers got with two references: one
// token bucket for all hosts, which decides what is inside the rate, and the
// baseline, in which each host has a token bucket with an equal part of the rate.
type refusalCounts struct {
	mu                        sync.Mutex
	global                    *rate.Limiter
	perHost                   []*rate.Limiter
	within, refused, baseline int
}

// record records a request that went to the host at index h, and whether it was
// refused because the workspace was over its rate.
func (c *refusalCounts) record(h int, overRate bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := c.perHost[h].Allow()
	if !c.global.Allow() {
		return
	}
	c.within++
	if overRate {
		c.refused++
	}
	if !allowed {
		c.baseline++
	}
}

// TestRefusals measures the fraction of requests that are refused although they
// are inside their workspace's rate. The baseline gives each host an equal part
// of the rate.
func TestRefusals(t *testing.T) {
	cases := map[string]func(ctx context.Context, c *clust.Cluster){
		"skew": func(context.Context, *clust.Cluster) {},
		"skew and a platform outage of a minute": func(_ context.Context, c *clust.Cluster) {
			_ = c.SetFaults(`{"outage":true}`)
			time.Sleep(outageDuration)
			_ = c.SetFaults(`{"outage":false}`)
		},
		"skew and the death of a home": func(_ context.Context, c *clust.Cluster) {
			ip := c.HomeIP(ratedWorkspace)
			c.Network.Isolate(ip)
			time.Sleep(rateTime - faultAt)
			c.Network.Rejoin(ip)
		},
	}
	eachUser(t, func(t *testing.T, fresh func() *user.User) {
		for name, inject := range cases {
			if !*long && name != "skew" {
				continue
			}
			t.Run(name, func(t *testing.T) {
				u := fresh().Truncate(1, 9)
				counts := refusals(t, u, inject)
				got := float64(counts.refused) / float64(max(counts.within, 1))
				base := float64(counts.baseline) / float64(max(counts.within, 1))
				met := got < refusedLimit
				table.Add("4 refusals inside the rate", u.Name, name+", at 0.9 of the rate", percent(got), percent(base), "< 0.1%", met)
				is.New(t).True(met) // refusals inside the rate
			})
		}
	})
}

// refusals returns what it counted in a run with skewed requests, in which inject
// is called at faultAt.
func refusals(t *testing.T, u *user.User, inject func(ctx context.Context, c *clust.Cluster)) *refusalCounts {
	t.Helper()
	w := u.Spec.Workspaces[ratedWorkspace]
	counts := &refusalCounts{
		global: rate.NewLimiter(rate.Limit(w.Rate), int(w.Burst)),
	}
	n := float64(len(u.Hosts))
	for range u.Hosts {
		counts.perHost = append(counts.perHost, rate.NewLimiter(rate.Limit(w.Rate/n), int(w.Burst/n)))
	}
	withCluster(t, u, nil, func(ctx context.Context, c *clust.Cluster) {
		duration := rateTime
		if !*long {
			duration = rateTimeShort
		}
		end := time.Now().Add(duration)
		timer := time.AfterFunc(faultAt, func() { inject(ctx, c) })
		defer timer.Stop()
		var group sync.WaitGroup
		for h := range u.Hosts {
			share := (1 - skew) / (n - 1)
			if h == 0 {
				share = skew
			}
			gen := &load.Generator{
				Workspace:     w.Name,
				Route:         u.Spec.DefaultRoute,
				Rate:          w.Rate * rateUse * share,
				Workers:       1 + int(w.Rate*share/workerRate),
				Seed:          uint64(h),
				ChooseHost:    func(*rand.Rand) int { return h },
				NextStatement: func(int, int) string { return "SELECT put('k','1')" },
				OnResult:      func(_, _ int, _, overRate bool) { counts.record(h, overRate) },
			}
			group.Go(func() { gen.Run(ctx, c, end) })
		}
		group.Wait()
	})
	return counts
}
