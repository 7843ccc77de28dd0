// Package exec runs callers' transactions and batches on the instances of one
// database. It does so on the database's coordinator (steward on the wire).
package exec

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/commit"
	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/internal/services/coord"
	"wasabislip.example/wasabislip/internal/services/epoch"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// Limits of a run.
const (
	// DefaultTimeout is the timeout of a batch whose request sets none.
	DefaultTimeout = 30 * time.Second
	// IdleInTransaction is how long a transaction may be idle between two
	// batches before it is rolled back.
	IdleInTransaction = 30 * time.Second
	// ChunkBytes is the most bytes of an answer in one message to the caller.
	ChunkBytes = 64 << 10
	// HeldBytes bounds how much of an answer is held back until it is confirmed.
	HeldBytes = 1 << 20
	// ReplicaWaitLimit bounds the wait for a replica to reach the minimum
	// position of a session.
	ReplicaWaitLimit = 50 * time.Millisecond
	// MaxReplicaDelay is the longest expected wait for a replica for which a
	// read is kept off an idle primary.
	MaxReplicaDelay = 30 * time.Millisecond
)

// maxTerms bounds how many terms a run is tried in.
const maxTerms = 3

// errNextTerm says that the run may start over in the next term.
var errNextTerm = errors.New("the term ended before the run did anything")

// slotQueue grants the slots of one instance, fairly by the workspaces' weights.
type slotQueue interface {
	Acquire(ctx context.Context, workspace string, weight float64) (release func(), err error)
}

// policy gives the routes and the weights of workspaces.
type policy interface {
	Route(name string) *route.Route
	Weight(workspace string) float64
	// Share returns the share of a database's resources, 0 to 1, to which a
	// workspace is entitled.
	Share(database, workspace string) float64
}

// stream is the connection to the caller's host.
type stream interface {
	Receive(ctx context.Context) (*v1.RunRequest, error)
	Send(r *v1.RunResponse) error
}

// canceller sends cancel requests to one instance.
type canceller interface {
	Cancel(ctx context.Context, conn *dbconn.Conn) error
}

// meter counts batches by the kind of their route and the role of the instance.
type meter interface {
	RecordStatement(routeKind, role string)
}

// Executor runs the transactions and batches that arrive for one database.
type Executor struct {
	coordinator *coord.Coordinator
	host        string
	policy      policy
	meter       meter
	// The slices hold one element an instance, in the database's order.
	queues      []slotQueue
	cancellers  []canceller
	loads       []*loadGauge
	commitTimes commit.Times

	mu sync.Mutex
	// runs holds the current runs by request id.
	runs map[string]*run
	// connsHeld counts the connections that each workspace holds, by instance.
	connsHeld []map[string]int
}

// New returns an executor for a coordinator. Add must be called for each instance,
// in the database's order, before the first run.
func New(coordinator *coord.Coordinator, host string, p policy, m meter) *Executor {
	return &Executor{
		coordinator: coordinator,
		host:        host,
		policy:      p,
		meter:       m,
		runs:        make(map[string]*run),
	}
}

// Add adds the next instance, with the queue for its slots and the client for its
// cancel requests.
func (x *Executor) Add(slots slotQueue, c canceller) {
	x.queues = append(x.queues, slots)
	x.cancellers = append(x.cancellers, c)
	x.loads = append(x.loads, &loadGauge{})
	x.connsHeld = append(x.connsHeld, map[string]int{})
}

// run is one transaction, or one batch outside of one.
type run struct {
	executor *Executor
	epoch    *epoch.Epoch
	open     *v1.Open
	route    *route.Route
	// minPosition is the log position that the session's reads have to see
	// (floor on the wire).
	minPosition logpos.Position
	stream      stream
	// sessionKey identifies the session among all workspaces; empty without
	// one.
	sessionKey string
	// minPositionSet is set once minPosition covers all writes that were
	// acknowledged before a session without a known position arrived.
	minPositionSet bool
	// lastTry is set if the run is not tried in another term.
	lastTry bool
	// mayHaveRun is set once a batch was sent to an instance and its answer was
	// lost, so that the batch may have run.
	mayHaveRun bool

	// conn is the connection to the instance at index; it is kept while the
	// transaction is open. It is guarded by the executor's mu, since Cancel
	// uses it. txStatus is the transaction status of ReadyForQuery.
	conn     *dbconn.Conn
	index    int
	txStatus byte
}

