package proofs_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const (
	// opTimeout is the timeout of one operation of a caller.
	opTimeout = 8 * time.Second
	// thinkTime is the longest pause between two operations. Each pause is random.
	thinkTime = 200 * time.Millisecond
	// meanOpsPerConnection is how many operations a caller runs, on average, before
	// it closes its connections. It then connects to random hosts.
	meanOpsPerConnection = 6

	// codeUnknown is the SQLSTATE of a statement of unknown outcome.
	codeUnknown = "08007"
)

// caller runs one operation after the other, on connections to random hosts.
// With a session name, its connections belong to one session.
type caller struct {
	cluster  *cluster
	n        int
	rng      *rand.Rand
	recorder *recorder
	session  string
	conns    map[string]*pgx.Conn
	writes   int
}

func newCaller(cl *cluster, n int, seed uint64, r *recorder) *caller {
	return &caller{
		cluster:  cl,
		n:        n,
		rng:      rand.New(rand.NewPCG(seed, uint64(n))),
		recorder: r,
		conns:    map[string]*pgx.Conn{},
	}
}

// run calls operate until end.
func (c *caller) run(ctx context.Context, end time.Time, operate func(ctx context.Context, c *caller)) {
	for time.Now().Before(end) && ctx.Err() == nil {
		if c.rng.IntN(meanOpsPerConnection) == 0 {
			c.disconnect(ctx)
		}
		bounded, cancel := context.WithTimeout(ctx, opTimeout)
		operate(bounded, c)
		cancel()
		time.Sleep(time.Duration(c.rng.Int64N(int64(thinkTime))))
	}
	c.disconnect(ctx)
}

// disconnect closes the caller's connections.
func (c *caller) disconnect(ctx context.Context) {
	for routeName, conn := range c.conns {
		closing, cancel := context.WithTimeout(ctx, time.Second)
		_ = conn.Close(closing)
		cancel()
		delete(c.conns, routeName)
	}
}

// conn returns the caller's connection to a random host, opened if need be. A
// named session has one connection for each route; without a name, the session
// is one connection, whose default route is settle.
func (c *caller) conn(ctx context.Context, routeName string) (*pgx.Conn, error) {
	if c.session == "" {
		routeName = "settle"
	}
	if conn := c.conns[routeName]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	var params []string
	if c.session != "" {
		params = append(params, "wasabislip.session", c.session)
	}
	conn, err := c.cluster.connect(ctx, c.rng.IntN(len(c.cluster.Hosts)), "orchid-market", routeName, params...)
	if err != nil {
		return nil, err
	}
	c.conns[routeName] = conn
	return conn, nil
}

// query runs a statement on a route and returns its text and its outcome. The
// outcome is unknown if the host says so, or if the connection broke after the
// statement may have been sent.
func (c *caller) query(ctx context.Context, routeName, statement string) (string, output) {
	conn, err := c.conn(ctx, routeName)
	if err != nil {
		return "", output{
			failed: true,
		}
	}
	text, err := queryOn(ctx, conn, "/* wasabislip.route="+routeName+" */ "+statement)
	if err == nil {
		return text, output{}
	}
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return "", output{
			unknown: pg.Code == codeUnknown,
			failed:  pg.Code != codeUnknown,
		}
	}
	safe := pgconn.SafeToRetry(err)
	return "", output{
		unknown: !safe,
		failed:  safe,
	}
}

// useRegister writes or reads a key that no other caller writes.
func useRegister(ctx context.Context, c *caller) {
	key := "own-" + strconv.Itoa(c.n)
	if c.rng.IntN(3) == 0 {
		c.writes++
		value := strconv.Itoa(c.writes)
		in := input{
			op:    opPut,
			key:   key,
			value: value,
		}
		c.recorder.record(c.n, in, func() output {
			_, out := c.query(ctx, "settle", "SELECT put('"+key+"','"+value+"')")
			return out
		})
		return
	}
	in := input{
		op:  opGet,
		key: key,
	}
	c.recorder.record(c.n, in, func() output {
		value, out := c.query(ctx, "browse", "SELECT get('"+key+"')")
		out.value = value
		out.failed = out.failed || out.unknown
		return out
	})
}

// useList appends to a list that several callers share, or reads it on the
// primary.
func useList(ctx context.Context, c *caller) {
	key := "list-" + strconv.Itoa(c.n%2)
	if c.rng.IntN(2) == 0 {
		c.writes++
		value := strconv.Itoa(c.n) + "." + strconv.Itoa(c.writes)
		in := input{
			op:    opAppend,
			key:   key,
			value: value,
		}
		c.recorder.record(c.n, in, func() output {
			_, out := c.query(ctx, "settle", "SELECT append('"+key+"','"+value+"')")
			return out
		})
		return
	}
	in := input{
		op:  opElements,
		key: key,
	}
	c.recorder.record(c.n, in, func() output {
		text, out := c.query(ctx, "audit", "SELECT elements('"+key+"')")
		out.failed = out.failed || out.unknown
		if text != "" {
			out.elements = strings.Split(text, ",")
		}
		return out
	})
}

// accounts are the accounts of the ledger. Each starts with openingBalance.
var accounts = []string{"shop", "salon", "household"}

const openingBalance = 1000

// useLedger transfers an amount between two accounts, or reads all balances.
func useLedger(ctx context.Context, c *caller) {
	if c.rng.IntN(2) == 0 {
		from := c.rng.IntN(len(accounts))
		to := (from + 1 + c.rng.IntN(len(accounts)-1)) % len(accounts)
		in := input{
			op:     opTransfer,
			from:   accounts[from],
			to:     accounts[to],
			amount: 1 + c.rng.Int64N(5),
		}
		c.recorder.record(c.n, in, func() output {
			_, out := c.query(ctx, "settle", "SELECT transfer('"+in.from+"','"+in.to+"',"+strconv.FormatInt(in.amount, 10)+")")
			return out
		})
		return
	}
	in := input{
		op: opBalances,
	}
	c.recorder.record(c.n, in, func() output {
		return c.balances(ctx)
	})
}

// balances reads all balances on the primary, in one statement.
func (c *caller) balances(ctx context.Context) output {
	text, out := c.query(ctx, "audit", "SELECT balances('"+strings.Join(accounts, "','")+"')")
	out.failed = out.failed || out.unknown
	if out.failed {
		return out
	}
	out.balances = map[string]int64{}
	for i, field := range strings.Split(text, ",") {
		v, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			out.failed = true
			return out
		}
		out.balances[accounts[i]] = v
	}
	return out
}
