package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sourcegraph/conc/pool"

	"wasabislip.example/wasabislip/internal/slopes/clust"
	"wasabislip.example/wasabislip/internal/slopes/load"
	"wasabislip.example/wasabislip/internal/slopes/usage"
)

const (
	readStatement  = "/* wasabislip.route=browse */ SELECT 1"
	writeStatement = "/* wasabislip.route=settle */ SELECT put('k','1')"
	// settleTime is how long memory and load may settle before a measurement.
	settleTime   = time.Second
	loadDuration = 1500 * time.Millisecond
	// maxConcurrent bounds how many connections are opened or used at a time.
	maxConcurrent   = 32
	loadConnections = 8
)

// connections measures how much memory callers' connections take on one host,
// before and after a read on each.
func connections(ctx context.Context, program string) error {
	cluster, err := clust.New(ctx, program, 1, 1)
	if err != nil {
		return err
	}
	defer cluster.Close()
	wait(ctx, settleTime)
	before, err := cluster.Usage(0)
	if err != nil {
		return err
	}
	fmt.Printf("connections: callers=0 memory=%d\n", before.Memory)
	var open []*pgconn.PgConn
	for _, n := range []int{250, 500, 1000, 2000} {
		begin := time.Now()
		more, err := connect(ctx, cluster, n-len(open))
		if err != nil {
			return err
		}
		open = append(open, more...)
		opened := time.Since(begin)
		idle, err := usageAfterSettling(ctx, cluster)
		if err != nil {
			return err
		}
		if err := readOnEach(ctx, open); err != nil {
			return err
		}
		busy, err := usageAfterSettling(ctx, cluster)
		if err != nil {
			return err
		}
		fmt.Printf(
			"connections: callers=%d opened-in=%s idle-memory=%d bytes-a-caller=%d after-a-read-each=%d bytes-a-caller=%d\n",
			n, opened.Round(time.Millisecond), idle.Memory, (idle.Memory-before.Memory)/int64(n), busy.Memory, (busy.Memory-before.Memory)/int64(n),
		)
	}
	return printIdleCPU(ctx, cluster, len(open))
}

// printIdleCPU measures the processor time of n idle connections.
func printIdleCPU(ctx context.Context, cluster *clust.Cluster, n int) error {
	before, err := cluster.Usage(0)
	if err != nil {
		return err
	}
	wait(ctx, settleTime)
	after, err := cluster.Usage(0)
	if err != nil {
		return err
	}
	used := after.Since(before)
	fmt.Printf("connections: callers=%d idle-cpu-a-second=%s\n", n, (used.CPU / time.Duration(settleTime.Seconds())).Round(10*time.Microsecond))
	return nil
}

// usageAfterSettling returns the usage of the first host after settleTime.
func usageAfterSettling(ctx context.Context, cluster *clust.Cluster) (usage.Usage, error) {
	wait(ctx, settleTime)
	return cluster.Usage(0)
}

// connect opens n connections to the first host.
func connect(ctx context.Context, cluster *clust.Cluster, n int) ([]*pgconn.PgConn, error) {
	p := pool.NewWithResults[*pgconn.PgConn]().WithErrors().WithMaxGoroutines(maxConcurrent)
	for range n {
		p.Go(func() (*pgconn.PgConn, error) {
			return cluster.Connect(ctx, 0, cluster.Spec.Databases[0].Name)
		})
	}
	return p.Wait()
}

// readOnEach runs one read on every connection.
func readOnEach(ctx context.Context, open []*pgconn.PgConn) error {
	p := pool.New().WithErrors().WithMaxGoroutines(maxConcurrent)
	for _, c := range open {
		p.Go(func() error {
			_, err := c.Exec(ctx, readStatement).ReadAll()
			return err
		})
	}
	return p.Wait()
}

// path is one way for statements to reach the database.
type path struct {
	name string
	open func() (*pgconn.PgConn, error)
}

// statements measures the latency and the processor time of statements on three
// paths: directly to the primary, through the database's coordinator (steward in
// the output), and through another host, the entry host, which forwards them to
// the coordinator.
func statements(ctx context.Context, program string) error {
	cluster, err := clust.New(ctx, program, 3, 1)
	if err != nil {
		return err
	}
	defer cluster.Close()
	wait(ctx, settleTime)
	coordinator, err := cluster.Coordinator(ctx, 0)
	if err != nil {
		return err
	}
	entry := (coordinator + 1) % 3
	name := cluster.Spec.Databases[0].Name
	paths := []path{
		{
			name: "direct",
			open: func() (*pgconn.PgConn, error) { return cluster.ConnectPrimary(ctx, 0) },
		},
		{
			name: "at-steward",
			open: func() (*pgconn.PgConn, error) { return cluster.Connect(ctx, coordinator, name) },
		},
		{
			name: "through-entry",
			open: func() (*pgconn.PgConn, error) { return cluster.Connect(ctx, entry, name) },
		},
	}
	operationsBefore, begin := cluster.Operations.Counts(), time.Now()
	for _, statement := range []string{readStatement, writeStatement} {
		for _, rate := range []int{200, 400, 800} {
			for _, p := range paths {
				if err := measureLoad(ctx, cluster, p, statement, rate, coordinator, entry); err != nil {
					return err
				}
			}
			fmt.Printf("statements: rate=%d platform so far: %v in %s\n", rate, increases(operationsBefore, cluster.Operations.Counts()), time.Since(begin).Round(time.Second))
		}
	}
	return nil
}

// measureLoad runs statements at one rate and prints their latency and what they
// cost the hosts.
func measureLoad(ctx context.Context, cluster *clust.Cluster, p path, statement string, rate, coordinator, entry int) error {
	generator := &load.Generator{
		Statement: statement,
		Rate:      rate,
		Duration:  loadDuration,
	}
	for range loadConnections {
		c, err := p.open()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(ctx) }()
		generator.Connections = append(generator.Connections, c)
	}
	before, err := cluster.Usages()
	if err != nil {
		return err
	}
	begin := time.Now()
	generator.Run(ctx)
	took := time.Since(begin)
	after, err := cluster.Usages()
	if err != nil {
		return err
	}
	atCoordinator, atEntry := after[coordinator].Since(before[coordinator]), after[entry].Since(before[entry])
	failed, cause := generator.Failed()
	fmt.Printf(
		"statements: %.34q path=%s rate=%d done=%d failed=%d p50=%s p99=%s steward-cpu-ms-a-second=%.1f entry-cpu-ms-a-second=%.1f steward-bytes-a-second=%.0f\n",
		statement, p.name, rate, generator.Succeeded(), failed, round(generator.Percentile(50)), round(generator.Percentile(99)),
		milliseconds(atCoordinator.CPU, took), milliseconds(atEntry.CPU, took), perSecond(atCoordinator.In+atCoordinator.Out, took),
	)
	if cause != nil {
		fmt.Println("statements: last failure:", cause)
		fmt.Println("statements: refused by the entry host, by reason:", cluster.RateMetrics(entry))
	}
	return nil
}

func round(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}

// milliseconds returns the processor time in milliseconds per second of d.
func milliseconds(cpu, d time.Duration) float64 {
	return float64(cpu) / float64(time.Millisecond) / d.Seconds()
}
