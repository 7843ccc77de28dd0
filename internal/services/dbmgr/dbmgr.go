// Package dbmgr holds the coordinators of one host: it takes databases, runs
// their coordinators and hands databases over to other hosts.
package dbmgr

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/services/coord"
	"wasabislip.example/wasabislip/internal/services/exec"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Intervals and timeouts.
const (
	// ScanInterval is the interval at which a host checks the databases that it
	// does not serve; a jitter of up to half of it is added.
	ScanInterval = 500 * time.Millisecond
	// RedirectMaxAge is how long a term row that was read is used for
	// redirects. It also bounds the reading of a row.
	RedirectMaxAge = time.Second
	// AliveRowMaxAge is how long a candidate relies on a row whose coordinator
	// is alive before it reads the row again.
	AliveRowMaxAge = 10 * time.Second
	// ReleaseTimeout bounds the wait for the runs on a database that is handed
	// over while its host stays.
	ReleaseTimeout = time.Minute
	// MaxOffers is how often a database that was given up is offered.
	MaxOffers = 5
	// OfferPause is the pause between two offers.
	OfferPause = 200 * time.Millisecond
	// RetryAfter is how long callers are told to wait when this host is not
	// the coordinator.
	RetryAfter = 200 * time.Millisecond
)

// shardCount is the number of parts, each with a lock of its own, into which the
// databases are divided.
const shardCount = 16

// placement tells which hosts may serve a database and which hosts are alive.
type placement interface {
	Candidates(database string) []string
	Alive(host string) bool
	Answers(ctx context.Context, host, address string) bool
	Self() string
}

// handover offers a database that this host gave up to another host.
type handover interface {
	Offer(ctx context.Context, database, host string) error
}

// table reads the term rows.
type table interface {
	Get(ctx context.Context, class, name string) (record.Record, error)
}

// builder builds a coordinator and the executor of its statements.
type builder interface {
	Build(database group.Database) (*coord.Coordinator, *exec.Executor, error)
}

// servedDatabase is a database that this host serves.
type servedDatabase struct {
	coordinator *coord.Coordinator
	executor    *exec.Executor
	handingOff  atomic.Bool
}

// redirect is the host that a term row named, and when it was read.
type redirect struct {
	host string
	at   time.Time
}

// shard holds the databases and redirects of one part of the database names.
type shard struct {
	mu        sync.RWMutex
	databases map[string]*servedDatabase
	redirects map[string]redirect
}

// Manager takes, serves and hands over the databases of one host.
type Manager struct {
	table     table
	placement placement
	handover  handover
	builder   builder
	seed      maphash.Seed
	shards    [shardCount]shard
	wake      chan struct{}
	done      chan struct{}

	mu       sync.Mutex
	ctx      context.Context //nolint:containedctx // coordinators outlive the calls that start them
	spec     *spec.Spec
	draining bool
	running  conc.WaitGroup
}

// New returns a manager without databases; see Apply and Run.
func New(t table, p placement, h handover, b builder) *Manager {
	m := &Manager{
		table:     t,
		placement: p,
		handover:  h,
		builder:   b,
		seed:      maphash.MakeSeed(),
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	for i := range m.shards {
		m.shards[i].databases = make(map[string]*servedDatabase)
		m.shards[i].redirects = make(map[string]redirect)
	}
	return m
}

// Done is closed once Run has returned.
func (m *Manager) Done() <-chan struct{} {
	return m.done
}

// Apply sets the configuration in force: the databases and what is drained. A
// database that was removed, or whose description changed, is given up once its
// runs have ended.
func (m *Manager) Apply(s *spec.Spec) {
	m.mu.Lock()
	m.spec = s
	m.mu.Unlock()
	for _, name := range m.DatabaseNames() {
		served := m.find(name)
		if served == nil {
			continue
		}
		d := s.Database(name)
		if d == nil || !sameExceptDrains(d, served.coordinator.Database()) {
			m.startHandOff(name, "database-described-anew")
			continue
		}
		served.coordinator.SetDrained(drainedInstances(s, d))
	}
	m.Wake()
}

// SetDraining sets whether this host takes no more databases. Those that it
// serves are handed over as soon as another host may serve them.
func (m *Manager) SetDraining(on bool) {
	m.mu.Lock()
	m.draining = on
	m.mu.Unlock()
	m.Wake()
}

// sameExceptDrains reports whether two descriptions of a database differ in
// nothing but what is drained.
func sameExceptDrains(a, b *group.Database) bool {
	return slices.EqualFunc(a.Instances, b.Instances, func(x, y inst.Instance) bool {
		x.Drained, y.Drained = false, false
		return x == y
	})
}

// drainedInstances names the instances of d that get no new statement.
func drainedInstances(s *spec.Spec, d *group.Database) []string {
	var names []string
	for i := range d.Instances {
		if s.InstanceDrained(&d.Instances[i]) {
			names = append(names, d.Instances[i].Name)
		}
	}
	return names
}

// Executor returns the executor of database on this host, or
// fault.NotCoordinator with the host to ask.
func (m *Manager) Executor(ctx context.Context, database string) (*exec.Executor, error) {
	if served := m.find(database); served != nil {
		return served.executor, nil
	}
	f := fault.New(fault.NotCoordinator, m.placement.Self()+" is not the steward of "+database, "ask the present steward").WithRetryAfter(RetryAfter)
	f.Coordinator = m.findCoordinator(ctx, database)
	m.Wake()
	return nil, f
}

// DatabaseNames returns the names of the databases that this host serves.
func (m *Manager) DatabaseNames() []string {
	var names []string
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for name := range s.databases {
			names = append(names, name)
		}
		s.mu.RUnlock()
	}
	return names
}

func (m *Manager) shard(database string) *shard {
	return &m.shards[maphash.String(m.seed, database)%shardCount]
}

func (m *Manager) find(database string) *servedDatabase {
	s := m.shard(database)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.databases[database]
}

// Wake makes Run check the databases soon, because hosts' states changed.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}
