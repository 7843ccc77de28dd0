package sess

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

const (
	// primaryPollInterval is how often a waiting statement checks for the new
	// primary.
	primaryPollInterval = 20 * time.Millisecond
	// maxAttempts bounds how often one statement is sent: once to each of three
	// instances without waiting, and once more to each, waiting for a connection.
	maxAttempts = 6
	// busyRetryAfter is when callers are told to retry on a busy instance: it
	// has run a few statements by then.
	busyRetryAfter = 50 * time.Millisecond
	// minObjective is the least objective that is sent, since 0 stands for not
	// known.
	minObjective = time.Millisecond
	// noPrimaryRetryAfter is when callers are told to retry while there is no
	// primary.
	noPrimaryRetryAfter = 300 * time.Millisecond
	// noSuccessorRetryAfter is when they are told to retry while no instance can become
	// the primary: after about one heartbeat of an instance.
	noSuccessorRetryAfter = time.Second
)

// maxQueueWait is how long a statement may wait for a connection: a fraction of
// the database's target latency. Where holders admit by priority and deadline, it
// is what is left of half of the target: a rejected caller is told its turn, and the
// other half is for the statement itself.
func (g grant) maxQueueWait() time.Duration {
	if g.admission && g.rules.TargetLatency > 0 {
		return max(g.rules.TargetLatency/2-(uptime.Now()-g.arrived), minObjective)
	}
	return time.Duration(float64(g.rules.TargetLatency) * g.tuning.QueueFraction)
}

// objective returns the rank of the statement's priority and what is left of its
// operation's target latency; zeros if holders do not admit by them.
func (g grant) objective() (level int, left time.Duration) {
	if !g.admission {
		return 0, 0
	}
	if g.rules.TargetLatency == 0 {
		return g.rules.Level, 0
	}
	return g.rules.Level, max(g.rules.TargetLatency-(uptime.Now()-g.arrived), minObjective)
}

// retryAfter returns when the caller of a statement that was not run is told to
// retry: at the turn that the holder gives.
func retryAfter(err error) time.Duration {
	if f := fault.As(err); f != nil && f.RetryAfter > 0 {
		return f.RetryAfter
	}
	return busyRetryAfter
}

// describe returns the text of an error for a refusal, which tells when to retry
// itself.
func describe(err error) string {
	if f := fault.As(err); f != nil {
		return f.WithRetryAfter(0).Error()
	}
	return err.Error()
}

// maxRateWait is how long a statement may wait for tokens of its workspace's
// rate: a fraction of the database's target latency.
func (g grant) maxRateWait() time.Duration {
	return time.Duration(float64(g.rules.TargetLatency) * g.tuning.RateFraction)
}

// awaitPrimary returns the primary. While the primary is being replaced, it
// waits for a fraction of the statement's timeout. If only this host can't use
// the primary, it returns a refusal at once, with tryOtherHost set.
func (s *Session) awaitPrimary(ctx context.Context, v *dbview.View, g grant) (to server.Server, tryOtherHost bool, refusal *reply.Reply) {
	limit := time.Now().Add(time.Duration(float64(g.rules.Timeout) * g.tuning.ChangeFraction))
	for {
		p, reason := v.Primary()
		switch {
		case reason == "":
			return p, false, nil
		case reason == "lease-expired" || reason == "primary-unreachable":
			return p, true, s.refusal(reply.Busy, reason, "this host can't use the primary now; another host may", busyRetryAfter)
		case reason == dbview.NoSuccessor:
			return p, false, s.refusal(reply.Busy, reason, "the primary is to be replaced, but no other instance can take over", noSuccessorRetryAfter)
		case time.Now().After(limit) || ctx.Err() != nil:
			return p, false, s.refusal(reply.Busy, reason, "there is no primary to run the statement", noPrimaryRetryAfter)
		}
		time.Sleep(primaryPollInterval)
	}
}

// write runs a write outside of a transaction. A write is sent only once, since
// it must not run twice.
func (s *Session) write(ctx context.Context, g grant, q query.Query) reply.Reply {
	v := s.Views.View(g.rules.Service)
	deadline := time.Now().Add(g.rules.Timeout)
	to, tryOtherHost, refusal := s.awaitPrimary(ctx, v, g)
	if refusal != nil {
		s.reconnect = tryOtherHost
		return *refusal
	}
	a := s.newAttempt(v, to, g, g.maxQueueWait(), deadline)
	s.lastDecision = newDecision(v, to.ID)
	r, err := a.autocommit(ctx, q, s.settings, s.prepared[q.Name].Value, logpos.Position{})
	if err != nil {
		return s.writeFailure(err)
	}
	return s.confirmWrite(v, to, r)
}

// writeFailure returns the reply to a write that the instance did not answer:
// in doubt if the write may have run.
func (s *Session) writeFailure(err error) reply.Reply {
	if !fault.IsKind(err, fault.OutcomeUnknown) {
		return *s.refusal(reply.Busy, "not-sent", describe(err), retryAfter(err))
	}
	return *s.refusal(reply.InDoubt, "no-answer", err.Error(), 0)
}

