// Package pool is the connection pool for the statements of one instance.
package pool

import (
	"context"
	"sync"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// ControlConnections is how many of an instance's connections are reserved for
// control calls of the present coordinator and the next one, and for cancel
// requests.
const ControlConnections = 4

type dialer interface {
	Dial(ctx context.Context, term uint64, readOnly bool) (*dbconn.Conn, error)
}

// Pool opens connections on demand, up to its limit, and reuses idle ones. It is
// safe for concurrent use.
type Pool struct {
	dial  dialer
	limit int

	mu   sync.Mutex
	idle []*dbconn.Conn
	open int
	term uint64
	// changed is closed and replaced when a connection or room for one becomes
	// free.
	changed chan struct{}
}

// New returns a pool for an instance that accepts the given number of connections
// in all.
func New(dial dialer, connections int) *Pool {
	return &Pool{
		dial:    dial,
		limit:   max(connections-ControlConnections, 1),
		changed: make(chan struct{}),
	}
}

// Limit returns the most connections that the pool opens.
func (p *Pool) Limit() int {
	return p.limit
}

// SetTerm sets the coordinator's term for new connections and closes the idle
// ones. Those in use are closed when they are put back.
func (p *Pool) SetTerm(term uint64) {
	p.mu.Lock()
	p.term = term
	old := p.idle
	p.idle = nil
	p.open -= len(old)
	p.notify()
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Net.Close()
	}
}

// Get returns a connection of the pool's term, read-only or not. It waits while
// all are in use. Idle connections with unread input are closed.
func (p *Pool) Get(ctx context.Context, readOnly bool) (*dbconn.Conn, error) {
	for {
		c, evicted, wait := p.reserve(readOnly)
		if evicted != nil {
			_ = evicted.Net.Close()
		}
		if c != nil && c.IsIdle() {
			return c, nil
		}
		if c != nil {
			klog.V(1).InfoS("idle connection to an instance closed: the instance has ended it, or sent what no batch asked for", "process", c.ProcessID)
			p.Discard(c)
			continue
		}
		if wait == nil {
			return p.connect(ctx, readOnly)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fault.New(fault.Overloaded, "no connection became free in time", "send the request again").Wrap(ctx.Err())
		}
	}
}

// reserve returns an idle connection if there is one that fits. Otherwise it
// reserves room for a new connection, for which the caller may have to close an
// idle one of the other kind: evicted. If there is no room, it returns a channel
// that is closed when to try again.
func (p *Pool) reserve(readOnly bool) (c, evicted *dbconn.Conn, wait <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].ReadOnly == readOnly {
			c = p.idle[i]
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c, nil, nil
		}
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	if len(p.idle) > 0 {
		evicted = p.idle[0]
		p.idle = p.idle[1:]
		return nil, evicted, nil
	}
	return nil, nil, p.changed
}

func (p *Pool) connect(ctx context.Context, readOnly bool) (*dbconn.Conn, error) {
	p.mu.Lock()
	term := p.term
	p.mu.Unlock()
	c, err := p.dial.Dial(ctx, term, readOnly)
	if err != nil {
		p.removeConn()
		return nil, err
	}
	return c, nil
}

// Put puts back a connection on which no answer is outstanding and no transaction
// open. A tainted one, or one of another term, is closed.
func (p *Pool) Put(c *dbconn.Conn) {
	p.mu.Lock()
	if c.Tainted || c.Term != p.term {
		p.mu.Unlock()
		p.Discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.notify()
	p.mu.Unlock()
}

// Discard closes a connection whose state is unknown.
func (p *Pool) Discard(c *dbconn.Conn) {
	_ = c.Net.Close()
	p.removeConn()
}

// removeConn counts a connection as closed.
func (p *Pool) removeConn() {
	p.mu.Lock()
	p.open--
	p.notify()
	p.mu.Unlock()
}

// notify wakes the goroutines that wait in Get. The caller holds mu.
func (p *Pool) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Open returns how many connections are open.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
