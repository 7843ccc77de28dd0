package talk

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
	// changePoll is how often a waiting statement looks for the new primary.
	changePoll = 20 * time.Millisecond
	// maxTries bounds how often one statement is offered: to each of three
	// instances at once, and again to wait for a connection.
	maxTries = 6
	// busyAfter is when callers are told to come back to a busy instance: a
	// few statements later.
	busyAfter = 50 * time.Millisecond
	// changeAfter is when callers are told to come back when there is no
	// primary.
	changeAfter = 300 * time.Millisecond
)

// queueWait is how long a statement of a lane may wait for a connection.
func (g grant) queueWait() time.Duration {
	return time.Duration(float64(g.lane.Target) * g.tuning.Queue)
}

// rateWait is how long a statement of a lane may wait for its turn in the rate.
func (g grant) rateWait() time.Duration {
	return time.Duration(float64(g.lane.Target) * g.tuning.Rate)
}

// awaitPrimary returns the primary. While it is being replaced it waits a
// while; a host that can't use the primary says so at once, and elsewhere tells
// that another host may.
func (s *Session) awaitPrimary(ctx context.Context, v *dbview.View, g grant) (to server.Server, elsewhere bool, refusal *reply.Reply) {
	limit := time.Now().Add(time.Duration(float64(g.lane.Timeout) * g.tuning.Change))
	for {
		p, reason := v.Primary()
		switch {
		case reason == "":
			return p, false, nil
		case reason == "lease-expired" || reason == "primary-unreachable":
			return p, true, s.refusal(reply.Busy, reason, "this host can't use the primary now; another host may", busyAfter)
		case time.Now().After(limit) || ctx.Err() != nil:
			return p, false, s.refusal(reply.Busy, reason, "there is no primary to run the statement", changeAfter)
		}
		time.Sleep(changePoll)
	}
}

// write runs a write outside of a transaction. It is sent once.
func (s *Session) write(ctx context.Context, g grant, q query.Query) reply.Reply {
	v := s.Groups.View(g.lane.Service)
	deadline := time.Now().Add(g.lane.Timeout)
	to, elsewhere, refusal := s.awaitPrimary(ctx, v, g)
	if refusal != nil {
		s.leave = elsewhere
		return *refusal
	}
	a := s.try(v, to, g, g.queueWait(), deadline)
	s.last = decision{
		instance: to.ID,
		tries:    1,
		leaseAge: v.LeaseAge(),
	}
	r, err := a.single(ctx, q, s.values, s.prepared[q.Name].Value, logpos.Position{})
	if err != nil {
		return s.writeFailure(err)
	}
	return s.settleWrite(v, to, r)
}

// writeFailure answers a write that got no answer.
func (s *Session) writeFailure(err error) reply.Reply {
	if !fault.IsKind(err, fault.OutcomeUnknown) {
		return *s.refusal(reply.Busy, "not-sent", err.Error(), busyAfter)
	}
	return *s.refusal(reply.InDoubt, "no-answer", err.Error(), 0)
}

// settleWrite decides what the caller hears of a write that was answered: a
// success only of an instance that still led when the answer came, or that
// stopped before its successor started.
func (s *Session) settleWrite(v *dbview.View, from server.Server, r reply.Reply) reply.Reply {
	if r.Outcome != reply.Done {
		return s.instanceRefusal(r)
	}
	if !v.Certain(from.ID) && !v.Handover(from.ID) {
		return *s.refusal(reply.InDoubt, "superseded", "instance "+from.ID+" answered, but it may have been replaced; the write may be lost", 0)
	}
	if r.Position.Newer(s.own) {
		s.own = r.Position
	}
	return r
}

// instanceRefusal passes on an instance's refusal with when to come back.
func (s *Session) instanceRefusal(r reply.Reply) reply.Reply {
	s.Meter.Refused("instance")
	if r.NotRun() && r.RetryAfter == 0 {
		r.RetryAfter = busyAfter
	}
	return r
}

// read runs a read outside of a transaction, on a replica where the lane's
// freshness allows it.
func (s *Session) read(ctx context.Context, g grant, q query.Query) reply.Reply {
	x := &reading{
		session:  s,
		grant:    g,
		view:     s.Groups.View(g.lane.Service),
		query:    q,
		values:   s.values,
		prepared: s.prepared[q.Name].Value,
		arrived:  uptime.Now(),
		deadline: time.Now().Add(g.lane.Timeout),
		tried:    map[string]bool{},
		lagged:   map[string]bool{},
		answers:  make(chan answer, 2*maxTries),
	}
	return x.run(ctx)
}

// reading is one read on its way: it may be offered to several instances.
type reading struct {
	session  *Session
	grant    grant
	view     *dbview.View
	query    query.Query
	values   map[string]string
	prepared string
	arrived  time.Duration
	deadline time.Time
	// tried are the instances that were offered the read, and lagged those of
	// them whose log lacked the position.
	tried  map[string]bool
	lagged map[string]bool
	// full tells that some had no connection free; queued, that the read has
	// waited for one.
	full    bool
	queued  bool
	tries   int
	running int
	answers chan answer
	last    reply.Reply
}

// answer is what one instance answered to a read.
type answer struct {
	server server.Server
	// replica tells that the instance was asked as a replica, for a log that
	// holds the floor. Who leads may have changed since.
	replica bool
	reply   reply.Reply
	err     error
}

