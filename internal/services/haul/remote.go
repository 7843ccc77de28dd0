package haul

import (
	"bufio"
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/errand"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/alive"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// idleMost bounds the idle connections to one holder.
	maxIdle = 32
	// connectTimeout bounds a connect to a holder, which takes a round trip.
	connectTimeout = 250 * time.Millisecond
	// wayTime is added to a statement's time for the way to the holder and
	// back, so that the holder's own limit is reached first.
	networkTime = 40 * time.Millisecond
	// bufferSize holds a usual errand, in bytes.
	bufferSize = 2048
)

// remote is one connection to a holder.
type remote struct {
	net net.Conn
	r   *bufio.Reader
	w   *bufio.Writer
}

func connect(ctx context.Context, d dial, address string) (*remote, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := d(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &remote{
		net: c,
		r:   bufio.NewReaderSize(c, bufferSize),
		w:   bufio.NewWriterSize(c, bufferSize),
	}, nil
}

// standing reports whether an idle connection was not closed by the holder.
func (r *remote) isOpen() bool {
	return r.r.Buffered() == 0 && alive.Idle(r.net)
}

func (r *remote) close() {
	_ = r.net.Close()
}

// do sends an errand and reads its answer. An error that is no fault is one of
// the connection.
func (r *remote) do(e *errand.Errand) (reply.Reply, error) {
	if err := r.net.SetDeadline(e.Deadline.Add(networkTime)); err != nil {
		return reply.Reply{}, err
	}
	if err := r.send(e); err != nil {
		return reply.Reply{}, err
	}
	var a wasabislipv1.ErrandAnswer
	if err := protodelim.UnmarshalFrom(r.r, &a); err != nil {
		return reply.Reply{}, err
	}
	if a.GetFault() != "" {
		return reply.Reply{}, fault.New(a.GetFault(), a.GetReason(), "retry later")
	}
	return reply.Reply{
		Rows:       a.GetRows(),
		Outcome:    int(a.GetOutcome()),
		Signature:  a.GetSignature(),
		Message:    a.GetMessage(),
		RetryAfter: time.Duration(a.GetRetryAfterMs()) * time.Millisecond,
		StartAfter: time.Duration(a.GetStartAfterMs()) * time.Millisecond,
		State:      int(a.GetState()),
		Position: logpos.Position{
			Term:   a.GetTerm(),
			Offset: a.GetOffset(),
		},
	}, nil
}

func (r *remote) send(e *errand.Errand) error {
	_, err := protodelim.MarshalTo(r.w, &wasabislipv1.Errand{
		Kind:      int32(e.Kind),
		Instance:  e.Instance,
		Workspace: e.Workspace,
		Values:    e.Values,
		Statement: &wasabislipv1.ErrandQuery{
			Id:    e.Query.ID,
			Kind:  int32(e.Query.Kind),
			Text:  e.Query.Text,
			Name:  e.Query.Name,
			Value: e.Query.Value,
			Args:  e.Query.Args,
		},
		Prepared:    e.Prepared,
		ReadOnly:    e.ReadOnly,
		FloorTerm:   e.Floor.Term,
		FloorOffset: e.Floor.Offset,
		Priority:    int32(e.Priority),
		WaitMs:      milliseconds(e.Wait),
		TimeoutMs:   milliseconds(time.Until(e.Deadline)),
		ClaimWaitMs: milliseconds(e.Claim.Wait),
		ClaimLevel:  int32(e.Claim.Level),
	})
	if err != nil {
		return err
	}
	return r.w.Flush()
}

// abandon ends an open transaction at the holder; there is no answer.
func (r *remote) rollback() error {
	if err := r.net.SetDeadline(time.Now().Add(connectTimeout)); err != nil {
		return err
	}
	return r.send(&errand.Errand{
		Kind: errand.Abandon,
	})
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d/time.Millisecond))
}
