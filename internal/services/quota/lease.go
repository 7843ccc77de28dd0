package quota

import (
	"context"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/vouch"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// leaseLoop takes and renews this host's lease until ctx ends.
func (q *Quota) leaseLoop(ctx context.Context) {
	for {
		every := renewInterval
		if err := q.renew(ctx); err != nil {
			klog.V(1).InfoS("lease not renewed", "host", q.self, "err", err)
			every = renewRetry
		}
		if !q.rebalanceUntil(ctx, time.Now().Add(every)) {
			return
		}
	}
}

// rebalanceUntil claims the parts that this host is the preferred candidate for, and
// releases parts that another host is the preferred candidate for: at once, every
// rebalanceInterval, and whenever a round is due, until end. It returns false once
// ctx has ended.
func (q *Quota) rebalanceUntil(ctx context.Context, end time.Time) bool {
	for time.Now().Before(end) {
		q.claimPreferred(ctx, end)
		q.releaseMisplaced(ctx, end)
		select {
		case <-ctx.Done():
			return false
		case <-q.roundDue:
		case <-time.After(min(rebalanceInterval, time.Until(end))):
		}
	}
	return true
}

// renew renews the lease, or takes a new one if none is held.
func (q *Quota) renew(ctx context.Context) error {
	q.renewing <- struct{}{}
	defer func() { <-q.renewing }()
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if q.stopped() {
		return nil
	}
	incarnation := q.incarnation()
	if incarnation == "" {
		return q.takeLease(ctx)
	}
	sent := time.Now()
	version := q.version()
	body := leaseRow{
		Incarnation: incarnation,
		Witnesses:   q.chooseWitnesses(sent),
	}
	q.recordAttempt(body.Witnesses)
	err := q.put(ctx, leaseClass, q.self, body, version)
	if fault.IsKind(err, fault.Conflict) {
		return q.resolveConflict(ctx, incarnation)
	}
	if err != nil {
		return err
	}
	q.leaseMu.Lock()
	defer q.leaseMu.Unlock()
	q.leaseVersion = version + 1
	q.lease.Renew(sent, time.Now())
	q.holder.RecordWrite(sent, body.Witnesses)
	return nil
}

// recordAttempt records that the lease's row is about to be written with set.
func (q *Quota) recordAttempt(set []string) {
	q.leaseMu.Lock()
	defer q.leaseMu.Unlock()
	q.holder.RecordAttempt(set)
}

// resolveConflict reads the lease row after a renewal that failed with a conflict.
// Either an earlier renewal took effect though its answer was lost, and the row's
// version is one of this host; or another host ended the lease, which is dropped.
func (q *Quota) resolveConflict(ctx context.Context, incarnation string) error {
	rec, err := q.table.Get(ctx, leaseClass, q.self)
	if err != nil {
		return err
	}
	var l leaseRow
	if err := decode(rec, &l); err != nil {
		return err
	}
	q.leaseMu.Lock()
	defer q.leaseMu.Unlock()
	if l.Incarnation == incarnation && !l.Ended {
		q.leaseVersion = rec.Version
		q.holder.RecordRead(l.Witnesses)
		return fault.New(fault.Conflict, "a renewal's answer was lost", "renew again")
	}
	q.lease.End()
	return fault.New(fault.Conflict, "the lease was ended by another host", "take a new lease")
}

// takeLease takes a lease under a new incarnation, once no other process of this
// host can hold one.
func (q *Quota) takeLease(ctx context.Context) error {
	sent := time.Now()
	rec, err := q.table.Get(ctx, leaseClass, q.self)
	if err != nil {
		return err
	}
	var l leaseRow
	if err := decode(rec, &l); err != nil {
		return err
	}
	if rec.Version > 0 && !l.Ended && !q.isOwnIncarnation(l.Incarnation) && !q.leaseExpired(sent, rec) {
		return fault.New(fault.Conflict, "another process of this host may hold the lease", "wait until it has run out")
	}
	incarnation := q.processID + idSeparator + uuid.NewString()
	sent = time.Now()
	body := leaseRow{
		Incarnation: incarnation,
	}
	if err := q.put(ctx, leaseClass, q.self, body, rec.Version); err != nil {
		return err
	}
	q.leaseMu.Lock()
	defer q.leaseMu.Unlock()
	if q.closed {
		return nil
	}
	q.leaseVersion = rec.Version + 1
	q.lease.Acquire(sent, incarnation)
	q.holder = vouch.NewHolder(sent, promiseWindow)
	return nil
}

// isOwnIncarnation reports whether an incarnation is one of this process.
func (q *Quota) isOwnIncarnation(incarnation string) bool {
	return len(incarnation) > len(q.processID) && incarnation[:len(q.processID)] == q.processID
}

// incarnation returns the lease's incarnation, or an empty string if the lease has
// expired.
func (q *Quota) incarnation() string {
	q.leaseMu.RLock()
	defer q.leaseMu.RUnlock()
	if !q.lease.Held(time.Now()) {
		return ""
	}
	return q.lease.Incarnation()
}

// stopped reports whether the host takes no leases any more.
func (q *Quota) stopped() bool {
	q.leaseMu.RLock()
	defer q.leaseMu.RUnlock()
	return q.closed
}

// version returns the version of the lease row.
func (q *Quota) version() uint64 {
	q.leaseMu.RLock()
	defer q.leaseMu.RUnlock()
	return q.leaseVersion
}
