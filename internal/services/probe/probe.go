// Package probe asks instances for their reports and gives them the orders of
// a change of primary, on connections of its own.
package probe

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/services/link"
)

const (
	// timeout bounds one question, its connect included: a connect takes some
	// ten milliseconds of a slot, and an instance under load answers late.
	timeout = 700 * time.Millisecond
	// idleLimit is how long a connection is kept for the next question.
	idleLimit = 2 * time.Second
)

// dialer opens connections to instances.
type dialer interface {
	Dial(ctx context.Context, address string) (link.Link, error)
}

// policies is the configuration in force.
type policies interface {
	Policy() *policy.Policy
}

// Prober asks instances. It is safe for concurrent use; questions to one
// instance go one after the other.
type Prober struct {
	dialer   dialer
	policies policies

	mu    sync.Mutex
	lines map[string]*line
}

// line is the connection to one instance.
type line struct {
	mu   sync.Mutex
	link link.Link
	used time.Time
}

// New returns a prober.
func New(d dialer, p policies) *Prober {
	return &Prober{
		dialer:   d,
		policies: p,
		lines:    map[string]*line{},
	}
}

// Status asks an instance for its report. An outcome other than Done tells
// that the instance answered without one.
func (p *Prober) Status(ctx context.Context, s server.Server) (report.Report, int, error) {
	return p.ask(ctx, s, func(l link.Link) (report.Report, reply.Reply, error) {
		return l.Status()
	})
}

// Hold stops a replica from receiving for the sake of a later term.
func (p *Prober) Hold(ctx context.Context, s server.Server, term uint64) (report.Report, int, error) {
	return p.ask(ctx, s, func(l link.Link) (report.Report, reply.Reply, error) {
		return l.Hold(term)
	})
}

// Release lets a replica receive again.
func (p *Prober) Release(ctx context.Context, s server.Server) (report.Report, int, error) {
	return p.ask(ctx, s, func(l link.Link) (report.Report, reply.Reply, error) {
		return l.Release()
	})
}

// StepDown makes a primary of a term below this one a replica.
func (p *Prober) StepDown(ctx context.Context, s server.Server, term uint64) (report.Report, int, error) {
	return p.ask(ctx, s, func(l link.Link) (report.Report, reply.Reply, error) {
		return l.StepDown(term)
	})
}

func (p *Prober) ask(ctx context.Context, s server.Server, question func(link.Link) (report.Report, reply.Reply, error)) (report.Report, int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n := p.line(s.ID)
	n.mu.Lock()
	defer n.mu.Unlock()
	if outcome, err := p.open(ctx, n, s); err != nil || outcome != reply.Done {
		return report.Report{}, outcome, err
	}
	deadline, _ := ctx.Deadline()
	_ = n.link.SetReadDeadline(deadline) // a failure shows at the read
	_ = n.link.SetWriteDeadline(deadline)
	r, answer, err := question(n.link)
	if err != nil {
		n.shut()
		return report.Report{}, 0, err
	}
	n.used = time.Now()
	return r, answer.Outcome, nil
}

func (p *Prober) line(id string) *line {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.lines[id]
	if !ok {
		n = &line{}
		p.lines[id] = n
	}
	return n
}

// open makes sure that the line has a connection that was used lately. An
// outcome other than Done tells that the instance takes no more connections.
func (p *Prober) open(ctx context.Context, n *line, s server.Server) (int, error) {
	if n.link != nil && time.Since(n.used) < idleLimit {
		return reply.Done, nil
	}
	n.shut()
	l, err := p.dialer.Dial(ctx, s.Address)
	if err != nil {
		return 0, err
	}
	deadline, _ := ctx.Deadline()
	_ = l.SetReadDeadline(deadline) // a failure shows at the read
	_ = l.SetWriteDeadline(deadline)
	r, err := l.Hello(s.Service, p.workspace(), s.ID)
	if err == nil && r.Outcome == reply.Done {
		n.link = l
		return reply.Done, nil
	}
	_ = l.Close()
	if err == nil && r.Outcome != reply.TooManyConnections {
		err = fmt.Errorf("instance %s refused the session: %s", s.ID, r.Message)
	}
	return r.Outcome, err
}

// Trim closes connections that were not used lately.
func (p *Prober) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, n := range p.lines {
		if !n.mu.TryLock() {
			continue
		}
		if time.Since(n.used) >= idleLimit {
			n.shut()
			delete(p.lines, id)
		}
		n.mu.Unlock()
	}
}

// workspace names any workspace: an instance wants one, and a report is not
// for any.
func (p *Prober) workspace() string {
	if now := p.policies.Policy(); now != nil {
		for name := range now.Workspaces {
			return name
		}
	}
	return "-"
}

func (n *line) shut() {
	if n.link != nil {
		_ = n.link.Close()
		n.link = nil
	}
}
