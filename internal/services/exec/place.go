package exec

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/models/view"
	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/internal/services/coord"
	"wasabislip.example/wasabislip/internal/services/epoch"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// chooseInstance chooses the instance that runs the first batch, and logs why. It
// does not choose the instance skip.
func (r *run) chooseInstance(ctx context.Context, skip int) (int, error) {
	if err := r.setMinPosition(ctx); err != nil {
		return 0, err
	}
	v := r.epoch.View()
	index, reason := v.Route(r.route, r.minPosition, time.Now(), skip, r.executor)
	if index == v.Primary && reason == view.TooOld {
		fresh, err := r.epoch.VerifyTerm(ctx)
		if err != nil {
			return 0, err
		}
		v = fresh
		index, reason = v.Route(r.route, r.minPosition, time.Now(), skip, r.executor)
	}
	if reason == view.Behind {
		index, reason = r.awaitReplica(ctx, index, skip)
	}
	database := r.executor.coordinator.Database()
	if !r.executor.coordinator.AcceptsRuns(index) {
		f := fault.New(
			fault.NoPrimary,
			"instance "+database.Instances[index].Name+" is drained, and no other instance of "+database.Name+" has taken over",
			"restore an instance, or send the request again",
		)
		return 0, f.WithRetryAfter(coord.MaxBackoff)
	}
	decision := "run-on-replica"
	if index == v.Primary {
		decision = "run-on-primary"
	}
	declog.Decision{
		Decision:   decision,
		Reason:     reason,
		Workspace:  r.open.GetWorkspace(),
		Database:   database.Name,
		Instance:   database.Instances[index].Name,
		Term:       r.epoch.Term(),
		Position:   r.minPosition,
		Host:       r.executor.host,
		DataCentre: database.Instances[index].DataCentre,
	}.Log()
	return index, nil
}

// awaitReplica waits for a replica to reach the minimum position if that is
// expected within MaxReplicaDelay, or sooner than a slot of the primary gets free.
// It returns the chosen instance and the reason.
func (r *run) awaitReplica(ctx context.Context, primary, skip int) (int, string) {
	lag, ok := r.epoch.View().MinLag()
	if at, known := r.executor.commitTimes.At(r.minPosition.Offset); known {
		lag -= time.Since(at)
	}
	if !ok || lag >= max(r.executor.expectedWait(primary), MaxReplicaDelay) {
		return primary, view.Behind
	}
	ctx, cancel := context.WithTimeout(ctx, ReplicaWaitLimit)
	defer cancel()
	for {
		v, err := r.epoch.VerifyTerm(ctx)
		if err != nil {
			return primary, "replica-stayed-behind-floor"
		}
		if index, _ := v.Route(r.route, r.minPosition, time.Now(), skip, r.executor); index != primary {
			return index, "replica-reached-floor"
		}
	}
}

// setMinPosition sets the position that the session's reads have to see. A caller
// sends the one that it knows (floor on the wire). A session that arrives without
// one (fenced on the wire) has to see all writes acknowledged so far.
func (r *run) setMinPosition(ctx context.Context) error {
	r.minPosition = logpos.Position{
		Term:   r.open.GetFloor().GetTerm(),
		Offset: r.open.GetFloor().GetOffset(),
	}
	if r.minPosition.Term > r.epoch.Term() {
		return fault.New(fault.NotCoordinator, r.executor.host+" has not yet seen the session's term", "ask the present steward")
	}
	if r.route.Kind != route.Read || r.route.Freshness == route.Primary {
		return nil
	}
	if !r.open.GetFenced() && r.sessionKey == "" {
		return nil
	}
	v, err := r.epoch.VerifyTerm(ctx)
	if err != nil {
		return err
	}
	writes := r.executor.coordinator.Writes()
	if r.open.GetFenced() {
		r.raiseMinPosition(writes.BaseMinPosition())
		r.raiseMinPosition(v.Confirmed)
		r.minPositionSet = true
	}
	if r.sessionKey != "" {
		r.raiseMinPosition(writes.MinPosition(r.sessionKey))
	}
	return nil
}

// raiseMinPosition raises the minimum position to p if p is later.
func (r *run) raiseMinPosition(p logpos.Position) {
	if p.Newer(r.minPosition) {
		r.minPosition = p
	}
}

// connect takes a connection to the instance at index from its pool. It fails if
// the connection belongs to another term.
func (r *run) connect(ctx context.Context, index int) (*dbconn.Conn, error) {
	workspace := r.open.GetWorkspace()
	if err := r.executor.reserveConn(index, workspace); err != nil {
		return nil, err
	}
	p := r.executor.coordinator.Pool(index)
	c, err := p.Get(ctx, r.route.Kind == route.Read)
	if err != nil {
		r.executor.unreserveConn(index, workspace)
		return nil, err
	}
	if c.Term != r.epoch.Term() {
		p.Discard(c)
		r.executor.unreserveConn(index, workspace)
		return nil, supersededFault(r.epoch)
	}
	r.executor.mu.Lock()
	r.conn = c
	r.index = index
	r.executor.mu.Unlock()
	return c, nil
}

// supersededFault is the fault for a request that did not run because its term has
// ended.
func supersededFault(e *epoch.Epoch) *fault.Fault {
	reason := "the term has ended before the request ran"
	if e.Reason() == epoch.Superseded {
		reason = "the database has another steward"
	}
	return fault.New(fault.Superseded, reason, "send the request again")
}
