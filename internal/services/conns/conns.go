// Package conns holds this host's connections to one instance. Each belongs to
// one workspace; the instance takes a limited number from all hosts together,
// and its refusal of one more is the only arbiter.
package conns

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/window"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	// reserve is how many of an instance's connections no host counts on: room
	// for hosts that have just started.
	reservedConns = 2
	// keptPart is the part of an instance's connections that hosts keep open
	// while they are idle. An instance drops the connections of hosts that
	// lost power only after seconds; the rest is what those hosts come back to.
	idleFraction = 0.5
	// borrowed is how many connections a host may hold beyond its even part,
	// as long as the instance takes them.
	extraConns = 3
	// borrowedIdle is how long an idle connection beyond the even part is
	// kept.
	extraIdleTimeout = 250 * time.Millisecond
	// keptIdle is how long an idle connection within the even part is kept.
	// It is below the time after which instances close idle connections.
	idleTimeout = 20 * time.Second
	// fullFor is how long the host opens no more connections than it has
	// after the instance refused one.
	fullBackoff = time.Second
	// depth is how many statements all hosts together give an instance for
	// each of its slots: one that runs and two that wait.
	statementsPerSlot = 3
	// leastRunning is how many one host gives it at least, so that a workspace
	// whose connections it holds is not held up by one long statement.
	minRunning = 2
	// fullPause is the pause before another try after the instance refused a
	// connection: about the time that one statement holds one.
	retryPause = 15 * time.Millisecond
)

// dialer opens connections to instances.
type dialer interface {
	Dial(ctx context.Context, address string) (link.Link, error)
}

// Pool is the host's connections to one instance. It is safe for concurrent
// use.
type Pool struct {
	server server.Server
	dialer dialer

	mu sync.Mutex
	// part is the host's even part of the connections, keep how many of them
	// it keeps open while they are idle.
	evenShare    int
	idleTarget    int
	open    int
	idle    []*pconn.Conn // the longest idle first
	waiting []*waiter
	fullUntil    time.Time
	fullLimit  int
	closed  bool
	opened  int64
	refused int64
	inUse   map[string]int
	window  window.Window
	// running counts the statements that the instance was given.
	running int
	// cold limits what an instance gets that has just started; nil for others.
	warmupLimit *rate.Limiter
	// sharing is how many hosts send to the instance.
	hosts int
}

// waiter is a statement that waits for a connection.
type waiter struct {
	workspace string
	priority  int
	// grant is sent a connection, or nil for the right to open one.
	grant chan *pconn.Conn
}

// New returns a pool without connections.
func New(s server.Server, d dialer) *Pool {
	return &Pool{
		server: s,
		dialer: d,
		evenShare:   1,
		idleTarget:   1,
		inUse:  map[string]int{},
	}
}

// Resize tells how many connections the instance takes in all and how many
// hosts share them.
func (p *Pool) Resize(limit, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = max(hosts, 1)
	p.evenShare = max(1, (limit-reservedConns)/p.hosts)
	p.idleTarget = max(1, int(idleFraction*float64(limit))/p.hosts)
}

// Get returns a connection for the workspace that holds the session values if
// there is one. It waits for one up to wait; a fault of the kind overloaded
// says that there was none.
func (p *Pool) Get(ctx context.Context, workspace string, values map[string]string, priority int, wait time.Duration) (*pconn.Conn, error) {
	until := time.Now().Add(wait)
	for {
		c, err := p.tryGet(ctx, workspace, values, priority, time.Until(until))
		if !fault.IsKind(err, fault.Overloaded) || time.Until(until) < retryPause || ctx.Err() != nil {
			return c, err
		}
		time.Sleep(retryPause) // other hosts give connections back all the time
	}
}

