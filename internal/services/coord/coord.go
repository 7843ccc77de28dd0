// Package coord holds the coordinator (steward on the wire) of one database: the
// host that holds the database's term, promotes and replaces its primary, and
// admits the runs (a transaction or a batch of statements, see package exec)
// that are sent to its instances.
package coord

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wasabislip.example/wasabislip/internal/models/recent"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/internal/services/epoch"
	"wasabislip.example/wasabislip/internal/services/pool"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/group"
)

// Timeouts and intervals of a coordinator.
const (
	// MinBackoff is the first pause after a failed attempt to take a term; it
	// doubles up to MaxBackoff.
	MinBackoff = 50 * time.Millisecond
	// MaxBackoff bounds the pause between attempts.
	MaxBackoff = time.Second
	// FenceGrace is how long a coordinator that has fenced a majority waits
	// for more instances to answer.
	FenceGrace = 100 * time.Millisecond
	// StepTimeout bounds one step: the fencing, the promotion, or a call to
	// the table.
	StepTimeout = 3 * time.Second
	// CatchUpTimeout bounds the wait of a planned failover for the admitted
	// runs to end and for a replica to catch up.
	CatchUpTimeout = 2 * time.Second
	// MinQuiesceWait is how long Stop first holds new runs back while it waits
	// for the admitted ones to end; it doubles up to CatchUpTimeout.
	MinQuiesceWait = 250 * time.Millisecond
	// QuiescePause is the time between two such waits, in which runs are
	// admitted.
	QuiescePause = time.Second
	// DrainCheckInterval is how often the coordinator checks whether its
	// primary is drained.
	DrainCheckInterval = 100 * time.Millisecond
	// DrainLimit is how long a drained primary gets new runs at most. No planned failover
	// takes place while no other instance can take over, or runs don't end.
	DrainLimit = 5 * time.Second
	// PlannedRetryPause is the pause after a planned failover that did not
	// succeed.
	PlannedRetryPause = 5 * time.Second
)

// table holds the term rows. Put writes a row if its version is still expect.
type table interface {
	Get(ctx context.Context, class, name string) (record.Record, error)
	Put(ctx context.Context, r record.Record, expect uint64) error
}

// instance is a client of one instance. Fence raises its fencing token: it then
// rejects statements and commands of earlier terms.
type instance interface {
	Status(ctx context.Context) (status.Status, error)
	Fence(ctx context.Context, term uint64) (status.Status, error)
	Promote(ctx context.Context, term uint64) error
	Follow(ctx context.Context, term uint64, address string) error
	Dial(ctx context.Context, term uint64, readOnly bool) (*dbconn.Conn, error)
}

// meter records how long a database had no primary during a failover.
type meter interface {
	RecordFailover(planned bool, d time.Duration)
}

// Coordinator leads one database while this host holds the database's term.
type Coordinator struct {
	database  group.Database
	host      string
	address   string
	table     table
	meter     meter
	instances []instance
	pools     []*pool.Pool
	epoch     atomic.Pointer[epoch.Epoch]
	writes    atomic.Pointer[recent.Writes]
	// ownTerm is the latest term that this host took; 0 before the first.
	ownTerm atomic.Uint64
	// reserved is the term after the one in force, taken ahead of its use.
	reserved atomic.Pointer[takenTerm]
	done     chan struct{}
	// failedPrimary is the index of the primary that failed in the last term,
	// or -1; only Run uses it.
	failedPrimary int
	// pausedAt is when the last term stopped admitting runs, and planned
	// whether that was for a planned failover; only Run uses them.
	pausedAt time.Time
	planned  bool

	mu      sync.Mutex
	drained []bool
	// drainedSince is when this coordinator learned that each instance is drained.
	drainedSince []time.Time
	// paused tells that runs wait because the primary is being replaced.
	paused bool
	// quiescing tells that Stop holds new runs back until the admitted ones
	// end.
	quiescing bool
	stopped   bool
	// active counts the admitted runs.
	active int
	// changed is closed, and replaced, when anything under mu has changed.
	changed chan struct{}
	// endErr is why Run ended.
	endErr error
}

// New returns a coordinator of database on host, whose peer address is ip:port.
// Before Run, AddInstance is called once for each instance, in the order of the
// database's list.
func New(database group.Database, host, address string, t table, m meter) *Coordinator {
	c := &Coordinator{
		database:      database,
		host:          host,
		address:       address,
		table:         t,
		meter:         m,
		done:          make(chan struct{}),
		failedPrimary: -1,
		drained:       make([]bool, len(database.Instances)),
		drainedSince:  make([]time.Time, len(database.Instances)),
		paused:        true,
		changed:       make(chan struct{}),
	}
	for i := range database.Instances {
		c.drained[i] = database.Instances[i].Drained
		c.drainedSince[i] = time.Now()
	}
	return c
}