// Run serves one run: a transaction, or a batch outside of one. The first request
// was already received. Refusals are sent on the stream; an error means that the
// stream itself failed.
func (x *Executor) Run(ctx context.Context, first *v1.RunRequest, s stream) error {
	open := first.GetOpen()
	rt := x.policy.Route(open.GetRoute())
	if rt == nil {
		return refuse(s, fault.New(fault.BadRequest, "route "+open.GetRoute()+" is not declared", "name a declared route"))
	}
	r := &run{
		executor: x,
		open:     open,
		route:    rt,
		stream:   s,
	}
	for n := range maxTerms {
		r.lastTry = n == maxTerms-1
		err := r.runInTerm(ctx, first)
		if !errors.Is(err, errNextTerm) {
			return err
		}
	}
	return nil
}

// runInTerm serves the run in the current term. It returns errNextTerm if the term
// ended, the run may start over, and this was not the last try.
func (r *run) runInTerm(ctx context.Context, first *v1.RunRequest) error {
	x, open := r.executor, r.open
	e, err := x.awaitTerm(ctx, first)
	switch {
	case err != nil && r.mayHaveRun:
		return refuse(r.stream, readLostFault().Wrap(err))
	case err != nil:
		return refuse(r.stream, err)
	}
	defer x.coordinator.Release()
	r.epoch = e
	r.txStatus = 'I'
	r.minPositionSet = false
	if open.GetSession() != "" {
		r.sessionKey = open.GetWorkspace() + "\x00" + open.GetSession()
	}
	x.register(r)
	defer x.unregister(r)
	defer r.releaseConn()
	return r.runBatches(ctx, first)
}

// awaitTerm waits until this coordinator has a term that admits the run.
func (x *Executor) awaitTerm(ctx context.Context, first *v1.RunRequest) (*epoch.Epoch, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout(first))
	defer cancel()
	return x.coordinator.Admit(ctx)
}

// runBatches runs batches until the transaction is over.
func (r *run) runBatches(ctx context.Context, request *v1.RunRequest) error {
	for {
		over, err := r.runBatch(ctx, request)
		if err != nil || over {
			return err
		}
		request, err = r.receiveNext(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if fault.As(err) != nil {
			return refuse(r.stream, err)
		}
		if err != nil {
			return err
		}
	}
}

// receiveNext waits for the next batch of the open transaction.
func (r *run) receiveNext(ctx context.Context) (*v1.RunRequest, error) {
	idle, cancel := context.WithTimeout(ctx, IdleInTransaction)
	defer cancel()
	request, err := r.stream.Receive(idle)
	if err != nil && idle.Err() != nil && ctx.Err() == nil {
		return nil, fault.New(fault.NotRun, "the transaction was idle for too long and was rolled back", "begin it again")
	}
	return request, err
}

// Cancel asks the instance to cancel the batch that runs under a request id.
func (x *Executor) Cancel(ctx context.Context, id string) error {
	c, index := x.taint(id)
	if c == nil {
		return nil
	}
	return x.cancellers[index].Cancel(ctx, c)
}

// taint marks the connection on which a request id runs as tainted and returns it,
// or nil if there is none. The cancel request may reach the instance after the
// batch has ended, so that the connection must not serve another caller.
func (x *Executor) taint(id string) (*dbconn.Conn, int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := x.runs[id]
	if r == nil || r.conn == nil {
		return nil, 0
	}
	r.conn.Tainted = true
	return r.conn, r.index
}

func (x *Executor) register(r *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.runs[r.open.GetRequestId()] = r
}

func (x *Executor) unregister(r *run) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.runs[r.open.GetRequestId()] == r {
		delete(x.runs, r.open.GetRequestId())
	}
}

// releaseConn gives the run's connection back. A connection inside a transaction,
// or with answers that were not read, is closed, which rolls the transaction back.
func (r *run) releaseConn() {
	r.executor.mu.Lock()
	c, ready := r.conn, r.txStatus == 'I'
	r.conn = nil
	r.executor.mu.Unlock()
	if c == nil {
		return
	}
	defer r.executor.unreserveConn(r.index, r.open.GetWorkspace())
	p := r.executor.coordinator.Pool(r.index)
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

// refuse sends err to the caller as a refusal, which ends the run.
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
			Steward:      f.Coordinator,
		},
	})
}

func positionProto(p logpos.Position) *v1.Position {
	return &v1.Position{
		Term:   p.Term,
		Offset: p.Offset,
	}
}
