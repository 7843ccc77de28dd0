package conns

import (
	"context"
	"fmt"
	"time"

	"wasabislip.example/wasabislip/internal/models/ramp"
	"wasabislip.example/wasabislip/internal/models/sched"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Request is a statement that needs a connection.
type Request struct {
	// Workspace is the workspace that it runs for.
	Workspace string
	// Settings are the settings of its session.
	Settings map[string]string
	// Priority orders the statements that wait while there is no admission by
	// priority and deadline; see Get.
	Priority int
	// Wait bounds the time for which it may wait.
	Wait time.Duration
	// Level is the rank of its priority.
	Level int
	// Objective is what is left of its target latency; 0 if it is not known.
	Objective time.Duration
	// Deadline is when it times out.
	Deadline time.Time
}

// admission is the part of a pool that admits statements by priority and deadline.
// Pool.mu guards it.
type admission struct {
	// admits is set while new statements are admitted by sched. sched is nil until
	// it was first set.
	admits bool
	sched  *sched.Scheduler
	// places are the statements that wait, and turns those that run, by their
	// connection.
	places map[*sched.Waiter]*place
	turns  map[*pconn.Conn]*turn
	// ramp limits the connections after the instance refused one.
	ramp ramp.Ramp
	// wake lets statements run whose time has come; nil while it is not set.
	wake *time.Timer
}

// place is the place of a statement in the queue.
type place struct {
	waiter *sched.Waiter
	result chan result
}

// result is what a statement that waited gets: a connection, or nil for the right to
// open one, or the fault that rejects it.
type result struct {
	conn *pconn.Conn
	err  error
}

// turn is a statement that runs, or a transaction that keeps its connection.
type turn struct {
	level   int
	running bool
	// began is when the statement got its connection, and due when its objective
	// ends; 0 if that is not known.
	began time.Duration
	due   time.Duration
}

// SetAdmission sets whether new statements are admitted by priority and deadline.
func (p *Pool) SetAdmission(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admits = on
	if on && p.sched == nil {
		p.sched = sched.New()
		p.sched.Resize(p.server.Slots, p.hosts)
	}
}

// Admit returns a connection for a statement. Where admission is set, it decides by
// priority and deadline whether and how long the statement waits, and rejects it with
// a fault of the kind overloaded that tells when its turn comes. Otherwise it is Get.
func (p *Pool) Admit(ctx context.Context, r *Request) (*pconn.Conn, error) {
	p.mu.Lock()
	admits := p.admits
	p.mu.Unlock()
	if !admits {
		return p.Get(ctx, r.Workspace, r.Settings, r.Priority, r.Wait)
	}
	arrived := uptime.Now()
	for {
		c, err := p.tryAdmit(ctx, r, arrived)
		if f := fault.As(err); f == nil || f.Kind != fault.Overloaded || f.RetryAfter > 0 || ctx.Err() != nil {
			return c, err
		}
		// The instance accepts no more connections, or warms up.
		if r.Wait-(uptime.Now()-arrived) < retryPause {
			return nil, p.refuse(r, arrived)
		}
		time.Sleep(retryPause) // other hosts release connections all the time
	}
}

// request returns what the scheduler decides by.
func (r *Request) request(arrived time.Duration) sched.Request {
	elapsed := uptime.Now() - arrived
	s := sched.Request{
		Workspace: r.Workspace,
		Level:     r.Level,
		Wait:      max(0, r.Wait-elapsed),
		Timeout:   max(0, time.Until(r.Deadline)),
	}
	if r.Objective > 0 {
		s.Objective = max(time.Millisecond, r.Objective-elapsed)
	}
	return s
}

// tryAdmit is one try of Admit.
func (p *Pool) tryAdmit(ctx context.Context, r *Request, arrived time.Duration) (*pconn.Conn, error) {
	c, at, err := p.arrive(r, arrived)
	if err != nil {
		return nil, err
	}
	if at != nil {
		c, err = p.awaitTurn(ctx, at)
		if err != nil {
			return nil, err
		}
	}
	if c == nil {
		c, err = p.connect(ctx, r.Workspace)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.sched.End(uptime.Now(), r.Level)
		p.grantWaiting()
		return nil, err
	}
	t := &turn{
		level:   r.Level,
		running: true,
		began:   uptime.Now(),
	}
	if r.Objective > 0 {
		t.due = arrived + r.Objective
	}
	p.turns[c] = t
	return c, nil
}

// arrive has the scheduler decide on a statement. It returns an idle connection, or
// neither that nor a place in the queue for the right to open one.
func (p *Pool) arrive(r *Request, arrived time.Duration) (*pconn.Conn, *place, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, instanceGone(p.server.ID)
	}
	if p.warmupLimit != nil && !p.warmupLimit.Allow() {
		return nil, nil, noFreeConnection(p.server.ID)
	}
	p.sched.SetLimit(p.window.Limit(p.maxRunning()))
	d := p.sched.Arrive(uptime.Now(), r.request(arrived), p.canConnect())
	switch d.Action {
	case sched.Run:
		return p.take(r.Workspace, r.Settings), nil, nil
	case sched.Wait:
		at := &place{
			waiter: d.Waiter,
			result: make(chan result, 1),
		}
		p.places[d.Waiter] = at
		p.grantAdmitted()
		return nil, at, nil
	}
	p.refused++
	return nil, nil, p.rejection(r.Level, d)
}

