// Package pools holds this host's connection pools, one for each instance.
package pools

import (
	"context"
	"math"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/models/holder"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/sched"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/link"
)

// trimInterval is how often idle connections are closed: half of the shortest
// time that an idle one is kept.
const trimInterval = 125 * time.Millisecond

// config gives the instances and the limits in force.
type config interface {
	Server(id string) (server.Server, bool)
	Policy() *policy.Policy
}

// fleet knows how many hosts share the connections to the instances of a data
// centre.
type fleet interface {
	CountPoolHosts(dataCentre string) int
}

// dialer opens connections to instances.
type dialer interface {
	Dial(ctx context.Context, address string) (link.Link, error)
}

// observer is told of what goes wrong on connections; see package pconn.
type observer interface {
	RecordMismatch(instance, request, reason string, r *reply.Reply)
}

// Pools holds the pools. It is safe for concurrent use.
type Pools struct {
	// Observer is told of what goes wrong on connections; it may be nil. It is set before
	// the first pool is made.
	Observer observer

	config config
	fleet  fleet
	dialer dialer

	mu    sync.Mutex
	pools map[string]*entry
	// reportsLoad says that the pools measure the load that they put on instances.
	reportsLoad bool
	// opened, refused and levels are the counts of the pools that were closed.
	opened  int64
	refused int64
	levels  [sched.Levels]sched.Counts
}

// entry is a pool with the instance that it was made for.
type entry struct {
	pool   *conns.Pool
	server server.Server
}

// New returns an empty set of pools.
func New(c config, f fleet, dial dialer) *Pools {
	return &Pools{
		config: c,
		fleet:  f,
		dialer: dial,
		pools:  map[string]*entry{},
	}
}

// ReportLoad has the pools report the load that they put on instances. It is called
// before the first pool is made.
func (p *Pools) ReportLoad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportsLoad = true
}

// Pool returns the pool of an instance. It makes a new one if the instance is new
// here, was restarted, or has changed its address or service.
func (p *Pools) Pool(s server.Server) *conns.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.pools[s.ID]
	if ok && e.server.Address == s.Address && e.server.Service == s.Service && e.server.StartedMs == s.StartedMs {
		return e.pool
	}
	if ok {
		p.retire(e)
	}
	e = &entry{
		pool:   conns.New(s, p.dialer),
		server: s,
	}
	e.pool.Observer = p.Observer
	if p.reportsLoad {
		e.pool.ReportLoad()
	}
	p.pools[s.ID] = e
	p.resize(e)
	return e.pool
}

// retire closes a pool and keeps its counts.
func (p *Pools) retire(e *entry) {
	_, opened, refused := e.pool.Counts()
	p.opened += opened
	p.refused += refused
	for n := range p.levels {
		c, _ := e.pool.LevelCounts(n)
		p.levels[n].Add(c)
	}
	e.pool.Close()
}

// resize sets a pool's size to this host's share of the instance's connections. It
// also limits the rate at which an instance that has just started gets
// statements, until its caches are warm.
func (p *Pools) resize(e *entry) {
	limits := p.config.Policy()
	if limits == nil {
		return
	}
	sharing := p.fleet.CountPoolHosts(e.server.DataCentre)
	limit := limits.ConnectionLimit[e.server.Service]
	if sharing != math.MaxInt {
		sharing = holder.Count(limit, sharing)
	}
	e.pool.Resize(limit, sharing)
	e.pool.SetAdmission(limits.HasAdmission())
	warmupRate := 0.0
	if s, ok := p.config.Server(e.server.ID); ok && s.ColdFor > 0 {
		warmupRate = limits.WarmupRate[s.Service] / float64(sharing)
	}
	e.pool.SetWarmupRate(warmupRate)
}

// Run trims the pools at intervals until ctx is done.
func (p *Pools) Run(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.trim()
		}
	}
}

// trim closes the pools of instances that are gone, resizes the others and closes
// their idle connections.
func (p *Pools) trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.pools {
		if _, ok := p.config.Server(id); !ok {
			p.retire(e)
			delete(p.pools, id)
			continue
		}
		p.resize(e)
		e.pool.CloseIdle()
	}
}

// Counts returns how many connections are open, how many have been opened in all,
// and how many statements were refused since none was free.
func (p *Pools) Counts() (open int, opened, refused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	opened = p.opened
	refused = p.refused
	for _, e := range p.pools {
		n, o, r := e.pool.Counts()
		open += n
		opened += o
		refused += r
	}
	return open, opened, refused
}

// LevelCounts returns the counts of the statements of a level that were admitted by
// priority and deadline, and how many wait now.
func (p *Pools) LevelCounts(level int) (c sched.Counts, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c = p.levels[level]
	for _, e := range p.pools {
		counts, n := e.pool.LevelCounts(level)
		c.Add(counts)
		waiting += n
	}
	return c, waiting
}
