// Package conns is a connection pool: this host's connections to one instance.
// Each connection belongs to one workspace. The instance accepts a limited
// number from all hosts together; hosts don't coordinate beyond their even
// shares, and learn that the limit is reached when the instance refuses one.
package conns

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/sched"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/window"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	// reservedConns is how many of an instance's connections are not divided
	// among the hosts. They are left for hosts that have just started.
	reservedConns = 2
	// idleFraction is the fraction of an instance's connections that hosts
	// together keep open while they are idle. The rest is left for hosts that
	// lost power and come back: the instance drops their old connections only
	// after seconds.
	idleFraction = 0.5
	// extraConns is how many connections a host may open beyond its even
	// share, as long as the instance accepts them.
	extraConns = 3
	// extraIdleTimeout is how long an idle connection is kept while more are
	// open than the pool keeps idle.
	extraIdleTimeout = 250 * time.Millisecond
	// idleTimeout is how long any other idle connection is kept. It is below
	// the time after which instances close idle connections.
	idleTimeout = 20 * time.Second
	// fullBackoff is how long the host opens no more connections than it has
	// after the instance refused one.
	fullBackoff = time.Second
	// statementsPerSlot is how many statements all hosts together send to an
	// instance for each of its slots: one that runs and two that wait.
	statementsPerSlot = 3
	// minRunning is how many statements one host may send at once at least, so
	// that one long statement does not block a workspace whose connections the
	// host holds.
	minRunning = 2
	// retryPause is the pause before another try when no connection was free:
	// about the time for which a statement holds one.
	retryPause = 15 * time.Millisecond
)

// dialer opens connections to instances.
type dialer interface {
	Dial(ctx context.Context, address string) (link.Link, error)
}

// observer is told of what goes wrong on connections; see package pconn.
type observer interface {
	RecordMismatch(instance, request, reason string, r *reply.Reply)
}

// Pool is the host's connections to one instance. It is safe for concurrent
// use.
type Pool struct {
	// Observer is told of what goes wrong on connections; it may be nil. It is set before
	// the first connection.
	Observer observer

	server server.Server
	dialer dialer

	mu sync.Mutex
	// evenShare is the host's even share of the instance's connections, and
	// idleTarget the number of open connections up to which idle ones are kept.
	evenShare  int
	idleTarget int
	open       int
	idle       []*pconn.Conn // the longest idle first
	waiting    []*waiter
	// fullUntil is until when at most fullLimit connections may be open, after the
	// instance refused one.
	fullUntil time.Time
	fullLimit int
	closed    bool
	// opened counts the connections opened so far, refused the statements that
	// got no connection.
	opened  int64
	refused int64
	// inUse counts the connections in use by workspace.
	inUse map[string]int
	// window limits the statements under way by what the instance answers.
	window window.Window
	// running counts the statements under way at the instance.
	running int
	// warmupLimit limits the statements a second to an instance that has just
	// started; nil for others.
	warmupLimit *rate.Limiter
	// hosts is how many hosts send to the instance.
	hosts int
	admission
	// repeatedUntil is until when the instance counts as one that repeats answers.
	repeatedUntil time.Time
	// load measures the load that this host puts on the instance; nil if it is not to
	// be reported.
	load *loadMeter
}

// New returns a pool without connections.
func New(s server.Server, d dialer) *Pool {
	return &Pool{
		server:     s,
		dialer:     d,
		evenShare:  1,
		idleTarget: 1,
		inUse:      map[string]int{},
		admission: admission{
			places: map[*sched.Waiter]*place{},
			turns:  map[*pconn.Conn]*turn{},
		},
	}
}

// Resize sets how many connections the instance accepts in all and how many
// hosts share them.
func (p *Pool) Resize(limit, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = max(hosts, 1)
	p.evenShare = max(1, (limit-reservedConns)/p.hosts)
	p.idleTarget = max(1, int(idleFraction*float64(limit))/p.hosts)
	if p.sched != nil {
		p.sched.Resize(p.server.Slots, p.hosts)
	}
}

