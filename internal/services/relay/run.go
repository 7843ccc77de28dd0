package relay

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/retry"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// run is one transaction, or one batch outside of a transaction. Only its first
// batch can be retried, and only until a part of its answer was passed on.
type run struct {
	relay *Relay
	ctx   context.Context
	open  *wasabislipv1.Open
	route route.Route

	call     *call
	request  *wasabislipv1.RunRequest
	deadline time.Time
	attempts int
	backoff  time.Duration
	// pinned is set once a batch of the run was answered. Later batches go to
	// the same coordinator and are not retried.
	pinned bool
	// partPassed is set once a part of the current answer was passed on.
	partPassed bool
	// unknownOutcome is the fault of an attempt that may have run; nil without
	// one.
	unknownOutcome *fault.Fault
	// ended is set once the run has ended, and complete if its last answer
	// arrived.
	ended    bool
	complete bool
}

// Send sends one batch.
func (r *run) Send(request *wasabislipv1.RunRequest) error {
	if r.ended {
		return fault.New(fault.NotRun, "the run has ended", "begin the transaction again")
	}
	r.request = request
	r.partPassed = false
	r.attempts = 0
	r.backoff = r.relay.Backoff
	r.deadline = time.Now().Add(time.Duration(request.GetTimeoutMs()) * time.Millisecond)
	if r.pinned {
		return r.endOnError(r.call.send(request, r.deadline.Add(r.relay.Grace)))
	}
	return r.attempt(nil)
}

// Receive returns the next part of the answer. It retries the batch where that is
// safe.
func (r *run) Receive() (*wasabislipv1.RunResponse, error) {
	for {
		part, err := r.receive()
		if err == nil {
			r.accept(part)
			return part, nil
		}
		if r.pinned || r.partPassed {
			return nil, r.endOnError(err)
		}
		if err := r.attempt(err); err != nil {
			return nil, err
		}
	}
}

// Close ends the run.
func (r *run) Close() error {
	r.ended = true
	switch {
	case r.call == nil:
	case r.complete:
		r.call.finish(r.relay.Grace)
	default:
		r.call.close()
	}
	r.call = nil
	return nil
}

// receive returns a part of the answer. A refusal or a failed stream is returned as
// a fault.
func (r *run) receive() (*wasabislipv1.RunResponse, error) {
	part, err := r.call.receive()
	if err != nil {
		return nil, err
	}
	if refusal := part.GetRefusal(); refusal != nil {
		return nil, refusalFault(refusal)
	}
	return part, nil
}

// accept records a part of the answer that is passed on.
func (r *run) accept(part *wasabislipv1.RunResponse) {
	if len(part.GetMessages()) > 0 {
		r.partPassed = true
	}
	if !part.GetReady() {
		return
	}
	r.call.stopTimer()
	r.relay.budget.RecordSuccess(r.open.GetWorkspace())
	r.pinned = true
	if part.GetStatus() == "I" {
		r.ended = true
		r.complete = true
	}
}

// attempt sends the first batch until that succeeds; cause is why the last attempt
// failed, nil before the first one. It returns the fault that ends the run.
func (r *run) attempt(cause error) error {
	for {
		if cause != nil {
			if err := r.retry(cause); err != nil {
				return r.endOnError(err)
			}
		}
		r.attempts++
		cause = r.dial()
		if cause == nil {
			return nil
		}
	}
}

// retry decides whether the batch is sent again, and waits for the backoff. It
// returns an error if the run ends instead.
func (r *run) retry(cause error) error {
	if r.call != nil {
		r.call.close()
	}
	f := fault.As(cause)
	if f == nil {
		return cause
	}
	if f.MayHaveRun() {
		r.unknownOutcome = f
	}
	if f.Coordinator != "" {
		r.relay.locator.RecordHint(r.open.GetDatabase(), f.Coordinator)
	}
	d := retry.Decide(retry.Attempt{
		Kind:       f.Kind,
		Hint:       f.Coordinator,
		RetryAfter: f.RetryAfter,
		Made:       r.attempts,
		Limit:      r.relay.MaxAttempts,
		Backoff:    r.backoff,
		Remaining:  time.Until(r.deadline),
		Read:       r.route.Kind == route.Read,
		Idempotent: r.route.Idempotent,
	})
	if !d.Retry || !r.relay.budget.Allow(r.open.GetWorkspace()) {
		return r.outcome(f)
	}
	r.log(d.Reason, f)
	r.backoff *= 2
	return r.wait(d.Wait, r.outcome(f))
}

// outcome returns the fault that the caller is told after f. Even if f says that
// the last attempt did not run, an earlier one may have, and then the outcome is
// unknown.
func (r *run) outcome(f *fault.Fault) *fault.Fault {
	if r.unknownOutcome == nil {
		return f
	}
	return r.unknownOutcome.WithRetryAfter(f.RetryAfter).Wrap(f)
}

// wait waits for the backoff d. It returns f if the caller gives up meanwhile.
func (r *run) wait(d time.Duration, f *fault.Fault) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.ctx.Done():
		return f
	}
}

// dial opens a stream to the coordinator and sends the first batch.
func (r *run) dial() error {
	_, address, ok := r.relay.locator.Coordinator(r.open.GetDatabase())
	if !ok {
		return noCoordinatorFault(r.open.GetDatabase())
	}
	client := r.relay.clients.Coordinator(address)
	if client == nil {
		return noCoordinatorFault(r.open.GetDatabase())
	}
	r.call = newCall(r.ctx, client)
	first := proto.CloneOf(r.request)
	first.Open = r.open
	first.TimeoutMs = max(time.Until(r.deadline).Milliseconds(), 1)
	return r.call.send(first, r.deadline.Add(r.relay.Grace))
}

// endOnError ends the run if err is not nil, and returns err.
func (r *run) endOnError(err error) error {
	if err == nil {
		return nil
	}
	r.ended = true
	if r.call != nil {
		r.call.close()
	}
	return err
}

// log logs a retry and its reason.
func (r *run) log(reason string, f *fault.Fault) {
	declog.Decision{
		Decision:  "retry-batch",
		Reason:    reason,
		Workspace: r.open.GetWorkspace(),
		Database:  r.open.GetDatabase(),
		Host:      f.Coordinator,
	}.Log()
}

// refusalFault returns the fault that a coordinator's refusal stands for.
func refusalFault(p *wasabislipv1.Refusal) *fault.Fault {
	f := fault.New(p.GetKind(), p.GetReason(), p.GetRemedy())
	f.Coordinator = p.GetSteward()
	f.RetryAfter = time.Duration(p.GetRetryAfterMs()) * time.Millisecond
	return f
}
