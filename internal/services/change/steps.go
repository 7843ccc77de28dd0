package change

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
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// callTimeout bounds one call of the store or the platform.
	callTimeout = 1500 * time.Millisecond
	// poll is the time between two looks while a step is waited for.
	pollInterval = 20 * time.Millisecond
	// finishFor is how long a planned change waits for transactions on the
	// former primary. It is part of the time that an instance takes to leave,
	// 7 s and more, and callers wait for it.
	transactionsTimeout = 700 * time.Millisecond
	// catchUpFor is how long a planned change waits for the successor to
	// receive the end of the former primary's log.
	catchUpTimeout = 2 * time.Second
	// promoteFor is how long a promotion may take: about a second.
	promoteTimeout = 4 * time.Second
	// promoteRetry is the time after which an order is repeated.
	promoteRetryInterval = 500 * time.Millisecond
	// leaseMargin is added to the lease for the difference between clocks'
	// speeds.
	clockMargin = 100 * time.Millisecond
)

// Errors that end a change without a new primary.
var (
	errNoCandidate = errors.New("no instance can become the primary")
	errSuperseded  = errors.New("another host took the change over")
	errNotPromoted = errors.New("the instance did not become the primary in time")
)

// run is one change under way.
type attempt struct {
	failover       *Change
	service string
	view    *dbview.View
	// record is the record as this host wrote it last, and version its row's.
	record  leader.Leader
	version uint64
	// written is when the intent was in the store.
	intentWritten time.Duration
	// end is where the log of a former primary ends that stopped by itself; zero
	// when it did not.
	formerLogEnd logpos.Position
	// refused are the instances that the platform would not promote.
	rejected map[string]bool
}

// replace carries one change out.
func (c *Change) replace(ctx context.Context, service string, why cause) {
	started := uptime.Now()
	x := &attempt{
		failover:       c,
		service: service,
		view:    c.Groups.View(service),
		rejected: map[string]bool{},
	}
	err := x.replacePrimary(ctx, why)
	if err != nil {
		klog.InfoS("change of primary failed", "service", service, "reason", why.reason, "token", x.record.Token, "after", (uptime.Now() - started).String(), "err", err.Error())
		return
	}
	took := uptime.Now() - started
	c.log("primary changed", service, x.record, "took", took.String())
	c.Meter.Changed(x.record.Planned, took)
}

func (x *attempt) replacePrimary(ctx context.Context, why cause) error {
	if len(x.failover.candidates(x.service, x.formerID())) == 0 {
		return errNoCandidate
	}
	if err := x.recordIntent(ctx, why); err != nil {
		return err
	}
	if x.record.Planned && !x.stopFormer(ctx) {
		// The former primary did not stop, so the leases must run out.
		if err := x.recordIntent(ctx, cause{reason: why.reason}); err != nil {
			return err
		}
	}
	if !x.record.Planned {
		x.waitOutLeases(ctx)
	}
	for {
		err := x.installBest(ctx)
		if !fault.IsKind(err, fault.Conflict) {
			return err
		}
		x.rejected[x.record.Primary] = true
	}
}

// formerID returns the primary that is to be replaced.
func (x *attempt) formerID() string {
	l, _ := x.view.Leading()
	if l.Phase == leader.Changing {
		return l.Former
	}
	return l.Primary
}

// intend records that the primary is being replaced: from now on no host gets
// a new lease on it.
func (x *attempt) recordIntent(ctx context.Context, why cause) error {
	old, version := x.view.Leading()
	former := x.formerID()
	record := leader.Leader{
		Token:   old.Token + 1,
		Holder:  x.failover.Host,
		Phase:   leader.Changing,
		Former:  former,
		Planned: why.planned,
		Reason:  why.reason,
	}
	if x.version != 0 {
		version = x.version
		record.Token = x.record.Token + 1
	}
	if err := x.writeRecord(ctx, record, version); err != nil {
		return err
	}
	x.intentWritten = uptime.Now()
	x.failover.log("changing the primary", x.service, record, "version", x.version)
	return nil
}