// confirmWrite returns the caller's reply to a write that the instance answered.
// It reports success only if the instance was surely still the primary when the
// answer came, or if it hands over as planned and so stops before its successor
// starts. Otherwise the write may be lost with a superseded primary, and the
// reply is in doubt.
func (s *Session) confirmWrite(v *dbview.View, from server.Server, r reply.Reply) reply.Reply {
	if r.Outcome != reply.Done {
		return s.instanceRefusal(r)
	}
	if !v.HasLease(from.ID) && !v.Handover(from.ID) {
		return *s.refusal(reply.InDoubt, "superseded", "instance "+from.ID+" answered, but it may have been replaced; the write may be lost", 0)
	}
	if r.Position.Newer(s.lastWrite) {
		s.lastWrite = r.Position
	}
	return r
}

// instanceRefusal passes an instance's refusal on and adds when to retry.
func (s *Session) instanceRefusal(r reply.Reply) reply.Reply {
	s.Meter.RecordRefusal("instance")
	if r.NotRun() && r.RetryAfter == 0 {
		r.RetryAfter = busyRetryAfter
	}
	return r
}

// read runs a read outside of a transaction, on a replica if the database's
// freshness setting allows it.
func (s *Session) read(ctx context.Context, g grant, q query.Query) reply.Reply {
	x := &readRequest{
		session:  s,
		grant:    g,
		view:     s.Views.View(g.rules.Service),
		query:    q,
		settings: s.settings,
		prepared: s.prepared[q.Name].Value,
		arrived:  uptime.Now(),
		deadline: time.Now().Add(g.rules.Timeout),
		tried:    map[string]bool{},
		lagged:   map[string]bool{},
		results:  make(chan readResult, 2*maxAttempts),
	}
	return x.run(ctx)
}

// readRequest is one read, which may be sent to several instances until one
// answers.
type readRequest struct {
	session  *Session
	grant    grant
	view     *dbview.View
	query    query.Query
	settings map[string]string
	prepared string
	arrived  time.Duration
	deadline time.Time
	// tried are the instances that the read was sent to, and lagged those of
	// them whose log had not reached the minimum position.
	tried  map[string]bool
	lagged map[string]bool
	// noFreeConnection is set once an instance had no connection free, and
	// waited once the read was sent again to wait for one.
	noFreeConnection bool
	waited           bool
	attempts         int
	running          int
	// choice is why the instances were ordered as they were; see package choice.
	choice    string
	results   chan readResult
	lastReply reply.Reply
	// lastErr is why the last instance that gave no answer gave none.
	lastErr error
	// rejection is the last rejection of an instance at which the read would have
	// waited, or else the last one.
	rejection *fault.Fault
	queued    bool
}

// readResult is the answer of one instance to a read.
type readResult struct {
	server server.Server
	// replica is set if the instance was asked as a replica, with a minimum
	// position. The primary may have changed since.
	replica bool
	// queued is set if the read could wait at the instance.
	queued bool
	reply  reply.Reply
	err    error
}

func (x *readRequest) run(ctx context.Context) reply.Reply {
	refusal := x.tryNext(ctx, true)
	if refusal != nil {
		return *refusal
	}
	hedge := time.NewTimer(x.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case a := <-x.results:
			x.running--
			if r, ok := x.accept(a); ok {
				return r
			}
			if refusal := x.tryNext(ctx, x.running == 0); refusal != nil && x.running == 0 {
				return x.finalReply(refusal)
			}
		case <-hedge.C:
			_ = x.tryNext(ctx, false) // without another instance, wait for the first one
		}
	}
}

// hedgeAfter is when the read is sent to a second instance if the first has not
// answered: a hedged request.
func (x *readRequest) hedgeAfter() time.Duration {
	return min(max(x.grant.tuning.HedgeDelay, x.grant.rules.TargetLatency/2), x.grant.rules.Timeout/2)
}

// finalReply is the reply after the last attempt: the last refusal of an
// instance, or else the reason why no other instance could be asked.
func (x *readRequest) finalReply(refusal *reply.Reply) reply.Reply {
	if x.lastReply.Outcome != reply.Done {
		if x.rejection != nil && x.lastReply.RetryAfter == 0 {
			x.lastReply.RetryAfter = x.rejection.RetryAfter
		}
		return x.session.instanceRefusal(x.lastReply)
	}
	if x.rejection != nil {
		refusal.RetryAfter = x.rejection.RetryAfter
		refusal.Message += ": " + x.rejection.Reason
	} else if x.lastErr != nil {
		refusal.Message += ": " + describe(x.lastErr)
	}
	return *refusal
}

// recordRejection keeps the time of a turn at an instance. Only instances at which the
// read could wait have promised one; the others name a time to try again.
func (x *readRequest) recordRejection(a readResult) {
	f := fault.As(a.err)
	if f == nil || f.RetryAfter == 0 || x.queued && !a.queued {
		return
	}
	x.rejection = f
	x.queued = a.queued
}

