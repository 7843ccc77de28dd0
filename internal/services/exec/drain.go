package exec

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// drainTimeout bounds the wait for the rest of a message that came between two batches.
const drainTimeout = time.Second

// drainPinned reads what the instance sent between two batches of a transaction. It
// fails if that is more than asynchronous messages, or if the connection has ended: the
// next batch would get the answer to an earlier one.
func (r *run) drainPinned(ctx context.Context) error {
	err := drain(ctx, r.conn)
	if err == nil {
		return nil
	}
	klog.InfoS("connection of a transaction closed between two batches", "instance", r.executor.coordinator.Database().Instances[r.index].Name, "process", r.conn.ProcessID, "err", err)
	return fault.New(
		fault.NotRun,
		"the connection of the transaction was lost, and the transaction rolled back",
		"begin the transaction again",
	).Wrap(err)
}

// drain reads the asynchronous messages that have arrived on c. They concern no caller.
func drain(ctx context.Context, c *dbconn.Conn) error {
	if c.IsIdle() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for !c.IsIdle() {
		deadline, _ := ctx.Deadline()
		if err := c.Net.SetReadDeadline(deadline); err != nil {
			return err
		}
		m, err := c.Frontend.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.NoticeResponse:
		case *pgproto3.NotificationResponse:
			c.Tainted = true
		case *pgproto3.ParameterStatus:
			if m.Name == positionParameter {
				return fmt.Errorf("the instance sent the parameter %s without a commit", m.Name)
			}
			c.Tainted = true
		default:
			return fmt.Errorf("the instance sent %T between two batches", m)
		}
	}
	return c.Net.SetReadDeadline(time.Time{})
}