// write writes the record under the condition that nobody wrote it meanwhile,
// and tells the other hosts.
func (x *attempt) writeRecord(ctx context.Context, record leader.Leader, version uint64) error {
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode the record of a primary: %w", err)
	}
	row := tuple.Tuple{
		Table:   x.failover.Fleet,
		Key:     "leader-" + x.service,
		Value:   value,
		Version: version,
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = x.failover.Store.Write(call, []tuple.Tuple{row}, []tuple.Tuple{row}, nil)
	if err != nil && !fault.IsKind(err, fault.OutcomeUnknown) {
		// The rows are read, so that the next try knows what changed.
		_ = x.reread(ctx)
		return fmt.Errorf("write the record of a primary: %w", err)
	}
	// Read back also where the answer was lost: the record then tells whether
	// the write took effect.
	if err := x.reread(ctx); err != nil {
		return err
	}
	now, at, ok := x.failover.Directory.Leader(x.service)
	if !ok || now != record {
		return errSuperseded
	}
	x.record = record
	x.version = at
	x.failover.Hosts.Urge()
	return nil
}

func (x *attempt) reread(ctx context.Context) error {
	return x.failover.Directory.Reread(ctx, x.failover.Fleet)
}

// handOver makes the former primary stop by itself: callers' transactions end,
// it steps down, and the successor receives all it had.
func (x *attempt) stopFormer(ctx context.Context) bool {
	former, ok := x.failover.Directory.Server(x.record.Former)
	if !ok {
		return false
	}
	x.waitForHosts(ctx, x.intentWritten+dbview.Lease+clockMargin)
	x.waitUntil(ctx, uptime.Now()+transactionsTimeout, func() bool {
		return x.failover.Hosts.Unfinished(x.service) == 0 && !x.view.Unfinished()
	})
	before, outcome, err := x.failover.Prober.Status(ctx, former)
	if err != nil || outcome != reply.Done {
		return false
	}
	after, outcome, err := x.failover.Prober.StepDown(ctx, former, before.Term+1)
	if err != nil || outcome != reply.Done || after.Primary {
		return false
	}
	x.formerLogEnd = after.Received
	caught := x.waitUntil(ctx, uptime.Now()+catchUpTimeout, func() bool {
		best, ok := x.bestCandidate(ctx)
		return ok && !after.Received.Newer(best.report.Received)
	})
	x.failover.log("the former primary stopped", x.service, x.record, "position", after.Received.String(), "caught-up", caught)
	return true
}

// fence waits until no host can use the former primary any more: each obeys
// the record, or its lease has run out. The replicas are held meanwhile, so
// that no commit reaches them late and no host can prove the former primary by
// asking them.
func (x *attempt) waitOutLeases(ctx context.Context) {
	x.holdReplicas(ctx)
	ended := uptime.Now() + dbview.Lease + clockMargin
	waited := uptime.Now()
	all := x.waitForHosts(ctx, ended)
	x.failover.log("the former primary is out of use", x.service, x.record, "all-hosts-obey", all, "waited", (uptime.Now() - waited).String())
}

// hold stops the replicas from receiving.
func (x *attempt) holdReplicas(ctx context.Context) {
	for _, s := range x.failover.candidates(x.service, x.record.Former) {
		r, outcome, err := x.failover.Prober.Status(ctx, s)
		if err != nil || outcome != reply.Done {
			continue
		}
		if _, _, err := x.failover.Prober.Hold(ctx, s, max(r.Term, r.HeldTerm)+1); err != nil {
			klog.InfoS("a replica can't be held", "service", x.service, "instance", s.ID, "err", err.Error())
		}
	}
}

// obeyed waits until every registered host obeys the record; false when that
// took longer than until limit.
func (x *attempt) waitForHosts(ctx context.Context, limit time.Duration) bool {
	return x.waitUntil(ctx, limit, func() bool {
		for name := range x.failover.Directory.Registered() {
			if name != x.failover.Host && x.failover.Hosts.Seen(name) < x.version {
				return false
			}
		}
		return true
	})
}

