package conns

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/services/pconn"
)

// waiter is a statement that waits for a connection.
type waiter struct {
	workspace string
	priority  int
	// grant receives a connection, or nil for the right to open one.
	grant chan *pconn.Conn
}

// enqueue returns a place in the queue of those who wait.
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

// await waits up to wait until w is granted a connection, or the right to open
// one.
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
	return <-w.grant, nil // granted since the wait ended
}

// grantWaiting grants free connections to those who wait: by priority, and
// within one priority to the workspace that uses the fewest. The caller holds mu.
func (p *Pool) grantWaiting() {
	for len(p.waiting) > 0 && p.hasRoom() && p.canConnect() {
		w := p.popWaiter()
		w.grant <- p.take(w.workspace, nil)
	}
	p.grantAdmitted()
}

// popWaiter removes and returns the waiter that goes first; see grantWaiting.
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
