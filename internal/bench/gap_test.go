package bench_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/bench/clust"
	"wasabislip.example/wasabislip/internal/bench/dist"
	"wasabislip.example/wasabislip/internal/bench/naive"
	"wasabislip.example/wasabislip/internal/bench/user"
)

const (
	medianGapLimit = 2 * time.Second
	worstGapLimit  = 5 * time.Second
	gapTime        = 10 * time.Second
	writeInterval  = 20 * time.Millisecond
	// writeTimeout bounds each write of the first writer. It is writeTimeoutStep
	// longer for each further writer.
	writeTimeout     = 400 * time.Millisecond
	writeTimeoutStep = 30 * time.Millisecond
	writers          = 3
	gapSeeds         = 50
	gapSeedsShort    = 2
)

// loss is a loss of machines.
type loss struct {
	name string
	// primary says that the primary's machine is cut off the network, and crash
	// that it crashes as well.
	primary bool
	crash   bool
	// coordinator says that the coordinator's host is cut off.
	coordinator bool
	// noSend cuts only what the machines send, and noReceive only what they
	// receive.
	noSend    bool
	noReceive bool
}

var losses = []loss{
	{
		name:    "primary crashed",
		primary: true,
		crash:   true,
	},
	{
		name:    "primary cut off",
		primary: true,
	},
	{
		name:        "coordinator's host lost",
		coordinator: true,
	},
	{
		name:    "primary sends nothing",
		primary: true,
		noSend:  true,
	},
	{
		name:      "primary receives nothing",
		primary:   true,
		noReceive: true,
	},
	{
		name:        "coordinator's host sends nothing",
		coordinator: true,
		noSend:      true,
	},
	{
		name:        "coordinator's host receives nothing",
		coordinator: true,
		noReceive:   true,
	},
	{
		name:        "primary and coordinator's host lost",
		primary:     true,
		coordinator: true,
	},
}

// TestFailoverGap measures how long no write succeeds after a loss. The baseline
// is a promotion once the primary has not answered for a fixed time.
func TestFailoverGap(t *testing.T) {
	eachUser(t, func(t *testing.T, fresh func() *user.User) {
		for _, l := range losses {
			if !*long && (l.noSend || l.noReceive) {
				continue
			}
			t.Run(l.name, func(t *testing.T) {
				is := is.New(t)
				seeds := gapSeedsShort
				if *long {
					seeds = gapSeeds
				}
				var got, base dist.Distribution
				t.Run("seeds", func(t *testing.T) {
					for seed := range uint64(seeds) {
						t.Run(fmt.Sprint(seed), func(t *testing.T) {
							t.Parallel()
							got.Add(gap(t, fresh().Truncate(1, 3), l, seed))
							if l.primary {
								base.Add(naiveGap(t, fresh().Truncate(1, 3), l, seed))
							}
						})
					}
				})
				median, worst := got.Quantile(0.5), got.Quantile(1)
				met := median < medianGapLimit && worst < worstGapLimit
				other := "-"
				if l.primary {
					other = spread(&base)
				}
				table.Add("2 failover gap, median / worst", fresh().Name, fmt.Sprintf("%s, %d seeds", l.name, seeds), spread(&got), other, "< 2s / < 5s", met)
				t.Logf("failover gap: %s", spread(&got))
				is.True(met) // failover gap
			})
		}
	})
}

// spread formats the median and the maximum.
func spread(d *dist.Distribution) string {
	return fmt.Sprintf("%s / %s", d.Quantile(0.5).Round(time.Millisecond), d.Quantile(1).Round(time.Millisecond))
}

// gap returns the longest time between two successful writes while the loss
// happens. The seed determines when it happens.
func gap(t *testing.T, u *user.User, l loss, seed uint64) time.Duration {
	var longest time.Duration
	withCluster(t, u, nil, func(ctx context.Context, c *clust.Cluster) {
		rng := rand.New(rand.NewPCG(seed, 7))
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
		coordinator := c.CoordinatorIP(0)
		timer := time.AfterFunc(time.Second, func() { l.inject(c, coordinator) })
		defer timer.Stop()
		defer c.Network.Rejoin(coordinator)
		longest = longestGap(func(n int, meter *gapMeter) {
			runWriter(ctx, c, n, meter)
		})
	})
	return longest
}

