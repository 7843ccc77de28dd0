package talk

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/models/errand"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// evacuationLimit is how long a transaction may go on at an instance whose
// data centre was taken out; it is below the bound for evacuations, 5 s, by
// what it takes to hear of one and to end a statement.
const evacuationLimit = 3 * time.Second

// transaction is the open transaction of a session. Its connection is taken at
// its first statement and kept until it ends.
type transaction struct {
	grant    grant
	readOnly bool
	arrived  time.Duration
	// attempt holds the connection; nil before the first statement and after
	// the transaction was ended.
	attempt *attempt
	// primary tells that the transaction runs on the primary.
	primary bool
	wrote   bool
	// broken transactions can only be ended.
	broken bool
	// ended is why the proxy ended the transaction, until the caller heard.
	ended *reply.Reply
	// evacuated is since when the instance's data centre is taken out.
	evacuated time.Time
	// leave notes the end on the primary.
	leave func()
	// started is closed once the transaction was started ahead of its first
	// statement, with startFailed if it could not be; nil where it was not.
	started     chan struct{}
	startFailed *reply.Reply
	// elsewhere tells that another host may start it.
	elsewhere bool
}

// begin opens a transaction. It is started at its instance while the caller's
// first statement is on its way: a connect and the start take about as long.
func (s *Session) begin(ctx context.Context, q query.Query) reply.Reply {
	if s.tx != nil {
		return *s.refusal(reply.Malformed, "in-transaction", "a transaction is open already", 0)
	}
	g, refusal := s.admit(ctx)
	if refusal != nil {
		return *refusal
	}
	s.tx = &transaction{
		grant:    g,
		readOnly: q.ReadOnly,
		arrived:  uptime.Now(),
		started:  make(chan struct{}),
	}
	tx, values, own := s.tx, s.values, s.own
	go func() {
		defer close(tx.started)
		tx.startFailed = s.pin(ctx, tx, values, own)
	}()
	return done(reply.Open)
}

// inside runs a statement of the open transaction.
func (s *Session) inside(ctx context.Context, q query.Query, writes bool) reply.Reply {
	<-s.tx.started
	if refusal := s.revalidate(); refusal != nil {
		s.abort(refusal)
		s.tx.ended = nil
		return *refusal
	}
	deadline := time.Now().Add(s.tx.grant.lane.Timeout)
	if refusal := s.tx.startFailed; refusal != nil {
		s.leave = s.tx.elsewhere
		s.tx.broken = true
		return *refusal
	}
	r, err := s.pass(ctx, q, deadline)
	if err != nil {
		s.tx.end()
		s.tx.broken = true
		return *s.refusal(reply.Aborted, "no-answer", "the instance did not answer; the transaction is rolled back: "+err.Error(), busyAfter)
	}
	if writes && r.Outcome == reply.Done {
		s.tx.wrote = true
	}
	if r.Outcome != reply.Done {
		s.tx.broken = r.State != reply.Open
		return s.instanceRefusal(r)
	}
	if s.tx.primary && !s.tx.attempt.led() {
		s.abort(nil)
		return *s.refusal(reply.Aborted, "superseded", "the primary may have been replaced; the transaction is rolled back", changeAfter)
	}
	return r
}

// led reports whether the instance still led when it answered, or hands over
// as planned.
func (a *attempt) led() bool {
	return a.view.Certain(a.server.ID) || a.view.Handover(a.server.ID)
}

// revalidate checks that the open transaction may still run statements.
func (s *Session) revalidate() *reply.Reply {
	p := s.Directory.Policy()
	if workspace, ok := p.Owners[s.Key]; s.tx.grant.workspace != "" && (!ok || workspace != s.tx.grant.workspace) {
		return s.refusal(reply.KeyRefused, "key-withdrawn", "the key was withdrawn; the transaction is rolled back", 0)
	}
	if s.tx.attempt == nil || !s.Directory.Evacuated(s.tx.attempt.server.DataCentre) {
		s.tx.evacuated = time.Time{}
		return nil
	}
	if s.tx.evacuated.IsZero() {
		s.tx.evacuated = time.Now()
	}
	if time.Since(s.tx.evacuated) < evacuationLimit {
		return nil
	}
	return s.refusal(reply.Aborted, "evacuated", "the instance's data centre was taken out; the transaction is rolled back", busyAfter)
}

