// Package epoch serves one term of one database: it polls the instances, tells
// when a majority of them holds a commit, and ends the term when the primary
// fails or another host takes a later term.
package epoch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/models/detect"
	"wasabislip.example/wasabislip/internal/models/quorum"
	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/internal/models/view"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Intervals of polling.
const (
	// PollInterval is the interval of the polls that no caller requested.
	PollInterval = 250 * time.Millisecond
	// MinRoundGap is the least time between two rounds.
	MinRoundGap = time.Millisecond
	// RoundTimeout is how long a round waits for a majority before the next
	// one starts beside it.
	RoundTimeout = 20 * time.Millisecond
	// SilenceTimeout is how long an instance may leave polls unanswered before
	// it gets no reads.
	SilenceTimeout = time.Second
)

// Reasons for the end of a term.
const (
	Superseded    = "superseded"
	PrimaryFailed = "primary-dead"
)

// keptMarks is the number of verified rounds whose marks are kept.
const keptMarks = 64

// instance is a client of one instance. Fence raises its fencing token: it then
// rejects statements and commands of earlier terms.
type instance interface {
	Status(ctx context.Context) (status.Status, error)
	Fence(ctx context.Context, term uint64) (status.Status, error)
	Follow(ctx context.Context, term uint64, address string) error
}

// roundMark is the start of a verified round, and the end of the primary's log
// that was known when the round was verified. A replica that has applied the log
// up to offset has seen everything that was acknowledged before start.
type roundMark struct {
	start  time.Time
	offset uint64
}

// Epoch serves one term. A round is one poll of every instance. Rounds are
// numbered, and one is verified once a majority, the primary included, has
// answered a poll that was sent after it started, with its fencing token at the
// term. The zero value is not usable; see New.
type Epoch struct {
	database       group.Database
	term           uint64
	primary        int
	instances      []instance
	view           atomic.Pointer[view.View]
	roundRequested chan struct{}
	termCtx        context.Context //nolint:containedctx // ends with the term
	cancelTerm     context.CancelFunc
	done           chan struct{}
	// wake tells the goroutine that polls an instance that a round started.
	wake []chan struct{}

	// Slices have one element for each instance.
	mu      sync.Mutex
	reason  string
	changed chan struct{}
	reports []status.Status
	live    []bool
	drained []bool
	// freshAt is the latest time up to which a replica is known to have applied
	// everything, and lag how old that time was when it became known.
	freshAt    []time.Time
	lag        []time.Duration
	answeredAt []time.Time
	checkedAt  time.Time
	// sentRound and answeredRound are the rounds of the last poll sent to an
	// instance and of the last that it answered.
	sentRound     []uint64
	answeredRound []uint64
	// round is the last round started, verifiedRound the last verified.
	round         uint64
	verifiedRound uint64
	// roundStart and marks are ring buffers, indexed by round modulo keptMarks.
	roundStart [keptMarks]time.Time
	marks      [keptMarks]roundMark
	detector   detect.Detector
}

// New returns the epoch of term; primary is the index of the promoted instance.
// Before Run, AddInstance is called once for each instance, in the order of the
// database's list.
func New(database group.Database, term uint64, primary int) *Epoch {
	n := len(database.Instances)
	e := &Epoch{
		database:       database,
		term:           term,
		primary:        primary,
		roundRequested: make(chan struct{}, 1),
		done:           make(chan struct{}),
		changed:        make(chan struct{}),
		reports:        make([]status.Status, n),
		live:           make([]bool, n),
		drained:        make([]bool, n),
		freshAt:        make([]time.Time, n),
		lag:            make([]time.Duration, n),
		answeredAt:     make([]time.Time, n),
		sentRound:      make([]uint64, n),
		answeredRound:  make([]uint64, n),
	}
	e.termCtx, e.cancelTerm = context.WithCancel(context.Background())
	for i := range database.Instances {
		e.drained[i] = database.Instances[i].Drained
	}
	e.publish()
	return e
}

// AddInstance adds the client of the next instance.
func (e *Epoch) AddInstance(client instance) {
	e.instances = append(e.instances, client)
	e.wake = append(e.wake, make(chan struct{}, 1))
}

