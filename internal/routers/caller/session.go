package caller

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sourcegraph/conc"
	"golang.org/x/sync/semaphore"

	"wasabislip.example/wasabislip/internal/models/cankey"
	"wasabislip.example/wasabislip/internal/models/input"
	"wasabislip.example/wasabislip/internal/models/limits"
	"wasabislip.example/wasabislip/internal/models/params"
	"wasabislip.example/wasabislip/internal/models/stmts"
	"wasabislip.example/wasabislip/internal/models/stream"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// Transaction status bytes of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// errGone ends the session of a caller that has left.
var errGone = errors.New("the caller has left")

// session is one connection after its start-up. One goroutine reads batches
// into queue, another runs them in order and writes the answers.
type session struct {
	server    *Server
	conn      net.Conn
	limit     limits.Limits
	hello     *params.Startup
	workspace string
	keyID     string
	ticket    cankey.Key

	queue   chan *input.Batch
	room    *semaphore.Weighted
	revoked chan struct{}
	once    sync.Once

	table *stmts.Table
	run   stream.Stream
	// began is the route of run.
	began *route.Route
	// status is the transaction status that the caller was told last.
	status byte
	// skip tells that messages are dropped up to the next Sync.
	skip bool
	// route is the route of the session, name the session's name.
	route string
	name  string
	// floor is the newest position returned; known tells that there is one.
	floor logpos.Position
	known bool
	out   []byte
}

// converse runs the session.
func (s *Server) converse(ctx context.Context, cancel context.CancelFunc, g *greeting) {
	limit := s.Limits.WithDefaults()
	c := &session{
		server:    s,
		conn:      g.conn,
		limit:     limit,
		hello:     g.hello,
		workspace: g.hello.User,
		keyID:     g.keyID,
		ticket:    cankey.New(g.hello.Database),
		queue:     make(chan *input.Batch, limit.QueuedBatches),
		room:      semaphore.NewWeighted(int64(limit.BatchBytes)),
		revoked:   make(chan struct{}),
		table:     stmts.New(limit.PreparedStatements),
		status:    statusIdle,
		route:     g.hello.Route,
		name:      g.hello.Session,
	}
	defer s.sessions.add(c)()
	if c.welcome() != nil {
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		c.read(ctx)
	})
	defer c.conn.Close()
	defer cancel()
	c.work(ctx)
}

// revoke tells the session that its key was withdrawn.
func (c *session) revoke() {
	c.once.Do(func() {
		close(c.revoked)
	})
}

// welcome tells the caller that the session has begun.
func (c *session) welcome() error {
	c.put(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"is_superuser", "off"},
		{"application_name", c.hello.Application},
	} {
		c.put(&pgproto3.ParameterStatus{
			Name:  p[0],
			Value: p[1],
		})
	}
	c.put(&pgproto3.BackendKeyData{
		ProcessID: c.ticket.ProcessID,
		SecretKey: c.ticket.Secret,
	})
	return c.ready()
}

// work runs batches in order until the session ends.
func (c *session) work(ctx context.Context) {
	defer c.drop()
	for {
		b, err := c.next(ctx)
		if err == nil {
			err = c.handle(ctx, b)
			c.room.Release(int64(b.Bytes))
		}
		if err != nil {
			c.drop()
			c.farewell(err)
			return
		}
	}
}

// farewell sends the session's last message.
func (c *session) farewell(err error) {
	if f := fault.As(err); f != nil {
		c.server.Meter.Refused(f.Kind)
	}
	if m := errorResponse(severityFatal, err); m != nil {
		c.put(m)
	}
	_ = c.flush()
}

// next waits for a batch. An error ends the session.
func (c *session) next(ctx context.Context) (*input.Batch, error) {
	select {
	case b := <-c.queue:
		return b, nil
	default:
	}
	limit, stop := c.limit.IdleTimeout, c.server.leaving.Load().ch
	if c.status != statusIdle || c.run != nil {
		limit, stop = c.limit.IdleInTransactionTimeout, nil
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case b := <-c.queue:
		return b, nil
	case <-timer.C:
		return nil, c.idled()
	case <-stop:
		return nil, draining()
	case <-c.revoked:
		return nil, withdrawn(c.keyID)
	case <-ctx.Done():
		return nil, draining()
	}
}

func (c *session) idled() error {
	if c.status != statusIdle || c.run != nil {
		return refuse("25P03", "the transaction was idle for too long and was rolled back", "send its statements without a pause")
	}
	return refuse("57P05", "the session was idle for too long", "connect again")
}

// drop ends the run; an open transaction is rolled back.
func (c *session) drop() {
	if c.run == nil {
		return
	}
	_ = c.run.Close()
	c.run = nil
}

func (c *session) put(m pgproto3.BackendMessage) {
	if raw, err := m.Encode(c.out); err == nil {
		c.out = raw
	}
}

func (c *session) ready() error {
	c.put(&pgproto3.ReadyForQuery{
		TxStatus: c.status,
	})
	return c.flush()
}

// flush writes what was put. An error ends the session.
func (c *session) flush() error {
	if len(c.out) == 0 {
		return nil
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.limit.WriteTimeout))
	_, err := c.conn.Write(c.out)
	c.out = c.out[:0]
	if cap(c.out) > keptBytes {
		c.out = nil
	}
	return err
}

// keptBytes is how large an output buffer a session keeps while it is idle.
const keptBytes = 16 << 10

func withdrawn(keyID string) error {
	return fault.New(fault.KeyWithdrawn, "the key "+keyID+" was withdrawn", "connect with a key in force")
}