// runWriter is a caller that writes until the measurement ends. After a failure
// it connects to another host.
func runWriter(ctx context.Context, c *clust.Cluster, n int, meter *gapMeter) {
	var conn *pgx.Conn
	timeout := writeTimeout + time.Duration(n)*writeTimeoutStep
	for ; !meter.ended(); time.Sleep(writeInterval) {
		writeCtx, cancel := context.WithTimeout(ctx, timeout)
		if conn == nil || conn.IsClosed() {
			n++
			conn, _ = c.Connect(writeCtx, n%len(c.User.Hosts), 0, c.User.Spec.Workspaces[0].Name, c.User.Spec.DefaultRoute)
		}
		if conn != nil {
			if _, err := clust.Query(writeCtx, conn, "SELECT put('gap','1')"); err == nil {
				meter.recordSuccess()
			} else {
				conn.Close(writeCtx)
			}
		}
		cancel()
	}
	if conn != nil {
		conn.Close(ctx)
	}
}

// inject makes the loss happen. The coordinator's host has the given IP address.
func (l loss) inject(c *clust.Cluster, coordinator string) {
	if l.primary {
		ip := c.PrimaryIP(0)
		l.cut(c, ip)
		if l.crash {
			c.Network.Crash(ip)
		}
	}
	if l.coordinator {
		l.cut(c, coordinator)
	}
}

// gapMeter measures the longest time between two successes of several writers.
type gapMeter struct {
	mu      sync.Mutex
	end     time.Time
	last    time.Time
	longest time.Duration
}

// recordSuccess records a success.
func (m *gapMeter) recordSuccess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longest = max(m.longest, time.Since(m.last))
	m.last = time.Now()
}

// ended reports whether the measurement has ended.
func (m *gapMeter) ended() bool {
	return time.Now().After(m.end)
}

// cut cuts the machine with the given IP address off the network, in one
// direction or both.
func (l loss) cut(c *clust.Cluster, ip string) {
	switch {
	case l.noSend:
		c.Network.Cut(ip, "")
	case l.noReceive:
		c.Network.Cut("", ip)
	default:
		c.Network.Isolate(ip)
	}
}

// longestGap runs the writers for gapTime and returns the longest time between
// two successes of any of them.
func longestGap(write func(n int, meter *gapMeter)) time.Duration {
	m := &gapMeter{
		end:  time.Now().Add(gapTime),
		last: time.Now(),
	}
	var group conc.WaitGroup
	for n := range writers {
		group.Go(func() { write(n, m) })
	}
	group.Wait()
	return max(m.longest, time.Since(m.last))
}

// naiveGap is gap with the baseline in place of the hosts.
func naiveGap(t *testing.T, u *user.User, l loss, seed uint64) time.Duration {
	var longest time.Duration
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 7))
		c, err := clust.NewWithoutHosts(t.Context(), u)
		is.NoErr(err)
		defer c.Stop()
		f := &naive.Failover{
			Database: &u.Spec.Databases[0],
			Dial:     c.Network.Dialer(u.Hosts[0].Address),
		}
		is.NoErr(f.Start(t.Context()))
		var group conc.WaitGroup
		group.Go(func() { f.Monitor(t.Context(), time.Now().Add(gapTime+2*time.Second)) })
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
		timer := time.AfterFunc(time.Second, func() { l.injectNaive(c, f) })
		defer timer.Stop()
		longest = longestGap(func(_ int, meter *gapMeter) {
			for ; !meter.ended(); time.Sleep(writeInterval) {
				if f.Write(t.Context(), "SELECT put('gap','1')") {
					meter.recordSuccess()
				}
			}
		})
		group.Wait()
	})
	return longest
}

// injectNaive makes the loss happen for the baseline, which has no hosts: only the
// primary is lost.
func (l loss) injectNaive(c *clust.Cluster, f *naive.Failover) {
	ip := clust.IP(f.Database.Instances[f.Primary()].Address)
	l.cut(c, ip)
	if l.crash {
		c.Network.Crash(ip)
	}
}
