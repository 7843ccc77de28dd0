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

	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/routers/wire"
	"wasabislip.example/wasabislip/internal/services/sess"
)

const (
	// helloTimeout bounds the wait for a caller's first message.
	startupTimeout = 5 * time.Second
	// writeTimeout bounds one answer to a caller that reads slowly.
	writeTimeout = 5 * time.Second
	// filesPart is the part of the descriptors that callers may use; the rest
	// is for instances, other hosts and the platform.
	callerFilesFraction = 0.7
	// policyWait is how long a caller that comes before the first
	// configuration is kept waiting; callers give up after two seconds.
	configWait = 1500 * time.Millisecond
	configPoll = 20 * time.Millisecond
	// acceptPause is the pause after a failed accept.
	acceptPause = 20 * time.Millisecond
)

// caller is one caller's connection.
type caller struct {
	host    *Host
	conn    wire.Wire
	session *sess.Session

	mu sync.Mutex
	// busy tells that a statement was read and is not answered yet.
	busy bool
	// open tells that a transaction is open.
	inTransaction bool
	// leave asks that the session ends as soon as it is idle, and expire that
	// its transaction is rolled back for it.
	leaving  bool
	rollBack bool
}

// accept takes callers until the listener closes.
func (h *Host) accept(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if isClosed(err) {
			return
		}
		if err != nil {
			klog.ErrorS(err, "a caller could not be accepted")
			time.Sleep(acceptPause)
			continue
		}
		x := &caller{
			host: h,
			conn: h.Wire(c),
		}
		if !h.add(x) {
			h.metrics.Refused("too-many-callers")
			_ = c.Close()
			continue
		}
		go x.serve(ctx)
	}
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}

func (h *Host) add(x *caller) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if float64(len(h.sessions)) >= callerFilesFraction*float64(h.Settings.Files) {
		return false
	}
	h.sessions[x] = struct{}{}
	h.accepted++
	return true
}

func (h *Host) remove(x *caller) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.sessions, x)
}

func (x *caller) serve(ctx context.Context) {
	defer x.host.remove(x)
	defer func() {
		_ = x.conn.Close() // the session is over either way
	}()
	if !x.logIn() {
		return
	}
	defer x.session.Close()
	for x.serveNext(ctx) {
	}
}

// hello reads the caller's first message and opens its session.
func (x *caller) logIn() bool {
	_ = x.conn.SetReadDeadline(time.Now().Add(startupTimeout)) // a failure shows at the read
	database, key, err := x.conn.ReadHello()
	if err != nil {
		x.logLost(err)
		return false
	}
	x.session = &sess.Session{
		Config:      x.host.mirror,
		Views:       x.host.views,
		Forwarder:   x.host.forwarder,
		RateLimiter: x.host.rates,
		Audit:       x.host.audit,
		Meter:       x.host.metrics,
		Tuning:      x.host.Tuning,
		Database:    database,
		Key:         key,
	}
	x.host.awaitConfig()
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if r := x.session.Authorize(); r.Outcome != reply.Done {
		_ = x.conn.Refuse(&r) // the caller may be gone; nothing ran
		return false
	}
	return x.conn.Welcome() == nil
}

// awaitPolicy waits a while for the first configuration after a start.
func (h *Host) awaitConfig() {
	limit := time.Now().Add(configWait)
	for h.mirror.Policy() == nil && time.Now().Before(limit) {
		time.Sleep(configPoll)
	}
}

// next waits for a statement, runs it and answers; false when the session is
// over.
func (x *caller) serveNext(ctx context.Context) bool {
	if !x.prepareRead() {
		return false
	}
	q, err := x.conn.ReadQuery()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return x.handleWake()
	}
	if err != nil {
		x.logLost(err)
		return false
	}
	x.setBusy(true)
	r := x.session.Handle(ctx, q)
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a failure shows at the write
	if err := x.conn.WriteReply(&r); err != nil {
		x.host.audit.Problem("the answer could not be delivered", "request", q.ID, "database", x.session.Database, "err", err.Error())
		return false
	}
	x.setBusy(false)
	return !x.session.ShouldReconnect()
}

// rest sets how long the session may wait for its next statement; false when
// it is to end now.
func (x *caller) prepareRead() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.rollBack {
		x.rollBack = false
		x.session.AbortTransaction("host-stopping", "the host stops; the transaction is rolled back")
	}
	if x.leaving && !x.session.InTransaction() && x.conn.Buffered() == 0 {
		return false
	}
	deadline := time.Time{}
	if limit := x.session.IdleTimeout(); limit > 0 {
		deadline = time.Now().Add(limit)
	}
	return x.conn.SetReadDeadline(deadline) == nil
}

// woken handles a wait that was ended: by the limit for idle transactions, or
// by a stop.
func (x *caller) handleWake() bool {
	x.mu.Lock()
	stopped := x.leaving || x.rollBack
	x.mu.Unlock()
	if !stopped {
		x.session.AbortTransaction("idle-transaction", "the transaction rested for too long and is rolled back")
	}
	return true
}

func (x *caller) setBusy(busy bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy = busy
	x.inTransaction = x.session.InTransaction()
}

// lost logs the end of a connection that is no usual one.
func (x *caller) logLost(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	klog.V(1).InfoS("a caller's connection ended", "err", err.Error())
}

// ask makes an idle session end, and with expire also one whose transaction
// rests. Statements under way are answered first.
func (x *caller) requestEnd(expire bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.session == nil {
		_ = x.conn.SetReadDeadline(time.Now()) // no statement was read yet
		return
	}
	x.leaving = true
	x.rollBack = x.rollBack || expire
	if !x.busy && (!x.inTransaction || expire) {
		_ = x.conn.SetReadDeadline(time.Now()) // wakes the session
	}
}
