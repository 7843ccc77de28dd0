// Package instdb is the client of one database instance: it reads the instance's
// status, controls its role and opens connections for statements.
package instdb

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/internal/modules/alive"
	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/inst"
)

// SupersededCode is the SQLSTATE of a statement that an instance refused because
// its fencing token is of a later term. The statement did not run.
const SupersededCode = "LT001"

// Timeouts for opening a connection and for one query on the control connection.
const (
	ConnectTimeout = 2 * time.Second
	ControlTimeout = 3 * time.Second
)

// Client is the client of one instance. Its fields are set before first use; after
// that it is safe for concurrent use.
type Client struct {
	// Instance is the instance to connect to.
	Instance inst.Instance
	// Database is the database name that the instance expects.
	Database string
	// User is the role that this host logs in with, never a caller's role.
	User string
	// Password is the password of User.
	Password string
	// DialFunc opens the network connection; nil means plain TCP.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	// control holds the control connection, or nil when it is not open. Whoever
	// takes it out has the connection to itself until it is put back.
	control chan *pgconn.PgConn
}

// New returns a client with the fields of base. The control connection is opened
// by the first call that needs it.
func New(base Client) *Client {
	c := base
	c.control = make(chan *pgconn.PgConn, 1)
	c.control <- nil
	return &c
}

// Status returns the instance's status report.
func (c *Client) Status(ctx context.Context) (status.Status, error) {
	return c.queryStatus(ctx, "SELECT * FROM ledger_status()")
}

// Fence raises the instance's fencing token to term and returns its status. The
// error is fault.Superseded when the token is of a later term.
func (c *Client) Fence(ctx context.Context, term uint64) (status.Status, error) {
	s, err := c.queryStatus(ctx, fmt.Sprintf("SELECT * FROM ledger_fence(%d)", term))
	if err != nil {
		return s, err
	}
	if s.Fence < term {
		c.Close(ctx)
		return status.Status{}, fmt.Errorf("%s answered with fencing token %d when fenced at %d: the answer is that to another call; fence it again", c.Instance.Name, s.Fence, term)
	}
	return s, nil
}

// Promote makes the instance the primary in term.
func (c *Client) Promote(ctx context.Context, term uint64) error {
	_, err := c.exec(ctx, fmt.Sprintf("SELECT * FROM ledger_promote(%d)", term))
	return err
}

// Follow makes the instance a replica of the primary at address in term.
func (c *Client) Follow(ctx context.Context, term uint64, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("follow: address of primary: %w", err)
	}
	_, err := c.exec(ctx, fmt.Sprintf("SELECT * FROM ledger_follow(%d, '%s')", term, address))
	return err
}

// Dial opens a connection for statements in term; the instance refuses them once
// it is fenced at a later term.
func (c *Client) Dial(ctx context.Context, term uint64, readOnly bool) (*dbconn.Conn, error) {
	params := map[string]string{
		"ledger.term": strconv.FormatUint(term, 10),
	}
	if readOnly {
		params["default_transaction_read_only"] = "on"
	}
	pg, err := c.connect(ctx, params)
	if err != nil {
		return nil, err
	}
	h, err := pg.Hijack()
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", c.Instance.Name, err)
	}
	return &dbconn.Conn{
		Net:       h.Conn,
		Frontend:  h.Frontend,
		Term:      term,
		ReadOnly:  readOnly,
		ProcessID: h.PID,
		SecretKey: h.SecretKey,
	}, nil
}

// Cancel asks the instance to cancel the statement that runs on conn.
func (c *Client) Cancel(ctx context.Context, conn *dbconn.Conn) error {
	dial := c.DialFunc
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	n, err := dial(ctx, "tcp", c.Instance.Address)
	if err != nil {
		return fmt.Errorf("cancel on %s: %w", c.Instance.Name, err)
	}
	defer func() { _ = n.Close() }()
	request := pgproto3.CancelRequest{
		ProcessID: conn.ProcessID,
		SecretKey: conn.SecretKey,
	}
	buf, err := request.Encode(nil)
	if err != nil {
		return fmt.Errorf("cancel on %s: %w", c.Instance.Name, err)
	}
	deadline, _ := ctx.Deadline()
	_ = n.SetDeadline(deadline)
	if _, err := n.Write(buf); err != nil {
		return fmt.Errorf("cancel on %s: %w", c.Instance.Name, err)
	}
	return nil
}

