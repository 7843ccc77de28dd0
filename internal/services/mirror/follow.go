package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	// readersDuty ranks the hosts that read the tables for all, and readers is
	// how many do; the others get copies from them. Two, so that one that
	// stops is not missed. Gossip knows them by the same duty.
	readersDuty = "readers"
	readers     = 2
	// callTimeout bounds one read of the store, which usually answers in
	// milliseconds and may be 60 times slower for a while.
	callTimeout = 1500 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call; each call
	// is charged, also a refused one.
	retryLeast = 200 * time.Millisecond
	retryMost  = 1500 * time.Millisecond
	// checkEvery is how often a host looks whether its copies are fresh.
	checkEvery = 100 * time.Millisecond
)

// pace is how a table is followed.
type pace struct {
	// every is the time between two calls of a reader.
	every time.Duration
	// wait is how long the store holds a call of a feed without a change; 0
	// for tables that are read whole each time.
	wait time.Duration
	// stale is the age of the copy at which any host reads the store itself.
	stale time.Duration
}

var paces = map[string]pace{
	// A change ends the wait at once; an unchanged copy ages meanwhile. Changes
	// are needed within the bound for configurations, 3 s and more.
	Operators: {
		wait:  1200 * time.Millisecond,
		stale: 2400 * time.Millisecond,
	},
	// Each call renews the leases of primaries.
	Fleet: {
		wait:  500 * time.Millisecond,
		stale: 1400 * time.Millisecond,
	},
	// Instances write every second or so; a feed would answer at once.
	Servers: {
		every: 900 * time.Millisecond,
		stale: 2100 * time.Millisecond,
	},
}

// condition tells whether the store answers this host.
type condition struct {
	mu     sync.Mutex
	failed bool
	since  time.Duration
}

// note logs the loss and the return of the store.
func (c *condition) note(name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (err != nil) == c.failed {
		return
	}
	now := uptime.Now()
	if err != nil {
		klog.InfoS("the platform's store is lost", "table", name, "err", err.Error())
	} else {
		klog.InfoS("the platform's store is back", "table", name, "after", (now - c.since).String())
	}
	c.failed = err != nil
	c.since = now
}

// StoreAnswers reports whether the last call of the store succeeded.
func (m *Mirror) StoreAnswers() bool {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	return !m.store.failed
}

// Run keeps the copies fresh until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var parts conc.WaitGroup
	for name := range m.names {
		parts.Go(func() {
			m.keep(ctx, name)
		})
	}
	parts.Go(func() {
		for pause(ctx, checkEvery) {
			m.expire()
		}
	})
	parts.Wait()
}

// keep follows one table: as a reader, or when the copy has grown old.
func (m *Mirror) keep(ctx context.Context, name string) {
	p := paces[name]
	retry := retryLeast
	for ctx.Err() == nil {
		reader := m.ranker.Rank(readersDuty) < readers
		if !reader && m.Age(name) < p.stale {
			pause(ctx, checkEvery)
			continue
		}
		err := m.Refresh(ctx, name)
		if ctx.Err() != nil {
			return
		}
		m.store.note(name, err)
		if err != nil {
			pause(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, retryMost)
			continue
		}
		retry = retryLeast
		pause(ctx, max(p.every, m.untilFirst(name)))
	}
}

// untilFirst is the pause between two reads of a table that nobody wrote yet.
func (m *Mirror) untilFirst(name string) time.Duration {
	if m.Version(name) == 0 {
		return retryLeast
	}
	return 0
}

// Refresh asks the store once for the newest state of a table.
func (m *Mirror) Refresh(ctx context.Context, name string) error {
	p := paces[name]
	version := m.Version(name)
	asOf := uptime.Now()
	if version == 0 || p.wait == 0 {
		return m.read(ctx, name)
	}
	rows, newest, err := m.source.Follow(ctx, m.names[name], version, p.wait)
	if err == nil {
		if len(rows) == 0 && uptime.Now()-asOf >= p.wait {
			// The store had the call for that long before it found nothing.
			asOf += p.wait
		}
		m.Patch(name, rows, version, newest, asOf)
		return nil
	}
	if f := fault.As(err); f != nil || errors.Is(err, context.Canceled) {
		return err
	}
	klog.InfoS("the history of a table is lost; it is read anew", "table", name, "version", version, "err", err.Error())
	return m.read(ctx, name)
}

// Reread reads a table whole.
func (m *Mirror) Reread(ctx context.Context, name string) error {
	return m.read(ctx, name)
}

func (m *Mirror) read(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asOf := uptime.Now()
	rows, version, err := m.source.Read(ctx, m.names[name])
	if err != nil {
		return err
	}
	m.Replace(name, rows, version, asOf)
	return nil
}

// pause waits for d; false once ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
