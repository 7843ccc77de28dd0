package exec

import (
	"context"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/batch"
	"wasabislip.example/wasabislip/internal/modules/instdb"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Codes of statements that an instance refused before they ran.
const (
	codeReadOnly    = "25006"
	codeConnections = "53300"
)

const positionParameter = "ledger.position"

// tainting lists the command tags that change a connection's own state.
var taintingTags = []string{"SET", "RESET", "PREPARE", "DEALLOCATE", "DEALLOCATE ALL", "DISCARD ALL", "LISTEN", "LOAD"}

// answer is the answer to one batch on its way to the caller.
type answer struct {
	run     *run
	index   int
	primary bool
	pinned  bool
	// sent tells that bytes of the batch may have reached the instance.
	sent bool
	// notRun tells that the instance refused the batch before it ran.
	notRun bool
	// started tells that the caller got a part of the answer.
	partSent bool
	// completed tells that a statement of the batch has completed, from
	// where on the answer is held back on the primary.
	completed bool
	position  logpos.Position
	buf       []byte
}

// read takes messages up to ReadyForQuery, passing on what need not be held.
func (a *answer) read(ctx context.Context, b *batch.Batch) error {
	c := a.run.conn
	for {
		m, err := c.Frontend.Receive()
		if err != nil {
			return fmt.Errorf("%w: %w", errConnBroken, err)
		}
		parsed, pass := b.Answer(m)
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
		a.position = p
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

// refused returns an error for a batch that the fence refused, and notes
// refusals of statements that did not run.
func (a *answer) checkError(m *pgproto3.ErrorResponse) error {
	switch m.Code {
	case instdb.SupersededCode:
		a.notRun = !a.completed
		return supersededFault(a.run.epoch)
	case codeReadOnly, codeConnections:
		a.notRun = !a.completed
	case "26000":
		a.run.conn.Tainted = true
	}
	return nil
}

// add encodes a message, and sends what has gathered once it fills a chunk
// and need not be held.
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

// flush sends what has gathered. The stream holds it up while the caller
// does not read.
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

// finish sends the rest of the answer with the session's position.
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
