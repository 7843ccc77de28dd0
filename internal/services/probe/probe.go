// Package probe asks instances for their status and sends them the commands of a
// failover, on separate connections.
package probe

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/dedup"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	// timeout bounds one request, including the connect. A connect takes about
	// ten milliseconds of a slot, and an instance under load answers late.
	timeout = 700 * time.Millisecond
	// idleTimeout is how long an idle connection is kept for the next request.
	idleTimeout = 2 * time.Second
	// repeatMemory is how long after an instance was seen to repeat an answer each of its
	// connections is used for one request only.
	repeatMemory = time.Minute
	// anonymousWorkspace is what instances are told without a workspace.
	anonymousWorkspace = "-"
)

// modes of a request: what has to be known of its answer. Answers name no request, and an
// instance may send one twice.
const (
	// anyAnswer is an answer that may be the repetition of an earlier one.
	anyAnswer = iota
	// ownAnswer has to belong to the request: it is unlike all earlier ones on the
	// connection, or the request is the first one there.
	ownAnswer
	// firstAnswer is that to the first request on a new connection.
	firstAnswer
)

// dialer opens connections to instances.
type dialer interface {
	Dial(ctx context.Context, address string) (link.Link, error)
}

// policies returns the configuration in force.
type policies interface {
	Policy() *policy.Policy
}

// Prober sends requests to instances. It is safe for concurrent use. Requests to
// one instance run one at a time.
type Prober struct {
	dialer   dialer
	policies policies

	queries atomic.Int64
	dials   atomic.Int64
	refused atomic.Int64

	mu    sync.Mutex
	conns map[string]*conn
	// unwritable are names of workspaces that instances can't be told.
	unwritable map[string]struct{}
}

// conn is the connection to one instance. One call at a time uses it.
type conn struct {
	// inUse holds an element while a call uses the connection.
	inUse chan struct{}
	link  link.Link
	used  time.Time
	// reports are the answers on the link so far.
	reports dedup.Reports
	// repeatsUntil is until when the instance counts as one that repeats answers.
	repeatsUntil time.Time
}

// New returns a prober.
func New(d dialer, p policies) *Prober {
	return &Prober{
		dialer:   d,
		policies: p,
		conns:    map[string]*conn{},

		unwritable: map[string]struct{}{},
	}
}

// Counts returns how many requests were sent to instances since the start, how many
// connections were opened for them, and how many of these the instances refused.
func (p *Prober) Counts() (queries, dials, refused int64) {
	return p.queries.Load(), p.dials.Load(), p.refused.Load()
}

// Status asks an instance for its report. With an outcome other than Done the
// instance answered without a report. If the instance repeats answers, the report may be
// that of an earlier request; see FreshStatus.
func (p *Prober) Status(ctx context.Context, s server.Server) (report.Report, int, error) {
	return p.call(ctx, s, anyAnswer, link.Link.Status)
}

// FreshStatus is Status with a report from after the call, at the price of a new connection.
func (p *Prober) FreshStatus(ctx context.Context, s server.Server) (report.Report, int, error) {
	return p.call(ctx, s, firstAnswer, link.Link.Status)
}

// PauseReplication makes a replica stop receiving from its primary, so that a later term
// can begin.
func (p *Prober) PauseReplication(ctx context.Context, s server.Server, term uint64) (report.Report, int, error) {
	return p.call(ctx, s, ownAnswer, func(l link.Link) (report.Report, reply.Reply, error) {
		return l.PauseReplication(term)
	})
}

// ResumeReplication makes a replica receive again.
func (p *Prober) ResumeReplication(ctx context.Context, s server.Server) (report.Report, int, error) {
	return p.call(ctx, s, ownAnswer, link.Link.ResumeReplication)
}

// StepDown makes an instance that is the primary of an earlier term a replica.
func (p *Prober) StepDown(ctx context.Context, s server.Server, term uint64) (report.Report, int, error) {
	return p.call(ctx, s, ownAnswer, func(l link.Link) (report.Report, reply.Reply, error) {
		return l.StepDown(term)
	})
}

