package caller

import (
	"context"
	"errors"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/internal/models/input"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// readBatches queues batches until the caller leaves or sends something that
// cannot be read. It stops reading while the queue is full (backpressure).
func (c *session) readBatches(ctx context.Context) {
	lengths := &lengthReader{
		r: c.conn,
	}
	backend := pgproto3.NewBackend(lengths, c.conn)
	backend.SetMaxBodyLen(c.limits.MessageBytes)
	for {
		b := c.readBatch(backend, lengths)
		if c.queuedBytes.Acquire(ctx, int64(b.Bytes)) != nil {
			return
		}
		select {
		case c.batches <- b:
		case <-ctx.Done():
			return
		}
		if b.End == input.Terminated || b.End == input.Malformed {
			return
		}
	}
}

// readBatch reads the messages of one batch.
func (c *session) readBatch(backend *pgproto3.Backend, lengths *lengthReader) *input.Batch {
	b := &input.Batch{}
	for {
		msg, err := backend.Receive()
		if err != nil {
			return batchForReadError(err)
		}
		if err := lengths.check(msg); err != nil {
			return malformedBatch(err)
		}
		if _, ok := msg.(*pgproto3.PasswordMessage); ok {
			return malformedBatch(fault.New(fault.BadRequest, "a password message came inside the session", "connect again"))
		}
		if b.Add(msg) {
			return c.checkSize(b)
		}
		if c.checkSize(b) != b {
			return c.checkSize(b)
		}
	}
}

// checkSize returns b or, if b is too large, a malformed batch, which ends the
// session.
func (c *session) checkSize(b *input.Batch) *input.Batch {
	if b.Bytes > c.limits.BatchBytes || len(b.Messages) > c.limits.BatchMessages {
		return malformedBatch(fault.New(fault.TooLarge, "the batch is too large", "send a Sync message more often"))
	}
	return b
}

// batchForReadError returns the batch that ends a session after a failed read:
// without an error if the connection was lost.
func batchForReadError(err error) *input.Batch {
	var large *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &large) {
		return malformedBatch(fault.New(fault.TooLarge, "the message is too large", "send less in one statement"))
	}
	var lost net.Error
	if errors.As(err, &lost) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) {
		return &input.Batch{
			End: input.Terminated,
		}
	}
	return malformedBatch(fault.New(fault.BadRequest, "a message cannot be read", "connect with a PostgreSQL client").Wrap(err))
}

// malformedBatch returns a batch that ends the session with err.
func malformedBatch(err error) *input.Batch {
	return &input.Batch{
		End: input.Malformed,
		Err: err,
	}
}
