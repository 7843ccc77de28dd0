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

// Transaction statuses in ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// errCallerLeft ends the session of a caller that closed it or its connection.
// Nothing is sent to the caller.
var errCallerLeft = errors.New("the caller has left")

// session is a connection after its handshake. One goroutine reads batches from
// the connection and queues them; another runs them in order and writes the
// answers.
type session struct {
	server    *Server
	conn      net.Conn
	limits    limits.Limits
	startup   *params.Startup
	workspace string
	keyID     string
	// cancelKey is the key with which the caller can cancel a batch. It also
	// gives the request id of the session's runs.
	cancelKey cankey.Key

	// batches holds the batches that were read and have not run yet.
	batches chan *input.Batch
	// queuedBytes bounds the memory of the queued batches.
	queuedBytes *semaphore.Weighted
	// revoked is closed once the caller's key was withdrawn.
	revoked    chan struct{}
	revokeOnce sync.Once

	// statements holds the caller's prepared statements.
	statements *stmts.Table
	// run is the open run, or nil: a transaction, or a batch that is being
	// answered.
	run stream.Stream
	// runRoute is the route of run.
	runRoute *route.Route
	// status is the transaction status that was last sent to the caller.
	status byte
	// skipToSync says that messages are dropped up to the next Sync, after an
	// error in a batch that a Flush ended.
	skipToSync bool
	// routeName and sessionName are the session's settings wasabislip.route and
	// wasabislip.session. An empty routeName stands for the default route.
	routeName   string
	sessionName string
	// position is the newest log position that a run returned. Later reads see at
	// least this position. hasPosition says that there is one.
	position    logpos.Position
	hasPosition bool
	// outBuf holds encoded messages that were not written yet.
	outBuf []byte
}

// runSession runs the session of a connection whose handshake is done.
func (s *Server) runSession(ctx context.Context, cancel context.CancelFunc, h *handshake) {
	limit := s.Limits.WithDefaults()
	c := &session{
		server:      s,
		conn:        h.conn,
		limits:      limit,
		startup:     h.startup,
		workspace:   h.startup.User,
		keyID:       h.keyID,
		cancelKey:   cankey.New(h.startup.Database),
		batches:     make(chan *input.Batch, limit.QueuedBatches),
		queuedBytes: semaphore.NewWeighted(int64(limit.BatchBytes)),
		revoked:     make(chan struct{}),
		statements:  stmts.New(limit.PreparedStatements),
		status:      statusIdle,
		routeName:   h.startup.Route,
		sessionName: h.startup.Session,
	}
	defer s.sessions.add(c)()
	if c.sendWelcome() != nil {
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		c.readBatches(ctx)
	})
	defer c.conn.Close()
	defer cancel()
	c.runBatches(ctx)
}

// revoke makes the session end because its key was withdrawn.
func (c *session) revoke() {
	c.revokeOnce.Do(func() {
		close(c.revoked)
	})
}

// sendWelcome sends the messages with which a session begins: AuthenticationOk,
// the server's parameters, the cancel key and ReadyForQuery.
func (c *session) sendWelcome() error {
	c.buffer(&pgproto3.AuthenticationOk{})
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
		{"application_name", c.startup.Application},
	} {
		c.buffer(&pgproto3.ParameterStatus{
			Name:  p[0],
			Value: p[1],
		})
	}
	c.buffer(&pgproto3.BackendKeyData{
		ProcessID: c.cancelKey.ProcessID,
		SecretKey: c.cancelKey.Secret,
	})
	return c.sendReady()
}

// runBatches runs batches in order until the session ends.
func (c *session) runBatches(ctx context.Context) {
	defer c.closeRun()
	for {
		b, err := c.nextBatch(ctx)
		if err == nil {
			err = c.handleBatch(ctx, b)
			c.queuedBytes.Release(int64(b.Bytes))
		}
		if err != nil {
			c.closeRun()
			c.sendFatal(err)
			return
		}
	}
}

// sendFatal sends err as the session's last message. It sends nothing if the caller
// has left.
func (c *session) sendFatal(err error) {
	if f := fault.As(err); f != nil {
		c.server.Meter.RecordRefusal(f.Kind)
	}
	if m := errorResponse(severityFatal, err); m != nil {
		c.buffer(m)
	}
	_ = c.flush()
}

// nextBatch waits for a batch. An error ends the session. The drain of the host
// does not end a session while its transaction is open.
func (c *session) nextBatch(ctx context.Context) (*input.Batch, error) {
	select {
	case b := <-c.batches:
		return b, nil
	default:
	}
	limit, stop := c.limits.IdleTimeout, c.server.drain.Load().done
	if c.status != statusIdle || c.run != nil {
		limit, stop = c.limits.IdleInTransactionTimeout, nil
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case b := <-c.batches:
		return b, nil
	case <-timer.C:
		return nil, c.idleTimeoutError()
	case <-stop:
		return nil, drainingError()
	case <-c.revoked:
		return nil, keyWithdrawnError(c.keyID)
	case <-ctx.Done():
		return nil, drainingError()
	}
}

// idleTimeoutError returns the error of a session or transaction that was idle for
// too long.
func (c *session) idleTimeoutError() error {
	if c.status != statusIdle || c.run != nil {
		return newPGError("25P03", "the transaction was idle for too long and was rolled back", "send its statements without a pause")
	}
	return newPGError("57P05", "the session was idle for too long", "connect again")
}

// closeRun ends the run. If its transaction is open, it is rolled back.
func (c *session) closeRun() {
	if c.run == nil {
		return
	}
	_ = c.run.Close()
	c.run = nil
}

// buffer appends m to the messages to write.
func (c *session) buffer(m pgproto3.BackendMessage) {
	if raw, err := m.Encode(c.outBuf); err == nil {
		c.outBuf = raw
	}
}

// sendReady ends an answer with ReadyForQuery and writes it.
func (c *session) sendReady() error {
	c.buffer(&pgproto3.ReadyForQuery{
		TxStatus: c.status,
	})
	return c.flush()
}

// flush writes the buffered messages. An error ends the session.
func (c *session) flush() error {
	if len(c.outBuf) == 0 {
		return nil
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.limits.WriteTimeout))
	_, err := c.conn.Write(c.outBuf)
	c.outBuf = c.outBuf[:0]
	if cap(c.outBuf) > maxIdleBufferBytes {
		c.outBuf = nil
	}
	return err
}

// maxIdleBufferBytes is the largest output buffer that a session keeps for its
// next answer.
const maxIdleBufferBytes = 16 << 10

func keyWithdrawnError(keyID string) error {
	return fault.New(fault.KeyWithdrawn, "the key "+keyID+" was withdrawn", "connect with a key in force")
}
