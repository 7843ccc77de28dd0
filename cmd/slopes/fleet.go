package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"wasabislip.example/wasabislip/internal/slopes/clust"
	"wasabislip.example/wasabislip/internal/slopes/usage"
)

const (
	// joinTime is how long the hosts may take to form the cluster before a
	// measurement.
	joinTime         = 8 * time.Second
	measureTime      = 12 * time.Second
	deathHosts       = 9
	deathDatabases   = 18
	deathJoinTime    = 6 * time.Second
	deathMeasureTime = 15 * time.Second
	termClass        = "term"
	putOperation     = "table PutItem "
)

// clusterSize is the size of one of the clusters to compare.
type clusterSize struct {
	hosts     int
	databases int
}

// control measures clusters without callers, which run at the same time: by the
// number of hosts, and by the number of databases that one host coordinates.
func control(ctx context.Context, program string) error {
	p := pool.New().WithErrors()
	for _, n := range []clusterSize{{3, 1}, {9, 1}, {27, 1}, {1, 1}, {1, 4}, {1, 16}} {
		p.Go(func() error { return measureIdle(ctx, program, n) })
	}
	return p.Wait()
}

// measureIdle measures one cluster without callers.
func measureIdle(ctx context.Context, program string, n clusterSize) error {
	cluster, err := clust.New(ctx, program, n.hosts, n.databases)
	if err != nil {
		return err
	}
	defer cluster.Close()
	wait(ctx, joinTime)
	used, counts, err := usageOver(ctx, cluster, measureTime)
	if err != nil {
		return err
	}
	last, err := cluster.Usage(n.hosts - 1)
	if err != nil {
		return err
	}
	slices.SortFunc(used, func(a, b usage.Usage) int { return int(a.In + a.Out - b.In - b.Out) })
	median, busiest := used[len(used)/2], used[len(used)-1]
	fmt.Printf(
		"control: hosts=%d databases=%d median-host: bytes-out-a-second=%.0f bytes-in-a-second=%.0f cpu-ms-a-second=%.2f; busiest-host: bytes-out-a-second=%.0f bytes-in-a-second=%.0f cpu-ms-a-second=%.2f; memory=%d\n",
		n.hosts, n.databases,
		perSecond(median.Out, measureTime), perSecond(median.In, measureTime), milliseconds(median.CPU, measureTime),
		perSecond(busiest.Out, measureTime), perSecond(busiest.In, measureTime), milliseconds(busiest.CPU, measureTime), last.Memory,
	)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("control: hosts=%d databases=%d platform: %s a-second=%.2f\n", n.hosts, n.databases, name, float64(counts[name])/measureTime.Seconds())
	}
	return nil
}

// usageOver returns the hosts' usage and the platform's operations during d.
func usageOver(ctx context.Context, cluster *clust.Cluster, d time.Duration) ([]usage.Usage, map[string]int, error) {
	operations := cluster.Operations.Counts()
	before, err := cluster.Usages()
	if err != nil {
		return nil, nil, err
	}
	wait(ctx, d)
	after, err := cluster.Usages()
	if err != nil {
		return nil, nil, err
	}
	for i := range after {
		after[i] = after[i].Since(before[i])
	}
	return after, increases(operations, cluster.Operations.Counts()), nil
}

// increases returns the counters that grew, and by how much.
func increases(before, after map[string]int) map[string]int {
	out := map[string]int{}
	for name, n := range after {
		if n > before[name] {
			out[name] = n - before[name]
		}
	}
	return out
}

// death measures the platform's load when a host that coordinates databases
// fails, and the time until other hosts have taken over all of them, which is
// when as many term rows have been written.
func death(ctx context.Context, program string) error {
	cluster, err := clust.New(ctx, program, deathHosts, deathDatabases)
	if err != nil {
		return err
	}
	defer cluster.Close()
	wait(ctx, deathJoinTime)
	victim, held, err := busiestHost(ctx, cluster)
	if err != nil {
		return err
	}
	before := cluster.Operations.Counts()
	begin := time.Now()
	cluster.KillHost(victim)
	takenOver := time.Duration(0)
	for time.Since(begin) < deathMeasureTime {
		counts := increases(before, cluster.Operations.Counts())
		if takenOver == 0 && counts[putOperation+termClass] >= held {
			takenOver = time.Since(begin)
		}
		wait(ctx, pollPause)
	}
	fmt.Printf("death: hosts=%d databases=%d held-by-the-dead=%d all-terms-taken-after=%s\n", deathHosts, deathDatabases, held, takenOver.Round(time.Millisecond))
	counts := increases(before, cluster.Operations.Counts())
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("death: platform: %s in-%s=%d\n", name, deathMeasureTime, counts[name])
	}
	return nil
}

// busiestHost returns the host that coordinates the most databases, and how many. The
// first host is left out, since it is the seed of the others.
func busiestHost(ctx context.Context, cluster *clust.Cluster) (victim, held int, err error) {
	counts := make([]int, deathHosts)
	for d := range deathDatabases {
		n, err := cluster.Coordinator(ctx, d)
		if err != nil {
			return 0, 0, err
		}
		counts[n]++
	}
	victim = 1
	for i := range counts {
		if i > 0 && counts[i] > counts[victim] {
			victim = i
		}
	}
	return victim, counts[victim], nil
}