// pin starts a transaction at an instance, for a session with these values and
// its own last position. It runs beside the session, which waits for it before
// it touches the transaction again.
func (s *Session) pin(ctx context.Context, tx *transaction, values map[string]string, own logpos.Position) *reply.Reply {
	g := tx.grant
	deadline := time.Now().Add(g.lane.Timeout)
	if tx.readOnly && g.lane.Freshness != route.Primary {
		if s.pinReplica(ctx, tx, values, own, deadline) {
			return nil
		}
	}
	v := s.Groups.View(g.lane.Service)
	to, elsewhere, refusal := s.awaitPrimary(ctx, v, g)
	if refusal != nil {
		tx.elsewhere = elsewhere
		return refusal
	}
	a := s.try(v, to, g, g.queueWait(), deadline)
	v.Enter()
	tx.leave = v.Leave
	r, err := a.start(ctx, tx, values, logpos.Position{})
	if err == nil && r.Outcome == reply.Done {
		tx.primary = true
		return nil
	}
	a.carrier.Close()
	tx.end()
	if err != nil {
		return s.refusal(reply.Busy, "not-started", err.Error(), busyAfter)
	}
	r = s.instanceRefusal(r)
	return &r
}

// pinReplica starts a read-only transaction at a replica; false when none can
// run it.
func (s *Session) pinReplica(ctx context.Context, tx *transaction, values map[string]string, own logpos.Position, deadline time.Time) bool {
	g := tx.grant
	v := s.Groups.View(g.lane.Service)
	floor, ok := v.Floor(tx.arrived-g.lane.MaxAge, own)
	if !ok {
		return false
	}
	l, _ := v.Leading()
	for i, to := range v.Readers(floor) {
		if to.ID == l.Primary || i >= maxTries {
			return false
		}
		a := s.try(v, to, g, 0, deadline)
		r, err := a.start(ctx, tx, values, floor)
		if err == nil && r.Outcome == reply.Done {
			return true
		}
		a.carrier.Close()
	}
	return false
}

// start opens the transaction at the attempt's instance. The statements follow
// only after its answer: they must not run outside of it.
func (a *attempt) start(ctx context.Context, tx *transaction, values map[string]string, floor logpos.Position) (reply.Reply, error) {
	r, err := a.do(ctx, &errand.Errand{
		Kind:     errand.Start,
		ReadOnly: tx.readOnly,
		Values:   values,
		Floor:    floor,
	})
	if err == nil && r.Outcome == reply.Done {
		tx.attempt = a
	}
	return r, err
}

// pass runs one statement on the transaction's connection.
func (s *Session) pass(ctx context.Context, q query.Query, deadline time.Time) (reply.Reply, error) {
	a := s.tx.attempt
	a.deadline = deadline
	s.last = decision{
		instance: a.server.ID,
		tries:    1,
		leaseAge: a.view.LeaseAge(),
	}
	return a.do(ctx, &errand.Errand{
		Kind:     errand.Inside,
		Query:    q,
		Values:   s.values,
		Prepared: s.prepared[q.Name].Value,
	})
}

// commit ends the transaction and keeps its writes.
func (s *Session) commit(ctx context.Context, q query.Query) reply.Reply {
	if s.tx == nil {
		return *s.refusal(reply.Malformed, "no-transaction", "no transaction is open", 0)
	}
	<-s.tx.started
	defer func() {
		s.tx = nil
	}()
	if s.tx.broken {
		s.tx.release()
		return *s.refusal(reply.Aborted, "transaction-failed", "the transaction failed and is rolled back", 0)
	}
	if refusal := s.revalidate(); refusal != nil {
		s.tx.release()
		return *refusal
	}
	deadline := time.Now().Add(s.tx.grant.lane.Timeout)
	if refusal := s.tx.startFailed; refusal != nil {
		s.leave = s.tx.elsewhere
		return *refusal
	}
	return s.finish(ctx, q, deadline)
}

// finish sends the commit and decides what its answer means.
func (s *Session) finish(ctx context.Context, q query.Query, deadline time.Time) reply.Reply {
	a := s.tx.attempt
	r, err := s.pass(ctx, q, deadline)
	if err != nil {
		wrote := s.tx.wrote
		s.tx.end()
		if wrote {
			return *s.refusal(reply.InDoubt, "no-answer", "the instance did not answer the commit; it may have run: "+err.Error(), 0)
		}
		return *s.refusal(reply.Aborted, "no-answer", "the instance did not answer; nothing was written: "+err.Error(), busyAfter)
	}
	s.tx.end()
	if r.Outcome != reply.Done || !s.tx.wrote {
		if r.Outcome != reply.Done {
			return s.instanceRefusal(r)
		}
		return r
	}
	return s.settleWrite(a.view, a.server, r)
}

// rollback ends the transaction and drops its writes. The caller need not wait
// for the instance.
func (s *Session) rollback() reply.Reply {
	if s.tx == nil {
		return *s.refusal(reply.Malformed, "no-transaction", "no transaction is open", 0)
	}
	s.tx.release()
	s.tx = nil
	return done(reply.Idle)
}

// release rolls the transaction back at its instance and gives the connection
// back.
func (t *transaction) release() {
	<-t.started
	t.end()
}

// end gives the connection back; a transaction that is still open there is
// rolled back.
func (t *transaction) end() {
	if t.attempt != nil {
		t.attempt.carrier.Close()
		t.attempt = nil
	}
	if t.leave != nil {
		t.leave()
		t.leave = nil
	}
}
