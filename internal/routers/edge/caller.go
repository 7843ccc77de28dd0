package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/routers/wire"
	"wasabislip.example/wasabislip/internal/services/sess"
)

const (
	// startupTimeout bounds the wait for a caller's start-up message.
	startupTimeout = 5 * time.Second
	// writeTimeout bounds the writing of one answer to a caller that reads
	// slowly.
	writeTimeout = 5 * time.Second
	// callerFilesFraction is the fraction of the file descriptors that callers
	// may use. The rest is for connections to instances, other hosts and the
	// platform.
	callerFilesFraction = 0.7
	// configWait is how long a caller that connects before the first
	// configuration is there is kept waiting: callers give up after two seconds.
	configWait = 1500 * time.Millisecond
	// configPoll is the time between two checks during that wait.
	configPoll = 20 * time.Millisecond
	// acceptPause is the pause after a failed accept.
	acceptPause = 20 * time.Millisecond
)

// caller is the connection of one caller and its session.
type caller struct {
	host    *Host
	conn    wire.Conn
	session *sess.Session
	// lastRequest is the id of the last statement that was read.
	lastRequest string

	mu sync.Mutex
	// busy says that a statement was read and is not answered yet.
	busy bool
	// inTransaction says that a transaction is open.
	inTransaction bool
	// leaving asks the session to end as soon as it is idle and has no open
	// transaction. rollBack asks it to roll back its open transaction first.
	leaving  bool
	rollBack bool
}

// accept serves callers until the listener is closed. It then closes callersDone.
func (h *Host) accept(ctx context.Context, l net.Listener) {
	defer close(h.callersDone)
	for {
		conn, err := l.Accept()
		if isClosed(err) {
			return
		}
		if err != nil {
			klog.ErrorS(err, "a caller could not be accepted")
			time.Sleep(acceptPause)
			continue
		}
		c := &caller{
			host: h,
			conn: h.NewConn(conn),
		}
		if !h.add(c) {
			h.stats.RecordRefusal("too-many-callers")
			_ = conn.Close()
			continue
		}
		go guard.Run("caller", func() {
			c.serve(ctx)
		})
	}
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}

// add records a caller. It returns false if callers use their fraction of the file
// descriptors already.
func (h *Host) add(c *caller) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if float64(len(h.sessions)) >= callerFilesFraction*float64(h.Settings.MaxFiles) {
		return false
	}
	h.sessions[c] = struct{}{}
	h.accepted++
	return true
}

func (h *Host) remove(c *caller) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.sessions, c)
}

// serve runs the caller's session.
func (c *caller) serve(ctx context.Context) {
	defer c.host.remove(c)
	defer func() {
		_ = c.conn.Close() // the session is over either way
	}()
	if !c.logIn() {
		return
	}
	defer c.session.Close()
	for c.serveNext(ctx) {
	}
}

// logIn reads the caller's start-up message and checks its key. It reports whether
// the session has begun.
func (c *caller) logIn() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(startupTimeout)) // a failure shows at the read
	database, key, err := c.conn.ReadStartup()
	if err != nil {
		c.logLost(err)
		return false
	}
	session := &sess.Session{
		Config:      c.host.mirror,
		Views:       c.host.views,
		Forwarder:   c.host.forwarder,
		RateLimiter: c.host.rates,
		RequestLog:  c.host.requestLog,
		Meter:       c.host.stats,
		Tuning:      c.host.Tuning,
		Database:    database,
		Key:         key,
	}
	c.mu.Lock()
	c.session = session
	c.mu.Unlock()
	c.host.awaitConfig()
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if r := session.Authorize(); r.Outcome != reply.Done {
		_ = c.conn.Reject(&r) // the caller may be gone; nothing ran
		return false
	}
	return c.conn.Accept() == nil
}

// awaitConfig waits for the first configuration after the start of the host, for
// at most configWait.
func (h *Host) awaitConfig() {
	limit := time.Now().Add(configWait)
	for h.mirror.Policy() == nil && time.Now().Before(limit) {
		time.Sleep(configPoll)
	}
}

// serveNext waits for a statement, runs it and answers it. It returns false when
// the session is over.
func (c *caller) serveNext(ctx context.Context) bool {
	if !c.prepareRead() {
		return false
	}
	q, err := c.conn.ReadQuery()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return c.handleWake()
	}
	if errors.Is(err, wire.ErrTooLong) {
		q, err = query.Query{Kind: query.TooLong}, nil
	}
	if err != nil {
		c.logLost(err)
		return false
	}
	c.lastRequest = q.ID
	// A statement may lie in the socket's buffer for long while this process is
	// suspended: a write that ran then would come after later ones of its caller.
	if c.conn.IsClosed() {
		c.host.requestLog.LogFailure("the caller has gone; its statement is not run", "request", q.ID, "database", c.session.Database)
		return false
	}
	c.setBusy(true)
	r := c.session.Handle(ctx, q)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a failure shows at the write
	if err := c.conn.WriteReply(&r); err != nil {
		c.host.requestLog.LogFailure("the answer could not be delivered", "request", q.ID, "database", c.session.Database, "err", err.Error())
		return false
	}
	c.setBusy(false)
	return !c.session.ShouldReconnect()
}

// prepareRead sets the deadline for the next statement, and rolls the open
// transaction back if a stop asked for it. It returns false when the session is to
// end now.
func (c *caller) prepareRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rollBack {
		c.rollBack = false
		c.session.AbortTransaction("host-stopping", "the host stops; the transaction is rolled back")
	}
	if c.leaving && !c.session.InTransaction() && c.conn.Buffered() == 0 {
		return false
	}
	deadline := time.Time{}
	if limit := c.session.IdleTimeout(); limit > 0 {
		deadline = time.Now().Add(limit)
	}
	return c.conn.SetReadDeadline(deadline) == nil
}

// handleWake handles a read whose deadline has passed: either the transaction was
// idle for too long, or a stop woke the session. The session goes on; prepareRead
// ends it if a stop asked for that.
func (c *caller) handleWake() bool {
	c.mu.Lock()
	stopped := c.leaving || c.rollBack
	c.mu.Unlock()
	if !stopped {
		c.session.AbortTransaction("idle-transaction", "the transaction rested for too long and is rolled back")
	}
	return true
}

func (c *caller) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
	c.inTransaction = c.session.InTransaction()
}

// logLost logs that a connection failed, unless the caller or this host closed it.
func (c *caller) logLost(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	if errors.Is(err, wire.ErrProtocol) {
		c.host.stats.RecordViolation()
		c.host.requestLog.LogFailure("a caller's message is not understood; its session ends", "last-request", c.lastRequest, "err", err.Error())
		return
	}
	klog.V(1).InfoS("a caller's connection ended", "err", err.Error())
}

// requestEnd makes the session end as soon as it is idle. With rollBack, an open
// transaction that no statement is running in is rolled back for that. A
// statement that runs is answered first.
func (c *caller) requestEnd(rollBack bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil {
		_ = c.conn.SetReadDeadline(time.Now()) // no statement was read yet
		return
	}
	c.leaving = true
	c.rollBack = c.rollBack || rollBack
	if !c.busy && (!c.inTransaction || rollBack) {
		_ = c.conn.SetReadDeadline(time.Now()) // wakes the session
	}
}
