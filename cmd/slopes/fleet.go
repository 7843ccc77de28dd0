package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"wasabislip.example/wasabislip/internal/slopes/site"
	"wasabislip.example/wasabislip/internal/slopes/usage"
)

const (
	joinTime         = 8 * time.Second
	measureTime      = 12 * time.Second
	deathHosts       = 9
	deathDatabases   = 18
	deathJoinTime    = 6 * time.Second
	deathMeasureTime = 15 * time.Second
	termClass        = "term"
	putOperation     = "table PutItem "
)

// size is one installation to compare.
type clusterSize struct {
	hosts     int
	databases int
}

// control measures quiet installations beside one another: by the number of
// hosts, and by the number of stewardships of one host.
func control(ctx context.Context, program string) error {
	p := pool.New().WithErrors()
	for _, n := range []clusterSize{{3, 1}, {9, 1}, {27, 1}, {1, 1}, {1, 4}, {1, 16}} {
		p.Go(func() error { return measureIdle(ctx, program, n) })
	}
	return p.Wait()
}

// quiet measures one installation without callers.
func measureIdle(ctx context.Context, program string, n clusterSize) error {
	s, err := site.New(ctx, program, n.hosts, n.databases)
	if err != nil {
		return err
	}
	defer s.Close()
	wait(ctx, joinTime)
	used, counts, err := usageOver(ctx, s, measureTime)
	if err != nil {
		return err
	}
	last, err := s.Usage(n.hosts - 1)
	if err != nil {
		return err
	}
	slices.SortFunc(used, func(a, b usage.Usage) int { return int(a.In + a.Out - b.In - b.Out) })
	middle, most := used[len(used)/2], used[len(used)-1]
	fmt.Printf(
		"control: hosts=%d databases=%d median-host: bytes-out-a-second=%.0f bytes-in-a-second=%.0f cpu-ms-a-second=%.2f; busiest-host: bytes-out-a-second=%.0f bytes-in-a-second=%.0f cpu-ms-a-second=%.2f; memory=%d\n",
		n.hosts, n.databases,
		perSecond(middle.Out, measureTime), perSecond(middle.In, measureTime), milliseconds(middle.CPU, measureTime),
		perSecond(most.Out, measureTime), perSecond(most.In, measureTime), milliseconds(most.CPU, measureTime), last.Memory,
	)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("control: hosts=%d databases=%d platform: %s a-second=%.2f\n", n.hosts, n.databases, name, float64(counts[name])/measureTime.Seconds())
	}
	return nil
}

// over returns what the hosts that run and the platform did in d.
func usageOver(ctx context.Context, s *site.Site, d time.Duration) ([]usage.Usage, map[string]int, error) {
	operations := s.Calls.Counts()
	before, err := s.Usages()
	if err != nil {
		return nil, nil, err
	}
	wait(ctx, d)
	after, err := s.Usages()
	if err != nil {
		return nil, nil, err
	}
	for i := range after {
		after[i] = after[i].Since(before[i])
	}
	return after, increases(operations, s.Calls.Counts()), nil
}

func increases(before, after map[string]int) map[string]int {
	out := map[string]int{}
	for name, n := range after {
		if n > before[name] {
			out[name] = n - before[name]
		}
	}
	return out
}

// death measures the platform's load when a host with stewardships dies, and
// the time until all its databases are written again.
func death(ctx context.Context, program string) error {
	s, err := site.New(ctx, program, deathHosts, deathDatabases)
	if err != nil {
		return err
	}
	defer s.Close()
	wait(ctx, deathJoinTime)
	victim, held, err := busiest(ctx, s)
	if err != nil {
		return err
	}
	before := s.Calls.Counts()
	begin := time.Now()
	s.Kill(victim)
	moved := time.Duration(0)
	for time.Since(begin) < deathMeasureTime {
		counts := increases(before, s.Calls.Counts())
		if moved == 0 && counts[putOperation+termClass] >= held {
			moved = time.Since(begin)
		}
		wait(ctx, pollPause)
	}
	fmt.Printf("death: hosts=%d databases=%d held-by-the-dead=%d all-terms-taken-after=%s\n", deathHosts, deathDatabases, held, moved.Round(time.Millisecond))
	counts := increases(before, s.Calls.Counts())
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("death: platform: %s in-%s=%d\n", name, deathMeasureTime, counts[name])
	}
	return nil
}

// busiest returns the host with the most stewardships, and how many; the
// first host is left out, since it is the seed of the others.
func busiest(ctx context.Context, s *site.Site) (victim, held int, err error) {
	counts := make([]int, deathHosts)
	for d := range deathDatabases {
		n, err := s.Steward(ctx, d)
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