// call runs one request on the connection to an instance, which it opens if needed. If the
// answer may belong to an earlier request although the mode forbids it, the request is sent
// again on a new connection: commands may run twice.
func (p *Prober) call(ctx context.Context, s server.Server, mode int, request func(link.Link) (report.Report, reply.Reply, error)) (report.Report, int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := p.conn(s.ID)
	select {
	case c.inUse <- struct{}{}:
	case <-ctx.Done():
		return report.Report{}, 0, ctx.Err()
	}
	defer c.release()
	c.noteUnread(s.ID)
	if mode == firstAnswer || mode == ownAnswer && c.reports.Doubtful() {
		c.close()
	}
	for {
		if outcome, err := p.open(ctx, c, s); err != nil || outcome != reply.Done {
			return report.Report{}, outcome, err
		}
		deadline, _ := ctx.Deadline()
		_ = c.link.SetReadDeadline(deadline) // an error shows at the next read
		_ = c.link.SetWriteDeadline(deadline)
		p.queries.Add(1)
		r, answer, err := request(c.link)
		if err != nil {
			c.close()
			return report.Report{}, 0, err
		}
		c.used = time.Now()
		if own := c.reports.Add(r, answer.Outcome); own || mode == anyAnswer {
			return r, answer.Outcome, nil
		}
		c.close()
	}
}

func (p *Prober) conn(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[id]
	if !ok {
		c = &conn{
			inUse: make(chan struct{}, 1),
		}
		p.conns[id] = c
	}
	return c
}

// open opens the connection unless it was used within idleTimeout. With an
// outcome other than Done the instance accepts no more connections.
func (p *Prober) open(ctx context.Context, c *conn, s server.Server) (int, error) {
	if c.link != nil && time.Since(c.used) < idleTimeout && time.Now().After(c.repeatsUntil) {
		return reply.Done, nil
	}
	c.close()
	l, r, err := p.startSession(ctx, s)
	if err == nil && r.Outcome == reply.Done {
		c.link = l
		c.reports = dedup.Reports{}
		return reply.Done, nil
	}
	if l != nil {
		_ = l.Close()
		p.refused.Add(1)
	}
	if err == nil && r.Outcome != reply.TooManyConnections {
		err = fmt.Errorf("instance %s refused the session: %s", s.ID, r.Message)
	}
	return r.Outcome, err
}

// startSession dials an instance and starts a session there. It passes over workspaces that
// instances can't be told.
func (p *Prober) startSession(ctx context.Context, s server.Server) (link.Link, reply.Reply, error) {
	for {
		p.dials.Add(1)
		l, err := p.dialer.Dial(ctx, s.Address)
		if err != nil {
			return nil, reply.Reply{}, err
		}
		deadline, _ := ctx.Deadline()
		_ = l.SetReadDeadline(deadline) // an error shows at the next read
		_ = l.SetWriteDeadline(deadline)
		workspace := p.workspace()
		r, err := l.StartSession(s.Service, workspace, s.ID)
		if !fault.IsRefusal(err) || workspace == anonymousWorkspace {
			return l, r, err
		}
		_ = l.Close() // nothing was sent
		p.passOver(workspace)
	}
}

// CloseIdle closes the connections that were not used within idleTimeout.
func (p *Prober) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.conns {
		select {
		case c.inUse <- struct{}{}:
		default:
			continue
		}
		if time.Since(c.used) >= idleTimeout {
			c.close()
			if time.Now().After(c.repeatsUntil) {
				delete(p.conns, id)
			}
		}
		c.release()
	}
}

// workspace returns the name of any workspace that instances can be told: an instance
// requires one, although its status is not specific to a workspace.
func (p *Prober) workspace() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cfg := p.policies.Policy(); cfg != nil {
		for name := range cfg.Workspaces {
			if _, ok := p.unwritable[name]; !ok {
				return name
			}
		}
	}
	return anonymousWorkspace
}

// passOver records that instances can't be told the name of a workspace.
func (p *Prober) passOver(workspace string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unwritable[workspace] = struct{}{}
}

// noteUnread notes that the instance repeats answers if one has arrived that nobody asked
// for: it or the one read last is a repetition.
func (c *conn) noteUnread(instance string) {
	if c.link == nil || !c.link.HasUnread() {
		return
	}
	if time.Now().After(c.repeatsUntil) {
		klog.InfoS("an instance sent an answer that nobody asked for; for some time a new connection is used for each status query", "instance", instance, "time", repeatMemory.String())
	}
	c.repeatsUntil = time.Now().Add(repeatMemory)
}

// release lets the next call use the connection.
func (c *conn) release() {
	<-c.inUse
}

// close closes the connection if it is open.
func (c *conn) close() {
	if c.link != nil {
		_ = c.link.Close()
		c.link = nil
	}
}