func (p *Pool) tryGet(ctx context.Context, workspace string, values map[string]string, priority int, wait time.Duration) (*pconn.Conn, error) {
	c, dial, w, err := p.reserve(workspace, values, priority, wait)
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

// reserve takes an idle connection, or the right to open one, or a place in
// the queue.
func (p *Pool) reserve(workspace string, values map[string]string, priority int, wait time.Duration) (c *pconn.Conn, dial bool, w *waiter, err error) {
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
	if c := p.takeIdle(workspace, values); c != nil {
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

// queue takes a place among those who wait.
func (p *Pool) enqueue(workspace string, priority int, wait time.Duration) (*waiter, error) {
	if wait <= 0 {
		p.refused++
		return nil, noFreeConnection(p.server.ID)
	}
	w := &waiter{
		workspace: workspace,
		priority:  priority,
		grant:     make(chan *pconn.Conn, 1),
	}
	p.waiting = append(p.waiting, w)
	return w, nil
}

// Warm bounds the statements a second that this host gives the instance while
// it is cold after its start; 0 without a bound.
func (p *Pool) Warm(perSecond float64) {
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
	if time.Now().Before(p.fullUntil) {
		return max(1, p.fullLimit)
	}
	return p.evenShare + extraConns
}

// room reports whether one more statement may go to the instance now.
func (p *Pool) hasRoom() bool {
	return p.running < p.window.Limit(p.maxRunning())
}

// most returns how many statements this host gives the instance at once: its
// part of a short queue before each slot. What waits longer waits here, where
// the more urgent goes first.
func (p *Pool) maxRunning() int {
	all := statementsPerSlot * max(p.server.Slots, 1)
	return max(minRunning, (all+p.hosts-1)/max(p.hosts, 1))
}

// Rest notes that a transaction keeps its connection and runs nothing on it.
func (p *Pool) Rest(c *pconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Resting = true
	p.running--
	p.grantWaiting()
}

// Resume notes that the transaction runs its next statement. It never waits:
// others wait for what the transaction holds.
func (p *Pool) Resume(c *pconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Resting = false
	p.running++
}

// Served notes a statement that the instance ran.
func (p *Pool) Served() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window.Served(p.maxRunning())
}

// Refused notes that the instance had no room for a statement.
func (p *Pool) Refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window.Refused(time.Now(), p.maxRunning())
}

// take removes and returns the idle connection of the workspace that fits the
// session best; nil without one. Connections that the instance closed go.
func (p *Pool) takeIdle(workspace string, values map[string]string) *pconn.Conn {
	for {
		c := p.bestIdle(workspace, values)
		if c == nil || c.Standing() {
			return c
		}
		p.open--
		_ = c.Link.Close()
	}
}

func (p *Pool) bestIdle(workspace string, values map[string]string) *pconn.Conn {
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if c.Workspace != workspace {
			continue
		}
		if c.Stamp(values) {
			best = i
			break
		}
		if best < 0 || c.Blank() && !p.idle[best].Blank() {
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

// evict closes the connection that has been idle for the longest time.
func (p *Pool) closeOldestIdle() {
	c := p.idle[0]
	p.idle = p.idle[1:]
	p.open--
	_ = c.Link.Close()
}

func (p *Pool) await(ctx context.Context, w *waiter, wait time.Duration) (*pconn.Conn, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case c := <-w.grant:
		return c, nil
	case <-t.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiting {
		if other == w {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			p.refused++
			return nil, noFreeConnection(p.server.ID)
		}
	}
	return <-w.grant, nil // it was granted meanwhile
}

// Put gives back a connection that can be used again.
func (p *Pool) Put(c *pconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countEnd(c.Workspace, !c.Resting)
	c.Resting = false
	if p.closed {
		p.open--
		_ = c.Link.Close()
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
	p.countEnd(c.Workspace, !c.Resting)
	c.Resting = false
	p.open--
	p.grantWaiting()
}

func (p *Pool) countStart(workspace string) {
	p.running++
	p.inUse[workspace]++
}

func (p *Pool) countEnd(workspace string, ran bool) {
	if ran {
		p.running--
	}
	p.inUse[workspace]--
	if p.inUse[workspace] <= 0 {
		delete(p.inUse, workspace)
	}
}

// serve grants what is free to those who wait: urgent lanes first, then the
// workspace that uses least.
func (p *Pool) grantWaiting() {
	for len(p.waiting) > 0 && p.hasRoom() {
		if p.open >= p.limit() && len(p.idle) == 0 {
			return
		}
		w := p.popWaiter()
		p.countStart(w.workspace)
		if c := p.takeIdle(w.workspace, nil); c != nil {
			w.grant <- c
			continue
		}
		if p.open >= p.limit() && len(p.idle) > 0 {
			p.closeOldestIdle()
		}
		p.open++
		w.grant <- nil
	}
}

func (p *Pool) popWaiter() *waiter {
	best := 0
	for i, w := range p.waiting {
		b := p.waiting[best]
		if w.priority < b.priority || w.priority == b.priority && p.inUse[w.workspace] < p.inUse[b.workspace] {
			best = i
		}
	}
	w := p.waiting[best]
	p.waiting = append(p.waiting[:best], p.waiting[best+1:]...)
	return w
}

// Trim closes connections that have been idle for too long.
func (p *Pool) Trim() {
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

// Close closes the idle connections, and the others as they are put back.
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
}

// Counts returns how many connections are open, how many were opened in all
// and how often a statement found none.
func (p *Pool) Counts() (open int, opened, refused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.opened, p.refused
}