// accept records an instance's answer and reports whether it ends the read.
func (x *readRequest) accept(a readResult) (reply.Reply, bool) {
	if fault.IsRefusal(a.err) {
		return *x.session.refusal(reply.Busy, "not-sent", describe(a.err), retryAfter(a.err)), true
	}
	if a.err != nil {
		x.lastErr = a.err
		x.noFreeConnection = x.noFreeConnection || fault.IsKind(a.err, fault.Overloaded)
		x.recordRejection(a)
		return reply.Reply{}, false
	}
	if a.reply.Outcome != reply.Done {
		x.lastReply = a.reply
		x.lagged[a.server.ID] = a.reply.Outcome == reply.Lagging
		return a.reply, !a.reply.NotRun() && a.reply.Outcome != reply.Failed
	}
	if x.isFresh(a) {
		x.session.Meter.RecordRead(a.replica)
		return a.reply, true
	}
	return reply.Reply{}, false
}

// isFresh reports whether an answer is surely as fresh as the database's rules
// ask for. A replica has checked the minimum position itself; a primary must
// still hold its lease.
func (x *readRequest) isFresh(a readResult) bool {
	return a.replica || x.view.HasLease(a.server.ID)
}

// tryNext sends the read to another instance, or returns a refusal that says
// why there is none. The read waits for a primary or for a free connection only
// if mayWait is set.
func (x *readRequest) tryNext(ctx context.Context, mayWait bool) *reply.Reply {
	if time.Now().After(x.deadline) {
		return x.session.refusal(reply.Aborted, "no-answer", "no instance answered the read in time", busyRetryAfter)
	}
	if x.attempts >= maxAttempts {
		return x.session.refusal(reply.Busy, "no-instance", "no instance can run the read now", busyRetryAfter)
	}
	to, replica, minPosition, found := x.chooseInstance()
	wait := time.Duration(0)
	if !found && mayWait && x.grant.rules.Freshness != route.Primary && x.noFreeConnection && !x.waited {
		x.waited = true
		clear(x.tried)
		to, replica, minPosition, found = x.chooseInstance()
		wait = x.grant.maxQueueWait()
	}
	if !found {
		var refusal *reply.Reply
		to, refusal = x.choosePrimary(ctx, mayWait)
		if refusal != nil {
			return refusal
		}
		wait = x.grant.maxQueueWait()
	}
	x.send(ctx, to, replica, minPosition, wait)
	return nil
}

// send sends the read to one instance, while others may still be running it.
func (x *readRequest) send(ctx context.Context, to server.Server, replica bool, minPosition logpos.Position, wait time.Duration) {
	x.attempts++
	d := newDecision(x.view, to.ID)
	d.choice = x.choice
	d.minPosition = minPosition
	d.attempts = x.attempts
	x.session.lastDecision = d
	x.tried[to.ID] = true
	x.running++
	a := x.session.newAttempt(x.view, to, x.grant, wait, x.deadline)
	go func() {
		r, err := a.autocommit(ctx, x.query, x.settings, x.prepared, minPosition)
		x.results <- readResult{
			server:  to,
			replica: replica,
			queued:  wait > 0,
			reply:   r,
			err:     err,
		}
	}()
}

// chooseInstance picks the next instance for a read that may run on replicas. It
// returns whether the instance is asked as a replica and, if so, the minimum
// position that its log must have reached; the primary needs none.
func (x *readRequest) chooseInstance() (to server.Server, replica bool, minPosition logpos.Position, found bool) {
	if x.grant.rules.Freshness == route.Primary {
		return server.Server{}, false, logpos.Position{}, false
	}
	minPosition, ok := x.view.MinPosition(x.arrived-x.grant.rules.MaxAge, x.session.lastWrite)
	if !ok {
		return server.Server{}, false, logpos.Position{}, false
	}
	l, _ := x.view.Leader()
	candidates, reason := x.view.ReadCandidates(minPosition)
	x.choice = reason
	for _, s := range candidates {
		if x.tried[s.ID] || x.lagged[s.ID] {
			continue
		}
		if s.ID == l.Primary && l.Phase == leader.Settled {
			return s, false, logpos.Position{}, true
		}
		return s, true, minPosition, true
	}
	return server.Server{}, false, logpos.Position{}, false
}

// choosePrimary returns the primary, unless the read was sent to it already.
func (x *readRequest) choosePrimary(ctx context.Context, mayWait bool) (server.Server, *reply.Reply) {
	if !mayWait {
		to, reason := x.view.Primary()
		if reason != "" || x.tried[to.ID] {
			return to, x.session.refusal(reply.Busy, "no-instance", "no other instance can run the read", busyRetryAfter)
		}
		return to, nil
	}
	to, tryOtherHost, refusal := x.session.awaitPrimary(ctx, x.view, x.grant)
	x.session.reconnect = tryOtherHost
	if refusal == nil && x.tried[to.ID] {
		refusal = x.session.refusal(reply.Busy, "no-instance", "no instance can run the read now", busyRetryAfter)
	}
	return to, refusal
}
