// Package sess runs the sessions of callers. A session runs its statements in
// order, on pooled connections to instances. It keeps a connection only while a
// transaction is open.
package sess

import (
	"context"
	"maps"
	"time"

	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/rules"
	"wasabislip.example/wasabislip/internal/models/tuning"
	"wasabislip.example/wasabislip/internal/modules/reqlog"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/forwd"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// proxySignature is the signature of replies to statements that no instance ran.
	proxySignature = "-"
	// maxSettingsBytes bounds the names and values of a session's settings, with
	// settingBytes for each: every task that is sent to another host holds them.
	maxSettingsBytes = 8 << 20
	settingBytes     = 16
)

// config gives the configuration in force.
type config interface {
	Policy() *policy.Policy
	MayContinue(dataCentre string) bool
	MaySend(instance string) bool
	Changed() <-chan struct{}
}

// views hold what this host knows of the instances of each service.
type views interface {
	View(service string) *dbview.View
}

// rateLimiter admits operations within the rates of their workspaces.
type rateLimiter interface {
	Admit(ctx context.Context, workspace string, request permit.Request) (ok bool, after time.Duration, why string)
}

// meter counts replies and refusals.
type meter interface {
	RecordAnswer(outcome int, took time.Duration)
	RecordRefusal(reason string)
	RecordRead(replica bool)
	RecordLeaving(d time.Duration)
}

// Session is one caller's session. One goroutine uses it at a time.
type Session struct {
	// Config gives the configuration in force.
	Config config
	// Views hold what this host knows of the instances of each service.
	Views views
	// Forwarder runs statements on instances, where needed through other hosts.
	Forwarder *forwd.Forwarder
	// RateLimiter admits operations within the rates of their workspaces.
	RateLimiter rateLimiter
	// RequestLog writes the log lines about requests.
	RequestLog *reqlog.Logger
	// Meter counts replies and refusals.
	Meter meter
	// Tuning holds how long statements may wait.
	Tuning tuning.Tuning
	// Database is the name of the database that the caller connected to.
	Database string
	// Key is the key that the caller sent; empty without one.
	Key string

	// settings are the session settings that the caller set (SET).
	settings map[string]string
	prepared map[string]query.Query
	// lastWrite is the log position of the session's last write, which later
	// reads must see.
	lastWrite logpos.Position
	tx        *transaction
	// arrived is when the statement that runs now arrived.
	arrived time.Duration
	// lastDecision is where the last statement was sent and why, for the log.
	lastDecision decision
	// reconnect is set if another host can serve the caller better.
	reconnect bool
}

// decision is where a statement was sent and why.
type decision struct {
	// instance is the last instance that it was sent to; empty without one.
	instance string
	// choice is why a read was sent there; empty with the choice by least cost.
	choice string
	// minPosition is the position that the instance's log had to have reached.
	minPosition logpos.Position
	// attempts is how many times it was sent to an instance.
	attempts int
	// leaseAge is how long ago the lease of the primary was last renewed.
	leaseAge time.Duration
	// leaseSource is where that renewal came from.
	leaseSource string
	// leavingFor is how long ago, at most, the instance announced that it leaves; 0 if it
	// has not.
	leavingFor time.Duration
}

// newDecision returns the decision to send a statement to an instance for the first time.
func newDecision(v *dbview.View, instance string) decision {
	leaseAge, leaseSource := v.LastRenewal()
	d := decision{
		instance:    instance,
		attempts:    1,
		leaseAge:    leaseAge,
		leaseSource: leaseSource,
	}
	if age, leaving := v.LeavingFor(instance); leaving {
		d.leavingFor = age
	}
	return d
}

// grant is what the configuration allows a caller now.
type grant struct {
	rules     rules.Rules
	workspace string
	tuning    tuning.Tuning
	// arrived is when the operation arrived.
	arrived time.Duration
	// admission is set if holders admit statements by priority and deadline.
	admission bool
}

