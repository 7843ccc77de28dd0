// Package load generates the mixed load of the demonstration. Simulated users of
// several workspaces append to lists of their own and read them.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/demo/hist"
)

const (
	statementTimeout = 8 * time.Second
	maxThinkTime     = 20 * time.Millisecond
	checkTimeout     = 30 * time.Second
	// reconnectEvery is after how many operations, on average, a user connects
	// again, usually to another host.
	reconnectEvery = 50

	// SQLSTATE codes of the errors that don't count as refusals.
	stateOutcomeUnknown = "08007"
	stateAdminShutdown  = "57P01"
)

// connector opens connections to hosts that are ready.
type connector interface {
	// Connect opens a connection whose statements have this route and session.
	Connect(ctx context.Context, workspace, route, session string) (*pgx.Conn, error)
}

// Generator runs the users and counts the outcomes of their operations.
type Generator struct {
	connector connector
	users     []*user

	mu         sync.Mutex
	served     map[string]int
	refused    int
	unknown    int
	lastWrite  time.Time
	longestGap time.Duration
	violation  error
}

// user is one simulated user. It has a connection for each route.
type user struct {
	generator *Generator
	workspace string
	history   hist.History
	conns     map[string]*pgx.Conn
}

// New returns a generator with perWorkspace users in each workspace.
func New(c connector, workspaces []string, perWorkspace int) *Generator {
	g := &Generator{
		connector: c,
		served:    map[string]int{},
	}
	for _, w := range workspaces {
		g.served[w] = 0
		for n := range perWorkspace {
			g.users = append(g.users, &user{
				generator: g,
				workspace: w,
				history: hist.History{
					User: fmt.Sprintf("%s-%d", w, n+1),
				},
				conns: map[string]*pgx.Conn{},
			})
		}
	}
	return g
}

// WaitReady waits until every user's list can be read, or ctx ends.
func (g *Generator) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for _, u := range g.users {
		if _, err := u.readOnPrimary(ctx); err != nil {
			return fmt.Errorf("%s was not served: %w", u.workspace, err)
		}
	}
	return nil
}

// Run runs the users until ctx ends, and waits for their last operations.
func (g *Generator) Run(ctx context.Context) {
	g.mu.Lock()
	g.lastWrite = time.Now()
	g.mu.Unlock()
	var group conc.WaitGroup
	for _, u := range g.users {
		group.Go(func() { u.run(ctx) })
	}
	group.Wait()
}

// LeastServed returns the workspace with the fewest successful operations since
// the last call, and their number.
func (g *Generator) LeastServed() (string, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	workspace, least := "", 0
	for w, n := range g.served {
		if workspace == "" || n < least {
			workspace, least = w, n
		}
		g.served[w] = 0
	}
	return workspace, least
}

// FailureCounts returns how many operations were refused and how many have an
// unknown outcome. All operations stay within their workspace's rate.
func (g *Generator) FailureCounts() (refused, unknown int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused, g.unknown
}

// LongestWriteGap returns the longest time in which no user's write was
// acknowledged.
func (g *Generator) LongestWriteGap() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longestGap
}

// Check reads every list on the primary and compares it with its user's history.
// It returns the number of acknowledged writes.
func (g *Generator) Check(ctx context.Context) (acked int, err error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if g.violation != nil {
		return 0, g.violation
	}
	for _, u := range g.users {
		list, err := u.readOnPrimary(ctx)
		if err != nil {
			return acked, fmt.Errorf("the list of %s could not be read: %w", u.history.User, err)
		}
		if err := u.history.Check(list); err != nil {
			return acked, err
		}
		acked += u.history.Count()
	}
	return acked, nil
}

// run runs operations until ctx ends. The operations don't end with ctx, so that
// the last one's outcome is known.
func (u *user) run(ctx context.Context) {
	uncancelled := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		if rand.IntN(reconnectEvery) == 0 {
			u.disconnect(uncancelled)
		}
		opCtx, cancel := context.WithTimeout(uncancelled, statementTimeout)
		if rand.IntN(4) == 0 {
			u.appendNext(opCtx)
		} else {
			u.readAndCheck(opCtx)
		}
		cancel()
		time.Sleep(rand.N(maxThinkTime))
	}
	u.disconnect(uncancelled)
}

// appendNext appends the next value to the user's list.
func (u *user) appendNext(ctx context.Context) {
	value := u.history.NextValue()
	_, err := u.query(ctx, "settle", "SELECT append('"+u.history.User+"','"+value+"')")
	switch u.generator.recordOutcome(u.workspace, err) {
	case acknowledged:
		u.history.RecordAck(value)
		u.generator.recordWrite()
	case outcomeUnknown:
		u.history.RecordUnknown(value)
	}
}

// readAndCheck reads the user's list with session consistency and checks that it
// holds the user's own writes.
func (u *user) readAndCheck(ctx context.Context) {
	list, err := u.query(ctx, "browse", "SELECT elements('"+u.history.User+"')")
	if u.generator.recordOutcome(u.workspace, err) != acknowledged {
		return
	}
	if err := u.history.Check(list); err != nil {
		u.generator.mu.Lock()
		defer u.generator.mu.Unlock()
		if u.generator.violation == nil {
			u.generator.violation = err
		}
	}
}

// readOnPrimary reads the user's list on the primary and retries until ctx ends.
func (u *user) readOnPrimary(ctx context.Context) (string, error) {
	for {
		list, err := u.query(ctx, "audit", "SELECT elements('"+u.history.User+"')")
		if err == nil || ctx.Err() != nil {
			u.disconnect(ctx)
			return list, err
		}
		time.Sleep(time.Second)
	}
}

// query runs a statement on the route's connection, which it opens if there is
// none, and returns the rows joined by commas.
func (u *user) query(ctx context.Context, route, statement string) (string, error) {
	c := u.conns[route]
	if c == nil || c.IsClosed() {
		var err error
		if c, err = u.generator.connector.Connect(ctx, u.workspace, route, u.history.User); err != nil {
			return "", err
		}
		u.conns[route] = c
	}
	results, err := c.PgConn().Exec(ctx, statement).ReadAll()
	if err != nil {
		_ = c.Close(ctx)
		delete(u.conns, route)
		return "", err
	}
	var texts []string
	for _, row := range results[0].Rows {
		texts = append(texts, string(row[0]))
	}
	return strings.Join(texts, ","), nil
}

// disconnect closes all connections of the user.
func (u *user) disconnect(ctx context.Context) {
	for route, c := range u.conns {
		_ = c.Close(ctx)
		delete(u.conns, route)
	}
}

// outcome is the outcome of an operation as its user knows it.
type outcome int

const (
	acknowledged outcome = iota
	notRun
	outcomeUnknown
)

// recordOutcome counts one operation and returns its outcome. An operation that
// failed because the host is draining, or before it was sent, counts neither as
// refused nor as unknown.
func (g *Generator) recordOutcome(workspace string, err error) outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	var pg *pgconn.PgError
	switch {
	case err == nil:
		g.served[workspace]++
		return acknowledged
	case errors.As(err, &pg) && pg.Code == stateAdminShutdown, pg == nil && pgconn.SafeToRetry(err):
		return notRun
	case pg != nil && pg.Code != stateOutcomeUnknown:
		g.refused++
		return notRun
	}
	g.unknown++
	return outcomeUnknown
}

// recordWrite updates the longest gap when a write is acknowledged.
func (g *Generator) recordWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.longestGap = max(g.longestGap, now.Sub(g.lastWrite))
	g.lastWrite = now
}
