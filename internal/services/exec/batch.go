package exec

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/internal/models/view"
	"wasabislip.example/wasabislip/internal/modules/batch"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/internal/services/epoch"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// errConnBroken says that the connection to the instance failed before the answer
// to the batch was complete.
var errConnBroken = errors.New("the connection to the instance broke")

// runBatch runs one batch, and once more if it is a read that failed on a replica.
// It reports whether the run is over.
func (t *run) runBatch(ctx context.Context, request *v1.RunRequest) (bool, error) {
	limited, cancel := context.WithTimeout(ctx, timeout(request))
	defer cancel()
	limited, release := t.epoch.TermContext(limited)
	defer release()
	a, err := t.attempt(limited, request, view.NoInstance)
	if t.mayRetry(a, err) && limited.Err() == nil {
		failed := t.index
		t.mayHaveRun = true
		t.discardConn()
		a, err = t.attempt(limited, request, failed)
	}
	if err == nil {
		err = t.confirmAnswer(limited, a)
	}
	if err != nil {
		t.discardConn()
		f := t.toFault(a, err)
		if t.mayRestart(a, f) {
			t.decision("try-in-next-term", f).Log()
			return true, errNextTerm
		}
		t.decision("refuse", f).LogAlways()
		return true, refuse(t.stream, f)
	}
	return t.txStatus == 'I', a.finish(t.txStatus, t.minPosition)
}

// mayRetry reports whether the batch may run again on another instance: it is a
// read outside of a transaction that failed on a replica before the caller was
// sent any of its answer.
func (t *run) mayRetry(a *answer, err error) bool {
	return errors.Is(err, errConnBroken) &&
		t.route.Kind == route.Read &&
		!a.pinned &&
		a.index != t.epoch.View().Primary &&
		!a.partSent
}

// mayRestart reports whether the run may start over in the next term of this
// coordinator: nothing or only reads ran, and the caller was sent nothing.
func (t *run) mayRestart(a *answer, f *fault.Fault) bool {
	reason := t.epoch.Reason()
	if t.lastTry || a.pinned || a.partSent || reason == epoch.Superseded {
		return false
	}
	return f.Kind == fault.Superseded || (t.route.Kind == route.Read && reason != "")
}

// attempt runs the batch once, on the connection of the open transaction if there
// is one. It does not choose the instance skip.
func (t *run) attempt(ctx context.Context, request *v1.RunRequest, skip int) (*answer, error) {
	a := &answer{
		run:    t,
		pinned: t.conn != nil,
	}
	if !a.pinned {
		index, err := t.chooseInstance(ctx, skip)
		if err != nil {
			return a, err
		}
		t.index = index
	}
	a.index = t.index
	a.primary = t.index == t.epoch.View().Primary
	release, err := t.executor.acquire(ctx, t.index, t.open.GetWorkspace())
	if err != nil {
		return a, err
	}
	defer release()
	if t.conn == nil {
		if _, err := t.connect(ctx, t.index); err != nil {
			return a, err
		}
	}
	b, err := batch.New(t.conn, request.GetMessages(), definitions(request))
	if err != nil {
		return a, err
	}
	return a, t.exchange(ctx, a, b)
}

// exchange sends the batch and reads its answer at the same time, so that neither
// side blocks on a full buffer.
func (t *run) exchange(ctx context.Context, a *answer, b *batch.Batch) error {
	c := t.conn
	t.txStatus = 0
	stop := context.AfterFunc(ctx, func() { _ = c.Net.SetDeadline(time.Unix(1, 0)) })
	var writing conc.WaitGroup
	role := status.Replica
	if a.primary {
		role = status.Primary
	}
	t.executor.meter.RecordStatement(t.route.Kind, role)
	a.sent = true
	writing.Go(func() {
		if _, err := c.Net.Write(b.Out); err != nil {
			_ = c.Net.Close()
		}
	})
	silence := watchSilence(t.epoch, a)
	err := a.read(ctx, b)
	if err != nil {
		_ = c.Net.Close()
	}
	if silent := silence.stop(); (!stop() || silent) && err == nil {
		// The deadline may have been set after the last read. Then the
		// connection can't be used again.
		c.Tainted = true
	}
	writing.Wait()
	return err
}

