package forwd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/load"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/modules/alive"
	"wasabislip.example/wasabislip/internal/modules/hostpb"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// maxIdle bounds the idle connections to one holder.
	maxIdle = 32
	// connectTimeout bounds a connect to a holder, which takes a round trip.
	connectTimeout = 250 * time.Millisecond
	// networkTime is added to a statement's timeout for the round trip to the
	// holder, so that the holder's own timeout expires first.
	networkTime = 40 * time.Millisecond
	// maxAnswerBytes bounds an answer of a holder: its rows, and a signature or an error
	// of up to 1 MiB each.
	maxAnswerBytes = reply.MaxBytes + 4<<20
	// bufferSize is the size of a usual task, in bytes.
	bufferSize = 2048
)

// unsentError reports that a task was not sent whole, so that the holder does not run
// it: a task begins with its length.
type unsentError struct {
	err error
}

// Error describes the error.
func (e *unsentError) Error() string {
	return "the task was not sent: " + e.err.Error()
}

// Unwrap returns the error of the connection.
func (e *unsentError) Unwrap() error {
	return e.err
}

// remote is one connection to a holder.
type remote struct {
	// host is the holder's name.
	host string
	// number is that of the last task that was sent.
	number uint64
	net    net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
}

// connect opens a connection to a host.
func connect(ctx context.Context, d dialFunc, to host.Host) (*remote, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := d(ctx, "tcp", to.RunAddress)
	if err != nil {
		return nil, err
	}
	return &remote{
		host: to.Name,
		net:  c,
		r:    bufio.NewReaderSize(c, bufferSize),
		w:    bufio.NewWriterSize(c, bufferSize),
	}, nil
}

// isOpen reports whether the holder has not closed an idle connection.
func (r *remote) isOpen() bool {
	return r.r.Buffered() == 0 && alive.IsOpen(r.net)
}

// close closes the connection.
func (r *remote) close() {
	_ = r.net.Close()
}

// do sends a task (errand on the wire) and reads its answer. An error that is not
// a fault is an error of the connection, an unsentError if the task was not sent.
func (r *remote) do(t *task.Task) (reply.Reply, error) {
	if err := r.net.SetDeadline(t.Deadline.Add(networkTime)); err != nil {
		return reply.Reply{}, &unsentError{
			err: err,
		}
	}
	if err := r.send(t); err != nil {
		return reply.Reply{}, &unsentError{
			err: err,
		}
	}
	var a wasabislipv1.ErrandAnswer
	options := protodelim.UnmarshalOptions{
		MaxSize: maxAnswerBytes,
	}
	if err := options.UnmarshalFrom(r.r, &a); err != nil {
		return reply.Reply{}, err
	}
	// Hosts of earlier builds number no answers.
	if n := a.GetNumber(); n != 0 && n != r.number {
		klog.InfoS("connection to a host closed: its answer is that to another task", "host", r.host, "task", r.number, "answered", n)
		return reply.Reply{}, fmt.Errorf("host %s answered task %d of the connection, not task %d", r.host, n, r.number)
	}
	if a.GetFault() != "" {
		after := time.Duration(a.GetRetryAfterMs()) * time.Millisecond
		err := fault.New(a.GetFault(), string(a.GetReason()), "retry later").WithRetryAfter(after)
		if fault.IsRefusal(err) {
			err.Remedy = "" // the reason holds it; a retry is refused again
		}
		return reply.Reply{
			Load: r.decodeLoad(a.GetLoad()),
		}, err
	}
	return reply.Reply{
		Rows:       hostpb.RowsFromProto(a.GetRows()),
		Outcome:    int(a.GetOutcome()),
		Signature:  string(a.GetSignature()),
		Message:    string(a.GetMessage()),
		RetryAfter: time.Duration(a.GetRetryAfterMs()) * time.Millisecond,
		StartAfter: time.Duration(a.GetStartAfterMs()) * time.Millisecond,
		State:      int(a.GetState()),
		Position: logpos.Position{
			Term:   a.GetTerm(),
			Offset: a.GetOffset(),
		},
		Load: r.decodeLoad(a.GetLoad()),
	}, nil
}

// decodeLoad returns the load report of an answer; nil without one.
func (r *remote) decodeLoad(m *wasabislipv1.InstanceLoad) *load.Report {
	if m == nil {
		return nil
	}
	return &load.Report{
		Instance:           m.GetInstance(),
		Host:               r.host,
		Running:            int(m.GetRunning()),
		Waiting:            int(m.GetWaiting()),
		Service:            time.Duration(m.GetServiceUs()) * time.Microsecond,
		CompletedPerSecond: int(m.GetCompletedPerS()),
		StartedMs:          m.GetStartedMs(),
	}
}

// send sends a task without waiting for its answer.
func (r *remote) send(t *task.Task) error {
	r.number++
	_, err := protodelim.MarshalTo(r.w, &wasabislipv1.Errand{
		Number:    r.number,
		Kind:      int32(t.Kind),
		Instance:  t.Instance,
		Workspace: t.Workspace,
		Values:    hostpb.ValuesToProto(t.SessionValues),
		Statement: &wasabislipv1.ErrandQuery{
			Id:    []byte(t.Query.ID),
			Kind:  int32(t.Query.Kind),
			Text:  []byte(t.Query.Text),
			Name:  []byte(t.Query.Name),
			Value: []byte(t.Query.Value),
			Args:  []byte(t.Query.Args),
		},
		Prepared:    []byte(t.Prepared),
		ReadOnly:    t.ReadOnly,
		FloorTerm:   t.MinPosition.Term,
		FloorOffset: t.MinPosition.Offset,
		Priority:    int32(t.Priority),
		WaitMs:      milliseconds(t.Wait),
		TimeoutMs:   milliseconds(time.Until(t.Deadline)),
		ClaimWaitMs: milliseconds(t.PermitRequest.Wait),
		ClaimLevel:  int32(t.PermitRequest.Level),
		Usage:       hostpb.UsageToProto(t.Usage),
		Level:       int32(t.Level),
		ObjectiveMs: milliseconds(t.Objective),
	})
	if err != nil {
		return err
	}
	return r.w.Flush()
}

// rollback rolls an open transaction back at the holder. There is no answer.
func (r *remote) rollback() error {
	if err := r.net.SetDeadline(time.Now().Add(connectTimeout)); err != nil {
		return err
	}
	return r.send(&task.Task{
		Kind: task.Rollback,
	})
}

// milliseconds returns d in whole milliseconds; 0 when d is negative.
func milliseconds(d time.Duration) uint32 {
	return uint32(max(0, d/time.Millisecond))
}
