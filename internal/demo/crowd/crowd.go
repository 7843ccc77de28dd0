// Package crowd is the mixed load of the demonstration: members of several
// workspaces that append to lists of their own and read them.
package crowd

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

	"wasabislip.example/wasabislip/internal/demo/book"
)

const (
	statementTimeout    = 8 * time.Second
	maxThinkTime    = 20 * time.Millisecond
	checkTimeout = 30 * time.Second
	// roam is after how many operations, on average, a member connects to
	// another host.
	reconnectEvery = 50

	stateOutcomeUnknown  = "08007"
	stateAdminShutdown = "57P01"
)

// connector opens a member's connection to a host that is ready.
type connector interface {
	Connect(ctx context.Context, workspace, route, session string) (*pgx.Conn, error)
}

// Crowd runs members and counts what they were told.
type Crowd struct {
	connector   connector
	users []*user

	mu      sync.Mutex
	served  map[string]int
	refused int
	unknown int
	lastWrite   time.Time
	longestGap     time.Duration
	violation   error
}

// member is one caller; it has a connection for each route.
type user struct {
	generator     *Crowd
	workspace string
	history      book.Book
	conns     map[string]*pgx.Conn
}

// New returns a crowd with so many members in each workspace.
func New(hosts connector, workspaces []string, each int) *Crowd {
	c := &Crowd{
		connector:  hosts,
		served: map[string]int{},
	}
	for _, w := range workspaces {
		c.served[w] = 0
		for n := range each {
			c.users = append(c.users, &user{
				generator:     c,
				workspace: w,
				history: book.Book{
					Member: fmt.Sprintf("%s-%d", w, n+1),
				},
				conns: map[string]*pgx.Conn{},
			})
		}
	}
	return c
}

// Ready waits until every workspace was answered once, or ctx ends.
func (c *Crowd) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for _, m := range c.users {
		if _, err := m.readOnPrimary(ctx); err != nil {
			return fmt.Errorf("%s was not served: %w", m.workspace, err)
		}
	}
	return nil
}

// Run lets the members work until ctx ends. Their last operations end too.
func (c *Crowd) Run(ctx context.Context) {
	c.mu.Lock()
	c.lastWrite = time.Now()
	c.mu.Unlock()
	var group conc.WaitGroup
	for _, m := range c.users {
		group.Go(func() { m.run(ctx) })
	}
	group.Wait()
}

// Worst returns the workspace that was served least since the last call, and
// how many operations it got.
func (c *Crowd) Worst() (string, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worst, least := "", 0
	for w, n := range c.served {
		if worst == "" || n < least {
			worst, least = w, n
		}
		c.served[w] = 0
	}
	return worst, least
}

// Refused returns how many requests were refused, all within their rate, and
// of how many the outcome is unknown.
func (c *Crowd) Refused() (refused, unknown int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused, c.unknown
}

// Gap returns the longest time without a write acknowledged to any member.
func (c *Crowd) Gap() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longestGap
}

// Check reads every list on its primary and compares it with what its member
// was told.
func (c *Crowd) Check(ctx context.Context) (acked int, err error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if c.violation != nil {
		return 0, c.violation
	}
	for _, m := range c.users {
		list, err := m.readOnPrimary(ctx)
		if err != nil {
			return acked, fmt.Errorf("the list of %s could not be read: %w", m.history.Member, err)
		}
		if err := m.history.Check(list); err != nil {
			return acked, err
		}
		acked += m.history.Count()
	}
	return acked, nil
}

func (m *user) run(ctx context.Context) {
	lasting := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		if rand.IntN(reconnectEvery) == 0 {
			m.disconnect(lasting)
		}
		bounded, cancel := context.WithTimeout(lasting, statementTimeout)
		if rand.IntN(4) == 0 {
			m.appendNext(bounded)
		} else {
			m.readAndCheck(bounded)
		}
		cancel()
		time.Sleep(rand.N(maxThinkTime))
	}
	m.disconnect(lasting)
}

// append adds the next value to the member's list.
func (m *user) appendNext(ctx context.Context) {
	value := m.history.Next()
	_, err := m.query(ctx, "settle", "SELECT append('"+m.history.Member+"','"+value+"')")
	switch m.generator.recordOutcome(m.workspace, err) {
	case acknowledged:
		m.history.Acked(value)
		m.generator.recordWrite()
	case outcomeUnknown:
		m.history.Unknown(value)
	}
}

// look reads the member's list and checks that it holds its own writes.
func (m *user) readAndCheck(ctx context.Context) {
	list, err := m.query(ctx, "browse", "SELECT elements('"+m.history.Member+"')")
	if m.generator.recordOutcome(m.workspace, err) != acknowledged {
		return
	}
	if err := m.history.Check(list); err != nil {
		m.generator.mu.Lock()
		defer m.generator.mu.Unlock()
		if m.generator.violation == nil {
			m.generator.violation = err
		}
	}
}

// list reads the member's list on the primary, trying until ctx ends.
func (m *user) readOnPrimary(ctx context.Context) (string, error) {
	for {
		list, err := m.query(ctx, "audit", "SELECT elements('"+m.history.Member+"')")
		if err == nil || ctx.Err() != nil {
			m.disconnect(ctx)
			return list, err
		}
		time.Sleep(time.Second)
	}
}

func (m *user) query(ctx context.Context, route, statement string) (string, error) {
	c := m.conns[route]
	if c == nil || c.IsClosed() {
		var err error
		if c, err = m.generator.connector.Connect(ctx, m.workspace, route, m.history.Member); err != nil {
			return "", err
		}
		m.conns[route] = c
	}
	results, err := c.PgConn().Exec(ctx, statement).ReadAll()
	if err != nil {
		_ = c.Close(ctx)
		delete(m.conns, route)
		return "", err
	}
	var texts []string
	for _, row := range results[0].Rows {
		texts = append(texts, string(row[0]))
	}
	return strings.Join(texts, ","), nil
}

func (m *user) disconnect(ctx context.Context) {
	for route, c := range m.conns {
		_ = c.Close(ctx)
		delete(m.conns, route)
	}
}

// outcome is what a member was told.
type outcome int

const (
	acknowledged outcome = iota
	notRun
	outcomeUnknown
)

// count records the outcome of one request. A caller that was told to connect
// elsewhere was not refused.
func (c *Crowd) recordOutcome(workspace string, err error) outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	var pg *pgconn.PgError
	switch {
	case err == nil:
		c.served[workspace]++
		return acknowledged
	case errors.As(err, &pg) && pg.Code == stateAdminShutdown, pg == nil && pgconn.SafeToRetry(err):
		return notRun
	case pg != nil && pg.Code != stateOutcomeUnknown:
		c.refused++
		return notRun
	}
	c.unknown++
	return outcomeUnknown
}

// confirmed records that a write was acknowledged now.
func (c *Crowd) recordWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.longestGap = max(c.longestGap, now.Sub(c.lastWrite))
	c.lastWrite = now
}