// Get returns a connection of the workspace, preferably one on which the
// session settings are set already. It waits up to wait for one, and returns a fault of the
// kind overloaded when there was none.
func (p *Pool) Get(ctx context.Context, workspace string, settings map[string]string, priority int, wait time.Duration) (*pconn.Conn, error) {
	until := time.Now().Add(wait)
	for {
		c, err := p.tryGet(ctx, workspace, settings, priority, time.Until(until))
		if !fault.IsKind(err, fault.Overloaded) || time.Until(until) < retryPause || ctx.Err() != nil {
			return c, err
		}
		time.Sleep(retryPause) // other hosts release connections all the time
	}
}

// tryGet is one try of Get.
func (p *Pool) tryGet(ctx context.Context, workspace string, settings map[string]string, priority int, wait time.Duration) (*pconn.Conn, error) {
	c, dial, w, err := p.reserve(workspace, settings, priority, wait)
	if err != nil {
		return nil, err
	}
	if w != nil {
		c, err = p.await(ctx, w, wait)
		if err != nil {
			return nil, err
		}
		dial = c == nil
	}
	if !dial {
		return c, nil
	}
	return p.connect(ctx, workspace)
}

// reserve returns an idle connection, or true for the right to open one, or a
// place in the queue.
func (p *Pool) reserve(workspace string, settings map[string]string, priority int, wait time.Duration) (c *pconn.Conn, dial bool, w *waiter, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, nil, instanceGone(p.server.ID)
	}
	if p.warmupLimit != nil && !p.warmupLimit.Allow() {
		p.refused++
		return nil, false, nil, noFreeConnection(p.server.ID)
	}
	if !p.hasRoom() {
		w, err := p.enqueue(workspace, priority, wait)
		return nil, false, w, err
	}
	if c := p.takeIdle(workspace, settings); c != nil {
		p.countStart(workspace)
		return c, false, nil, nil
	}
	if p.open < p.limit() {
		p.open++
		p.countStart(workspace)
		return nil, true, nil, nil
	}
	if len(p.idle) > 0 {
		p.closeOldestIdle()
		p.open++
		p.countStart(workspace)
		return nil, true, nil, nil
	}
	w, err = p.enqueue(workspace, priority, wait)
	return nil, false, w, err
}

// SetWarmupRate bounds the statements a second that this host sends to the
// instance while its caches are cold after its start; 0 sets no bound.
func (p *Pool) SetWarmupRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case perSecond <= 0:
		p.warmupLimit = nil
	case p.warmupLimit == nil:
		p.warmupLimit = rate.NewLimiter(rate.Limit(perSecond), 1)
	default:
		p.warmupLimit.SetLimit(rate.Limit(perSecond))
	}
}

// limit returns how many connections may be open now.
func (p *Pool) limit() int {
	if p.admits {
		return p.ramp.Limit(uptime.Now(), p.evenShare+extraConns)
	}
	if time.Now().Before(p.fullUntil) {
		return max(1, p.fullLimit)
	}
	return p.evenShare + extraConns
}

// hasRoom reports whether one more statement may be sent to the instance now.
func (p *Pool) hasRoom() bool {
	return p.running < p.window.Limit(p.maxRunning())
}

// maxRunning returns how many statements this host may send to the instance at
// once: its share of a short queue before each slot. Further statements wait in
// this pool, which orders them by priority.
func (p *Pool) maxRunning() int {
	all := statementsPerSlot * max(p.server.Slots, 1)
	return max(minRunning, (all+p.hosts-1)/max(p.hosts, 1))
}

// PauseTransaction records that the transaction on c runs no statement now (idle
// in transaction). It keeps the connection.
func (p *Pool) PauseTransaction(c *pconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.IdleInTransaction = true
	p.running--
	p.endTurn(c)
	p.grantWaiting()
}

// ResumeTransaction records that the transaction on c runs its next statement. It
// never waits, since others may wait for locks that the transaction holds.
func (p *Pool) ResumeTransaction(c *pconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.IdleInTransaction = false
	p.running++
	p.resumeTurn(c)
}

// RecordSuccess records that the instance ran a statement on c.
func (p *Pool) RecordSuccess(c *pconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learn(c)
	p.window.RecordSuccess(p.maxRunning())
}