// Authorize checks the caller's database and key when the session starts.
func (s *Session) Authorize() reply.Reply {
	_, refusal := s.grant()
	if refusal != nil {
		s.log("session refused", query.Query{}, *refusal)
		return *refusal
	}
	return done(reply.Idle)
}

// grant looks up what the configuration allows the caller now.
func (s *Session) grant() (grant, *reply.Reply) {
	p := s.Config.Policy()
	if p == nil {
		return grant{}, s.refusal(reply.Busy, "no-configuration", "the configuration is not known yet", time.Second)
	}
	dbRules, ok := p.Rules[s.Database]
	if !ok {
		return grant{}, s.refusal(reply.NoDatabase, "no-database", "no database of this name is configured", 0)
	}
	workspace, ok := p.Owners[s.Key]
	if !ok && !dbRules.Open {
		return grant{}, s.refusal(reply.KeyRefused, "key-refused", "the key belongs to no workspace; ask the operators for one", 0)
	}
	return grant{
		rules:     dbRules,
		workspace: workspace,
		tuning:    s.Tuning,
		arrived:   s.arrived,
		admission: p.HasAdmission(),
	}, nil
}

// Handle runs one statement and returns its reply.
func (s *Session) Handle(ctx context.Context, q query.Query) reply.Reply {
	started := time.Now()
	s.arrived = uptime.Now()
	s.lastDecision = decision{}
	r := s.dispatch(ctx, q)
	r.State = s.state()
	if r.Outcome == reply.Done {
		s.reconnect = false
	}
	s.record(q, &r, time.Since(started))
	return r
}

// state returns the session's state as the caller sees it.
func (s *Session) state() int {
	switch {
	case s.tx == nil:
		return reply.Idle
	case s.tx.failed:
		return reply.Broken
	}
	return reply.Open
}

func (s *Session) dispatch(ctx context.Context, q query.Query) reply.Reply {
	if s.tx != nil && s.tx.failed && q.Kind != query.Commit && q.Kind != query.Rollback {
		return s.failedReply()
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
	case query.TooLong:
		return *s.refusal(reply.Malformed, "too-long", "the message is over 1 MiB and is not run; send smaller statements", 0)
	}
	return *s.refusal(reply.Malformed, "malformed", "the statement is not understood", 0)
}

// failedReply returns the reply to a statement in a failed transaction, which
// accepts only its end. If the proxy ended the transaction itself, the first
// reply says why.
func (s *Session) failedReply() reply.Reply {
	if r := s.tx.abortReply; r != nil {
		s.tx.abortReply = nil
		return *r
	}
	return *s.refusal(reply.Malformed, "transaction-failed", "the transaction failed; end it", 0)
}

