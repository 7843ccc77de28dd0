// Package runs serves the calls of other hosts to the coordinators (stewards on the
// wire) of this host: to run and cancel transactions and batches, and to take over a
// database.
package runs

import (
	"context"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/services/exec"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// databases holds the databases that this host coordinates.
type databases interface {
	Executor(ctx context.Context, database string) (*exec.Executor, error)
	TakeOver(database string)
}

// Handler implements the StewardService.
type Handler struct {
	databases databases
}

// New returns a handler for the databases that this host coordinates.
func New(d databases) *Handler {
	return &Handler{
		databases: d,
	}
}

// Run runs one transaction, or one batch outside of a transaction.
func (h *Handler) Run(ctx context.Context, s *connect.BidiStream[v1.RunRequest, v1.RunResponse]) error {
	first, err := s.Receive()
	if err != nil {
		return err
	}
	executor, err := h.databases.Executor(ctx, first.GetOpen().GetDatabase())
	if err != nil {
		return s.Send(refusalResponse(err))
	}
	return executor.Run(ctx, first, &cancellableStream{
		stream: s,
	})
}

// Cancel cancels the batch that runs under a request id.
func (h *Handler) Cancel(ctx context.Context, r *connect.Request[v1.CancelRequest]) (*connect.Response[v1.CancelResponse], error) {
	executor, err := h.databases.Executor(ctx, r.Msg.GetDatabase())
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if err := executor.Cancel(ctx, r.Msg.GetRequestId()); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&v1.CancelResponse{}), nil
}

// Offer takes over a database that its former coordinator gave up.
func (h *Handler) Offer(_ context.Context, r *connect.Request[v1.OfferRequest]) (*connect.Response[v1.OfferResponse], error) {
	h.databases.TakeOver(r.Msg.GetDatabase())
	return connect.NewResponse(&v1.OfferResponse{}), nil
}

// refusalResponse returns the answer to a run that did not start because of err.
func refusalResponse(err error) *v1.RunResponse {
	f := fault.As(err)
	if f == nil {
		f = fault.New(fault.NotRun, "the request could not be placed", "send it again")
	}
	return &v1.RunResponse{
		Ready:  true,
		Status: "I",
		Refusal: &v1.Refusal{
			Kind:         f.Kind,
			Reason:       f.Reason,
			Remedy:       f.Remedy,
			RetryAfterMs: f.RetryAfter.Milliseconds(),
			Steward:      f.Coordinator,
		},
	}
}

// cancellableStream is a stream whose Receive ends with a context. After that the
// stream must not be received from again. The goroutine that still waits to receive
// ends with the RPC.
type cancellableStream struct {
	stream *connect.BidiStream[v1.RunRequest, v1.RunResponse]
}

// receiveResult is what a Receive of the RPC's stream returned.
type receiveResult struct {
	request *v1.RunRequest
	err     error
}

func (c *cancellableStream) Receive(ctx context.Context) (*v1.RunRequest, error) {
	results := make(chan receiveResult, 1)
	var wg conc.WaitGroup
	wg.Go(func() {
		r, err := c.stream.Receive()
		results <- receiveResult{
			request: r,
			err:     err,
		}
	})
	select {
	case result := <-results:
		return result.request, result.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *cancellableStream) Send(r *v1.RunResponse) error {
	return c.stream.Send(r)
}