// confirmAnswer returns once the end of the answer may go to the caller: a write
// once a majority holds it, a read on the primary once a majority holds all that
// it has seen. It also raises the session's minimum position.
func (t *run) confirmAnswer(ctx context.Context, a *answer) error {
	if !a.primary {
		t.raiseMinPosition(t.epoch.View().Quorum.Reports[a.index].Applied)
		return nil
	}
	if !a.position.IsZero() {
		if err := t.epoch.Confirm(ctx, a.position); err != nil {
			return err
		}
		t.executor.coordinator.Writes().Record(t.sessionKey, a.position)
		t.executor.commitTimes.Record(a.position.Offset, time.Now())
		t.minPosition = a.position
		return nil
	}
	if t.route.Kind != route.Read && t.txStatus == 'T' {
		return nil
	}
	return t.confirmRead(ctx)
}

// confirmRead returns once a majority holds all that a read on the primary can
// have seen, and the term was verified after it. Otherwise the caller could see
// writes that a failover undoes. Inside of a transaction that may write, answers
// are confirmed only at its end.
func (t *run) confirmRead(ctx context.Context) error {
	v, err := t.epoch.VerifyTerm(ctx)
	if err != nil {
		return err
	}
	seen := v.PrimaryStatus().Received
	if seen.Term == t.epoch.Term() {
		if err := t.epoch.Confirm(ctx, seen); err != nil {
			return err
		}
	}
	if t.open.GetFenced() && !t.minPositionSet {
		t.raiseMinPosition(seen)
		t.minPositionSet = true
	}
	return nil
}

// toFault turns a failure of the batch into the fault that the caller is told.
func (t *run) toFault(a *answer, err error) *fault.Fault {
	f := fault.As(err)
	t.mayHaveRun = t.mayHaveRun || a.sent && !a.notRun
	switch {
	case f != nil && f.Kind == fault.OutcomeUnknown:
		return f
	case t.mayHaveRun && t.route.Kind == route.Read:
		return readLostFault().Wrap(err)
	case t.mayHaveRun:
		return fault.New(fault.OutcomeUnknown, "the answer of the primary was lost", "read what the request wrote before repeating it").Wrap(err)
	case t.epoch.Reason() != "":
		return supersededFault(t.epoch).Wrap(err)
	case f != nil:
		return f
	}
	return fault.New(fault.NotRun, "the instance could not be reached", "send the request again").Wrap(err)
}

// readLostFault is the fault for a read that may have run and got no answer.
func readLostFault() *fault.Fault {
	return fault.New(fault.OutcomeUnknown, "the answer to the read was lost", "send it again; it wrote nothing")
}

// discardConn closes the run's connection, which rolls an open transaction back.
func (t *run) discardConn() {
	t.executor.mu.Lock()
	t.txStatus = 0
	t.executor.mu.Unlock()
	t.releaseConn()
}

// decision returns the log entry of a decision about the run.
func (t *run) decision(what string, f *fault.Fault) declog.Decision {
	return declog.Decision{
		Decision:  what,
		Reason:    f.Kind,
		Workspace: t.open.GetWorkspace(),
		Database:  t.open.GetDatabase(),
		Term:      t.epoch.Term(),
		Position:  t.minPosition,
		Host:      t.executor.host,
	}
}

// definitions returns a lookup of the prepared statements that the request
// carries, so that they can be prepared on whatever connection runs it.
func definitions(request *v1.RunRequest) func(string) (string, []uint32, bool) {
	return func(name string) (string, []uint32, bool) {
		for _, s := range request.GetStatements() {
			if s.GetName() == name {
				return s.GetQuery(), s.GetParameterOids(), true
			}
		}
		return "", nil, false
	}
}
