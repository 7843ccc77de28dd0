package failov

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// callTimeout bounds one call to the store or the platform.
	callTimeout = 1500 * time.Millisecond
	// pollInterval is the time between two checks of a condition that a step
	// waits for.
	pollInterval = 20 * time.Millisecond
	// transactionsTimeout is how long a planned failover waits for the
	// transactions on the former primary to end. Callers wait during it, and
	// it is part of the time that an instance has for leaving, 7 s and more.
	transactionsTimeout = 700 * time.Millisecond
	// catchUpTimeout is how long a planned failover waits for a replica to
	// receive the end of the former primary's log.
	catchUpTimeout = 2 * time.Second
	// replicateTimeout is how long a planned failover waits, before the former
	// primary steps down, for a replica to receive its log. Replicas are
	// usually some milliseconds behind.
	replicateTimeout = 500 * time.Millisecond
	// promoteTimeout bounds a promotion, which takes about a second, and the writing of
	// the choice before it. With callTimeout it is shorter than abandonedTimeout.
	promoteTimeout = 4 * time.Second
	// promoteRetryInterval is the time after which the platform is told again
	// to promote the instance.
	promoteRetryInterval = 500 * time.Millisecond
	// clockMargin is added to the lease because hosts' clocks run at different
	// speeds.
	clockMargin = 100 * time.Millisecond
)

// Errors that end a failover without a new primary.
var (
	errNoCandidate = errors.New("no instance can become the primary")
	errSuperseded  = errors.New("another host took the failover over")
	errNotRecorded = errors.New("the store did not take the record; the failover starts again")
	errRestored    = errors.New("the store was restored from an older copy; the failover starts again")
	errNotHeld     = errors.New("no replica could be stopped from receiving for the time of a lease, while hosts may still use the former primary; the failover starts again")
	errNotPromoted = errors.New("the instance did not become the primary in time")
)

// attempt is one failover under way.
type attempt struct {
	failover *Failover
	service  string
	view     *dbview.View
	// record is the leader record as this host wrote it last, and version the
	// version of its row.
	record  leader.Leader
	version uint64
	// era is the store's era in which the record was written.
	era uint64
	// intentWritten is when the store held the record in the phase Changing.
	intentWritten time.Duration
	// intentVersion is the version of the row that held it.
	intentVersion uint64
	// formerStopped says that the former primary stepped down, and that no host can
	// have read there since it did.
	formerStopped bool
	// formerLogEnd is where the former primary's log ends if it stepped down;
	// zero if it did not.
	formerLogEnd logpos.Position
	// rejected are the instances that the platform refused to promote.
	rejected map[string]bool
	// held are the replicas that follow no primary, and since when at the latest.
	held map[string]time.Duration
	// newestTerm is the highest term that a replica reported.
	newestTerm uint64
	// failures counts for each replica how often in a row it did not answer when it was
	// to be held.
	failures map[string]int
	// holdTerm is the term of the last command to stop receiving.
	holdTerm uint64
	// nextHold is when replicas may be asked again.
	nextHold time.Duration
}

// replace carries out one failover and logs how it ended.
func (f *Failover) replace(ctx context.Context, service string, why cause) {
	started := uptime.Now()
	a := &attempt{
		failover: f,
		service:  service,
		view:     f.Views.View(service),
		rejected: map[string]bool{},
	}
	err := a.replacePrimary(ctx, why)
	if err != nil {
		klog.InfoS("failover failed", "service", service, "reason", why.reason, "token", a.record.Token, "after", (uptime.Now() - started).String(), "err", err.Error())
		a.releaseSuperseded(ctx)
		return
	}
	took := uptime.Now() - started
	f.log("primary changed", service, a.record, "took", took.String())
	f.Meter.RecordPrimaryChange(a.record.Planned, took)
}

// replacePrimary goes through the steps of a failover: record the intent, make
// sure that the former primary is no longer used, and promote the best replica.
// It tries the next candidate when the platform refuses one.
func (a *attempt) replacePrimary(ctx context.Context, why cause) error {
	if len(a.failover.candidates(a.service, a.formerID())) == 0 {
		return errNoCandidate
	}
	if err := a.recordIntent(ctx, why); err != nil {
		return err
	}
	if a.record.Planned && !a.stopFormer(ctx) {
		// The former primary did not step down, so the leases must expire.
		if err := a.recordIntent(ctx, cause{reason: why.reason}); err != nil {
			return err
		}
	}
	if !a.record.Planned {
		if err := a.waitOutLeases(ctx); err != nil {
			return err
		}
	}
	for {
		err := a.installBest(ctx)
		if !fault.IsKind(err, fault.Conflict) {
			return err
		}
		a.rejected[a.record.Primary] = true
	}
}

