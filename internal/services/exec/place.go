package exec

import (
	"context"
	"time"

	"wasabislip.example/wasabislip/internal/models/view"
	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/internal/services/epoch"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// chooseInstance chooses the instance that runs the first batch, and logs why. It
// does not choose the instance skip.
func (t *run) chooseInstance(ctx context.Context, skip int) (int, error) {
	if err := t.setMinPosition(ctx); err != nil {
		return 0, err
	}
	v := t.epoch.View()
	index, reason := v.Route(t.route, t.minPosition, time.Now(), skip, t.executor)
	if index == v.Primary && reason == view.TooOld {
		fresh, err := t.epoch.VerifyTerm(ctx)
		if err != nil {
			return 0, err
		}
		v = fresh
		index, reason = v.Route(t.route, t.minPosition, time.Now(), skip, t.executor)
	}
	if reason == view.Behind {
		index, reason = t.awaitReplica(ctx, index, skip)
	}
	database := t.executor.coordinator.Database()
	decision := "run-on-replica"
	if index == v.Primary {
		decision = "run-on-primary"
	}
	declog.Decision{
		Decision:   decision,
		Reason:     reason,
		Workspace:  t.open.GetWorkspace(),
		Database:   database.Name,
		Instance:   database.Instances[index].Name,
		Term:       t.epoch.Term(),
		Position:   t.minPosition,
		Host:       t.executor.host,
		DataCentre: database.Instances[index].DataCentre,
	}.Log()
	return index, nil
}

// awaitReplica waits for a replica to reach the minimum position if that is
// expected within MaxReplicaDelay, or sooner than a slot of the primary gets free.
// It returns the chosen instance and the reason.
func (t *run) awaitReplica(ctx context.Context, primary, skip int) (int, string) {
	lag, ok := t.epoch.View().MinLag()
	if at, known := t.executor.commitTimes.At(t.minPosition.Offset); known {
		lag -= time.Since(at)
	}
	if !ok || lag >= max(t.executor.expectedWait(primary), MaxReplicaDelay) {
		return primary, view.Behind
	}
	ctx, cancel := context.WithTimeout(ctx, ReplicaWaitLimit)
	defer cancel()
	for {
		v, err := t.epoch.VerifyTerm(ctx)
		if err != nil {
			return primary, "replica-stayed-behind-floor"
		}
		if index, _ := v.Route(t.route, t.minPosition, time.Now(), skip, t.executor); index != primary {
			return index, "replica-reached-floor"
		}
	}
}

// setMinPosition sets the position that the session's reads have to see. A caller
// sends the one that it knows (floor on the wire). A session that arrives without
// one (fenced on the wire) has to see all writes acknowledged so far.
func (t *run) setMinPosition(ctx context.Context) error {
	t.minPosition = logpos.Position{
		Term:   t.open.GetFloor().GetTerm(),
		Offset: t.open.GetFloor().GetOffset(),
	}
	if t.minPosition.Term > t.epoch.Term() {
		return fault.New(fault.NotCoordinator, t.executor.host+" has not yet seen the session's term", "ask the present steward")
	}
	if t.route.Kind != route.Read || t.route.Freshness == route.Primary {
		return nil
	}
	if !t.open.GetFenced() && t.sessionKey == "" {
		return nil
	}
	v, err := t.epoch.VerifyTerm(ctx)
	if err != nil {
		return err
	}
	writes := t.executor.coordinator.Writes()
	if t.open.GetFenced() {
		t.raiseMinPosition(writes.BaseFloor())
		t.raiseMinPosition(v.Confirmed)
		t.minPositionSet = true
	}
	if t.sessionKey != "" {
		t.raiseMinPosition(writes.Floor(t.sessionKey))
	}
	return nil
}

// raiseMinPosition raises the minimum position to p if p is later.
func (t *run) raiseMinPosition(p logpos.Position) {
	if p.Newer(t.minPosition) {
		t.minPosition = p
	}
}

// connect takes a connection to the instance at index from its pool. It fails if
// the connection belongs to another term.
func (t *run) connect(ctx context.Context, index int) (*dbconn.Conn, error) {
	workspace := t.open.GetWorkspace()
	if err := t.executor.reserveConn(index, workspace); err != nil {
		return nil, err
	}
	p := t.executor.coordinator.Pool(index)
	c, err := p.Get(ctx, t.route.Kind == route.Read)
	if err != nil {
		t.executor.unreserveConn(index, workspace)
		return nil, err
	}
	if c.Term != t.epoch.Term() {
		p.Discard(c)
		t.executor.unreserveConn(index, workspace)
		return nil, supersededFault(t.epoch)
	}
	t.executor.mu.Lock()
	t.conn = c
	t.index = index
	t.executor.mu.Unlock()
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
