package conns

import (
	"context"
	"fmt"
	"time"

	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// dialTimeout bounds a connect, which takes a round trip and about ten
// milliseconds of a slot of the instance.
const dialTimeout = 600 * time.Millisecond

// connect opens a connection that was counted already. When the instance refuses
// it because it has too many, the pool opens no more than it has for fullBackoff, or
// as its ramp tells where statements are admitted by priority and deadline.
func (p *Pool) connect(ctx context.Context, workspace string) (*pconn.Conn, error) {
	began := uptime.Now()
	l, err := p.dial(ctx, workspace)
	if err == nil {
		p.mu.Lock()
		p.opened++
		p.ramp.RecordOpened(p.open, p.evenShare+extraConns)
		p.mu.Unlock()
		return &pconn.Conn{
			Workspace: workspace,
			Instance:  p.server.ID,
			Link:      l,
			Observer:  p,
		}, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countEnd(workspace, true)
	p.open--
	if fault.IsKind(err, fault.Overloaded) {
		p.fullUntil = time.Now().Add(fullBackoff)
		p.fullLimit = p.open
		p.ramp.RecordRefused(uptime.Now(), began, p.open)
	}
	p.grantWaiting()
	return nil, err
}

// dial opens a connection and announces the workspace to the instance.
func (p *Pool) dial(ctx context.Context, workspace string) (link.Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, err := p.dialer.Dial(ctx, p.server.Address)
	if err != nil {
		return nil, unreachable(p.server.ID, err)
	}
	deadline, _ := ctx.Deadline()
	_ = l.SetReadDeadline(deadline) // if this fails, the read fails as well
	_ = l.SetWriteDeadline(deadline)
	r, err := l.StartSession(p.server.Service, workspace, p.server.ID)
	switch {
	case fault.IsRefusal(err): // nothing was sent
	case err != nil:
		err = unreachable(p.server.ID, err)
	case r.Outcome == reply.TooManyConnections:
		err = noFreeConnection(p.server.ID)
	case r.Outcome == reply.WrongServer:
		err = instanceGone(p.server.ID)
	case r.Outcome != reply.Done:
		err = unreachable(p.server.ID, fmt.Errorf("the instance refused the session: %s", r.Message))
	}
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

func noFreeConnection(id string) error {
	return fault.New(
		fault.Overloaded,
		"no connection to instance "+id+" is free",
		"retry later",
	)
}

func instanceGone(id string) error {
	return fault.New(
		fault.NotRun,
		"instance "+id+" is gone from its address",
		"retry; another instance may serve",
	)
}

func unreachable(id string, err error) error {
	return fault.New(
		fault.NotRun,
		"instance "+id+" can't be reached",
		"retry; another instance may serve",
	).Wrap(err)
}
