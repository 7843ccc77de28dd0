// Package tenure is the stewardship of one database: it takes terms, promotes
// primaries and replaces them.
package tenure

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wasabislip.example/wasabislip/internal/models/recent"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/internal/modules/trail"
	"wasabislip.example/wasabislip/internal/services/epoch"
	"wasabislip.example/wasabislip/internal/services/pool"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/group"
)

// Limits of a stewardship's changes.
const (
	// RetryAfter is the first pause after a failed attempt to take a term;
	// it doubles up to RetryLimit.
	RetryAfter = 50 * time.Millisecond
	// RetryLimit bounds the pause between attempts.
	RetryLimit = time.Second
	// FenceGrace is how long a takeover waits for more instances once a
	// majority is fenced.
	FenceGrace = 100 * time.Millisecond
	// StepTimeout bounds one fence, promotion or table call.
	StepTimeout = 3 * time.Second
	// CatchUpLimit bounds the wait for requests to finish and for a replica
	// to catch up in a planned change of primary.
	CatchUpLimit = 2 * time.Second
	// HoldFirst is how long new runs wait at first for those admitted to end
	// before a stewardship is given up; it doubles up to CatchUpLimit.
	HoldFirst = 250 * time.Millisecond
	// HoldPause is the time between two such waits.
	HoldPause = time.Second
	// PlanEvery is the interval at which drains are looked at.
	PlanEvery = 100 * time.Millisecond
	// PlanPause is the pause after a planned change that did not succeed.
	PlanPause = 5 * time.Second
)

type table interface {
	Get(ctx context.Context, class, name string) (record.Record, error)
	Put(ctx context.Context, r record.Record, expect uint64) error
}

type instance interface {
	Status(ctx context.Context) (status.Status, error)
	Fence(ctx context.Context, term uint64) (status.Status, error)
	Promote(ctx context.Context, term uint64) error
	Follow(ctx context.Context, term uint64, address string) error
	Dial(ctx context.Context, term uint64, readOnly bool) (*dbconn.Conn, error)
}

// meter records how long a database had no primary at a change of primary.
type meter interface {
	Failover(planned bool, d time.Duration)
}

// Steward is the stewardship of one database.
type Steward struct {
	database  group.Database
	host      string
	address   string
	table     table
	meter     meter
	instances []instance
	pools     []*pool.Pool
	epoch     atomic.Pointer[epoch.Epoch]
	writes    atomic.Pointer[recent.Writes]
	ownTerm      atomic.Uint64
	reserved     atomic.Pointer[takenTerm]
	done      chan struct{}
	// dead is the index of the primary that the last term lost, or -1; only
	// Run uses it.
	failedPrimary int
	// shutAt is when the last term stopped admitting runs; only Run uses it,
	// as planned, which tells why.
	pausedAt  time.Time
	planned bool

	mu      sync.Mutex
	drained []bool
	paused  bool
	// heldBack tells that Stop waits for the runs admitted to end.
	quiescing bool
	stopped  bool
	active   int
	changed  chan struct{}
	endErr      error
}

// New returns a stewardship of database for host, whose peer address is
// ip:port. Add is called once an instance, in the database's order, before
// Run.
func New(database group.Database, host, address string, t table, m meter) *Steward {
	s := &Steward{
		database: database,
		host:     host,
		address:  address,
		table:    t,
		meter:    m,
		done:     make(chan struct{}),
		failedPrimary:     -1,
		drained:  make([]bool, len(database.Instances)),
		paused:   true,
		changed:  make(chan struct{}),
	}
	for i := range database.Instances {
		s.drained[i] = database.Instances[i].Drained
	}
	return s
}

// Add gives the steward the adapter of the next instance.
func (s *Steward) Add(c instance) {
	i := len(s.instances)
	s.instances = append(s.instances, c)
	s.pools = append(s.pools, pool.New(c, s.database.Instances[i].Connections))
}