// Close closes the control connection; a later call opens it again.
func (c *Client) Close(ctx context.Context) {
	select {
	case pg := <-c.control:
		if pg != nil {
			_ = pg.Close(ctx)
		}
		c.control <- nil
	case <-ctx.Done():
	}
}

// queryStatus runs a query that returns the instance's status as one row.
func (c *Client) queryStatus(ctx context.Context, query string) (status.Status, error) {
	r, err := c.exec(ctx, query)
	if err != nil {
		return status.Status{}, err
	}
	if len(r.Rows) != 1 {
		return status.Status{}, fmt.Errorf("%s on %s: %d rows; want one", query, c.Instance.Name, len(r.Rows))
	}
	return status.Parse(c.Instance.Name, r.Rows[0])
}

// exec runs query on the control connection, which it opens if needed. Queries
// run one at a time.
func (c *Client) exec(ctx context.Context, query string) (*pgconn.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ControlTimeout)
	defer cancel()
	var pg *pgconn.PgConn
	select {
	case pg = <-c.control:
	case <-ctx.Done():
		return nil, fmt.Errorf("control connection to %s: %w", c.Instance.Name, ctx.Err())
	}
	defer func() { c.control <- pg }()
	if pg != nil && !pg.IsClosed() && !isIdle(pg) {
		klog.V(1).InfoS("control connection closed: the instance has ended it, or sent what no query asked for", "instance", c.Instance.Name)
		_ = pg.Conn().Close()
		pg = nil
	}
	if pg == nil || pg.IsClosed() {
		opened, err := c.connect(ctx, nil)
		if err != nil {
			pg = nil
			return nil, err
		}
		pg = opened
	}
	results, err := pg.Exec(ctx, query).ReadAll()
	if err != nil {
		return nil, c.wrapError(query, err)
	}
	if len(results) != 1 {
		_ = pg.Conn().Close()
		pg = nil
		return nil, fmt.Errorf("%s on %s: %d results; want one", query, c.Instance.Name, len(results))
	}
	return results[0], nil
}

// isIdle reports whether the connection is open and all input was read. Input that came
// after the last answer would be taken for the answer to the next query.
func isIdle(pg *pgconn.PgConn) bool {
	return pg.Frontend().ReadBufferLen() == 0 && alive.IsOpen(pg.Conn())
}

// wrapError turns the refusal of a fenced instance into fault.Superseded, and adds
// the query and the instance's name to other errors.
func (c *Client) wrapError(query string, err error) error {
	var pe *pgconn.PgError
	if errors.As(err, &pe) && pe.Code == SupersededCode {
		f := fault.New(fault.Superseded, c.Instance.Name+" is fenced at a later term", "run again on the present steward")
		return f.Wrap(err)
	}
	return fmt.Errorf("%s on %s: %w", query, c.Instance.Name, err)
}

// connect opens a connection without TLS and with params as its settings. The
// address is an IP number, so no name is looked up.
func (c *Client) connect(ctx context.Context, params map[string]string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", c.Instance.Name, err)
	}
	host, port, err := net.SplitHostPort(c.Instance.Address)
	if err != nil {
		return nil, fmt.Errorf("address of %s: %w", c.Instance.Name, err)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("port of %s: %w", c.Instance.Name, err)
	}
	cfg.Host = host
	cfg.Port = uint16(n)
	cfg.User = c.User
	cfg.Password = c.Password
	cfg.Database = c.Database
	cfg.Fallbacks = nil
	cfg.RuntimeParams = params
	cfg.ConnectTimeout = ConnectTimeout
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) {
		return []string{host}, nil
	}
	if c.DialFunc != nil {
		cfg.DialFunc = c.DialFunc
	}
	pg, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, c.wrapError("connect", err)
	}
	return pg, nil
}
