package proofs_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

const (
	// codeDraining is the SQLSTATE that ends a session on a host that drains.
	codeDraining = "57P01"
	// pollInterval is how often the balancer asks whether a host is ready.
	pollInterval = time.Second
)

// balancer polls which hosts are ready, as the platform's load balancer does.
type balancer struct {
	cluster *cluster
	web     *http.Client

	mu    sync.Mutex
	ready []int
}

func newBalancer(cl *cluster) *balancer {
	b := &balancer{
		cluster: cl,
		web: &http.Client{
			Transport: &http.Transport{
				DialContext:       cl.net.Dialer(callerIP),
				DisableKeepAlives: true,
			},
			Timeout: pollInterval,
		},
	}
	b.poll()
	return b
}

// fetch returns a page of the host at index i, or an empty text if that fails.
func (b *balancer) fetch(i int, path string) string {
	resp, err := b.web.Get("http://" + net.JoinHostPort(b.cluster.Hosts[i].Address, "9090") + path)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

// poll asks each host once whether it is ready.
func (b *balancer) poll() {
	var ready []int
	for i := range b.cluster.Hosts {
		if b.fetch(i, "/readyz") != "" {
			ready = append(ready, i)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// run polls until end.
func (b *balancer) run(end time.Time) {
	for time.Now().Before(end) {
		b.poll()
		time.Sleep(pollInterval)
	}
}

// pick returns the index of a random host that is ready, or 0 if none is.
func (b *balancer) pick(rng *rand.Rand) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return 0
	}
	return b.ready[rng.IntN(len(b.ready))]
}

// listClient appends to a list of its own and reads it, in transactions and
// without, on connections to hosts that the balancer picks.
type listClient struct {
	balancer *balancer
	n        int
	rng      *rand.Rand
	conn     *pgx.Conn
	writes   int
	acked    []string
	unknown  map[string]bool

	// How the operations ended: with an answer, with a connection that the host
	// had closed for its drain, with an error that says that the operation did not
	// run, or with an unknown outcome.
	served       int
	reconnects   int
	refused      int
	disconnected int

	worstLatency time.Duration
	errorCounts  map[string]int
}

func newListClient(b *balancer, n int) *listClient {
	return &listClient{
		balancer:    b,
		n:           n,
		rng:         rand.New(rand.NewPCG(11, uint64(n))),
		unknown:     map[string]bool{},
		errorCounts: map[string]int{},
	}
}

// key returns the name of the list.
func (l *listClient) key() string {
	return fmt.Sprintf("list-%d", l.n)
}

// run performs operations until end, and opens a new connection now and then.
func (l *listClient) run(ctx context.Context, end time.Time) {
	for time.Now().Before(end) {
		if l.rng.IntN(30) == 0 {
			l.disconnect(ctx)
		}
		bounded, cancel := context.WithTimeout(ctx, opTimeout)
		l.operate(bounded)
		cancel()
		time.Sleep(time.Duration(l.rng.Int64N(int64(thinkTime))))
	}
	l.disconnect(ctx)
}

// disconnect closes the connection, if there is one.
func (l *listClient) disconnect(ctx context.Context) {
	if l.conn != nil {
		_ = l.conn.Close(ctx)
		l.conn = nil
	}
}

// operate runs one operation and counts how it ended.
func (l *listClient) operate(ctx context.Context) {
	begin := time.Now()
	value, err := l.readOrAppend(ctx)
	var pg *pgconn.PgError
	switch {
	case err == nil:
		l.served++
		l.worstLatency = max(l.worstLatency, time.Since(begin))
		if value != "" {
			l.acked = append(l.acked, value)
		}
		return
	case errors.As(err, &pg) && pg.Code == codeDraining, pg == nil && pgconn.SafeToRetry(err):
		// In the second case, the connection was found closed after it had been idle.
		l.reconnects++
	case pg != nil && pg.Code != codeUnknown:
		l.refused++
		l.errorCounts[err.Error()]++
	default:
		l.disconnected++
		l.errorCounts[err.Error()]++
		l.unknown[value] = true
	}
	l.disconnect(ctx)
}

// readOrAppend reads the list, or appends a value in one statement or in a
// transaction. It returns the value, or an empty text for a read.
func (l *listClient) readOrAppend(ctx context.Context) (string, error) {
	if l.conn == nil || l.conn.IsClosed() {
		conn, err := l.balancer.cluster.connect(ctx, l.balancer.pick(l.rng), "orchid-market", "settle")
		if err != nil {
			return "", err
		}
		l.conn = conn
	}
	if l.rng.IntN(3) == 0 {
		_, err := queryOn(ctx, l.conn, "/* wasabislip.route=browse */ SELECT elements('"+l.key()+"')")
		return "", err
	}
	l.writes++
	value := fmt.Sprintf("%d.%d", l.n, l.writes)
	statement := "SELECT append('" + l.key() + "','" + value + "')"
	if l.rng.IntN(2) == 0 {
		_, err := queryOn(ctx, l.conn, statement)
		return value, err
	}
	if _, err := l.conn.PgConn().Exec(ctx, "BEGIN").ReadAll(); err != nil {
		return value, err
	}
	if _, err := queryOn(ctx, l.conn, statement); err != nil {
		return value, err
	}
	time.Sleep(time.Duration(l.rng.Int64N(int64(thinkTime))))
	_, err := l.conn.PgConn().Exec(ctx, "COMMIT").ReadAll()
	return value, err
}

// check asserts that the list contains each acknowledged value once, no value
// twice, and no value of another client.
func (l *listClient) check(t *testing.T) {
	t.Helper()
	is := is.New(t)
	text, err := l.balancer.cluster.query(l.balancer.pick(l.rng), "audit", "SELECT elements('"+l.key()+"')")
	is.NoErr(err)
	seen := map[string]int{}
	for value := range strings.SplitSeq(text, ",") {
		seen[value]++
		is.True(strings.HasPrefix(value, fmt.Sprintf("%d.", l.n))) // own values only
	}
	for _, value := range l.acked {
		is.Equal(seen[value], 1) // an acknowledged value is in the list once
		delete(seen, value)
	}
	for value, n := range seen {
		is.True(n == 1 && l.unknown[value]) // any other value is of a write of unknown outcome
	}
}

// listClients are clients that run at the same time.
type listClients struct {
	clients []*listClient
}

// runListClients runs six clients while f changes the cluster or injects faults,
// and then checks their lists.
func runListClients(t *testing.T, cl *cluster, length time.Duration, f func(b *balancer)) *listClients {
	t.Helper()
	b := newBalancer(cl)
	c := &listClients{}
	end := time.Now().Add(length)
	var group conc.WaitGroup
	for n := range 6 {
		l := newListClient(b, n)
		c.clients = append(c.clients, l)
		group.Go(func() { l.run(cl.ctx, end) })
	}
	group.Go(func() { b.run(end) })
	f(b)
	group.Wait()
	for _, l := range c.clients {
		l.check(t)
	}
	t.Logf("served %d, asked to reconnect %d, refused %d, disconnected %d, worst latency %s", c.sum(func(l *listClient) int { return l.served }), c.reconnects(), c.refused(), c.disconnected(), c.worstLatency())
	for _, l := range c.clients {
		for reason, n := range l.errorCounts {
			t.Logf("client %d: %d times %s", l.n, n, reason)
		}
	}
	return c
}

func (c *listClients) sum(f func(l *listClient) int) int {
	n := 0
	for _, l := range c.clients {
		n += f(l)
	}
	return n
}

func (c *listClients) reconnects() int { return c.sum(func(l *listClient) int { return l.reconnects }) }

func (c *listClients) refused() int { return c.sum(func(l *listClient) int { return l.refused }) }

func (c *listClients) disconnected() int {
	return c.sum(func(l *listClient) int { return l.disconnected })
}

func (c *listClients) worstLatency() time.Duration {
	worst := time.Duration(0)
	for _, l := range c.clients {
		worst = max(worst, l.worstLatency)
	}
	return worst
}
