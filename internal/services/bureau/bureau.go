// Package bureau holds all stewardships of one host.
package bureau

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/services/exec"
	"wasabislip.example/wasabislip/internal/services/tenure"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Intervals of placement.
const (
	// LookEvery is the interval at which a candidate looks at databases that
	// it does not hold; a jitter of half of it is added.
	LookEvery = 500 * time.Millisecond
	// RowAge is how long a term row that was read is trusted for redirects.
	RowAge = time.Second
	// AliveRowAge is how long a candidate trusts a row whose steward is alive
	// before it reads the row again.
	AliveRowAge = 10 * time.Second
	// ReleaseLimit bounds the wait for the runs of a stewardship that is given
	// up while its host stays.
	ReleaseLimit = time.Minute
	// OfferTries is how often a database that was given up is offered.
	OfferTries = 5
	// OfferPause is the pause between two offers.
	OfferPause = 200 * time.Millisecond
	// RetryAfter is what callers are told to wait without a steward.
	RetryAfter = 200 * time.Millisecond
)

const shards = 16

type placement interface {
	Candidates(database string) []string
	Alive(host string) bool
	Answers(ctx context.Context, host, address string) bool
	Self() string
}

type handover interface {
	Offer(ctx context.Context, database, host string) error
}

type table interface {
	Get(ctx context.Context, class, name string) (record.Record, error)
}

type builder interface {
	Build(database group.Database) (*tenure.Steward, *exec.Runner, error)
}

// held is one stewardship of this host.
type servedDatabase struct {
	coordinator   *tenure.Steward
	runner    *exec.Runner
	releasing atomic.Bool
}

// seen is a redirect read from the table.
type redirect struct {
	host string
	at   time.Time
}

type shard struct {
	mu   sync.RWMutex
	services map[string]*servedDatabase
	redirects map[string]redirect
}

// Bureau takes, serves and gives up the stewardships of one host.
type Bureau struct {
	table     table
	placement placement
	handover  handover
	builder   builder
	seed      maphash.Seed
	shards    [shards]shard
	wake      chan struct{}
	done      chan struct{}

	mu       sync.Mutex
	ctx      context.Context //nolint:containedctx // stewardships outlive the calls that start them
	spec     *spec.Spec
	draining  bool
	running conc.WaitGroup
}

// New returns a bureau without databases; see Apply and Run.
func New(t table, p placement, h handover, b builder) *Bureau {
	u := &Bureau{
		table:     t,
		placement: p,
		handover:  h,
		builder:   b,
		seed:      maphash.MakeSeed(),
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	for i := range u.shards {
		u.shards[i].services = make(map[string]*servedDatabase)
		u.shards[i].redirects = make(map[string]redirect)
	}
	return u
}

// Done is closed once Run has returned.
func (b *Bureau) Done() <-chan struct{} {
	return b.done
}

// Apply sets the configuration in force: the databases and what is drained.
// A stewardship of a database that was removed or described anew ends once
// its runs have.
func (b *Bureau) Apply(s *spec.Spec) {
	b.mu.Lock()
	b.spec = s
	b.mu.Unlock()
	for _, name := range b.Stewards() {
		h := b.find(name)
		if h == nil {
			continue
		}
		d := s.Database(name)
		if d == nil || !same(d, h.coordinator.Database()) {
			b.startHandOff(name, "database-described-anew")
			continue
		}
		h.coordinator.Drain(drained(s, d))
	}
	b.Wake()
}

// Drain sets whether this host takes no further databases. Those that it has
// are given up while another host may serve them.
func (b *Bureau) Drain(on bool) {
	b.mu.Lock()
	b.draining = on
	b.mu.Unlock()
	b.Wake()
}

// same reports whether two descriptions of a database differ in nothing but
// what is drained.
func same(a, b *group.Database) bool {
	return slices.EqualFunc(a.Instances, b.Instances, func(x, y inst.Instance) bool {
		x.Drained, y.Drained = false, false
		return x == y
	})
}

// drained names the instances of d that get no new statement.
func drained(s *spec.Spec, d *group.Database) []string {
	var names []string
	for i := range d.Instances {
		if s.Drained(&d.Instances[i]) {
			names = append(names, d.Instances[i].Name)
		}
	}
	return names
}

// Runner returns what runs statements of database on this host, or
// fault.NotSteward with the host to ask.
func (b *Bureau) Runner(ctx context.Context, database string) (*exec.Runner, error) {
	if h := b.find(database); h != nil {
		return h.runner, nil
	}
	f := fault.New(fault.NotSteward, b.placement.Self()+" is not the steward of "+database, "ask the present steward").After(RetryAfter)
	f.Steward = b.findCoordinator(ctx, database)
	b.Wake()
	return nil, f
}

// Stewards returns the names of the databases that this host serves.
func (b *Bureau) Stewards() []string {
	var names []string
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.RLock()
		for name := range s.services {
			names = append(names, name)
		}
		s.mu.RUnlock()
	}
	return names
}

func (b *Bureau) shard(database string) *shard {
	return &b.shards[maphash.String(b.seed, database)%shards]
}

func (b *Bureau) find(database string) *servedDatabase {
	s := b.shard(database)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[database]
}

// Wake makes Run look at the databases soon, because hosts' states changed.
func (b *Bureau) Wake() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}
