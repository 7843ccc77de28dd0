package failov

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// obeyTimeout is how long a planned failover waits for all hosts to apply the
	// record before it stops a replica from receiving: several rounds of gossip.
	obeyTimeout = 300 * time.Millisecond
	// holdInterval is the time between two attempts to make a replica stop receiving:
	// each takes a slot of the instance.
	holdInterval = 300 * time.Millisecond
	// maxHoldFailures is how often in a row a replica may not answer before it is left
	// alone: once by a connection that broke when it restarted.
	maxHoldFailures = 2
	// holdTimeout bounds the wait for leases: for a replica that can't be stopped from
	// receiving at first, and for the time of a lease from then on.
	holdTimeout = 2 * (dbview.Lease + clockMargin)
	// rereadTimeout bounds the reading of the record after a failover that failed: the
	// store may be away for that long.
	rereadTimeout = time.Minute
	// unregisteredTime is how long after a restore of the store there may be
	// hosts that hold a lease although the store lost their registration: they
	// have not noticed the restore, and renew leases by asking the replicas.
	unregisteredTime = time.Minute
)

// waitOutLeases waits until no host can use the former primary any more: each host has
// applied the record, or leases have expired while a replica did not receive. Without
// such a replica a host that reaches all of them renews its lease again and again. No
// replica receives meanwhile if it can be helped, so that no commit reaches one late.
func (a *attempt) waitOutLeases(ctx context.Context) error {
	began := uptime.Now()
	all := false
	held := false
	a.waitUntil(ctx, a.intentWritten+holdTimeout, func() bool {
		if a.isSuperseded() {
			return true
		}
		a.holdReplicas(ctx, a.failover.candidates(a.service, a.record.FormerPrimary))
		all = a.isUnused()
		held = a.heldForLease(ctx)
		return all || held
	})
	if a.isSuperseded() {
		return errSuperseded
	}
	a.failover.log("no host uses the former primary any more", a.service, a.record, "all-hosts-obey", all, "replica-held", held, "waited", (uptime.Now() - began).String())
	if !all && !held {
		return errNotHeld
	}
	return nil
}

// waitUnused waits until no host uses the former primary: each has applied the record, or
// leases have expired while one of several replicas did not receive. It does not wait
// for leases if no replica can be spared.
func (a *attempt) waitUnused(ctx context.Context) {
	if a.waitUntil(ctx, a.intentWritten+obeyTimeout, a.isUnused) {
		return
	}
	spare := a.spareReplica(ctx)
	if len(spare) == 0 {
		return
	}
	a.waitUntil(ctx, uptime.Now()+dbview.Lease+2*clockMargin, func() bool {
		a.holdReplicas(ctx, spare)
		return a.isUnused() || a.heldForLease(ctx)
	})
}

// spareReplica returns the replica that received least as a list of one; empty if fewer
// than two replicas answer, since one has to receive the whole log.
func (a *attempt) spareReplica(ctx context.Context) []server.Server {
	var spare []server.Server
	var least logpos.Position
	answered := 0
	for _, s := range a.failover.candidates(a.service, a.record.FormerPrimary) {
		r, outcome, err := a.failover.Prober.Status(ctx, s)
		if err != nil || outcome != reply.Done || r.Primary {
			continue
		}
		answered++
		if answered == 1 || least.Newer(r.Received) {
			least = r.Received
			spare = []server.Server{s}
		}
	}
	if answered < 2 {
		return nil
	}
	return spare
}

// holdReplicas tries to make replicas stop receiving, and looks whether those that were
// told to still do so, at most once in holdInterval.
func (a *attempt) holdReplicas(ctx context.Context, list []server.Server) {
	if uptime.Now() < a.nextHold {
		return
	}
	reports := a.reportNotHeld(ctx, list)
	// A command for a term that is not above the newest has no effect.
	_, last, _ := a.view.NewestPosition()
	a.holdTerm = max(a.holdTerm, last.Term)
	for _, r := range reports {
		a.holdTerm = max(a.holdTerm, r.Term, r.PausedTerm)
	}
	a.holdTerm++
	for _, s := range list {
		if r, ok := reports[s.ID]; ok {
			a.hold(ctx, s, r)
		}
	}
	a.nextHold = uptime.Now() + holdInterval
}

// reportNotHeld returns the reports of the replicas that answer and are not held. Once
// one is held it no longer asks those that stay silent, since each would delay it.
func (a *attempt) reportNotHeld(ctx context.Context, list []server.Server) map[string]report.Report {
	anyHeld := len(a.held) > 0
	reports := map[string]report.Report{}
	for _, s := range list {
		if anyHeld && a.failures[s.ID] >= maxHoldFailures {
			continue
		}
		r, outcome, err := a.failover.Prober.FreshStatus(ctx, s)
		if err != nil || outcome != reply.Done {
			if err != nil {
				a.failures[s.ID]++
			}
			a.logHold(s, r, outcome, err)
			continue
		}
		a.failures[s.ID] = 0
		if !isHeld(r) {
			a.releaseHold(s.ID)
		}
		if _, ok := a.held[s.ID]; !ok {
			reports[s.ID] = r
		}
	}
	return reports
}

