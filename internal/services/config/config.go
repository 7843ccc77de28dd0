// Package config keeps the operators' configuration up to date on a host: it learns
// of new versions from the platform and from other hosts, and puts them in force.
//
// The platform's table has one row that names the newest version and its hash; the
// object store has the bodies by their hashes.
package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/cfgver"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

const (
	defaultMaxAge   = 6 * time.Second
	defaultInterval = time.Second
	// defaultReadsPerSecond is for all hosts together.
	defaultReadsPerSecond = 200.0
	// fetchRetry is the pause after a call that failed.
	fetchRetry = 250 * time.Millisecond
	// requestTimeout bounds one read of the row, and one fetch of a body.
	requestTimeout = 3 * time.Second
)

// table is the platform's table.
type table interface {
	Get(ctx context.Context, class, name string) (record.Record, error)
	Put(ctx context.Context, rec record.Record, expect uint64) error
}

// objects is the platform's object store.
type objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// hosts are the other hosts.
type hosts interface {
	// Size returns how many hosts are known.
	Size() int
	// ReachesMajority reports whether a majority of the known hosts was heard
	// within d.
	ReachesMajority(d time.Duration) bool
	// Fetch returns the body of a version from a host that has it.
	Fetch(ctx context.Context, version uint64) ([]byte, error)
}

// Manager keeps the newest configuration in force on this host. Set the exported
// fields, then call Start once. It is safe for concurrent use.
type Manager struct {
	// Table has the row that names the newest version.
	Table table
	// Objects has the bodies, by hash.
	Objects objects
	// Hosts are the other hosts; nil on a host that has none.
	Hosts hosts
	// MaxAge is how long the host serves after it was last confirmed that the
	// version in force is the newest.
	MaxAge time.Duration
	// Interval is the mean time between two reads of the row in a small fleet.
	Interval time.Duration
	// ReadsPerSecond bounds the reads of the row by all hosts together.
	ReadsPerSecond float64

	mu            sync.Mutex
	state         cfgver.State
	row           row
	newest        storedBody
	rejected      uint64
	changed       chan struct{}
	newestChanged chan struct{}

	current        atomic.Pointer[snapshot]
	fetchRequested chan struct{}
	done           chan struct{}
}

// snapshot is one version in force.
type snapshot struct {
	version uint64
	hash    string
	body    []byte
	spec    *spec.Spec
	keys    keyIndex
}

// storedBody is the newest body that this host has, whether in force or not.
type storedBody struct {
	version uint64
	hash    string
	body    []byte
}

// Start keeps the configuration up to date in the background until ctx ends; Done
// tells when all work has ended.
func (m *Manager) Start(ctx context.Context) {
	m.setDefaults()
	m.fetchRequested = make(chan struct{}, 1)
	m.done = make(chan struct{})
	go func() {
		defer close(m.done)
		var wg conc.WaitGroup
		wg.Go(func() { guard.Keep(ctx, "read-configuration", m.readLoop) })
		wg.Go(func() { guard.Keep(ctx, "fetch-configuration", m.fetchLoop) })
		wg.Wait()
	}()
}

// setDefaults sets the fields that were left empty.
func (m *Manager) setDefaults() {
	if m.MaxAge <= 0 {
		m.MaxAge = defaultMaxAge
	}
	if m.Interval <= 0 {
		m.Interval = defaultInterval
	}
	if m.ReadsPerSecond <= 0 {
		m.ReadsPerSecond = defaultReadsPerSecond
	}
	m.mu.Lock()
	m.state.MaxStaleness = m.MaxAge
	m.mu.Unlock()
}

// Done is closed once the work that Start began has ended.
func (m *Manager) Done() <-chan struct{} {
	return m.done
}

// Current returns the configuration in force and its version; nil and 0 before
// the first.
func (m *Manager) Current() (*spec.Spec, uint64) {
	s := m.current.Load()
	if s == nil {
		return nil, 0
	}
	return s.spec, s.version
}

// CurrentBody returns the version in force with its hash and body; 0 before the
// first.
func (m *Manager) CurrentBody() (version uint64, hash string, body []byte) {
	s := m.current.Load()
	if s == nil {
		return 0, "", nil
	}
	return s.version, s.hash, s.body
}