func (x *reading) run(ctx context.Context) reply.Reply {
	refusal := x.next(ctx, true)
	if refusal != nil {
		return *refusal
	}
	hedge := time.NewTimer(x.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case a := <-x.answers:
			x.running--
			if r, ok := x.accept(a); ok {
				return r
			}
			if refusal := x.next(ctx, x.running == 0); refusal != nil && x.running == 0 {
				return x.result(refusal)
			}
		case <-hedge.C:
			_ = x.next(ctx, false) // without another instance the first goes on alone
		}
	}
}

func (x *reading) hedgeAfter() time.Duration {
	return min(max(x.grant.tuning.Hedge, x.grant.lane.Target/2), x.grant.lane.Timeout/2)
}

// result is the answer after the last try: what an instance said, or why no
// other could be asked.
func (x *reading) result(refusal *reply.Reply) reply.Reply {
	if x.last.Outcome != reply.Done {
		return x.session.instanceRefusal(x.last)
	}
	return *refusal
}

// accept reports whether the answer ends the read.
func (x *reading) accept(a answer) (reply.Reply, bool) {
	if a.err != nil {
		x.full = x.full || fault.IsKind(a.err, fault.Overloaded)
		return reply.Reply{}, false
	}
	if a.reply.Outcome != reply.Done {
		x.last = a.reply
		x.lagged[a.server.ID] = a.reply.Outcome == reply.Lagging
		return a.reply, !a.reply.NotRun() && a.reply.Outcome != reply.Failed
	}
	if x.fresh(a) {
		x.session.Meter.Read(a.replica)
		return a.reply, true
	}
	return reply.Reply{}, false
}

// fresh reports whether an answer is surely as fresh as the lane asks for: a
// replica was given the floor, a primary must still lead.
func (x *reading) fresh(a answer) bool {
	return a.replica || x.view.Certain(a.server.ID)
}

// next offers the read to another instance; a refusal says why there is none.
// Only a patient read waits for a primary or a free connection.
func (x *reading) next(ctx context.Context, patient bool) *reply.Reply {
	if time.Now().After(x.deadline) {
		return x.session.refusal(reply.Aborted, "no-answer", "no instance answered the read in time", busyAfter)
	}
	if x.tries >= maxTries {
		return x.session.refusal(reply.Busy, "no-instance", "no instance can run the read now", busyAfter)
	}
	to, replica, floor, found := x.choose()
	wait := time.Duration(0)
	if !found && patient && x.grant.lane.Freshness != route.Primary && x.full && !x.queued {
		x.queued = true
		clear(x.tried)
		to, replica, floor, found = x.choose()
		wait = x.grant.queueWait()
	}
	if !found {
		var refusal *reply.Reply
		to, refusal = x.primary(ctx, patient)
		if refusal != nil {
			return refusal
		}
		wait = x.grant.queueWait()
	}
	x.offer(ctx, to, replica, floor, wait)
	return nil
}

// offer sends the read to one instance, beside the others that have it.
func (x *reading) offer(ctx context.Context, to server.Server, replica bool, floor logpos.Position, wait time.Duration) {
	x.tries++
	x.session.last = decision{
		instance: to.ID,
		floor:    floor,
		tries:    x.tries,
		leaseAge: x.view.LeaseAge(),
	}
	x.tried[to.ID] = true
	x.running++
	a := x.session.try(x.view, to, x.grant, wait, x.deadline)
	go func() {
		r, err := a.single(ctx, x.query, x.values, x.prepared, floor)
		x.answers <- answer{
			server:  to,
			replica: replica,
			reply:   r,
			err:     err,
		}
	}()
}

// choose picks the instance that the read is offered to next where its lane
// lets it run on replicas, whether as a replica, and the position that the log
// must hold then: the primary holds its own log.
func (x *reading) choose() (to server.Server, replica bool, floor logpos.Position, found bool) {
	if x.grant.lane.Freshness == route.Primary {
		return server.Server{}, false, logpos.Position{}, false
	}
	floor, ok := x.view.Floor(x.arrived-x.grant.lane.MaxAge, x.session.own)
	if !ok {
		return server.Server{}, false, logpos.Position{}, false
	}
	l, _ := x.view.Leading()
	for _, s := range x.view.Readers(floor) {
		if x.tried[s.ID] || x.lagged[s.ID] {
			continue
		}
		if s.ID == l.Primary && l.Phase == leader.Settled {
			return s, false, logpos.Position{}, true
		}
		return s, true, floor, true
	}
	return server.Server{}, false, logpos.Position{}, false
}

// primary returns the primary where the read may still be offered to it.
func (x *reading) primary(ctx context.Context, patient bool) (server.Server, *reply.Reply) {
	if !patient {
		to, reason := x.view.Primary()
		if reason != "" || x.tried[to.ID] {
			return to, x.session.refusal(reply.Busy, "no-instance", "no other instance can run the read", busyAfter)
		}
		return to, nil
	}
	to, elsewhere, refusal := x.session.awaitPrimary(ctx, x.view, x.grant)
	x.session.leave = elsewhere
	if refusal == nil && x.tried[to.ID] {
		refusal = x.session.refusal(reply.Busy, "no-instance", "no instance can run the read now", busyAfter)
	}
	return to, refusal
}
