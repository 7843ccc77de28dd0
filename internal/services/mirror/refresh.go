package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	// readersDuty is the name under which hosts are ranked for reading the
	// tables from the store, and readerCount the number that do; the others get
	// copies from them by gossip, which ranks hosts by the same name. There are
	// two, so that the copies stay fresh when one stops.
	readersDuty = "readers"
	readerCount = 2
	// callTimeout bounds one read of the store. It usually answers within
	// milliseconds, and can be 60 times slower for a while.
	callTimeout = 1500 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call: the
	// platform charges for each call, also for a refused one.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 1500 * time.Millisecond
	// checkInterval is how often a host checks the age of its copies.
	checkInterval = 100 * time.Millisecond
)

// refreshPolicy tells how and when a table is read from the store.
type refreshPolicy struct {
	// interval is the pause between two calls of a reader.
	interval time.Duration
	// longPoll is how long the store holds a call open until something
	// changes; 0 for tables that are read whole at each call.
	longPoll time.Duration
	// staleAfter is the age of the copy from which on a host that is no reader
	// reads the store itself.
	staleAfter time.Duration
}

var refreshPolicies = map[string]refreshPolicy{
	// A change ends the long poll at once, and an unchanged copy ages until it
	// ends. A new configuration must be in force within the time limit for
	// configurations, which is 3 s or more.
	Operators: {
		longPoll:   1200 * time.Millisecond,
		staleAfter: 2400 * time.Millisecond,
	},
	// Each call renews the leases of primaries, which count from this copy's
	// as-of time.
	//
	// The interval bounds the calls while many hosts register at once.
	Fleet: {
		interval:   50 * time.Millisecond,
		longPoll:   500 * time.Millisecond,
		staleAfter: 1400 * time.Millisecond,
	},
	// Instances write about once a second each, so that a long poll would
	// return at once.
	Servers: {
		interval:   900 * time.Millisecond,
		staleAfter: 2100 * time.Millisecond,
	},
}

// storeHealth remembers whether the store answers this host.
type storeHealth struct {
	mu     sync.Mutex
	failed bool
	since  time.Duration
}

// record takes the result of a call, and logs when the store stops or starts to
// answer.
func (h *storeHealth) record(name string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if (err != nil) == h.failed {
		return
	}
	now := uptime.Now()
	if err != nil {
		klog.InfoS("the platform's store is lost", "table", name, "err", err.Error())
	} else {
		klog.InfoS("the platform's store is back", "table", name, "after", (now - h.since).String())
	}
	h.failed = err != nil
	h.since = now
}

// StoreAnswers reports whether the last call to the store succeeded.
func (m *Mirror) StoreAnswers() bool {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	return !m.store.failed
}

// Run refreshes the copies until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var parts conc.WaitGroup
	for name := range m.names {
		parts.Go(func() {
			guard.Keep(ctx, "refresh-"+name, func(ctx context.Context) {
				m.refreshTable(ctx, name)
			})
		})
	}
	parts.Go(func() {
		guard.Keep(ctx, "expire", func(ctx context.Context) {
			for pause(ctx, checkInterval) {
				m.expire()
			}
		})
	})
	parts.Wait()
}

// refreshTable reads one table from the store while this host is a reader, or while
// its copy is stale.
func (m *Mirror) refreshTable(ctx context.Context, name string) {
	p := refreshPolicies[name]
	retry := minRetryPause
	for ctx.Err() == nil {
		if !m.mustRead(name) {
			pause(ctx, checkInterval)
			continue
		}
		err := m.Refresh(ctx, name)
		if ctx.Err() != nil {
			return
		}
		m.store.record(name, err)
		if err != nil {
			pause(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, maxRetryPause)
			continue
		}
		retry = minRetryPause
		pause(ctx, max(p.interval, m.emptyTablePause(name)))
	}
}

// mustRead reports whether this host reads a table from the store itself. A host that
// has just started waits for other hosts' copies first: when a whole fleet starts, all
// its hosts would take themselves for readers, again and again while the others
// register. A copy of Fleet from before the start is read anew, since no lease counts
// from it.
func (m *Mirror) mustRead(name string) bool {
	if name == Fleet && m.isFromBeforeStart(name) {
		return true
	}
	if m.ranker.Joining() {
		return false
	}
	return m.ranker.Rank(readersDuty) < readerCount || m.Age(name) >= refreshPolicies[name].staleAfter
}

// isFromBeforeStart reports whether the copy of a table is older than this process.
func (m *Mirror) isFromBeforeStart(name string) bool {
	asOf := m.AsOf(name)
	return asOf > 0 && asOf < m.started
}

// emptyTablePause returns the least pause before the next read: longer for a table
// without any version yet, which can't be long-polled.
func (m *Mirror) emptyTablePause(name string) time.Duration {
	if m.Version(name) == 0 {
		return minRetryPause
	}
	return 0
}

// Refresh asks the store once for the newest state of a table. A table that is
// long-polled is read whole when the store no longer has the changes since this
// copy's version.
func (m *Mirror) Refresh(ctx context.Context, name string) error {
	p := refreshPolicies[name]
	version := m.Version(name)
	asOf := uptime.Now()
	if version == 0 || p.longPoll == 0 || m.isFromBeforeStart(name) {
		return m.read(ctx, name)
	}
	rows, newest, err := m.source.Watch(ctx, m.names[name], version, p.longPoll)
	if err == nil {
		if len(rows) == 0 && uptime.Now()-asOf >= p.longPoll {
			// The store held the call for the whole wait before it answered that
			// nothing had changed, so that the copy was current at its end.
			asOf += p.longPoll
		}
		m.Patch(name, rows, version, newest, asOf)
		return nil
	}
	if f := fault.As(err); f != nil || errors.Is(err, context.Canceled) {
		return err
	}
	klog.InfoS("the changes of a table can't be watched; reading the whole table", "table", name, "version", version, "err", err.Error())
	return m.read(ctx, name)
}

// Reread reads a whole table from the store. What was read is in force when it
// returns: another part may have put it into the copy before, and not have derived the
// snapshot yet.
func (m *Mirror) Reread(ctx context.Context, name string) error {
	if err := m.read(ctx, name); err != nil {
		return err
	}
	if !m.isBuilt(name) {
		m.rebuild()
	}
	return nil
}

// read reads a whole table and replaces the copy.
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

// pause waits for d; it returns false if ctx has ended.
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
