package sess

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// transaction is the open transaction of a session. It keeps one connection from
// its start at an instance until its end.
type transaction struct {
	grant    grant
	readOnly bool
	arrived  time.Duration
	// attempt holds the connection; nil until the transaction has started at
	// an instance, and after it has ended.
	attempt *attempt
	// onPrimary is set if the transaction runs on the primary.
	onPrimary bool
	wrote     bool
	// ran is set once a statement has been sent to the instance.
	ran bool
	// failed is set once the transaction can only be ended.
	failed bool
	// abortReply says why the proxy ended the transaction; nil once the caller
	// was told.
	abortReply *reply.Reply
	// notifyEnd tells the view that a transaction on the primary has ended.
	notifyEnd func()
	// started is closed once the start at an instance has succeeded or failed.
	// startRefusal is then set if it failed.
	started      chan struct{}
	startRefusal *reply.Reply
	// tryOtherHost is set if another host may be able to start it.
	tryOtherHost bool
}

// begin opens a transaction. It replies at once and starts the transaction at an
// instance in the background: connecting and starting take about as long as the
// caller's first statement takes to arrive.
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
	tx, settings, lastWrite := s.tx, s.settings, s.lastWrite
	go func() {
		defer close(tx.started)
		tx.startRefusal = s.startTransaction(ctx, tx, settings, lastWrite)
	}()
	return done(reply.Open)
}

// runInTransaction runs a statement of the open transaction.
func (s *Session) runInTransaction(ctx context.Context, q query.Query, writes bool) reply.Reply {
	<-s.tx.started
	if refusal := s.revalidate(); refusal != nil {
		s.abort(refusal)
		s.tx.abortReply = nil
		return *refusal
	}
	deadline := time.Now().Add(s.tx.grant.rules.Timeout)
	if refusal := s.tx.startRefusal; refusal != nil {
		s.reconnect = s.tx.tryOtherHost
		s.tx.failed = true
		return *refusal
	}
	r, err := s.forward(ctx, q, deadline)
	if err != nil {
		s.tx.close()
		s.tx.failed = true
		return *s.refusal(reply.Aborted, "no-answer", "the instance did not answer; the transaction is rolled back: "+err.Error(), busyRetryAfter)
	}
	if writes && r.Outcome == reply.Done {
		s.tx.wrote = true
	}
	if r.Outcome != reply.Done {
		s.tx.failed = r.State != reply.Open
		return s.instanceRefusal(r)
	}
	if s.tx.onPrimary && !s.tx.attempt.isPrimary() {
		s.abort(nil)
		return *s.refusal(reply.Aborted, "superseded", "the primary may have been replaced; the transaction is rolled back", noPrimaryRetryAfter)
	}
	return r
}

// isPrimary reports whether the instance was surely still the primary when it
// answered, or hands over as planned.
func (a *attempt) isPrimary() bool {
	return a.view.HasLease(a.server.ID) || a.view.Handover(a.server.ID)
}

// revalidate checks that the open transaction may still run statements: the key
// is valid, the instance may still get the first one, and its data centre is in service.
func (s *Session) revalidate() *reply.Reply {
	p := s.Config.Policy()
	if workspace, ok := p.Owners[s.Key]; s.tx.grant.workspace != "" && (!ok || workspace != s.tx.grant.workspace) {
		return s.refusal(reply.KeyRefused, "key-withdrawn", "the key was withdrawn; the transaction is rolled back", 0)
	}
	if s.tx.attempt == nil {
		return nil
	}
	at := s.tx.attempt.server
	if !s.tx.ran && !s.Config.MaySend(at.ID) {
		return s.refusal(reply.Aborted, "instance-leaving", "the instance leaves and takes no new work; the transaction is rolled back", noPrimaryRetryAfter)
	}
	if s.Config.MayContinue(at.DataCentre) {
		return nil
	}
	return s.refusal(reply.Aborted, "evacuated", "the instance's data centre was taken out; the transaction is rolled back", busyRetryAfter)
}

// startTransaction starts a transaction at an instance, with the session's
// settings and the position of its last write. It runs in its own goroutine;
// the session waits for tx.started before it uses the transaction.
func (s *Session) startTransaction(ctx context.Context, tx *transaction, settings map[string]string, lastWrite logpos.Position) *reply.Reply {
	g := tx.grant
	deadline := time.Now().Add(g.rules.Timeout)
	if tx.readOnly && g.rules.Freshness != route.Primary {
		if s.startOnReplica(ctx, tx, settings, lastWrite, deadline) {
			return nil
		}
	}
	v := s.Views.View(g.rules.Service)
	to, tryOtherHost, refusal := s.awaitPrimary(ctx, v, g)
	if refusal != nil {
		tx.tryOtherHost = tryOtherHost
		return refusal
	}
	a := s.newAttempt(v, to, g, g.maxQueueWait(), deadline)
	v.BeginTransaction()
	tx.notifyEnd = v.EndTransaction
	r, err := a.begin(ctx, tx, settings, logpos.Position{})
	if err == nil && r.Outcome == reply.Done {
		tx.onPrimary = true
		return nil
	}
	a.runner.Close()
	tx.close()
	if err != nil {
		return s.refusal(reply.Busy, "not-started", describe(err), retryAfter(err))
	}
	r = s.instanceRefusal(r)
	return &r
}

