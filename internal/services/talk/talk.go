// Package talk is the session engine: it runs one caller's statements, in
// order, on connections to instances that belong to nobody for long.
package talk

import (
	"context"
	"maps"
	"time"

	"wasabislip.example/wasabislip/internal/models/claim"
	"wasabislip.example/wasabislip/internal/models/lane"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/tuning"
	"wasabislip.example/wasabislip/internal/modules/audit"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/haul"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// ownSignature stands where no instance ran the statement.
const ownSignature = "-"

// directory is the configuration in force.
type directory interface {
	Policy() *policy.Policy
	Evacuated(dataCentre string) bool
	Changed() <-chan struct{}
}

// groups are the beliefs about services.
type groups interface {
	View(service string) *dbview.View
}

// admitter keeps workspaces within their rates.
type admitter interface {
	Admit(ctx context.Context, workspace string, c claim.Claim) (ok bool, after time.Duration, why string)
}

// meter counts what callers got.
type meter interface {
	Answer(outcome int, took time.Duration)
	Refused(reason string)
	Read(replica bool)
}

// Session is one caller's session. One goroutine uses it at a time.
type Session struct {
	// Directory is the configuration in force.
	Directory directory
	// Groups are the beliefs about services.
	Groups groups
	// Ways lead to instances.
	Ways *haul.Haul
	// Rates keep workspaces within their rates.
	Rates admitter
	// Audit writes log lines on requests.
	Audit *audit.Audit
	// Meter counts what callers got.
	Meter meter
	// Tuning decides how long statements wait.
	Tuning tuning.Tuning
	// Database is the database that the caller asked for.
	Database string
	// Key is the key that the caller showed; empty without one.
	Key string

	values   map[string]string
	prepared map[string]query.Query
	own      logpos.Position
	tx       *transaction
	// last is what decided the last statement, for the log.
	last decision
	// leave tells that another host can serve the caller better.
	leave bool
}

// decision is what decided a statement.
type decision struct {
	// instance is where it was sent last; empty when nowhere.
	instance string
	// floor is the position that the instance's log had to hold.
	floor logpos.Position
	// tries is how many instances it was offered to.
	tries int
	// leaseAge is how old the lease of the primary was.
	leaseAge time.Duration
}

// grant is what the configuration allows a caller now.
type grant struct {
	lane      lane.Lane
	workspace string
	tuning    tuning.Tuning
}

// Open checks the caller's database and key at its start.
func (s *Session) Open() reply.Reply {
	_, refusal := s.grant()
	if refusal != nil {
		s.log("session refused", query.Query{}, *refusal)
		return *refusal
	}
	return done(reply.Idle)
}

// grant looks up what the configuration allows the caller now.
func (s *Session) grant() (grant, *reply.Reply) {
	p := s.Directory.Policy()
	if p == nil {
		return grant{}, s.refusal(reply.Busy, "no-configuration", "the configuration is not known yet", time.Second)
	}
	l, ok := p.Lanes[s.Database]
	if !ok {
		return grant{}, s.refusal(reply.NoDatabase, "no-database", "no database of this name is configured", 0)
	}
	workspace, ok := p.Owners[s.Key]
	if !ok && !l.Open {
		return grant{}, s.refusal(reply.KeyRefused, "key-refused", "the key belongs to no workspace; ask the operators for one", 0)
	}
	return grant{
		lane:      l,
		workspace: workspace,
		tuning:    s.Tuning,
	}, nil
}

// Handle runs one statement and returns its answer.
func (s *Session) Handle(ctx context.Context, q query.Query) reply.Reply {
	started := time.Now()
	s.last = decision{}
	r := s.handle(ctx, q)
	r.State = s.state()
	if r.Outcome == reply.Done {
		s.leave = false
	}
	s.account(q, &r, time.Since(started))
	return r
}

// state returns the session's state as the caller sees it.
func (s *Session) state() int {
	switch {
	case s.tx == nil:
		return reply.Idle
	case s.tx.broken:
		return reply.Broken
	}
	return reply.Open
}

func (s *Session) handle(ctx context.Context, q query.Query) reply.Reply {
	if s.tx != nil && s.tx.broken && q.Kind != query.Commit && q.Kind != query.Rollback {
		return s.brokenReply()
	}
	switch q.Kind {
	case query.Begin:
		return s.begin(ctx, q)
	case query.Commit:
		return s.commit(ctx, q)
	case query.Rollback:
		return s.rollback()
	case query.Set:
		return s.set(q)
	case query.Prepare:
		return s.prepare(q)
	case query.Deallocate:
		return s.deallocate(q)
	case query.Read, query.Write, query.Execute:
		return s.statement(ctx, q)
	}
	return *s.refusal(reply.Malformed, "malformed", "the statement is not understood", 0)
}

// brokenReply answers a statement in a transaction that can only be ended. The
// first one after the proxy ended the transaction itself learns why.
func (s *Session) brokenReply() reply.Reply {
	if why := s.tx.ended; why != nil {
		s.tx.ended = nil
		return *why
	}
	return *s.refusal(reply.Malformed, "transaction-failed", "the transaction failed; end it", 0)
}

// set stores a session value. The map is copied, since connections compare
// with the values that they were given.
func (s *Session) set(q query.Query) reply.Reply {
	values := maps.Clone(s.values)
	if values == nil {
		values = map[string]string{}
	}
	values[q.Name] = q.Value
	s.values = values
	return done(s.state())
}

func (s *Session) prepare(q query.Query) reply.Reply {
	if s.prepared == nil {
		s.prepared = map[string]query.Query{}
	}
	s.prepared[q.Name] = q
	return done(s.state())
}

func (s *Session) deallocate(q query.Query) reply.Reply {
	if _, ok := s.prepared[q.Name]; !ok {
		return *s.refusal(reply.UnknownName, "unknown-name", "no statement of this name is prepared", 0)
	}
	delete(s.prepared, q.Name)
	return done(s.state())
}

// statement runs a read or a write, in the open transaction or on its own.
func (s *Session) statement(ctx context.Context, q query.Query) reply.Reply {
	writes := q.Kind == query.Write
	if q.Kind == query.Execute {
		p, ok := s.prepared[q.Name]
		if !ok {
			if s.tx != nil {
				s.tx.broken = true
			}
			return *s.refusal(reply.UnknownName, "unknown-name", "no statement of this name is prepared", 0)
		}
		writes = p.Writes
	}
	if s.tx != nil {
		return s.inside(ctx, q, writes)
	}
	g, refusal := s.admit(ctx)
	if refusal != nil {
		return *refusal
	}
	if writes {
		return s.write(ctx, g, q)
	}
	return s.read(ctx, g, q)
}

// admit checks the configuration and takes one operation from the workspace's
// rate.
func (s *Session) admit(ctx context.Context) (grant, *reply.Reply) {
	g, refusal := s.grant()
	if refusal != nil {
		return g, refusal
	}
	if g.workspace == "" {
		return g, nil // open lanes have no workspace whose rate could count
	}
	ok, after, why := s.Rates.Admit(ctx, g.workspace, claim.Claim{
		Wait:  g.rateWait(),
		Level: g.lane.Level,
	})
	if !ok {
		return g, s.refusal(reply.Busy, "over-rate", "the workspace is over its rate: "+why, after)
	}
	time.Sleep(after)
	return g, nil
}

// Close ends the session; an open transaction is rolled back.
func (s *Session) Close() {
	if s.tx != nil {
		s.tx.release()
		s.tx = nil
	}
}

// Leaves reports whether the caller is better served by another host: the
// session should end once it is idle, so that the caller's retry goes there.
func (s *Session) Leaves() bool {
	return s.leave && s.tx == nil
}

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool {
	return s.tx != nil
}

// IdleLimit returns how long an open transaction may rest; 0 without limit.
func (s *Session) IdleLimit() time.Duration {
	p := s.Directory.Policy()
	if s.tx == nil || s.tx.broken || p == nil {
		return 0
	}
	return p.IdleTransaction
}

// Expire rolls the open transaction back since it has rested for too long, or
// since the host stops. The caller learns it from its next answer.
func (s *Session) Expire(reason, message string) {
	if s.tx == nil || s.tx.broken {
		return
	}
	s.abort(s.refusal(reply.Aborted, reason, message, 0))
	s.log("transaction ended", query.Query{}, *s.tx.ended)
}

// abort gives the transaction's connection back and keeps why for the caller's
// next statement.
func (s *Session) abort(why *reply.Reply) {
	s.tx.release()
	s.tx.broken = true
	s.tx.ended = why
}

func done(state int) reply.Reply {
	return reply.Reply{
		Signature: ownSignature,
		State:     state,
	}
}

func (s *Session) refusal(outcome int, reason, message string, after time.Duration) *reply.Reply {
	s.Meter.Refused(reason)
	return &reply.Reply{
		Outcome:    outcome,
		Message:    reason + ": " + message,
		RetryAfter: after,
	}
}

// account counts an answer and logs those that did not succeed, and a sample
// of the others.
func (s *Session) account(q query.Query, r *reply.Reply, took time.Duration) {
	s.Meter.Answer(r.Outcome, took)
	if r.Outcome != reply.Done {
		s.log("statement refused or failed", q, *r, "took", took.String())
		return
	}
	if q.Kind == query.Read || q.Kind == query.Write || q.Kind == query.Commit || q.Kind == query.Execute {
		if s.Audit.Sampled() {
			s.Audit.Success("statement done", s.fields(q, *r, "took", took.String())...)
		}
	}
}

func (s *Session) log(message string, q query.Query, r reply.Reply, more ...any) {
	s.Audit.Problem(message, s.fields(q, r, more...)...)
}

func (s *Session) fields(q query.Query, r reply.Reply, more ...any) []any {
	fields := []any{
		"request", q.ID,
		"kind", query.Word(q.Kind),
		"database", s.Database,
		"outcome", reply.Word(r.Outcome),
		"message", r.Message,
		"retry-after", r.RetryAfter.String(),
		"session-position", s.own.String(),
		"instance", s.last.instance,
		"floor", s.last.floor.String(),
		"tries", s.last.tries,
		"lease-age", s.last.leaseAge.String(),
	}
	if p := s.Directory.Policy(); p != nil {
		fields = append(fields, "workspace", p.Owners[s.Key], "version", p.Version)
	}
	return append(fields, more...)
}