// awaitTurn waits until the statement's turn, or until it is rejected.
func (p *Pool) awaitTurn(ctx context.Context, at *place) (*pconn.Conn, error) {
	w := at.waiter
	t := time.NewTimer(w.Latest - uptime.Now())
	defer t.Stop()
	select {
	case g := <-at.result:
		return g.conn, g.err
	case <-t.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sched.Remove(w) {
		g := <-at.result // decided since the wait ended
		return g.conn, g.err
	}
	delete(p.places, w)
	p.refused++
	if ctx.Err() != nil {
		return nil, noFreeConnection(p.server.ID) // nobody comes back at a turn
	}
	return nil, p.rejection(w.Request.Level, p.sched.Refuse(uptime.Now(), w.Request, w.Arrived))
}

// refuse returns the rejection of a statement that got no connection.
func (p *Pool) refuse(r *Request, arrived time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused++
	s := r.request(arrived)
	s.Wait = r.Wait
	return p.rejection(r.Level, p.sched.Refuse(uptime.Now(), s, uptime.Now()))
}

// rejection returns the fault of a rejected statement.
func (p *Pool) rejection(level int, d sched.Decision) error {
	return fault.New(
		fault.Overloaded,
		fmt.Sprintf("instance %s has no capacity for a statement of level %d: %s, %d wait before it", p.server.ID, level, d.Reason, d.Ahead),
		"retry at its turn",
	).WithRetryAfter(d.RetryAfter)
}

// grantAdmitted lets the statements run whose turn it is, and rejects those that can
// no longer be served in time. The caller holds mu.
func (p *Pool) grantAdmitted() {
	if p.sched == nil {
		return
	}
	now := uptime.Now()
	p.sched.SetLimit(p.window.Limit(p.maxRunning()))
	for w, d := range p.sched.Expire(now) {
		p.refused++
		p.deliver(w, result{
			err: p.rejection(w.Request.Level, d),
		})
	}
	for p.canConnect() {
		w := p.sched.Next(now)
		if w == nil {
			break
		}
		p.deliver(w, result{
			conn: p.take(w.Request.Workspace, nil),
		})
	}
	p.setWake(now)
}

// setWake has grantAdmitted called when the next statement may start, or connection be
// opened, without another one's end.
func (p *Pool) setWake(now time.Duration) {
	at := p.sched.Wake(now)
	if up := p.ramp.Wake(now); up > 0 && len(p.places) > 0 && (at == 0 || up < at) {
		at = up
	}
	if at == 0 || p.wake != nil {
		return
	}
	p.wake = time.AfterFunc(at-now, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.wake = nil
		p.grantAdmitted()
	})
}

// deliver ends the wait of a statement.
func (p *Pool) deliver(w *sched.Waiter, r result) {
	p.places[w].result <- r
	delete(p.places, w)
}

// grantAll ends the waits when the pool is closed: the statements get the right to
// open a connection, as in Close. The caller holds mu.
func (p *Pool) grantAll() {
	if p.wake != nil {
		p.wake.Stop()
	}
	for w := range p.places {
		if p.sched.Remove(w) {
			p.sched.Resume(uptime.Now(), w.Request.Level)
		}
		p.open++
		p.countStart(w.Request.Workspace)
		p.deliver(w, result{})
	}
}

// learn tells the scheduler how long the instance took for the statement on c.
func (p *Pool) learn(c *pconn.Conn) {
	if t := p.turns[c]; t != nil && t.running {
		now := uptime.Now()
		p.sched.Learn(now, t.level, now-t.began, t.due == 0 || now <= t.due)
	}
}

// endTurn counts the statement on c as ended.
func (p *Pool) endTurn(c *pconn.Conn) {
	if t := p.turns[c]; t != nil && t.running {
		t.running = false
		p.sched.End(uptime.Now(), t.level)
	}
}

// resumeTurn counts the next statement of the transaction on c as running.
func (p *Pool) resumeTurn(c *pconn.Conn) {
	if t := p.turns[c]; t != nil && !t.running {
		t.running = true
		t.began = uptime.Now()
		t.due = 0
		p.sched.Resume(t.began, t.level)
	}
}

// LevelCounts returns the counts of the statements of a level that were admitted by
// priority and deadline, and how many wait now.
func (p *Pool) LevelCounts(level int) (c sched.Counts, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sched == nil {
		return sched.Counts{}, 0
	}
	return p.sched.Counts(level)
}
