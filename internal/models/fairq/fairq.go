// Package fairq shares the slots of one database instance between workspaces.
// A slot is the right to run one statement.
//
// Each workspace has a FIFO queue, its flow. Deficit round robin over the
// flows, by weight, picks the request that gets the next free slot. The
// scheduler is work-conserving: no slot stays free while a request waits.
package fairq

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	defaultMaxWait  = 2 * time.Second
	defaultMaxQueue = 256
	minWeight       = 1.0 / 64
	maxWeight       = 64.0
	// serviceTimeWeight is the weight of the newest sample in the exponential
	// moving average of the service time.
	serviceTimeWeight = 1.0 / 16
	// minRetryAfter is the shortest time that a refusal asks the caller to wait.
	minRetryAfter = 5 * time.Millisecond
)

// Queue hands out the slots of one instance.
//
// flows holds the flows by workspace. active holds those with waiting
// requests, in round-robin order, and current is the index of the one whose
// turn it is.
type Queue struct {
	mu          sync.Mutex
	maxWait     time.Duration
	maxQueue    int
	slots       int
	used        int
	serviceTime time.Duration
	flows       map[string]*flow
	active      []*flow
	current     int
	closed      bool
}

// flow is the queue of one workspace. It is active while it has waiters.
// deficit is the number of slots that it may still take in this round;
// credited is set once the round's weight has been added to it.
type flow struct {
	workspace string
	weight    float64
	deficit   float64
	credited  bool
	waiters   []*waiter
}

// waiter is one request that waits for a slot. done is set when it has left
// its queue. ready then receives nil if it got a slot and an error if not;
// nothing is sent to a waiter that was cancelled.
type waiter struct {
	ready chan error
	done  bool
}

// New returns a queue whose slots are all free. maxWait bounds the wait for a
// slot, maxQueue the number of waiting requests of one workspace; 0 selects
// the default.
func New(slots int, maxWait time.Duration, maxQueue int) *Queue {
	if maxWait <= 0 {
		maxWait = defaultMaxWait
	}
	if maxQueue <= 0 {
		maxQueue = defaultMaxQueue
	}
	return &Queue{
		maxWait:  maxWait,
		maxQueue: maxQueue,
		slots:    slots,
		flows:    make(map[string]*flow),
	}
}

// Acquire takes a slot for a request of the workspace and waits for its turn
// if none is free. release gives the slot back; only the first call counts.
// weight is the workspace's share of contended slots; 0 or less counts as 1.
//
// Acquire fails with fault.Overloaded at once if the workspace's queue is full
// or the expected wait exceeds maxWait or ctx's deadline, and later if one of
// these passes without a slot. It fails with fault.Draining after Close, and
// with fault.NotRun if ctx is cancelled.
func (q *Queue) Acquire(ctx context.Context, workspace string, weight float64) (release func(), err error) {
	if err := ctx.Err(); err != nil {
		return nil, cancelled(err)
	}
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return nil, draining()
	}
	if q.used < q.slots && len(q.active) == 0 {
		q.used++
		q.mu.Unlock()
		return q.releaseFunc(), nil
	}
	limit := q.waitLimit(ctx)
	f := q.flow(workspace, weight)
	if err := q.checkWait(f, limit); err != nil {
		q.dropIfEmpty(f)
		q.mu.Unlock()
		return nil, err
	}
	w := q.enqueue(f)
	q.mu.Unlock()
	return q.await(ctx, f, w, limit)
}

// Resize changes the number of slots. If more are in use, the surplus ones
// are not handed out again after their release.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.dispatch()
}

// Close refuses all waiting and later requests. Slots in use stay in use until
// their release.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, f := range q.active {
		for _, w := range f.waiters {
			w.finish(draining())
		}
	}
	q.active = nil
	q.current = 0
	clear(q.flows)
}

// await blocks until w gets a slot or an error, ctx ends or limit passes.
func (q *Queue) await(ctx context.Context, f *flow, w *waiter, limit time.Duration) (func(), error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	var err error
	select {
	case err = <-w.ready:
		if err != nil {
			return nil, err
		}
		return q.releaseFunc(), nil
	case <-ctx.Done():
		err = cancelled(ctx.Err())
	case <-timer.C:
		err = overloaded("no slot came free within the wait bound", limit)
	}
	q.cancel(f, w)
	return nil, err
}

// cancel takes w out of its queue. If w has been given a slot in the meantime,
// the slot goes to the next waiter.
func (q *Queue) cancel(f *flow, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !w.done {
		w.done = true
		f.waiters = slices.DeleteFunc(f.waiters, func(o *waiter) bool { return o == w })
		if len(f.waiters) == 0 {
			q.deactivate(f)
		}
		return
	}
	if err := <-w.ready; err == nil {
		q.used--
		q.dispatch()
	}
}

