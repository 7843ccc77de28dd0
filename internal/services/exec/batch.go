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
func (r *run) runBatch(ctx context.Context, request *v1.RunRequest) (bool, error) {
	limited, cancel := context.WithTimeout(ctx, timeout(request))
	defer cancel()
	limited, release := r.epoch.TermContext(limited)
	defer release()
	a, err := r.attempt(limited, request, view.NoInstance)
	if r.mayRetry(a, err) && limited.Err() == nil {
		failed := r.index
		r.mayHaveRun = true
		r.discardConn()
		a, err = r.attempt(limited, request, failed)
	}
	if err == nil {
		err = r.confirmAnswer(limited, a)
	}
	if err != nil {
		r.discardConn()
		f := r.toFault(a, err)
		if r.mayRestart(a, f) {
			r.decision("try-in-next-term", f).Log()
			return true, errNextTerm
		}
		r.decision("refuse", f).LogAlways()
		return true, refuse(r.stream, f)
	}
	return r.txStatus == 'I', a.finish(r.txStatus, r.minPosition)
}

// mayRetry reports whether the batch may run again on another instance: it is a
// read outside of a transaction that failed on a replica before the caller was
// sent any of its answer.
func (r *run) mayRetry(a *answer, err error) bool {
	return errors.Is(err, errConnBroken) &&
		r.route.Kind == route.Read &&
		!a.pinned &&
		a.index != r.epoch.View().Primary &&
		!a.partSent
}

// mayRestart reports whether the run may start over in the next term of this
// coordinator: nothing or only reads ran, and the caller was sent nothing.
func (r *run) mayRestart(a *answer, f *fault.Fault) bool {
	reason := r.epoch.Reason()
	if r.lastTry || a.pinned || a.partSent || reason == epoch.Superseded {
		return false
	}
	return f.Kind == fault.Superseded || (r.route.Kind == route.Read && reason != "")
}

// attempt runs the batch once, on the connection of the open transaction if there
// is one. It does not choose the instance skip.
func (r *run) attempt(ctx context.Context, request *v1.RunRequest, skip int) (*answer, error) {
	a := &answer{
		run:    r,
		pinned: r.conn != nil,
	}
	if !a.pinned {
		index, err := r.chooseInstance(ctx, skip)
		if err != nil {
			return a, err
		}
		r.index = index
	}
	a.index = r.index
	a.primary = r.index == r.epoch.View().Primary
	release, err := r.executor.acquire(ctx, r.index, r.open.GetWorkspace())
	if err != nil {
		return a, err
	}
	defer release()
	if r.conn == nil {
		if _, err := r.connect(ctx, r.index); err != nil {
			return a, err
		}
	} else if err := r.drainPinned(ctx); err != nil {
		return a, err
	}
	b, err := batch.New(r.conn, request.GetMessages(), definitions(request))
	if err != nil {
		return a, err
	}
	return a, r.exchange(ctx, a, b)
}

// exchange sends the batch and reads its answer at the same time, so that neither
// side blocks on a full buffer.
func (r *run) exchange(ctx context.Context, a *answer, b *batch.Batch) error {
	c := r.conn
	r.txStatus = 0
	stop := context.AfterFunc(ctx, func() { _ = c.Net.SetDeadline(time.Unix(1, 0)) })
	var writing conc.WaitGroup
	role := status.Replica
	if a.primary {
		role = status.Primary
	}
	r.executor.meter.RecordStatement(r.route.Kind, role)
	a.sent = true
	writing.Go(func() {
		if _, err := c.Net.Write(b.Out); err != nil {
			_ = c.Net.Close()
		}
	})
	silence := watchSilence(r.epoch, a)
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
func (r *run) confirmAnswer(ctx context.Context, a *answer) error {
	if !a.primary {
		r.raiseMinPosition(r.epoch.View().Quorum.Reports[a.index].Applied)
		return nil
	}
	if !a.position.IsZero() {
		if err := r.epoch.Confirm(ctx, a.position); err != nil {
			return err
		}
		r.executor.coordinator.Writes().Record(r.sessionKey, a.position)
		r.executor.commitTimes.Record(a.position.Offset, time.Now())
		r.minPosition = a.position
		return nil
	}
	if r.route.Kind != route.Read && r.txStatus == 'T' {
		return nil
	}
	return r.confirmRead(ctx)
}

// confirmRead returns once a majority holds all that a read on the primary can
// have seen, and the term was verified after it. Otherwise the caller could see
// writes that a failover undoes. Inside of a transaction that may write, answers
// are confirmed only at its end.
func (r *run) confirmRead(ctx context.Context) error {
	v, err := r.epoch.VerifyTerm(ctx)
	if err != nil {
		return err
	}
	seen := v.PrimaryStatus().Received
	if seen.Term == r.epoch.Term() {
		if err := r.epoch.Confirm(ctx, seen); err != nil {
			return err
		}
	}
	if r.open.GetFenced() && !r.minPositionSet {
		r.raiseMinPosition(seen)
		r.minPositionSet = true
	}
	return nil
}

// toFault turns a failure of the batch into the fault that the caller is told.
func (r *run) toFault(a *answer, err error) *fault.Fault {
	f := fault.As(err)
	r.mayHaveRun = r.mayHaveRun || a.sent && !a.notRun
	switch {
	case f != nil && f.Kind == fault.OutcomeUnknown:
		return f
	case r.mayHaveRun && r.route.Kind == route.Read:
		return readLostFault().Wrap(err)
	case r.mayHaveRun:
		return fault.New(fault.OutcomeUnknown, "the answer of the primary was lost", "read what the request wrote before repeating it").Wrap(err)
	case r.epoch.Reason() != "":
		return supersededFault(r.epoch).Wrap(err)
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
func (r *run) discardConn() {
	r.executor.mu.Lock()
	r.txStatus = 0
	r.executor.mu.Unlock()
	r.releaseConn()
}

// decision returns the log entry of a decision about the run.
func (r *run) decision(what string, f *fault.Fault) declog.Decision {
	return declog.Decision{
		Decision:  what,
		Reason:    f.Kind,
		Workspace: r.open.GetWorkspace(),
		Database:  r.open.GetDatabase(),
		Term:      r.epoch.Term(),
		Position:  r.minPosition,
		Host:      r.executor.host,
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