// NewestBody returns the newest version whose body this host has. It is passed on to
// other hosts before it is checked and in force here, so that it reaches all hosts
// sooner.
func (m *Manager) NewestBody() (version uint64, hash string, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest.version, m.newest.hash, m.newest.body
}

// NewestBodyChanged returns a channel that is closed at the next change of
// NewestBody.
func (m *Manager) NewestBodyChanged() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.newestChanged == nil {
		m.newestChanged = make(chan struct{})
	}
	return m.newestChanged
}

// storeBody stores a body, whose hash was checked, unless a newer one is stored.
func (m *Manager) storeBody(version uint64, hash string, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version <= m.newest.version {
		return
	}
	m.newest = storedBody{
		version: version,
		hash:    hash,
		body:    body,
	}
	if m.newestChanged != nil {
		close(m.newestChanged)
		m.newestChanged = nil
	}
}

// Operator returns the operator who applied a version, if it is the newest one that
// this host has read from the platform's row; else an empty string.
func (m *Manager) Operator(version uint64) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.row.Version != version {
		return ""
	}
	return m.row.Operator
}

// Changed returns a channel that is closed at the next change of the configuration
// in force.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// Newest returns the newest version that is known, its hash, and how long ago a host
// read it from the platform's row.
func (m *Manager) Newest() (version uint64, hash string, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Newest, m.state.NewestHash, time.Since(m.state.ReadAt)
}

// Observe takes another host's report of the newest version; age is how long ago a
// host read it from the row.
func (m *Manager) Observe(version uint64, hash string, age time.Duration) {
	m.observe(version, hash, time.Now().Add(-max(age, 0)))
}

// observe records the version that the row named at readAt, and requests a fetch if it
// is newer than the one in force.
func (m *Manager) observe(version uint64, hash string, readAt time.Time) {
	m.mu.Lock()
	fetch := m.state.Observe(version, hash, readAt)
	m.mu.Unlock()
	if fetch && m.fetchRequested != nil {
		select {
		case m.fetchRequested <- struct{}{}:
		default:
		}
	}
}

// CheckConfirmed returns a fault of kind fault.ConfigUnconfirmed if neither the
// platform nor a majority of hosts has confirmed within MaxAge that the version in
// force is the newest.
func (m *Manager) CheckConfirmed() error {
	m.mu.Lock()
	version := m.state.Version
	confirmed := m.state.Confirmed()
	late := m.state.Overdue()
	m.mu.Unlock()
	switch {
	case version == 0:
		return unconfirmed("no configuration is in force on this host yet")
	case confirmed:
		return nil
	case late:
		return unconfirmed("a newer configuration is known but could not be fetched")
	case m.Hosts != nil && m.Hosts.ReachesMajority(m.MaxAge):
		return nil
	}
	return unconfirmed("neither the platform nor a majority of hosts confirmed the configuration")
}

func unconfirmed(reason string) error {
	return fault.New(
		fault.Unconfirmed,
		reason,
		"connect again, to reach another host",
	).WithRetryAfter(time.Second)
}

// readLoop reads the version row again and again.
func (m *Manager) readLoop(ctx context.Context) {
	for {
		m.read(ctx)
		if !sleep(ctx, m.pause()) {
			return
		}
	}
}

// pause returns the time until the next read, with a random jitter. It is longer in a
// large fleet, so that all hosts together stay within ReadsPerSecond.
func (m *Manager) pause() time.Duration {
	d := m.Interval
	if m.Hosts != nil {
		d = max(d, time.Duration(float64(m.Hosts.Size())/m.ReadsPerSecond*float64(time.Second)))
	}
	return time.Duration(float64(d) * (0.75 + rand.Float64()/2))
}

// read reads the version row once.
func (m *Manager) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	readAt := time.Now()
	rec, err := m.Table.Get(ctx, rowClass, rowName)
	if err != nil {
		klog.V(1).InfoS("configuration row not read", "err", err)
		return
	}
	r, err := decodeRow(rec)
	if err != nil {
		klog.ErrorS(err, "configuration row not decoded")
		return
	}
	m.mu.Lock()
	if r.Version > m.row.Version {
		m.row = r
	}
	m.mu.Unlock()
	m.observe(r.Version, r.Hash, readAt)
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