// formerID returns the id of the primary that is to be replaced.
func (a *attempt) formerID() string {
	l, _ := a.view.Leader()
	if l.Phase == leader.Changing {
		return l.FormerPrimary
	}
	return l.Primary
}

// recordIntent writes the record in the phase Changing. From then on no host
// gets a new lease on the former primary.
func (a *attempt) recordIntent(ctx context.Context, why cause) error {
	old, version := a.view.Leader()
	former := a.formerID()
	a.era, _ = a.failover.Directory.EraSince(a.failover.FleetTable)
	record := leader.Leader{
		Token:         leader.NextToken(old.Token, a.era),
		Holder:        a.failover.Host,
		Phase:         leader.Changing,
		FormerPrimary: former,
		Planned:       why.planned,
		Reason:        why.reason,
	}
	if a.version != 0 {
		version = a.version
		record.Token = leader.NextToken(a.record.Token, a.era)
	}
	if err := a.writeRecord(ctx, record, version); err != nil {
		return err
	}
	a.intentWritten = uptime.Now()
	a.intentVersion = a.version
	a.formerStopped = false
	a.held = map[string]time.Duration{}
	a.failures = map[string]int{}
	a.nextHold = 0
	a.failover.log("changing the primary", a.service, record, "version", a.version)
	return nil
}

// writeRecord writes the record by compare-and-swap on the row's version, and
// pushes it to the other hosts. The write also expects the row that opened the
// store's era: after a restore the store may have given the same version to another
// record.
func (a *attempt) writeRecord(ctx context.Context, record leader.Leader, version uint64) error {
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode the leader record: %w", err)
	}
	row := tuple.Tuple{
		Table:   a.failover.FleetTable,
		Key:     "leader-" + a.service,
		Value:   value,
		Version: version,
	}
	expected := []tuple.Tuple{row}
	if _, eraVersion := a.failover.Directory.EraOpen(); eraVersion != 0 {
		expected = append(expected, tuple.Tuple{
			Table:   a.failover.FleetTable,
			Key:     mirror.EraKey(a.era),
			Version: eraVersion,
		})
	} else {
		// Era 0 has no row of its own; that of the next era must not be there yet.
		expected = append(expected, tuple.Tuple{
			Table: a.failover.FleetTable,
			Key:   mirror.EraKey(a.era + 1),
		})
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = a.failover.Store.Write(call, expected, []tuple.Tuple{row}, nil)
	if err != nil && !fault.IsKind(err, fault.OutcomeUnknown) {
		// The table is read again, so that the next try knows what changed.
		_ = a.reread(ctx)
		return fmt.Errorf("write the leader record: %w", err)
	}
	// The record is read back also when the answer was lost: it then tells
	// whether the write took effect.
	if err := a.reread(ctx); err != nil {
		return err
	}
	now, at, ok := a.failover.Directory.Leader(a.service)
	switch {
	case ok && now == record:
	case at == version:
		return errNotRecorded
	default:
		return errSuperseded
	}
	if era, _ := a.failover.Directory.EraSince(a.failover.FleetTable); era != a.era {
		return errRestored
	}
	a.record = record
	a.version = at
	a.failover.Hosts.PushNow()
	return nil
}

// reread reads the fleet's table from the store.
func (a *attempt) reread(ctx context.Context) error {
	return a.failover.Directory.Reread(ctx, a.failover.FleetTable)
}

// stopFormer makes the former primary step down: it waits for callers'
// transactions to end, has the instance step down, and waits for a replica to
// receive all of its log. It reports whether the former primary stepped down.
func (a *attempt) stopFormer(ctx context.Context) bool {
	former, ok := a.failover.Directory.Server(a.record.FormerPrimary)
	if !ok {
		return false
	}
	a.waitUnused(ctx)
	a.waitUntil(ctx, uptime.Now()+transactionsTimeout, func() bool {
		return a.failover.Hosts.CountOpenTransactions(a.service) == 0 && !a.view.HasOpenTransactions()
	})
	before, ok := a.waitReplicated(ctx, former)
	if !ok {
		return false
	}
	unused := a.isUnused() || a.heldForLease(ctx) // a replica may have restarted
	after, outcome, err := a.failover.Prober.StepDown(ctx, former, before.Term+1)
	if err != nil || outcome != reply.Done || after.Primary {
		return false
	}
	if !unused {
		// It renews no lease any more, and reads there may be stale until the last
		// one has expired.
		a.waitUntil(ctx, uptime.Now()+dbview.Lease+clockMargin, a.isUnused)
	}
	a.formerStopped = true
	a.formerLogEnd = after.Received
	caught := a.waitUntil(ctx, uptime.Now()+catchUpTimeout, func() bool {
		best, ok := a.bestCandidate(ctx, a.failover.Prober.Status)
		return ok && !after.Received.Newer(best.report.Received)
	})
	a.failover.log("the former primary stepped down", a.service, a.record, "position", after.Received.String(), "caught-up", caught)
	return true
}

