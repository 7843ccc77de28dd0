// Package load runs statements at a constant rate and records their latencies.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sourcegraph/conc/pool"
)

const (
	maxLatency        = int64(10 * time.Second)
	significantDigits = 3
)

// Generator runs one statement repeatedly. It is open loop: when each statement
// begins depends on the rate and not on earlier answers, unless its connection
// is still busy.
type Generator struct {
	// Connections run the statements. Each runs one at a time.
	Connections []*pgconn.PgConn
	// Statement is the text of the statement.
	Statement string
	// Rate is how many statements per second are begun on all connections
	// together.
	Rate int
	// Duration is how long statements are begun.
	Duration time.Duration

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	failed    int
	lastError error
}

// Run runs the statements and returns when the last one has ended.
func (g *Generator) Run(ctx context.Context) {
	g.latencies = hdrhistogram.New(1, maxLatency, significantDigits)
	interval := time.Duration(float64(time.Second) * float64(len(g.Connections)) / float64(g.Rate))
	begin := time.Now()
	p := pool.New()
	for n, c := range g.Connections {
		p.Go(func() {
			next := begin.Add(interval * time.Duration(n) / time.Duration(len(g.Connections)))
			for ; next.Before(begin.Add(g.Duration)); next = next.Add(interval) {
				time.Sleep(time.Until(next))
				g.runOne(ctx, c)
			}
		})
	}
	p.Wait()
}

// runOne runs one statement and records its latency or its error.
func (g *Generator) runOne(ctx context.Context, c *pgconn.PgConn) {
	start := time.Now()
	_, err := c.Exec(ctx, g.Statement).ReadAll()
	took := time.Since(start)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.failed++
		g.lastError = err
		return
	}
	_ = g.latencies.RecordValue(int64(took))
}

// Succeeded returns how many statements succeeded.
func (g *Generator) Succeeded() int64 {
	return g.latencies.TotalCount()
}

// Failed returns how many statements failed, and the last error.
func (g *Generator) Failed() (int, error) {
	return g.failed, g.lastError
}

// Percentile returns the given percentile of the latency of the statements that
// succeeded.
func (g *Generator) Percentile(percent float64) time.Duration {
	return time.Duration(g.latencies.ValueAtQuantile(percent))
}
