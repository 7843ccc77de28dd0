// Package depot holds this host's pools of connections, one an instance.
package depot

import (
	"context"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/link"
)

// trimEvery is the time between two looks for idle connections, half of the
// shortest time that one is kept.
const trimEvery = 125 * time.Millisecond

// directory tells which instances and limits are in force.
type directory interface {
	Server(id string) (server.Server, bool)
	Policy() *policy.Policy
}

// fleet tells how many hosts share the connections to the instances of a data
// centre.
type fleet interface {
	Sharing(dataCentre string) int
}

// dialer opens connections to instances.
type dialer interface {
	Dial(ctx context.Context, address string) (link.Link, error)
}

// Depot holds the pools. It is safe for concurrent use.
type Depot struct {
	directory directory
	fleet     fleet
	dialer    dialer

	mu    sync.Mutex
	pools map[string]*entry
	// closed counts what pools that are gone had opened and refused.
	opened  int64
	refused int64
}

type entry struct {
	pool   *conns.Pool
	server server.Server
}

// New returns a depot without pools.
func New(d directory, f fleet, dial dialer) *Depot {
	return &Depot{
		directory: d,
		fleet:     f,
		dialer:    dial,
		pools:     map[string]*entry{},
	}
}

// Pool returns the pool of an instance.
func (d *Depot) Pool(s server.Server) *conns.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.pools[s.ID]
	if ok && e.server.Address == s.Address && e.server.Service == s.Service && e.server.Born == s.Born {
		return e.pool
	}
	if ok {
		d.retire(e)
	}
	e = &entry{
		pool:   conns.New(s, d.dialer),
		server: s,
	}
	d.pools[s.ID] = e
	d.resize(e)
	return e.pool
}

func (d *Depot) retire(e *entry) {
	_, opened, refused := e.pool.Counts()
	d.opened += opened
	d.refused += refused
	e.pool.Close()
}

func (d *Depot) resize(e *entry) {
	p := d.directory.Policy()
	if p == nil {
		return
	}
	sharing := d.fleet.Sharing(e.server.DataCentre)
	e.pool.Resize(p.ConnectionLimit[e.server.Service], sharing)
	warm := 0.0
	if s, ok := d.directory.Server(e.server.ID); ok && s.ColdFor > 0 {
		warm = p.WarmRate[s.Service] / float64(sharing)
	}
	e.pool.Warm(warm)
}

// Run trims the pools until ctx ends.
func (d *Depot) Run(ctx context.Context) {
	t := time.NewTicker(trimEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.trim()
		}
	}
}

func (d *Depot) trim() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.pools {
		if _, ok := d.directory.Server(id); !ok {
			d.retire(e)
			delete(d.pools, id)
			continue
		}
		d.resize(e)
		e.pool.Trim()
	}
}

// Counts returns how many connections are open, how many were opened in all
// and how often a statement found none.
func (d *Depot) Counts() (open int, opened, refused int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	opened = d.opened
	refused = d.refused
	for _, e := range d.pools {
		n, o, r := e.pool.Counts()
		open += n
		opened += o
		refused += r
	}
	return open, opened, refused
}