// releaseFunc returns the function that gives one slot back and records how
// long it was used.
func (q *Queue) releaseFunc() func() {
	start := time.Now()
	done := false
	return func() {
		took := time.Since(start)
		q.mu.Lock()
		defer q.mu.Unlock()
		if done {
			return
		}
		done = true
		q.used--
		q.recordServiceTime(took)
		q.dispatch()
	}
}

// recordServiceTime adds a sample to the moving average of the service time.
func (q *Queue) recordServiceTime(took time.Duration) {
	if q.serviceTime == 0 {
		q.serviceTime = took
		return
	}
	q.serviceTime += time.Duration(serviceTimeWeight * float64(took-q.serviceTime))
}

// dispatch hands free slots to waiters in the order of deficit round robin.
func (q *Queue) dispatch() {
	for q.used < q.slots && len(q.active) > 0 {
		f := q.pickFlow()
		w := f.waiters[0]
		f.waiters[0] = nil
		f.waiters = f.waiters[1:]
		if len(f.waiters) == 0 {
			q.deactivate(f)
		}
		q.used++
		w.finish(nil)
	}
}

// pickFlow returns the flow whose turn it is and charges it for one slot. A
// flow that has spent its deficit passes the turn to the next one.
func (q *Queue) pickFlow() *flow {
	for {
		f := q.active[q.current]
		if !f.credited {
			f.credited = true
			f.deficit += f.weight
		}
		if f.deficit >= 1 {
			f.deficit--
			return f
		}
		f.credited = false
		q.current = (q.current + 1) % len(q.active)
	}
}

// waitLimit returns how long a request may wait: until ctx's deadline, but
// maxWait at most.
func (q *Queue) waitLimit(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return q.maxWait
	}
	return min(q.maxWait, time.Until(deadline))
}

// checkWait returns an error if f's queue is full or if a new waiter of f is
// expected to wait for longer than limit.
func (q *Queue) checkWait(f *flow, limit time.Duration) error {
	wait := q.expectedWait(f)
	if len(f.waiters) >= q.maxQueue {
		return overloaded(fmt.Sprintf("workspace %s has %d requests waiting", f.workspace, len(f.waiters)), wait)
	}
	if wait > limit {
		return overloaded(fmt.Sprintf("a slot is expected in %s, past the deadline", wait.Round(time.Millisecond)), wait-limit)
	}
	return nil
}

// expectedWait returns the expected wait of one more waiter of f: the number
// of requests that are served up to and including it, times the average
// service time, divided by the number of slots.
func (q *Queue) expectedWait(f *flow) time.Duration {
	if q.slots <= 0 {
		return q.maxWait
	}
	position := float64(len(f.waiters) + 1)
	ahead := position
	rounds := position / f.weight
	for _, o := range q.active {
		if o != f {
			ahead += min(float64(len(o.waiters)), max(1, rounds*o.weight))
		}
	}
	return time.Duration(ahead * float64(q.serviceTime) / float64(q.slots))
}

// flow returns the workspace's flow, with its weight brought up to date.
func (q *Queue) flow(workspace string, weight float64) *flow {
	f := q.flows[workspace]
	if f == nil {
		f = &flow{
			workspace: workspace,
		}
		q.flows[workspace] = f
	}
	if weight <= 0 {
		weight = 1
	}
	f.weight = min(max(weight, minWeight), maxWeight)
	return f
}

// enqueue appends a waiter to f. A flow that was empty becomes active; its
// turn comes after all others.
func (q *Queue) enqueue(f *flow) *waiter {
	w := &waiter{
		ready: make(chan error, 1),
	}
	if len(f.waiters) == 0 {
		q.active = slices.Insert(q.active, q.current, f)
		q.current = (q.current + 1) % len(q.active)
	}
	f.waiters = append(f.waiters, w)
	return w
}

// deactivate removes an empty flow from the active ones. If it was its turn,
// the turn passes to the next flow.
func (q *Queue) deactivate(f *flow) {
	i := slices.Index(q.active, f)
	q.active = slices.Delete(q.active, i, i+1)
	if i < q.current {
		q.current--
	}
	if q.current >= len(q.active) {
		q.current = 0
	}
	q.dropIfEmpty(f)
}

// dropIfEmpty removes a flow without waiters.
func (q *Queue) dropIfEmpty(f *flow) {
	if len(f.waiters) == 0 {
		delete(q.flows, f.workspace)
	}
}

// finish tells the waiter that it has a slot (nil), or why it gets none.
func (w *waiter) finish(err error) {
	w.done = true
	w.ready <- err
}

func overloaded(reason string, after time.Duration) error {
	return fault.New(fault.Overloaded, reason, "come back later, or send fewer requests at once").
		WithRetryAfter(max(after, minRetryAfter))
}

func draining() error {
	return fault.New(fault.Draining, "the instance's queue is closed", "connect again to reach another host")
}

func cancelled(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.Overloaded, "the deadline passed before a slot came free", "allow more time, or send fewer requests at once").
			WithRetryAfter(minRetryAfter).Wrap(err)
	}
	return fault.New(fault.NotRun, "the request was cancelled before a slot came free", "send it again").Wrap(err)
}
