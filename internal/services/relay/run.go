package relay

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/retry"
	"wasabislip.example/wasabislip/internal/modules/trail"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// run is one run. Only its first batch can be sent again, and only until a
// part of its answer was passed on.
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
	// pinned tells that an earlier batch of the run was answered.
	pinned bool
	// passed tells that a part of the current answer was passed on.
	partPassed bool
	// unknown is the fault of an attempt that may have run, nil without one.
	unknownOutcome *fault.Fault
	// over tells that the run has ended, whole that its last answer came.
	ended    bool
	complete bool
}

// Send hands over one batch.
func (r *run) Send(request *wasabislipv1.RunRequest) error {
	if r.ended {
		return fault.New(fault.NotRun, "the run has ended", "begin the transaction again")
	}
	r.request = request
	r.partPassed = false
	r.attempts = 0
	r.backoff = r.relay.Pause
	r.deadline = time.Now().Add(time.Duration(request.GetTimeoutMs()) * time.Millisecond)
	if r.pinned {
		return r.endOnError(r.call.send(request, r.deadline.Add(r.relay.Grace)))
	}
	return r.attempt(nil)
}

// Receive returns the next part of the answer.
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

// receive returns a part, or the fault that a refusal or a lost stream is.
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

func (r *run) accept(part *wasabislipv1.RunResponse) {
	if len(part.GetMessages()) > 0 {
		r.partPassed = true
	}
	if !part.GetReady() {
		return
	}
	r.call.stopTimer()
	r.relay.budget.Succeeded(r.open.GetWorkspace())
	r.pinned = true
	if part.GetStatus() == "I" {
		r.ended = true
		r.complete = true
	}
}

// attempt sends the first batch; cause is why the attempt before it failed,
// nil for the first one. It returns the fault that ends the run.
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

// again decides whether to send the batch once more, and waits for it.
func (r *run) retry(cause error) error {
	if r.call != nil {
		r.call.close()
	}
	f := fault.As(cause)
	if f == nil {
		return cause
	}
	if f.Ran() {
		r.unknownOutcome = f
	}
	if f.Steward != "" {
		r.relay.locator.Learn(r.open.GetDatabase(), f.Steward)
	}
	d := retry.Decide(retry.Attempt{
		Kind:       f.Kind,
		Hint:       f.Steward,
		RetryAfter: f.RetryAfter,
		Made:       r.attempts,
		Limit:      r.relay.Attempts,
		Pause:      r.backoff,
		Left:       time.Until(r.deadline),
		Read:       r.route.Kind == route.Read,
		Repeatable: r.route.Repeatable,
	})
	if !d.Again || !r.relay.budget.Allow(r.open.GetWorkspace()) {
		return r.outcome(f)
	}
	r.log(d.Reason, f)
	r.backoff *= 2
	return r.wait(d.Wait, r.outcome(f))
}

// outcome returns what the caller is told of f, which says that the last
// attempt did not run, when an earlier one may have.
func (r *run) outcome(f *fault.Fault) *fault.Fault {
	if r.unknownOutcome == nil {
		return f
	}
	return r.unknownOutcome.After(f.RetryAfter).Wrap(f)
}

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

// dial opens a stream to the steward and sends the first batch.
func (r *run) dial() error {
	_, address, ok := r.relay.locator.Steward(r.open.GetDatabase())
	if !ok {
		return noCoordinatorFault(r.open.GetDatabase())
	}
	client := r.relay.clients.Steward(address)
	if client == nil {
		return noCoordinatorFault(r.open.GetDatabase())
	}
	r.call = newCall(r.ctx, client)
	first := proto.CloneOf(r.request)
	first.Open = r.open
	first.TimeoutMs = max(time.Until(r.deadline).Milliseconds(), 1)
	return r.call.send(first, r.deadline.Add(r.relay.Grace))
}

// finish ends the run when err is set.
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

func (r *run) log(reason string, f *fault.Fault) {
	trail.Decision{
		Decision:  "retry-batch",
		Reason:    reason,
		Workspace: r.open.GetWorkspace(),
		Database:  r.open.GetDatabase(),
		Host:      f.Steward,
	}.Log()
}

func refusalFault(p *wasabislipv1.Refusal) *fault.Fault {
	f := fault.New(p.GetKind(), p.GetReason(), p.GetRemedy())
	f.Steward = p.GetSteward()
	f.RetryAfter = time.Duration(p.GetRetryAfterMs()) * time.Millisecond
	return f
}