// Run polls until ctx ends or the term does.
func (e *Epoch) Run(ctx context.Context) {
	defer close(e.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mu.Lock()
	e.detector.Reset(time.Now())
	e.mu.Unlock()
	var wg conc.WaitGroup
	for i := range e.instances {
		wg.Go(func() { e.poll(ctx, i) })
	}
	e.runRounds(ctx)
	e.end(Superseded)
	cancel()
	wg.Wait()
}

// Done is closed once Run has returned.
func (e *Epoch) Done() <-chan struct{} {
	return e.done
}

// Ended is closed once the term has ended, so that no more writes are confirmed
// in it.
func (e *Epoch) Ended() <-chan struct{} {
	return e.termCtx.Done()
}

// TermContext returns a context that ends when ctx or the term ends.
func (e *Epoch) TermContext(ctx context.Context) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(e.termCtx, cancel)
	return inner, func() {
		stop()
		cancel()
	}
}

// Reason returns why the term ended, or an empty string.
func (e *Epoch) Reason() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reason
}

// Term returns the term's number.
func (e *Epoch) Term() uint64 {
	return e.term
}

// View returns what is known of the instances now. The caller must not change
// it.
func (e *Epoch) View() *view.View {
	return e.view.Load()
}

// SetDrained sets which instances get no new statement.
func (e *Epoch) SetDrained(drained []bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	copy(e.drained, drained)
	e.publish()
}

// VerifyTerm waits for a verified round that starts after the call and returns
// the view after it. That proves that no later term was in force at the time of
// the call, as ReadIndex does in etcd. Callers that wait share rounds. It fails
// with fault.Superseded once the term has ended.
func (e *Epoch) VerifyTerm(ctx context.Context) (*view.View, error) {
	e.mu.Lock()
	want := e.round + 1
	for {
		if e.verifiedRound >= want {
			e.mu.Unlock()
			return e.View(), nil
		}
		changed := e.changed
		e.mu.Unlock()
		e.requestRound()
		if err := e.wait(ctx, changed); err != nil {
			return nil, err
		}
		e.mu.Lock()
	}
}

// Confirm returns once a majority holds the log up to p. After any error the
// outcome of the write at p is unknown.
func (e *Epoch) Confirm(ctx context.Context, p logpos.Position) error {
	if p.Term != e.term {
		return unknown("the write was made in another term")
	}
	for {
		e.mu.Lock()
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-e.termCtx.Done():
			return unknown("the term ended before a majority held the write")
		default:
		}
		if c := e.View().Confirmed; c.Term == p.Term && c.Offset >= p.Offset {
			return nil
		}
		e.requestRound()
		if err := e.wait(ctx, changed); err != nil {
			return unknown("no majority held the write in time").Wrap(err)
		}
	}
}

// unknown returns the fault for a write whose outcome is not known.
func unknown(reason string) *fault.Fault {
	return fault.New(fault.OutcomeUnknown, reason, "read what the request wrote before repeating it")
}

// wait waits until changed is closed.
func (e *Epoch) wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-e.termCtx.Done():
		return fault.New(fault.Superseded, "the term has ended", "send the request again")
	case <-ctx.Done():
		return fault.New(fault.NoPrimary, "no majority of instances answered in time", "send the request again").Wrap(ctx.Err())
	}
}

// requestRound makes runRounds start a round soon.
func (e *Epoch) requestRound() {
	select {
	case e.roundRequested <- struct{}{}:
	default:
	}
}

// end ends the term. Only the first reason is kept.
func (e *Epoch) end(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(reason)
}

// endLocked is end for callers that hold mu.
func (e *Epoch) endLocked(reason string) {
	if e.reason != "" {
		return
	}
	e.reason = reason
	e.cancelTerm()
}

// publish builds a new view from the reports and wakes those that wait for one.
// The confirmed position never goes back. The caller holds mu, or the epoch is
// not yet shared.
func (e *Epoch) publish() {
	v := &view.View{
		Quorum: quorum.Quorum{
			Size:    len(e.reports),
			Term:    e.term,
			Reports: append([]status.Status(nil), e.reports...),
		},
		Primary: e.primary,
		FreshAt: append([]time.Time(nil), e.freshAt...),
		Lag:     append([]time.Duration(nil), e.lag...),
		Live:    append([]bool(nil), e.live...),
		Drained: append([]bool(nil), e.drained...),
	}
	v.Confirmed = v.Quorum.Confirmed()
	if old := e.view.Load(); old != nil && old.Confirmed.Newer(v.Confirmed) {
		v.Confirmed = old.Confirmed
	}
	e.view.Store(v)
	close(e.changed)
	e.changed = make(chan struct{})
}
