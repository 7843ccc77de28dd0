package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"connectrpc.com/connect"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// call is one stream to a coordinator. It is cancelled at the batch's deadline, so
// that the caller does not wait for a coordinator that no longer answers.
type call struct {
	stream *connect.BidiStreamForClient[wasabislipv1.RunRequest, wasabislipv1.RunResponse]
	cancel context.CancelFunc
	timer  *time.Timer
	// earlyAnswer is an answer that arrived before all of the batch was sent.
	earlyAnswer *wasabislipv1.RunResponse
}

// newCall opens a stream. Its timer is set by send.
func newCall(ctx context.Context, client wasabislipv1connect.StewardServiceClient) *call {
	ctx, cancel := context.WithCancel(ctx)
	return &call{
		stream: client.Run(ctx),
		cancel: cancel,
		timer:  time.AfterFunc(time.Hour, cancel),
	}
}

// send sends a batch. Its answer has to arrive before the deadline. After an error,
// all or a part of the batch may have been sent, unless the error is known to
// have come before the first byte (fault.NotRun).
func (c *call) send(request *wasabislipv1.RunRequest, deadline time.Time) error {
	c.timer.Reset(time.Until(deadline))
	err := c.stream.Send(request)
	if errors.Is(err, io.EOF) {
		c.earlyAnswer, err = c.stream.Receive()
	}
	if err != nil {
		return c.streamFault(err)
	}
	return nil
}

// receive returns the next part of the answer.
func (c *call) receive() (*wasabislipv1.RunResponse, error) {
	if part := c.earlyAnswer; part != nil {
		c.earlyAnswer = nil
		return part, nil
	}
	part, err := c.stream.Receive()
	if err != nil {
		return nil, c.streamFault(err)
	}
	return part, nil
}

// stopTimer lifts the deadline between two batches.
func (c *call) stopTimer() {
	c.timer.Stop()
}

// finish ends a stream whose last answer has arrived. It waits until the coordinator
// ends its side, at most until the limit, so that the stream need not be reset.
func (c *call) finish(limit time.Duration) {
	c.timer.Reset(limit)
	_ = c.stream.CloseRequest()
	for {
		if _, err := c.stream.Receive(); err != nil {
			break
		}
	}
	c.close()
}

// close ends the stream at once. The coordinator rolls an open transaction back.
func (c *call) close() {
	c.timer.Stop()
	_ = c.stream.CloseRequest()
	c.cancel()
	_ = c.stream.CloseResponse()
}

// streamFault returns the fault for a stream that failed.
func (c *call) streamFault(err error) *fault.Fault {
	if neverSent(err) {
		return fault.New(fault.NotRun, "the steward of the database was not reached", "send the statement again").Wrap(err)
	}
	return fault.New(fault.OutcomeUnknown, "the connection to the steward of the database was lost", "look up the statement's effect before sending it again").Wrap(err)
}

// neverSent reports whether err came before anything was sent: no connection to
// the host could be made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
