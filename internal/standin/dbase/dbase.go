// Package dbase is an in-memory database instance that speaks the PostgreSQL
// protocol, as docs/design/contracts.md describes under "Database instances".
//
// Three connections beyond the limit are reserved for clients that don't send
// the parameter ledger.term. Replication connections don't count to the limit.
package dbase

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/standin/dbcfg"
	"wasabislip.example/wasabislip/internal/standin/engine"
	"wasabislip.example/wasabislip/internal/standin/inject"
	"wasabislip.example/wasabislip/internal/standin/locks"
)

const reservedConnections = 3

// Instance is one database instance.
type Instance struct {
	cfg    dbcfg.Config
	engine *engine.Engine
	locks  *locks.Locks
	faults *inject.Faults
	slots  chan struct{}
	ctx    context.Context
	stop   context.CancelFunc
	tasks  conc.WaitGroup
	done   chan struct{}

	mu             sync.Mutex
	closed         bool
	listeners      []net.Listener
	conns          map[net.Conn]struct{}
	clients        map[uint32]*client
	lastID         uint32
	receivedParams map[string]bool
	replication    replication
}

// New returns an instance without a role.
func New(cfg dbcfg.Config) *Instance {
	cfg = cfg.WithDefaults()
	faults := &inject.Faults{}
	faults.SetDelay(inject.ShipDelay, cfg.ShipDelay)
	faults.SetDelay(inject.ApplyLag, cfg.ApplyLag)
	ctx, stop := context.WithCancel(context.Background())
	return &Instance{
		cfg:            cfg,
		engine:         engine.New(faults),
		locks:          locks.New(),
		faults:         faults,
		slots:          make(chan struct{}, cfg.Slots),
		ctx:            ctx,
		stop:           stop,
		done:           make(chan struct{}),
		conns:          map[net.Conn]struct{}{},
		clients:        map[uint32]*client{},
		receivedParams: map[string]bool{},
	}
}

// Serve accepts connections until Close is called or the listener fails.
func (i *Instance) Serve(l net.Listener) error {
	if !i.addListener(l) {
		return errors.Join(net.ErrClosed, l.Close())
	}
	for i.ctx.Err() == nil {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			return err
		}
		if !i.start(func() { i.ServeConn(conn) }) {
			_ = conn.Close()
		}
	}
	return nil
}

func (i *Instance) addListener(l net.Listener) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	i.listeners = append(i.listeners, l)
	return true
}

// start runs task in the background, unless the instance is closed.
func (i *Instance) start(task func()) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return false
	}
	i.tasks.Go(task)
	return true
}

// SetApplyLag sets how long received entries stay invisible to reads.
func (i *Instance) SetApplyLag(d time.Duration) {
	i.faults.SetDelay(inject.ApplyLag, d)
}

// IsPrimary reports whether the instance accepts writes.
func (i *Instance) IsPrimary() bool {
	return i.engine.IsPrimary()
}

// ReceivedParameters returns the start-up parameters and passwords that clients
// sent, as sorted name=value lines without duplicates.
func (i *Instance) ReceivedParameters() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Sorted(maps.Keys(i.receivedParams))
}

// Close closes the listeners and connections, and waits for the background work.
func (i *Instance) Close() {
	i.mu.Lock()
	first := !i.closed
	i.closed = true
	i.stop()
	for _, l := range i.listeners {
		_ = l.Close()
	}
	for c := range i.conns {
		_ = c.Close()
	}
	i.mu.Unlock()
	if !first {
		<-i.done
		return
	}
	i.tasks.Wait()
	close(i.done)
}

// Done returns a channel that is closed once Close has ended.
func (i *Instance) Done() <-chan struct{} {
	return i.done
}
