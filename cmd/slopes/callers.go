package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sourcegraph/conc/pool"

	"wasabislip.example/wasabislip/internal/slopes/load"
	"wasabislip.example/wasabislip/internal/slopes/site"
	"wasabislip.example/wasabislip/internal/slopes/usage"
)

const (
	readStatement   = "/* wasabislip.route=browse */ SELECT 1"
	writeStatement  = "/* wasabislip.route=settle */ SELECT put('k','1')"
	settleTime      = time.Second
	loadDuration    = 1500 * time.Millisecond
	maxConcurrent   = 32
	loadConnections = 8
)

// connections measures the memory of callers' connections on one host.
func connections(ctx context.Context, program string) error {
	s, err := site.New(ctx, program, 1, 1)
	if err != nil {
		return err
	}
	defer s.Close()
	wait(ctx, settleTime)
	before, err := s.Usage(0)
	if err != nil {
		return err
	}
	fmt.Printf("connections: callers=0 memory=%d\n", before.Memory)
	var open []*pgconn.PgConn
	for _, n := range []int{250, 500, 1000, 2000} {
		begin := time.Now()
		more, err := connect(ctx, s, n-len(open))
		if err != nil {
			return err
		}
		open = append(open, more...)
		opened := time.Since(begin)
		idle, err := usageAfterSettling(ctx, s)
		if err != nil {
			return err
		}
		if err := readOnEach(ctx, open); err != nil {
			return err
		}
		busy, err := usageAfterSettling(ctx, s)
		if err != nil {
			return err
		}
		fmt.Printf(
			"connections: callers=%d opened-in=%s idle-memory=%d bytes-a-caller=%d after-a-read-each=%d bytes-a-caller=%d\n",
			n, opened.Round(time.Millisecond), idle.Memory, (idle.Memory-before.Memory)/int64(n), busy.Memory, (busy.Memory-before.Memory)/int64(n),
		)
	}
	return printIdleCPU(ctx, s, len(open))
}

// idleCost measures the processor time of connections that send nothing.
func printIdleCPU(ctx context.Context, s *site.Site, n int) error {
	before, err := s.Usage(0)
	if err != nil {
		return err
	}
	wait(ctx, settleTime)
	after, err := s.Usage(0)
	if err != nil {
		return err
	}
	used := after.Since(before)
	fmt.Printf("connections: callers=%d idle-cpu-a-second=%s\n", n, (used.CPU / time.Duration(settleTime.Seconds())).Round(10*time.Microsecond))
	return nil
}

func usageAfterSettling(ctx context.Context, s *site.Site) (usage.Usage, error) {
	wait(ctx, settleTime)
	return s.Usage(0)
}

func connect(ctx context.Context, s *site.Site, n int) ([]*pgconn.PgConn, error) {
	p := pool.NewWithResults[*pgconn.PgConn]().WithErrors().WithMaxGoroutines(maxConcurrent)
	for range n {
		p.Go(func() (*pgconn.PgConn, error) {
			return s.Connect(ctx, 0, s.Spec.Databases[0].Name)
		})
	}
	return p.Wait()
}

// each runs one read on every connection.
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

// path is one way of statements to the database.
type path struct {
	name string
	open func() (*pgconn.PgConn, error)
}

// statements measures time and processor time of statements directly, at the
// steward, and through another host.
func statements(ctx context.Context, program string) error {
	s, err := site.New(ctx, program, 3, 1)
	if err != nil {
		return err
	}
	defer s.Close()
	wait(ctx, settleTime)
	steward, err := s.Steward(ctx, 0)
	if err != nil {
		return err
	}
	entry := (steward + 1) % 3
	name := s.Spec.Databases[0].Name
	paths := []path{
		{
			name: "direct",
			open: func() (*pgconn.PgConn, error) { return s.Direct(ctx, 0) },
		},
		{
			name: "at-steward",
			open: func() (*pgconn.PgConn, error) { return s.Connect(ctx, steward, name) },
		},
		{
			name: "through-entry",
			open: func() (*pgconn.PgConn, error) { return s.Connect(ctx, entry, name) },
		},
	}
	operations, begin := s.Calls.Counts(), time.Now()
	for _, statement := range []string{readStatement, writeStatement} {
		for _, rate := range []int{200, 400, 800} {
			for _, p := range paths {
				if err := measureLoad(ctx, s, p, statement, rate, steward, entry); err != nil {
					return err
				}
			}
			fmt.Printf("statements: rate=%d platform so far: %v in %s\n", rate, increases(operations, s.Calls.Counts()), time.Since(begin).Round(time.Second))
		}
	}
	return nil
}

// loaded runs statements at one rate and prints what they cost.
func measureLoad(ctx context.Context, s *site.Site, p path, statement string, rate, steward, entry int) error {
	l := &load.Load{
		Statement: statement,
		Rate:      rate,
		Length:    loadDuration,
	}
	for range loadConnections {
		c, err := p.open()
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(ctx) }()
		l.Connections = append(l.Connections, c)
	}
	before, err := s.Usages()
	if err != nil {
		return err
	}
	begin := time.Now()
	l.Run(ctx)
	took := time.Since(begin)
	after, err := s.Usages()
	if err != nil {
		return err
	}
	atSteward, atEntry := after[steward].Since(before[steward]), after[entry].Since(before[entry])
	failed, cause := l.Failed()
	fmt.Printf(
		"statements: %.34q path=%s rate=%d done=%d failed=%d p50=%s p99=%s steward-cpu-ms-a-second=%.1f entry-cpu-ms-a-second=%.1f steward-bytes-a-second=%.0f\n",
		statement, p.name, rate, l.Done(), failed, round(l.At(50)), round(l.At(99)),
		milliseconds(atSteward.CPU, took), milliseconds(atEntry.CPU, took), perSecond(atSteward.In+atSteward.Out, took),
	)
	if cause != nil {
		fmt.Println("statements: last failure:", cause)
		fmt.Println("statements: refused by the entry host, by reason:", s.Refusals(entry))
	}
	return nil
}

func round(d time.Duration) time.Duration {
	return d.Round(10 * time.Microsecond)
}

// milliseconds returns processor time a second over d, milliseconds.
func milliseconds(cpu, d time.Duration) float64 {
	return float64(cpu) / float64(time.Millisecond) / d.Seconds()
}
