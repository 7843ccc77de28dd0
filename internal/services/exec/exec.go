// Package exec runs callers' transactions and batches on the instances of one
// database.
package exec

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/stamps"
	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/internal/services/epoch"
	"wasabislip.example/wasabislip/internal/services/tenure"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// Limits of a run.
const (
	// DefaultTimeout bounds a batch whose request gives no timeout.
	DefaultTimeout = 30 * time.Second
	// IdleInTransaction bounds the pause between two batches of a
	// transaction.
	IdleInTransaction = 30 * time.Second
	// ChunkBytes is the size up to which answers are sent together.
	ChunkBytes = 64 << 10
	// HeldBytes bounds the answer held back until a write is confirmed.
	HeldBytes = 1 << 20
	// AwaitLimit bounds the wait for a replica to reach a session's floor.
	AwaitLimit = 50 * time.Millisecond
	// Patience is the expected wait for a replica up to which a read stays
	// off an idle primary.
	Patience = 30 * time.Millisecond
)

// terms bounds the terms in which a run is tried.
const maxTerms = 3

// errNextTerm says that the run may be tried in the next term.
var errNextTerm = errors.New("the term ended before the run did anything")

type slotQueue interface {
	Acquire(ctx context.Context, workspace string, weight float64) (release func(), err error)
}

type policy interface {
	Route(name string) *route.Route
	Weight(workspace string) float64
	// Share returns the part of a database's resources, 0 to 1, that is a
	// workspace's own.
	Share(database, workspace string) float64
}

type stream interface {
	Receive(ctx context.Context) (*v1.RunRequest, error)
	Send(r *v1.RunResponse) error
}

type canceller interface {
	Cancel(ctx context.Context, conn *dbconn.Conn) error
}

// meter counts batches by the kind of their route and the role of the instance.
type meter interface {
	Statement(routeKind, role string)
}

// Runner runs what arrives for one database.
type Runner struct {
	coordinator *tenure.Steward
	host        string
	policy      policy
	meter       meter
	queues      []slotQueue
	cancellers  []canceller
	loads       []*loadGauge
	commitTimes stamps.Stamps

	mu        sync.Mutex
	runs      map[string]*run
	connsHeld []map[string]int
}

// New returns a runner on steward. Add is called once an instance, in the
// database's order, before the first run.
func New(steward *tenure.Steward, host string, p policy, m meter) *Runner {
	return &Runner{
		coordinator: steward,
		host:        host,
		policy:      p,
		meter:       m,
		runs:        make(map[string]*run),
	}
}

// Add gives the runner the slots of the next instance and its adapter for
// cancel requests.
func (r *Runner) Add(slots slotQueue, c canceller) {
	r.queues = append(r.queues, slots)
	r.cancellers = append(r.cancellers, c)
	r.loads = append(r.loads, &loadGauge{})
	r.connsHeld = append(r.connsHeld, map[string]int{})
}

// run is one transaction, or one batch outside of one.
type run struct {
	executor    *Runner
	epoch       *epoch.Epoch
	open        *v1.Open
	route       *route.Route
	minPosition logpos.Position
	stream      stream
	sessionKey  string
	// settled tells that floor holds all that was acknowledged before the
	// session arrived.
	minPositionSet bool
	// last tells that the run is not tried in another term.
	lastTry bool
	// sent tells that a batch went to an instance, and may have run there,
	// without an answer that could be passed on.
	mayHaveRun bool

	// The connection stays pinned while the transaction is open; conn is
	// guarded by the runner's mu for Cancel.
	conn     *dbconn.Conn
	index    int
	txStatus byte
}

// Run serves one run whose first request was received. Refusals go to the
// stream; an error tells that the stream itself failed.
func (r *Runner) Run(ctx context.Context, first *v1.RunRequest, s stream) error {
	open := first.GetOpen()
	way := r.policy.Route(open.GetRoute())
	if way == nil {
		return refuse(s, fault.New(fault.BadRequest, "route "+open.GetRoute()+" is not declared", "name a declared route"))
	}
	t := &run{
		executor: r,
		open:     open,
		route:    way,
		stream:   s,
	}
	for n := range maxTerms {
		t.lastTry = n == maxTerms-1
		err := t.runInTerm(ctx, first)
		if !errors.Is(err, errNextTerm) {
			return err
		}
	}
	return nil
}

