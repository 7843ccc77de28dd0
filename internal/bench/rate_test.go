package bench_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"wasabislip.example/wasabislip/internal/bench/drive"
	"wasabislip.example/wasabislip/internal/bench/load"
	"wasabislip.example/wasabislip/internal/bench/user"
)

const (
	refusedLimit = 0.001
	rateTime     = 150 * time.Second
	rateUse      = 0.9
	// rateTimeShort replaces rateTime in the short form.
	rateTimeShort = 10 * time.Second
	ratedSpace    = 3
	// skew is the share of the load on the first host.
	skew = 0.9
	// mishapAt is when the platform fails, or a home dies.
	mishapAt     = 30 * time.Second
	outageLength = time.Minute
)

// verdicts compares what callers were told with one ideal bucket, and with
// the fixed slices of the baseline.
type verdicts struct {
	mu                        sync.Mutex
	ideal                     *rate.Limiter
	slices                    []*rate.Limiter
	within, refused, baseline int
}

// told takes in one request, which went to the host at index h.
func (v *verdicts) told(h int, overRate bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	slice := v.slices[h].Allow()
	if !v.ideal.Allow() {
		return
	}
	v.within++
	if overRate {
		v.refused++
	}
	if !slice {
		v.baseline++
	}
}

// TestRefusals measures the requests refused inside their workspace's rate,
// beside fixed slices of the rate.
func TestRefusals(t *testing.T) {
	cases := map[string]func(ctx context.Context, d *drive.Drive){
		"skew": func(context.Context, *drive.Drive) {},
		"skew and a platform outage of a minute": func(_ context.Context, d *drive.Drive) {
			_ = d.SetFaults(`{"outage":true}`)
			time.Sleep(outageLength)
			_ = d.SetFaults(`{"outage":false}`)
		},
		"skew and the death of a home": func(_ context.Context, d *drive.Drive) {
			ip := d.Home(ratedSpace)
			d.Network.Isolate(ip)
			time.Sleep(rateTime - mishapAt)
			d.Network.Rejoin(ip)
		},
	}
	eachUser(t, func(t *testing.T, fresh func() *user.User) {
		for name, mishap := range cases {
			if !*long && name != "skew" {
				continue
			}
			t.Run(name, func(t *testing.T) {
				u := fresh().Keep(1, 9)
				v := refusals(t, u, mishap)
				got := float64(v.refused) / float64(max(v.within, 1))
				base := float64(v.baseline) / float64(max(v.within, 1))
				met := got < refusedLimit
				table.Add("4 refusals inside the rate", u.Name, name+", at 0.9 of the rate", percent(got), percent(base), "< 0.1%", met)
				is.New(t).True(met) // refusals inside the rate
			})
		}
	})
}

func refusals(t *testing.T, u *user.User, mishap func(ctx context.Context, d *drive.Drive)) *verdicts {
	t.Helper()
	w := u.Spec.Workspaces[ratedSpace]
	v := &verdicts{
		ideal: rate.NewLimiter(rate.Limit(w.Rate), int(w.Burst)),
	}
	n := float64(len(u.Hosts))
	for range u.Hosts {
		v.slices = append(v.slices, rate.NewLimiter(rate.Limit(w.Rate/n), int(w.Burst/n)))
	}
	within(t, u, nil, func(ctx context.Context, d *drive.Drive) {
		length := rateTime
		if !*long {
			length = rateTimeShort
		}
		end := time.Now().Add(length)
		stop := time.AfterFunc(mishapAt, func() { mishap(ctx, d) })
		defer stop.Stop()
		var group sync.WaitGroup
		for h := range u.Hosts {
			share := (1 - skew) / (n - 1)
			if h == 0 {
				share = skew
			}
			l := &load.Load{
				Workspace: w.Name,
				Route:     u.Spec.DefaultRoute,
				Rate:      w.Rate * rateUse * share,
				Workers:   1 + int(w.Rate*share/eachWorker),
				Seed:      uint64(h),
				Host:      func(*rand.Rand) int { return h },
				Statement: func(int, int) string { return "SELECT put('k','1')" },
				Result:    func(_, _ int, _, overRate bool) { v.told(h, overRate) },
			}
			group.Go(func() { l.Run(ctx, d, end) })
		}
		group.Wait()
	})
	return v
}
