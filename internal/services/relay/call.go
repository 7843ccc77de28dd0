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

// call is one stream to a steward. Its context ends with the batch's
// deadline, so that a silent steward does not hold the caller.
type call struct {
	stream *connect.BidiStreamForClient[wasabislipv1.RunRequest, wasabislipv1.RunResponse]
	cancel context.CancelFunc
	timer  *time.Timer
	// early is an answer that came before the batch was wholly sent.
	earlyAnswer *wasabislipv1.RunResponse
}

func newCall(ctx context.Context, client wasabislipv1connect.StewardServiceClient) *call {
	ctx, cancel := context.WithCancel(ctx)
	return &call{
		stream: client.Run(ctx),
		cancel: cancel,
		timer:  time.AfterFunc(time.Hour, cancel),
	}
}

// send writes a batch, whose answer has to be there before until. After an
// error the batch may have left, in whole or in part, unless the error is
// known to come before the first byte.
func (c *call) send(request *wasabislipv1.RunRequest, until time.Time) error {
	c.timer.Reset(time.Until(until))
	err := c.stream.Send(request)
	if errors.Is(err, io.EOF) {
		c.earlyAnswer, err = c.stream.Receive()
	}
	if err != nil {
		return c.streamFault(err)
	}
	return nil
}

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

// settled stops the deadline between two batches.
func (c *call) stopTimer() {
	c.timer.Stop()
}

// finish ends a stream whose last answer has come. It waits for the steward's
// end of the stream, so that no reset has to be sent, but not beyond the limit.
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

// close ends the stream at once; the steward rolls an open transaction back.
func (c *call) close() {
	c.timer.Stop()
	_ = c.stream.CloseRequest()
	c.cancel()
	_ = c.stream.CloseResponse()
}

// broken returns the fault that a lost stream is.
func (c *call) streamFault(err error) *fault.Fault {
	if neverSent(err) {
		return fault.New(fault.NotRun, "the steward of the database was not reached", "send the statement again").Wrap(err)
	}
	return fault.New(fault.OutcomeUnknown, "the connection to the steward of the database was lost", "look up the statement's effect before sending it again").Wrap(err)
}

// neverSent reports whether err came before anything was sent: the host did
// not accept the connection.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