// RecordRefusal records that the instance refused a statement because it was
// busy.
func (p *Pool) RecordRefusal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window.RecordRefusal(time.Now(), p.maxRunning())
}

// takeIdle removes and returns the idle connection of the workspace that fits
// the session best; nil without one. It closes connections that the instance has
// closed.
func (p *Pool) takeIdle(workspace string, settings map[string]string) *pconn.Conn {
	for {
		c := p.bestIdle(workspace, settings)
		if c == nil {
			return nil
		}
		isOpen := c.IsOpen()
		if isOpen && !p.isDoubtful(c) {
			return c
		}
		if !isOpen {
			p.noteUnread(c)
		}
		p.open--
		_ = c.Link.Close()
	}
}

// bestIdle removes and returns the workspace's most recently used idle
// connection on which exactly these session settings are set, or else one
// without settings, or else any.
func (p *Pool) bestIdle(workspace string, settings map[string]string) *pconn.Conn {
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.Workspace != workspace {
			continue
		}
		if c.HasSettings(settings) {
			best = i
			break
		}
		if best < 0 || c.HasNoSettings() && !p.idle[best].HasNoSettings() {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	c := p.idle[best]
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	return c
}

// closeOldestIdle closes the connection that has been idle for the longest time.
func (p *Pool) closeOldestIdle() {
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.open--
	_ = c.Link.Close()
}

// Put gives back a connection that can be used again.
func (p *Pool) Put(c *pconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countEnd(c.Workspace, !c.IdleInTransaction)
	c.IdleInTransaction = false
	p.endTurn(c)
	delete(p.turns, c)
	if p.closed {
		p.open--
		_ = c.Link.Close()
		return
	}
	if p.isDoubtful(c) {
		p.open--
		_ = c.Link.Close()
		p.grantWaiting()
		return
	}
	c.IdleSince = time.Now()
	p.idle = append(p.idle, c)
	p.grantWaiting()
}

// Drop closes a connection that must not be used again.
func (p *Pool) Drop(c *pconn.Conn) {
	_ = c.Link.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countEnd(c.Workspace, !c.IdleInTransaction)
	c.IdleInTransaction = false
	p.endTurn(c)
	delete(p.turns, c)
	p.open--
	p.grantWaiting()
}

// countStart counts a statement of the workspace that gets a connection; the
// caller holds mu.
func (p *Pool) countStart(workspace string) {
	p.running++
	p.inUse[workspace]++
}

// countEnd counts a connection that the workspace gives back; ran tells whether
// a statement was under way on it. The caller holds mu.
func (p *Pool) countEnd(workspace string, ran bool) {
	if ran {
		p.running--
	}
	p.inUse[workspace]--
	if p.inUse[workspace] <= 0 {
		delete(p.inUse, workspace)
	}
}

// canConnect reports whether a statement can get a connection.
func (p *Pool) canConnect() bool {
	return p.open < p.limit() || len(p.idle) > 0
}

// take returns an idle connection for a statement of the workspace, or nil for the
// right to open one, and counts the statement. Call it only after canConnect.
func (p *Pool) take(workspace string, settings map[string]string) *pconn.Conn {
	p.countStart(workspace)
	if c := p.takeIdle(workspace, settings); c != nil {
		return c
	}
	if p.open >= p.limit() && len(p.idle) > 0 {
		p.closeOldestIdle()
	}
	p.open++
	return nil
}

// CloseIdle closes connections that have been idle for too long.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.idle) > 0 {
		limit := idleTimeout
		if p.open > p.idleTarget {
			limit = extraIdleTimeout
		}
		if now.Sub(p.idle[0].IdleSince) < limit {
			return
		}
		p.closeOldestIdle()
	}
}

// Close closes the idle connections now, and the others when they are put back.
// Statements that wait are granted the right to open a connection, which is then
// closed when it is put back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for len(p.idle) > 0 {
		p.closeOldestIdle()
	}
	for _, w := range p.waiting {
		p.open++
		p.countStart(w.workspace)
		w.grant <- nil
	}
	p.waiting = nil
	p.grantAll()
}

// Counts returns how many connections are open, how many were opened in all
// and how often a statement got none.
func (p *Pool) Counts() (open int, opened, refused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.opened, p.refused
}
