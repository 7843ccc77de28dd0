package exec

import (
	"context"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/batch"
	"wasabislip.example/wasabislip/internal/modules/instdb"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Error codes with which an instance refuses a statement before it runs.
const (
	codeReadOnly    = "25006"
	codeConnections = "53300"
)

// positionParameter is the parameter in which the primary reports the log position
// of a commit.
const positionParameter = "ledger.position"

// taintingTags are the command tags of statements that change the state of their
// connection, so that it must not serve another caller.
var taintingTags = []string{"SET", "RESET", "PREPARE", "DEALLOCATE", "DEALLOCATE ALL", "DISCARD ALL", "LISTEN", "LOAD"}

// answer is the answer to one batch while it is passed to the caller.
type answer struct {
	run *run
	// index is the instance that runs the batch, and primary whether it is the
	// primary.
	index   int
	primary bool
	// pinned is set if the batch belongs to a transaction that was already
	// open.
	pinned bool
	// sent is set once bytes of the batch may have reached the instance.
	sent bool
	// notRun is set if the instance refused the batch before it ran.
	notRun bool
	// partSent is set once the caller was sent a part of the answer.
	partSent bool
	// completed is set once a statement of the batch has completed. From there
	// on, the answer of the primary is held back until it is confirmed.
	completed bool
	// position is the log position of the commit; zero without one.
	position logpos.Position
	// buf holds the messages that were not sent yet.
	buf []byte
}

// read reads messages up to ReadyForQuery. It passes on those that need not be
// held back.
func (a *answer) read(ctx context.Context, b *batch.Batch) error {
	c := a.run.conn
	for {
		m, err := c.Frontend.Receive()
		if err != nil {
			return fmt.Errorf("%w: %w", errConnBroken, err)
		}
		parsed, pass, err := b.ProcessAnswer(m)
		if err != nil {
			klog.InfoS("connection to an instance closed: its answer does not fit the batch", "instance", a.run.executor.coordinator.Database().Instances[a.index].Name, "process", c.ProcessID, "err", err)
			return fmt.Errorf("%w: %w", errConnBroken, err)
		}
		for range parsed {
			if err := a.buffer(ctx, &pgproto3.ParseComplete{}); err != nil {
				return err
			}
		}
		if !pass {
			continue
		}
		if z, ok := m.(*pgproto3.ReadyForQuery); ok {
			a.run.executor.mu.Lock()
			a.run.txStatus = z.TxStatus
			a.run.executor.mu.Unlock()
			return a.buffer(ctx, m)
		}
		if err := a.handle(ctx, m); err != nil {
			return err
		}
	}
}

// handle passes one message on, or consumes it if it is not meant for the caller.
// It notes what the message says about the connection and the batch.
func (a *answer) handle(ctx context.Context, m pgproto3.BackendMessage) error {
	c := a.run.conn
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		if m.Name != positionParameter {
			c.Tainted = true
			return a.buffer(ctx, m)
		}
		p, err := logpos.Parse(m.Value)
		if err != nil {
			return err
		}
		if !p.Newer(c.Committed) {
			// A write must not be acknowledged once a majority holds an earlier one.
			return fault.New(
				fault.OutcomeUnknown,
				"the instance answered with the log position of an earlier commit",
				"read what the request wrote before repeating it",
			)
		}
		a.position = p
		c.Committed = p
		return nil
	case *pgproto3.NotificationResponse:
		c.Tainted = true
		return nil
	case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
		fail := pgproto3.CopyFail{
			Message: "COPY FROM STDIN is not supported; use INSERT",
		}
		c.Frontend.Send(&fail)
		return c.Frontend.Flush()
	case *pgproto3.CommandComplete:
		a.completed = true
		if slices.Contains(taintingTags, string(m.CommandTag)) {
			c.Tainted = true
		}
	case *pgproto3.ErrorResponse:
		if err := a.checkError(m); err != nil {
			return err
		}
	}
	return a.buffer(ctx, m)
}

// checkError returns an error if the instance refused the batch because it was
// fenced by a later term. It also notes errors that say that the batch did not
// run.
func (a *answer) checkError(m *pgproto3.ErrorResponse) error {
	switch m.Code {
	case instdb.SupersededCode:
		a.notRun = !a.completed
		return supersededFault(a.run.epoch)
	case codeReadOnly, codeConnections:
		a.notRun = !a.completed
	case "26000": // the prepared statement does not exist
		a.run.conn.Tainted = true
	}
	return nil
}

// buffer adds a message to the buffer. It sends the buffer once that fills a
// chunk, unless the answer has to be held back. An answer beyond HeldBytes is
// confirmed before the batch has ended, which bounds the memory.
func (a *answer) buffer(ctx context.Context, m pgproto3.BackendMessage) error {
	out, err := m.Encode(a.buf)
	if err != nil {
		return fmt.Errorf("answer of the instance: %w", err)
	}
	a.buf = out
	if a.primary && a.completed {
		if len(a.buf) <= HeldBytes {
			return nil
		}
		if err := a.run.confirmRead(ctx); err != nil {
			return err
		}
	}
	if len(a.buf) >= ChunkBytes {
		return a.flush()
	}
	return nil
}

// flush sends the buffer. It blocks while the caller does not read, which is the
// stream's backpressure.
func (a *answer) flush() error {
	for len(a.buf) > 0 {
		n := min(len(a.buf), ChunkBytes)
		a.partSent = true
		err := a.run.stream.Send(&v1.RunResponse{
			Messages: append([]byte(nil), a.buf[:n]...),
		})
		if err != nil {
			return fault.New(fault.OutcomeUnknown, "the caller's stream ended", "read what the request wrote before repeating it").Wrap(err)
		}
		a.buf = a.buf[n:]
	}
	a.buf = nil
	return nil
}

// finish sends the rest of the answer and the position that the session's later
// reads must see.
func (a *answer) finish(status byte, p logpos.Position) error {
	for len(a.buf) > ChunkBytes {
		rest := a.buf[ChunkBytes:]
		a.buf = a.buf[:ChunkBytes]
		if err := a.flush(); err != nil {
			return err
		}
		a.buf = rest
	}
	a.partSent = true
	return a.run.stream.Send(&v1.RunResponse{
		Messages: a.buf,
		Ready:    true,
		Status:   string(status),
		Position: positionProto(p),
	})
}