// set stores a session setting. It copies the map, since attempts that still run
// compare their connections with the settings that they were given.
func (s *Session) set(q query.Query) reply.Reply {
	settings := maps.Clone(s.settings)
	if settings == nil {
		settings = map[string]string{}
	}
	settings[q.Name] = q.Value
	size := 0
	for name, value := range settings {
		size += len(name) + len(value) + settingBytes
	}
	if size > maxSettingsBytes {
		return *s.refusal(reply.Malformed, "too-large", "the values of the session are over 8 MiB; set smaller or fewer values", 0)
	}
	s.settings = settings
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
				s.tx.failed = true
			}
			return *s.refusal(reply.UnknownName, "unknown-name", "no statement of this name is prepared", 0)
		}
		writes = p.Writes
	}
	if s.tx != nil {
		return s.runInTransaction(ctx, q, writes)
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

// admit looks up the caller's rules and takes one token from its workspace's
// rate, waiting for it if need be.
func (s *Session) admit(ctx context.Context) (grant, *reply.Reply) {
	g, refusal := s.grant()
	if refusal != nil {
		return g, refusal
	}
	if g.workspace == "" {
		return g, nil // callers without a key have no workspace, and so no rate
	}
	ok, after, why := s.RateLimiter.Admit(ctx, g.workspace, permit.Request{
		Wait:  g.maxRateWait(),
		Level: g.rules.Level,
	})
	if !ok {
		return g, s.refusal(reply.Busy, "over-rate", "the workspace is over its rate: "+why, after)
	}
	time.Sleep(after)
	return g, nil
}

// Close ends the session and rolls an open transaction back.
func (s *Session) Close() {
	if s.tx != nil {
		s.tx.waitAndClose()
		s.tx = nil
	}
}

// ShouldReconnect reports whether another host can serve the caller better. The
// caller's connection should then be closed once the session is idle, so that
// its retry goes to another host.
func (s *Session) ShouldReconnect() bool {
	return s.reconnect && s.tx == nil
}

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool {
	return s.tx != nil
}

// IdleTimeout returns how long an open transaction may be idle; 0 if there is no
// limit.
func (s *Session) IdleTimeout() time.Duration {
	p := s.Config.Policy()
	if s.tx == nil || s.tx.failed || p == nil {
		return 0
	}
	return p.IdleTransaction
}

// AbortTransaction rolls the open transaction back, because it was idle for too
// long or because the host stops. The reply to the caller's next statement tells
// why.
func (s *Session) AbortTransaction(reason, message string) {
	if s.tx == nil || s.tx.failed {
		return
	}
	s.abort(s.refusal(reply.Aborted, reason, message, 0))
	s.log("transaction ended", query.Query{}, *s.tx.abortReply)
}

// abort rolls the transaction back, gives its connection back and keeps the
// reason for the reply to the caller's next statement.
func (s *Session) abort(reason *reply.Reply) {
	s.tx.waitAndClose()
	s.tx.failed = true
	s.tx.abortReply = reason
}

func done(state int) reply.Reply {
	return reply.Reply{
		Signature: proxySignature,
		State:     state,
	}
}

func (s *Session) refusal(outcome int, reason, message string, after time.Duration) *reply.Reply {
	s.Meter.RecordRefusal(reason)
	return &reply.Reply{
		Outcome:    outcome,
		Message:    reason + ": " + message,
		RetryAfter: after,
	}
}

// record counts a reply and logs it: every failure, and a sample of the
// successes.
func (s *Session) record(q query.Query, r *reply.Reply, took time.Duration) {
	s.Meter.RecordAnswer(r.Outcome, took)
	if r.Outcome != reply.Done {
		s.log("statement refused or failed", q, *r, "took", took.String())
		return
	}
	if q.Kind == query.Read || q.Kind == query.Write || q.Kind == query.Commit || q.Kind == query.Execute {
		if s.RequestLog.SampleSuccess() {
			s.RequestLog.LogSuccess("statement done", s.fields(q, *r, "took", took.String())...)
		}
	}
}

func (s *Session) log(message string, q query.Query, r reply.Reply, more ...any) {
	s.RequestLog.LogFailure(message, s.fields(q, r, more...)...)
}

func (s *Session) fields(q query.Query, r reply.Reply, more ...any) []any {
	fields := []any{
		"request", q.ID,
		"kind", query.KindName(q.Kind),
		"database", s.Database,
		"outcome", reply.OutcomeName(r.Outcome),
		"message", r.Message,
		"retry-after", r.RetryAfter.String(),
		"session-position", s.lastWrite.String(),
		"instance", s.lastDecision.instance,
		"floor", s.lastDecision.minPosition.String(),
		"tries", s.lastDecision.attempts,
		"lease-age", s.lastDecision.leaseAge.String(),
		"lease-source", s.lastDecision.leaseSource,
	}
	if s.lastDecision.choice != "" {
		fields = append(fields, "choice", s.lastDecision.choice)
	}
	if s.lastDecision.leavingFor > 0 {
		fields = append(fields, "leaving-for", s.lastDecision.leavingFor.String())
	}
	if p := s.Config.Policy(); p != nil {
		fields = append(fields, "workspace", p.Owners[s.Key], "version", p.Version)
		if p.HasAdmission() {
			fields = append(fields, "level", p.Rules[s.Database].Level, "target", p.Rules[s.Database].TargetLatency.String())
		}
	}
	return append(fields, more...)
}