// once serves the run in the present term. It returns errNextTerm, unless it
// is the last, when the term ended and the run may start over.
func (t *run) runInTerm(ctx context.Context, first *v1.RunRequest) error {
	r, open := t.executor, t.open
	e, err := r.awaitTerm(ctx, first)
	switch {
	case err != nil && t.mayHaveRun:
		return refuse(t.stream, readLostFault().Wrap(err))
	case err != nil:
		return refuse(t.stream, err)
	}
	defer r.coordinator.Leave()
	t.epoch = e
	t.txStatus = 'I'
	t.minPositionSet = false
	if open.GetSession() != "" {
		t.sessionKey = open.GetWorkspace() + "\x00" + open.GetSession()
	}
	r.register(t)
	defer r.unregister(t)
	defer t.releaseConn()
	return t.runBatches(ctx, first)
}

func (r *Runner) awaitTerm(ctx context.Context, first *v1.RunRequest) (*epoch.Epoch, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout(first))
	defer cancel()
	return r.coordinator.Enter(ctx)
}

// serve runs batches until the transaction is over.
func (t *run) runBatches(ctx context.Context, request *v1.RunRequest) error {
	for {
		over, err := t.runBatch(ctx, request)
		if err != nil || over {
			return err
		}
		request, err = t.receiveNext(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if fault.As(err) != nil {
			return refuse(t.stream, err)
		}
		if err != nil {
			return err
		}
	}
}

func (t *run) receiveNext(ctx context.Context) (*v1.RunRequest, error) {
	idle, cancel := context.WithTimeout(ctx, IdleInTransaction)
	defer cancel()
	request, err := t.stream.Receive(idle)
	if err != nil && idle.Err() != nil && ctx.Err() == nil {
		return nil, fault.New(fault.NotRun, "the transaction was idle for too long and was rolled back", "begin it again")
	}
	return request, err
}

// Cancel asks for the batch that runs under a request id to be cancelled.
func (r *Runner) Cancel(ctx context.Context, id string) error {
	c, index := r.taint(id)
	if c == nil {
		return nil
	}
	return r.cancellers[index].Cancel(ctx, c)
}

// taint returns the connection on which a request id runs, or nil. A cancel
// request may arrive there after the batch has ended, so that the connection
// must not serve another caller.
func (r *Runner) taint(id string) (*dbconn.Conn, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.runs[id]
	if t == nil || t.conn == nil {
		return nil, 0
	}
	t.conn.Tainted = true
	return t.conn, t.index
}

func (r *Runner) register(t *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[t.open.GetRequestId()] = t
}

func (r *Runner) unregister(t *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[t.open.GetRequestId()] == t {
		delete(r.runs, t.open.GetRequestId())
	}
}

// drop gives the run's connection up. One inside a transaction, or whose
// answers were not all read, is closed, which rolls the transaction back.
func (t *run) releaseConn() {
	t.executor.mu.Lock()
	c, ready := t.conn, t.txStatus == 'I'
	t.conn = nil
	t.executor.mu.Unlock()
	if c == nil {
		return
	}
	defer t.executor.unreserveConn(t.index, t.open.GetWorkspace())
	p := t.executor.coordinator.Pool(t.index)
	if ready {
		p.Put(c)
	} else {
		p.Discard(c)
	}
}

func timeout(r *v1.RunRequest) time.Duration {
	if r.GetTimeoutMs() <= 0 {
		return DefaultTimeout
	}
	return time.Duration(r.GetTimeoutMs()) * time.Millisecond
}

// refuse sends err as a refusal, which ends the run.
func refuse(s stream, err error) error {
	f := fault.As(err)
	if f == nil {
		f = fault.New(fault.NotRun, "the database could not be reached", "send the request again").Wrap(err)
	}
	return s.Send(&v1.RunResponse{
		Ready:  true,
		Status: "I",
		Refusal: &v1.Refusal{
			Kind:         f.Kind,
			Reason:       f.Reason,
			Remedy:       f.Remedy,
			RetryAfterMs: f.RetryAfter.Milliseconds(),
			Steward:      f.Steward,
		},
	})
}

func positionProto(p logpos.Position) *v1.Position {
	return &v1.Position{
		Term:   p.Term,
		Offset: p.Offset,
	}
}