func (x *attempt) waitUntil(ctx context.Context, limit time.Duration, ready func() bool) bool {
	for uptime.Now() < limit && ctx.Err() == nil {
		if ready() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return ready()
}

// standing is an instance with its report.
type candidate struct {
	server server.Server
	report report.Report
}

// best returns the candidate that received most, where so many replicas answered
// that one of them holds whatever was acknowledged.
func (x *attempt) bestCandidate(ctx context.Context) (candidate, bool) {
	var best candidate
	found := false
	answered := 0
	for _, s := range x.failover.candidates(x.service, x.record.Former) {
		r, outcome, err := x.failover.Prober.Status(ctx, s)
		if err != nil || outcome != reply.Done {
			continue
		}
		answered++
		if x.rejected[s.ID] {
			continue
		}
		if !found || r.Primary && !best.report.Primary || r.Received.Newer(best.report.Received) {
			best = candidate{
				server: s,
				report: r,
			}
			found = true
		}
	}
	whole := !x.formerLogEnd.IsZero() && !x.formerLogEnd.Newer(best.report.Received)
	if found && !whole && answered < x.failover.requiredAnswers(x.service, x.record.Former) {
		klog.InfoS("too few replicas answer to replace the primary", "service", x.service, "answered", answered, "former", x.record.Former)
		return best, false
	}
	return best, found
}

// install promotes the best candidate and records it as the primary.
func (x *attempt) installBest(ctx context.Context) error {
	chosen, ok := x.bestCandidate(ctx)
	if !ok {
		return errNoCandidate
	}
	record := x.record
	record.Primary = chosen.server.ID
	record.Floor = chosen.report.Received
	if err := x.writeRecord(ctx, record, x.version); err != nil {
		return err
	}
	if err := x.waitPromoted(ctx, chosen); err != nil {
		return err
	}
	record.Phase = leader.Settled
	record.Floor = logpos.Position{}
	err := x.writeRecord(ctx, record, x.version)
	x.releaseReplicas(ctx)
	return err
}

// promote orders the promotion until the instance leads a later term.
func (x *attempt) waitPromoted(ctx context.Context, chosen candidate) error {
	limit := uptime.Now() + promoteTimeout
	ordered := time.Duration(-1)
	for uptime.Now() < limit && ctx.Err() == nil {
		if ordered < 0 || uptime.Now()-ordered > promoteRetryInterval {
			ordered = uptime.Now()
			if err := x.orderPromotion(ctx, chosen.server.ID); err != nil {
				return err
			}
		}
		r, outcome, err := x.failover.Prober.Status(ctx, chosen.server)
		if err == nil && outcome == reply.Done && r.Primary {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errNotPromoted
}

// order gives the order; only a refusal is an error, since an answer that was
// lost leaves the order in force.
func (x *attempt) orderPromotion(ctx context.Context, id string) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := x.failover.Platform.Promote(call, x.service, id, x.failover.Host, x.record.Token)
	if err == nil {
		return nil
	}
	klog.InfoS("the order to promote was not accepted", "service", x.service, "instance", id, "token", x.record.Token, "err", err.Error())
	if fault.IsKind(err, fault.Conflict) {
		return err
	}
	return nil
}

// freeOthers lets the replicas that were held receive from the new primary.
func (x *attempt) releaseReplicas(ctx context.Context) {
	for _, s := range x.failover.Directory.Servers(x.service) {
		if s.ID == x.record.Primary {
			continue
		}
		if r, outcome, err := x.failover.Prober.Status(ctx, s); err == nil && outcome == reply.Done && r.HeldTerm > 0 {
			if _, _, err := x.failover.Prober.Release(ctx, s); err != nil {
				klog.InfoS("a replica can't be released", "service", x.service, "instance", s.ID, "err", err.Error())
			}
		}
	}
}
