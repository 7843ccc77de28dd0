// Package load sends requests to a cluster at a fixed average rate.
package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/bench/clust"
)

// SQLSTATE codes of errors that callers get.
const (
	codeOverRate = "53400"
	codeDraining = "57P01"
	codeUnknown  = "08007"
)

// Generator generates the requests of one workspace to one database. Set the
// fields before the counters before Run.
type Generator struct {
	// Workspace and Route are the workspace and route that callers connect with.
	Workspace string
	Route     string
	// Database is the index of the database.
	Database int
	// Rate is the average number of requests per second of all workers together.
	Rate float64
	// Workers is the number of workers, with a connection each, that share the
	// rate.
	Workers int
	// Seed determines the arrival times and the choices of hosts.
	Seed uint64
	// ChooseHost returns the index of the host for a new connection.
	ChooseHost func(rng *rand.Rand) int
	// NextStatement returns a worker's statement at index n.
	NextStatement func(worker, n int) string
	// OnResult, if not nil, is called after each request, with whether it
	// succeeded and whether it was refused because the workspace was over its rate.
	OnResult func(worker, n int, ok, overRate bool)

	// Offered counts all requests that were due. Succeeded counts those that
	// succeeded, and OverRate those refused because the workspace was over its
	// rate. Draining counts those that were refused by a host or instance that
	// shuts down, and those that were not sent because no connection could be
	// opened or it was found closed. Unknown counts errors after which a statement
	// may or may not have taken effect, Disconnected connections that ended without
	// an answer, and Other all other errors.
	Offered, Succeeded, OverRate, Draining, Unknown, Disconnected, Other atomic.Int64
}

// Run sends requests until end.
func (g *Generator) Run(ctx context.Context, c *clust.Cluster, end time.Time) {
	var group conc.WaitGroup
	for n := range g.Workers {
		group.Go(func() { g.work(ctx, c, n, end) })
	}
	group.Wait()
}

// work runs one worker. Its requests are due at times that don't depend on the
// answers: if one takes long, the next are sent at once, so that the rate stays
// as it is. Requests that are due but can't be sent before end count as offered
// only.
func (g *Generator) work(ctx context.Context, c *clust.Cluster, worker int, end time.Time) {
	rng := rand.New(rand.NewPCG(g.Seed, uint64(worker)))
	var conn *pgx.Conn
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() * float64(g.Workers) / g.Rate * float64(time.Second)))
		if due.After(end) {
			break
		}
		g.Offered.Add(1)
		if time.Now().After(end) {
			continue
		}
		time.Sleep(time.Until(due))
		conn = g.request(ctx, c, conn, rng, worker, n)
	}
	if conn != nil {
		conn.Close(ctx)
	}
}

// request runs one statement, on a new connection if conn is nil or closed, and
// returns the connection for the next one.
func (g *Generator) request(ctx context.Context, c *clust.Cluster, conn *pgx.Conn, rng *rand.Rand, worker, n int) *pgx.Conn {
	var err error
	if conn == nil || conn.IsClosed() {
		conn, err = c.Connect(ctx, g.ChooseHost(rng), g.Database, g.Workspace, g.Route)
		if err != nil {
			g.Draining.Add(1)
			return nil
		}
	}
	_, err = clust.Query(ctx, conn, g.NextStatement(worker, n))
	g.count(err)
	if g.OnResult != nil {
		g.OnResult(worker, n, err == nil, code(err) == codeOverRate)
	}
	return conn
}

// count counts the outcome of one request.
func (g *Generator) count(err error) {
	if err == nil {
		g.Succeeded.Add(1)
		return
	}
	if pgconn.SafeToRetry(err) {
		g.Draining.Add(1)
		return
	}
	switch code(err) {
	case codeOverRate:
		g.OverRate.Add(1)
	case codeDraining:
		g.Draining.Add(1)
	case codeUnknown:
		g.Unknown.Add(1)
	case "":
		g.Disconnected.Add(1)
	default:
		g.Other.Add(1)
	}
}

// code returns the SQLSTATE of err, or an empty string if it has none.
func code(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}