// AddInstance adds the client of the next instance.
func (c *Coordinator) AddInstance(client instance) {
	i := len(c.instances)
	c.instances = append(c.instances, client)
	c.pools = append(c.pools, pool.New(client, c.database.Instances[i].Connections))
}

// Done is closed once Run has returned.
func (c *Coordinator) Done() <-chan struct{} {
	return c.done
}

// Err returns why Run ended; nil while it runs and after Stop.
func (c *Coordinator) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endErr
}

// Database returns the description of the database.
func (c *Coordinator) Database() *group.Database {
	return &c.database
}

// Pool returns the connection pool of the instance at index i.
func (c *Coordinator) Pool(i int) *pool.Pool {
	return c.pools[i]
}

// Epoch returns the epoch of the term in force, or nil before the first.
func (c *Coordinator) Epoch() *epoch.Epoch {
	return c.epoch.Load()
}

// Writes returns the last writes of named sessions.
func (c *Coordinator) Writes() *recent.Writes {
	return c.writes.Load()
}

// SetDrained sets the instances that get no new statement. A primary among them
// is replaced without interrupting a run.
func (c *Coordinator) SetDrained(instances []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.database.Instances {
		drained := slices.Contains(instances, c.database.Instances[i].Name)
		if drained && !c.drained[i] {
			c.drainedSince[i] = time.Now()
		}
		c.drained[i] = drained
	}
	if e := c.epoch.Load(); e != nil {
		e.SetDrained(c.drained)
	}
}

// Admit admits one run and returns the epoch that serves it. It waits while the
// primary is being replaced. The caller calls Release when the run has ended.
func (c *Coordinator) Admit(ctx context.Context) (*epoch.Epoch, error) {
	for {
		c.mu.Lock()
		if c.stopped || c.endErr != nil {
			c.mu.Unlock()
			return nil, fault.New(fault.NotCoordinator, c.host+" is no longer the steward of "+c.database.Name, "ask the present steward")
		}
		if e := c.epoch.Load(); !c.paused && !c.quiescing && e.Reason() == "" {
			c.active++
			c.mu.Unlock()
			return e, nil
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			f := fault.New(fault.NoPrimary, c.database.Name+" had no primary in time", "send the request again")
			return nil, f.WithRetryAfter(MaxBackoff).Wrap(ctx.Err())
		}
	}
}

// AcceptsRuns reports whether the instance at an index gets new runs: it is not drained, or
// has been for less than DrainLimit.
func (c *Coordinator) AcceptsRuns(index int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.drained[index] || time.Since(c.drainedSince[index]) < DrainLimit
}

// Release ends a run that Admit admitted.
func (c *Coordinator) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = max(c.active-1, 0)
	if c.active == 0 {
		c.notify()
	}
}

// Stop ends the coordinator at a moment without an admitted run. It holds new
// runs back for a short time while the admitted ones end, and admits them again
// when that takes longer, since a database without a coordinator would refuse
// all runs. When ctx ends first, the runs under way are interrupted.
func (c *Coordinator) Stop(ctx context.Context) {
	for wait := MinQuiesceWait; ; wait = min(wait*2, CatchUpTimeout) {
		c.setQuiescing(true)
		limited, cancel := context.WithTimeout(ctx, wait)
		over := c.waitIdle(limited) || ctx.Err() != nil
		cancel()
		if over {
			break
		}
		c.setQuiescing(false)
		sleep(ctx, QuiescePause)
	}
	c.mu.Lock()
	c.stopped = true
	c.active = 0
	c.notify()
	c.mu.Unlock()
}

// setEnd marks the coordinator as stopped; err tells why. Only the first error
// is kept.
func (c *Coordinator) setEnd(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.endErr == nil {
		c.endErr = err
	}
	c.notify()
}

// waitIdle waits until no run is admitted; false if ctx ended first.
func (c *Coordinator) waitIdle(ctx context.Context) bool {
	for {
		c.mu.Lock()
		active, changed := c.active, c.changed
		c.mu.Unlock()
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

// setQuiescing makes Admit wait while Stop quiesces, independently of setPaused.
func (c *Coordinator) setQuiescing(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quiescing = on
	c.notify()
}

// setPaused sets whether Admit waits because the primary is being replaced.
func (c *Coordinator) setPaused(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = on
	c.notify()
}

// notify wakes the goroutines that wait for a change; the caller holds mu.
func (c *Coordinator) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// isDrained reports whether the instance of that name gets no new statement.
func (c *Coordinator) isDrained(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.database.Instances {
		if c.database.Instances[i].Name == name {
			return c.drained[i]
		}
	}
	return false
}

// decision returns a decision of the coordinator to be logged.
func (c *Coordinator) decision(what, reason string, term uint64) declog.Decision {
	return declog.Decision{
		Decision: what,
		Reason:   reason,
		Database: c.database.Name,
		Term:     term,
		Host:     c.host,
	}
}