// Done is closed once Run has returned.
func (s *Steward) Done() <-chan struct{} {
	return s.done
}

// Err returns why the stewardship ended; nil while it lasts and after Stop.
func (s *Steward) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endErr
}

// Database returns the description of the database.
func (s *Steward) Database() *group.Database {
	return &s.database
}

// Pool returns the statement connections of the instance at index i.
func (s *Steward) Pool(i int) *pool.Pool {
	return s.pools[i]
}

// Epoch returns the term that is served, or nil before the first.
func (s *Steward) Epoch() *epoch.Epoch {
	return s.epoch.Load()
}

// Writes returns the last writes of named sessions.
func (s *Steward) Writes() *recent.Writes {
	return s.writes.Load()
}

// Drain names the instances that get no new statement. A primary among them
// is replaced without cutting a request.
func (s *Steward) Drain(instances []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.database.Instances {
		s.drained[i] = false
		for _, name := range instances {
			s.drained[i] = s.drained[i] || name == s.database.Instances[i].Name
		}
	}
	if e := s.epoch.Load(); e != nil {
		e.Drain(s.drained)
	}
}

// Enter admits one run and returns the epoch that serves it. It waits while
// the primary is being changed. Leave is called when the run has ended.
func (s *Steward) Enter(ctx context.Context) (*epoch.Epoch, error) {
	for {
		s.mu.Lock()
		if s.stopped || s.endErr != nil {
			s.mu.Unlock()
			return nil, fault.New(fault.NotSteward, s.host+" is no longer the steward of "+s.database.Name, "ask the present steward")
		}
		if e := s.epoch.Load(); !s.paused && !s.quiescing && e.Reason() == "" {
			s.active++
			s.mu.Unlock()
			return e, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			f := fault.New(fault.NoPrimary, s.database.Name+" had no primary in time", "send the request again")
			return nil, f.After(RetryLimit).Wrap(ctx.Err())
		}
	}
}

// Leave ends a run that Enter admitted.
func (s *Steward) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = max(s.active-1, 0)
	if s.active == 0 {
		s.notify()
	}
}

// Stop ends the stewardship at a moment without an admitted run. New runs wait
// for a short time while those admitted end, and are admitted again when that
// takes longer, since a database without a steward would refuse them all. When
// ctx ends first the stewardship ends with runs cut.
func (s *Steward) Stop(ctx context.Context) {
	for wait := HoldFirst; ; wait = min(wait*2, CatchUpLimit) {
		s.setQuiescing(true)
		limited, cancel := context.WithTimeout(ctx, wait)
		over := s.waitIdle(limited) || ctx.Err() != nil
		cancel()
		if over {
			break
		}
		s.setQuiescing(false)
		sleep(ctx, HoldPause)
	}
	s.mu.Lock()
	s.stopped = true
	s.active = 0
	s.notify()
	s.mu.Unlock()
}

// finish makes Run return; err tells why.
func (s *Steward) setEnd(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.endErr == nil {
		s.endErr = err
	}
	s.notify()
}

// idle waits until no run is admitted, and reports whether that came true.
func (s *Steward) waitIdle(ctx context.Context) bool {
	for {
		s.mu.Lock()
		active, changed := s.active, s.changed
		s.mu.Unlock()
		if active == 0 {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// hold makes Enter wait for Stop, beside shut.
func (s *Steward) setQuiescing(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quiescing = on
	s.notify()
}

// shut makes Enter wait; open lets it go on.
func (s *Steward) setPaused(closed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = closed
	s.notify()
}

// notify wakes those that wait; the caller holds mu.
func (s *Steward) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Steward) isDrained(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.database.Instances {
		if s.database.Instances[i].Name == name {
			return s.drained[i]
		}
	}
	return false
}

func (s *Steward) decision(what, reason string, term uint64) trail.Decision {
	return trail.Decision{
		Decision: what,
		Reason:   reason,
		Database: s.database.Name,
		Term:     term,
		Host:     s.host,
	}
}
