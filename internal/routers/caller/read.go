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

// read takes in batches until the caller leaves or sends what cannot be read.
func (c *session) read(ctx context.Context) {
	backend := pgproto3.NewBackend(c.conn, c.conn)
	backend.SetMaxBodyLen(c.limit.MessageBytes)
	for {
		b := c.collect(backend)
		if c.room.Acquire(ctx, int64(b.Bytes)) != nil {
			return
		}
		select {
		case c.queue <- b:
		case <-ctx.Done():
			return
		}
		if b.End == input.Terminated || b.End == input.Malformed {
			return
		}
	}
}

// collect reads the messages of one batch.
func (c *session) collect(backend *pgproto3.Backend) *input.Batch {
	b := &input.Batch{}
	for {
		msg, err := backend.Receive()
		if err != nil {
			return ended(err)
		}
		if _, ok := msg.(*pgproto3.PasswordMessage); ok {
			return broken(fault.New(fault.BadRequest, "a password message came inside the session", "connect again"))
		}
		if b.Add(msg) {
			return c.bounded(b)
		}
		if c.bounded(b) != b {
			return c.bounded(b)
		}
	}
}

// bounded returns b, or the batch that ends the session when b is too large.
func (c *session) bounded(b *input.Batch) *input.Batch {
	if b.Bytes > c.limit.BatchBytes || len(b.Messages) > c.limit.BatchMessages {
		return broken(fault.New(fault.TooLarge, "the batch is too large", "send a Sync message more often"))
	}
	return b
}

// ended returns the batch that stands for a failed read.
func ended(err error) *input.Batch {
	var large *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &large) {
		return broken(fault.New(fault.TooLarge, "the message is too large", "send less in one statement"))
	}
	var lost net.Error
	if errors.As(err, &lost) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) {
		return &input.Batch{
			End: input.Terminated,
		}
	}
	return broken(fault.New(fault.BadRequest, "a message cannot be read", "connect with a PostgreSQL client").Wrap(err))
}

func broken(err error) *input.Batch {
	return &input.Batch{
		End: input.Malformed,
		Err: err,
	}
}