// startOnReplica starts a read-only transaction on a replica. It returns false if
// no replica can run it.
func (s *Session) startOnReplica(ctx context.Context, tx *transaction, settings map[string]string, lastWrite logpos.Position, deadline time.Time) bool {
	g := tx.grant
	v := s.Views.View(g.rules.Service)
	minPosition, ok := v.MinPosition(tx.arrived-g.rules.MaxAge, lastWrite)
	if !ok {
		return false
	}
	l, _ := v.Leader()
	candidates, _ := v.ReadCandidates(minPosition)
	for i, to := range candidates {
		if to.ID == l.Primary || i >= maxAttempts {
			return false
		}
		a := s.newAttempt(v, to, g, 0, deadline)
		r, err := a.begin(ctx, tx, settings, minPosition)
		if err == nil && r.Outcome == reply.Done {
			return true
		}
		a.runner.Close()
	}
	return false
}

// begin opens the transaction at the attempt's instance. The statements are sent
// only after its answer, since they must not run outside of the transaction.
func (a *attempt) begin(ctx context.Context, tx *transaction, settings map[string]string, minPosition logpos.Position) (reply.Reply, error) {
	r, err := a.do(ctx, &task.Task{
		Kind:          task.Begin,
		ReadOnly:      tx.readOnly,
		SessionValues: settings,
		MinPosition:   minPosition,
	})
	if err == nil && r.Outcome == reply.Done {
		tx.attempt = a
	}
	return r, err
}

// forward runs one statement on the transaction's connection.
func (s *Session) forward(ctx context.Context, q query.Query, deadline time.Time) (reply.Reply, error) {
	a := s.tx.attempt
	a.deadline = deadline
	s.lastDecision = newDecision(a.view, a.server.ID)
	s.tx.ran = true
	return a.do(ctx, &task.Task{
		Kind:          task.InTransaction,
		Query:         q,
		SessionValues: s.settings,
		Prepared:      s.prepared[q.Name].Value,
	})
}

// commit commits the transaction.
func (s *Session) commit(ctx context.Context, q query.Query) reply.Reply {
	if s.tx == nil {
		return *s.refusal(reply.Malformed, "no-transaction", "no transaction is open", 0)
	}
	<-s.tx.started
	defer func() {
		s.tx = nil
	}()
	if s.tx.failed {
		s.tx.waitAndClose()
		return *s.refusal(reply.Aborted, "transaction-failed", "the transaction failed and is rolled back", 0)
	}
	if refusal := s.revalidate(); refusal != nil {
		s.tx.waitAndClose()
		return *refusal
	}
	deadline := time.Now().Add(s.tx.grant.rules.Timeout)
	if refusal := s.tx.startRefusal; refusal != nil {
		s.reconnect = s.tx.tryOtherHost
		return *refusal
	}
	return s.sendCommit(ctx, q, deadline)
}

// sendCommit sends the commit and derives the caller's reply from the answer.
func (s *Session) sendCommit(ctx context.Context, q query.Query, deadline time.Time) reply.Reply {
	a := s.tx.attempt
	r, err := s.forward(ctx, q, deadline)
	if err != nil {
		wrote := s.tx.wrote
		s.tx.close()
		if wrote && fault.IsKind(err, fault.OutcomeUnknown) {
			return *s.refusal(reply.InDoubt, "no-answer", "the instance did not answer the commit; it may have run: "+err.Error(), 0)
		}
		return *s.refusal(reply.Aborted, "no-answer", "the instance did not answer; nothing was written: "+err.Error(), busyRetryAfter)
	}
	s.tx.close()
	if r.Outcome != reply.Done || !s.tx.wrote {
		if r.Outcome != reply.Done {
			return s.instanceRefusal(r)
		}
		return r
	}
	return s.confirmWrite(a.view, a.server, r)
}

// rollback rolls the transaction back. It does not wait for the instance's
// answer.
func (s *Session) rollback() reply.Reply {
	if s.tx == nil {
		return *s.refusal(reply.Malformed, "no-transaction", "no transaction is open", 0)
	}
	s.tx.waitAndClose()
	s.tx = nil
	return done(reply.Idle)
}

// waitAndClose waits until the start has succeeded or failed, and then closes
// the transaction.
func (t *transaction) waitAndClose() {
	<-t.started
	t.close()
}

// close gives the connection back. A transaction that is still open on it is
// rolled back.
func (t *transaction) close() {
	if t.attempt != nil {
		t.attempt.runner.Close()
		t.attempt = nil
	}
	if t.notifyEnd != nil {
		t.notifyEnd()
		t.notifyEnd = nil
	}
}