// hold makes a replica with the report r stop receiving.
func (a *attempt) hold(ctx context.Context, s server.Server, r report.Report) {
	if !r.Primary {
		paused, outcome, err := a.failover.Prober.PauseReplication(ctx, s, a.holdTerm)
		a.logHold(s, paused, outcome, err)
		if err != nil || outcome != reply.Done {
			return
		}
		r = paused
	}
	if isHeld(r) {
		a.held[s.ID] = uptime.Now()
	}
}

// isSuperseded reports whether this host's copy shows another record than the one that the
// attempt wrote last.
func (a *attempt) isSuperseded() bool {
	_, version, _ := a.failover.Directory.Leader(a.service)
	return version != a.version
}

// releaseSuperseded lets the replicas that the attempt stopped receive again if another
// host has finished the failover. A holder that was suspended may have stopped them
// after that.
func (a *attempt) releaseSuperseded(ctx context.Context) {
	if len(a.held) == 0 {
		return
	}
	if err := a.rereadPatiently(ctx); err != nil {
		klog.InfoS("it is not known whether replicas are to receive again: the leader record can't be read", "service", a.service, "err", err.Error())
		return
	}
	settled := func() bool {
		l, _, ok := a.failover.Directory.Leader(a.service)
		return ok && l.Phase == leader.Settled
	}
	if !a.isSuperseded() || !a.waitUntil(ctx, uptime.Now()+abandonedTimeout, settled) {
		return
	}
	a.record, a.version, _ = a.failover.Directory.Leader(a.service)
	a.resumeReplicas(ctx)
}

// rereadPatiently reads the fleet's table, again and again while the store does not
// answer: without it this host can carry out no other failover of the service.
func (a *attempt) rereadPatiently(ctx context.Context) error {
	limit := uptime.Now() + rereadTimeout
	for {
		err := a.reread(ctx)
		if err == nil || ctx.Err() != nil || uptime.Now() >= limit {
			return err
		}
		time.Sleep(retryPause)
	}
}

// isHeld reports whether a replica with the report r follows no primary: it was told to
// stop receiving, or an earlier failover promoted it.
func isHeld(r report.Report) bool {
	return r.PausedTerm > 0 || r.Primary
}

// releaseHold notes that a replica receives.
func (a *attempt) releaseHold(id string) {
	if _, ok := a.held[id]; ok {
		klog.InfoS("a replica receives again that was told to stop", "service", a.service, "instance", id)
		delete(a.held, id)
	}
}

// logHold logs a replica's answer to being stopped from receiving.
func (a *attempt) logHold(s server.Server, r report.Report, outcome int, err error) {
	if err != nil {
		klog.InfoS("a replica could not be stopped from receiving", "service", a.service, "instance", s.ID, "err", err.Error())
		return
	}
	klog.InfoS("a replica was asked to stop receiving", "service", a.service, "instance", s.ID, "outcome", reply.OutcomeName(outcome), "paused-term", r.PausedTerm, "received", r.Received.String())
}

// heldForLease reports whether some replica has not received for so long that all leases
// renewed by the replicas have expired. The replica is asked again: one that restarted
// receives again.
func (a *attempt) heldForLease(ctx context.Context) bool {
	for id, since := range a.held {
		if uptime.Now() < max(since, a.intentWritten)+dbview.Lease+clockMargin {
			continue
		}
		s, ok := a.failover.Directory.Server(id)
		if !ok {
			delete(a.held, id)
			continue
		}
		r, outcome, err := a.failover.Prober.FreshStatus(ctx, s)
		if err != nil || outcome != reply.Done {
			continue
		}
		if isHeld(r) {
			return true
		}
		a.releaseHold(id)
	}
	return false
}

// isUnused reports whether no host can use the former primary, since each has applied the
// record.
func (a *attempt) isUnused() bool {
	return a.allObey() && !a.mayHaveUnregistered()
}

// allObey reports whether every registered host has applied the record of the intent.
func (a *attempt) allObey() bool {
	for name := range a.failover.Directory.Registered() {
		if name != a.failover.Host && a.failover.Hosts.FleetVersion(name) < a.intentVersion {
			return false
		}
	}
	return true
}

// mayHaveUnregistered reports whether a host may hold a lease without being
// registered.
func (a *attempt) mayHaveUnregistered() bool {
	era, since := a.failover.Directory.EraSince(a.failover.FleetTable)
	return era > 0 && uptime.Now()-since < unregisteredTime
}
