// Package epoch serves one term of one database: it polls the instances,
// confirms commits and tells when the term has to end.
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
	// PollEvery is the interval of polls that nobody waits for.
	PollEvery = 250 * time.Millisecond
	// RoundGap is the least time between two rounds.
	RoundGap = time.Millisecond
	// RoundPatience is how long a round may be unanswered before the next
	// one begins beside it.
	RoundPatience = 20 * time.Millisecond
	// SilentAfter is how long an instance may be silent before it gets no
	// reads.
	SilentAfter = time.Second
)

// Reasons for the end of a term.
const (
	Superseded  = "superseded"
	PrimaryDead = "primary-dead"
)

const keptMarks = 64

type instance interface {
	Status(ctx context.Context) (status.Status, error)
	Fence(ctx context.Context, term uint64) (status.Status, error)
	Follow(ctx context.Context, term uint64, address string) error
}

type roundMark struct {
	start  time.Time
	offset uint64
}

// Epoch is one term. Its zero value is not usable; see New.
type Epoch struct {
	database group.Database
	term     uint64
	primary  int
	instances []instance
	view     atomic.Pointer[view.View]
	roundRequested   chan struct{}
	termCtx     context.Context //nolint:containedctx // ends with the term
	cancelTerm     context.CancelFunc
	done     chan struct{}
	wake     []chan struct{}

	mu       sync.Mutex
	reason   string
	changed  chan struct{}
	reports  []status.Status
	live     []bool
	drained  []bool
	freshAt  []time.Time
	lag      []time.Duration
	answeredAt    []time.Time
	checkedAt  time.Time
	sentRound     []uint64
	answeredRound []uint64
	round      uint64
	verifiedRound   uint64
	roundStart    [keptMarks]time.Time
	marks    [keptMarks]roundMark
	detector detect.Detector
}

// New returns the epoch of term with the promoted instance's index. Add is
// called once an instance, in the group's order, before Run.
func New(database group.Database, term uint64, primary int) *Epoch {
	n := len(database.Instances)
	e := &Epoch{
		database: database,
		term:     term,
		primary:  primary,
		roundRequested:   make(chan struct{}, 1),
		done:     make(chan struct{}),
		changed:  make(chan struct{}),
		reports:  make([]status.Status, n),
		live:     make([]bool, n),
		drained:  make([]bool, n),
		freshAt:  make([]time.Time, n),
		lag:      make([]time.Duration, n),
		answeredAt:    make([]time.Time, n),
		sentRound:     make([]uint64, n),
		answeredRound: make([]uint64, n),
	}
	e.termCtx, e.cancelTerm = context.WithCancel(context.Background())
	for i := range database.Instances {
		e.drained[i] = database.Instances[i].Drained
	}
	e.publish()
	return e
}

// Add gives the epoch the control of the next instance.
func (e *Epoch) Add(c instance) {
	e.instances = append(e.instances, c)
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

// Ended is closed once the term confirms nothing more.
func (e *Epoch) Ended() <-chan struct{} {
	return e.termCtx.Done()
}

// Within returns a context that ends with ctx and with the term.
func (e *Epoch) Within(ctx context.Context) (context.Context, context.CancelFunc) {
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

// View returns what is known now. It is not to be changed.
func (e *Epoch) View() *view.View {
	return e.view.Load()
}

// Drain sets which instances get no new statement.
func (e *Epoch) Drain(drained []bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	copy(e.drained, drained)
	e.publish()
}

// Round returns a view whose polls began after the call and in which a
// majority, the primary included, had its fence at the term. Rounds are shared
// by all that wait. It fails with fault.Superseded once the term has ended.
func (e *Epoch) Round(ctx context.Context) (*view.View, error) {
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

// Confirm returns once a majority holds p. Any error says that the outcome of
// the write at p is unknown.
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

func unknown(reason string) *fault.Fault {
	return fault.New(fault.OutcomeUnknown, reason, "read what the request wrote before repeating it")
}

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

func (e *Epoch) requestRound() {
	select {
	case e.roundRequested <- struct{}{}:
	default:
	}
}

func (e *Epoch) end(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLocked(reason)
}

func (e *Epoch) endLocked(reason string) {
	if e.reason != "" {
		return
	}
	e.reason = reason
	e.cancelTerm()
}

// publish builds the view from the reports; the caller holds mu, or the epoch
// is not yet shared.
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