// waitReplicated waits until a replica has received the whole log of the former
// primary, which still leads: commits that it has not sent yet may be lost when it
// steps down. It returns the former primary's last status; false if it did not answer.
func (a *attempt) waitReplicated(ctx context.Context, former server.Server) (report.Report, bool) {
	var last logpos.Position
	var status report.Report
	answered := false
	a.waitUntil(ctx, uptime.Now()+replicateTimeout, func() bool {
		r, outcome, err := a.failover.Prober.Status(ctx, former)
		answered = err == nil && outcome == reply.Done
		if !answered {
			return false
		}
		// Statements under way when the last host obeyed may still commit.
		quiet := r.Received == last
		last = r.Received
		status = r
		best, ok := a.bestCandidate(ctx, a.failover.Prober.Status)
		if !quiet || !ok || r.Received.Newer(best.report.Received) {
			return false
		}
		// The former primary may have committed more since an older report.
		r, outcome, err = a.failover.Prober.FreshStatus(ctx, former)
		answered = err == nil && outcome == reply.Done
		if !answered {
			return false
		}
		quiet = r.Received == last
		last = r.Received
		status = r
		return quiet
	})
	return status, answered
}

// waitUntil polls ready until it returns true or limit has passed, and returns
// its last result.
func (a *attempt) waitUntil(ctx context.Context, limit time.Duration, ready func() bool) bool {
	for uptime.Now() < limit && ctx.Err() == nil {
		if ready() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return ready()
}

// installBest promotes the best candidate and records it as the primary.
func (a *attempt) installBest(ctx context.Context) error {
	chosen, ok := a.bestCandidate(ctx, a.failover.Prober.FreshStatus)
	if !ok {
		return errNoCandidate
	}
	record := a.record
	record.Primary = chosen.server.ID
	record.LogEnd = chosen.report.Received
	// Other hosts see the record from now on at the earliest, and take the failover over
	// once it has stayed as it is for abandonedTimeout.
	limit := uptime.Now() + promoteTimeout
	if err := a.writeRecord(ctx, record, a.version); err != nil {
		return err
	}
	if err := a.waitPromoted(ctx, chosen, limit); err != nil {
		return err
	}
	record.Phase = leader.Settled
	record.LogEnd = logpos.Position{}
	err := a.writeRecord(ctx, record, a.version)
	a.resumeReplicas(ctx)
	return err
}

// waitPromoted tells the platform to promote the instance, again and again,
// until the instance answers that it is the primary of a new term, unless it led the
// newest one before. Each order needs what the wait for leases found: a replica may
// have restarted since, and another host may have taken the failover over.
func (a *attempt) waitPromoted(ctx context.Context, chosen candidate, limit time.Duration) error {
	leads := chosen.report.Primary && chosen.report.Term >= a.newestTerm
	ordered := time.Duration(-1)
	for uptime.Now() < limit && ctx.Err() == nil {
		if ordered < 0 || uptime.Now()-ordered > promoteRetryInterval {
			if !a.formerStopped && !a.isUnused() && !a.heldForLease(ctx) {
				return errNotHeld
			}
			if a.isSuperseded() {
				return errSuperseded
			}
			ordered = uptime.Now()
			if err := a.orderPromotion(ctx, chosen.server.ID); err != nil {
				return err
			}
		}
		// An older report with a higher term is from after the choice as well.
		r, outcome, err := a.failover.Prober.Status(ctx, chosen.server)
		if err == nil && outcome == reply.Done && r.Primary && (leads || r.Term > chosen.report.Term) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errNotPromoted
}

// orderPromotion tells the platform to promote the instance. Only a refusal is
// an error: when the answer was lost the promotion may still take place.
func (a *attempt) orderPromotion(ctx context.Context, id string) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := a.failover.Platform.Promote(call, a.service, id, a.failover.Host, a.record.Token)
	if err == nil {
		return nil
	}
	klog.InfoS("the platform did not accept the promotion", "service", a.service, "instance", id, "token", a.record.Token, "err", err.Error())
	if fault.IsKind(err, fault.Conflict) {
		return err
	}
	return nil
}

// resumeReplicas lets the replicas that were stopped receive from the new
// primary.
func (a *attempt) resumeReplicas(ctx context.Context) {
	for _, s := range a.failover.Directory.Servers(a.service) {
		if s.ID == a.record.Primary {
			continue
		}
		if r, outcome, err := a.failover.Prober.FreshStatus(ctx, s); err == nil && outcome == reply.Done && r.PausedTerm > 0 {
			if _, _, err := a.failover.Prober.ResumeReplication(ctx, s); err != nil {
				klog.InfoS("a replica could not be made to receive again", "service", a.service, "instance", s.ID, "err", err.Error())
			}
		}
	}
}
