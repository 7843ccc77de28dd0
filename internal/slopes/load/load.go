// Package load runs statements at a steady rate and keeps their times.
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
	maxLatency = int64(10 * time.Second)
	significantDigits  = 3
)

// Load is one run of statements.
type Load struct {
	// Connections run the statements, each one at a time.
	Connections []*pgconn.PgConn
	// Statement is the text of each.
	Statement string
	// Rate is how many statements all connections begin a second.
	Rate int
	// Length is how long they are begun.
	Length time.Duration

	mu     sync.Mutex
	latencies  *hdrhistogram.Histogram
	failed int
	lastError  error
}

// Run runs the statements and returns when the last one has ended.
func (l *Load) Run(ctx context.Context) {
	l.latencies = hdrhistogram.New(1, maxLatency, significantDigits)
	gap := time.Duration(float64(time.Second) * float64(len(l.Connections)) / float64(l.Rate))
	begin := time.Now()
	p := pool.New()
	for n, c := range l.Connections {
		p.Go(func() {
			at := begin.Add(gap * time.Duration(n) / time.Duration(len(l.Connections)))
			for ; at.Before(begin.Add(l.Length)); at = at.Add(gap) {
				time.Sleep(time.Until(at))
				l.runOne(ctx, c)
			}
		})
	}
	p.Wait()
}

func (l *Load) runOne(ctx context.Context, c *pgconn.PgConn) {
	start := time.Now()
	_, err := c.Exec(ctx, l.Statement).ReadAll()
	took := time.Since(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
		l.lastError = err
		return
	}
	_ = l.latencies.RecordValue(int64(took))
}

// Done returns how many statements succeeded.
func (l *Load) Done() int64 {
	return l.latencies.TotalCount()
}

// Failed returns how many failed, and the last one's error.
func (l *Load) Failed() (int, error) {
	return l.failed, l.lastError
}

// At returns the time under which that share of the statements ended, percent.
func (l *Load) At(percent float64) time.Duration {
	return time.Duration(l.latencies.ValueAtQuantile(percent))
}
