// Package census registers this host in the platform's store, and removes the
// registrations of hosts that are gone. A host without a registration holds no
// lease: who replaces a primary waits for registered hosts only.
package census

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// every is the time between two looks.
	every = 250 * time.Millisecond
	// callTimeout bounds one write.
	callTimeout = 1500 * time.Millisecond
	// retryAfter is the pause after a failed registration.
	retryAfter = time.Second
	// silentFor is how long a host is silent before its registration is
	// suspended: longer than restarts take.
	silentFor = 4 * time.Second
	// suspendedFor is how long a registration stays suspended before it is
	// removed, so that every lease of the host has run out.
	suspendedFor = dbview.Lease + time.Second
)

// directory is the copy of the platform's tables.
type directory interface {
	Registered() map[string]host.Host
	RegisteredRow(name string) uint64
	Reread(ctx context.Context, name string) error
	AsOf(name string) time.Duration
}

// writer is the platform's store.
type writer interface {
	Write(ctx context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error)
}

// fleet is what is known of the other hosts.
type fleet interface {
	Alive() []host.Host
	Rank(duty string) int
}

// Census keeps the registrations. It is safe for concurrent use.
type Census struct {
	self      host.Host
	directory directory
	store     writer
	fleet     fleet

	mu     sync.Mutex
	since  time.Duration
	known  bool
	silent map[string]time.Duration
	next   time.Duration
}

// New returns a census for the host self.
func New(self host.Host, d directory, w writer, f fleet) *Census {
	return &Census{
		self:      self,
		directory: d,
		store:     w,
		fleet:     f,
		silent:    map[string]time.Duration{},
	}
}

// RegisteredSince returns since when this host's registration is known to
// stand; false when it is not known to.
func (c *Census) RegisteredSince() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.directory.Registered()[c.self.Name]
	if !ok || h.State == host.Suspect || h.Address != c.self.Address {
		c.known = false
		return 0, false
	}
	if !c.known {
		c.known = true
		c.since = max(0, c.directory.AsOf(mirror.Fleet))
	}
	return c.since, true
}

// Run registers this host and looks after the others until ctx ends.
func (c *Census) Run(ctx context.Context) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if _, ok := c.RegisteredSince(); !ok {
			c.register(ctx)
			continue
		}
		if c.fleet.Rank("census") == 0 {
			c.sweep(ctx)
		}
	}
}

// register writes this host's row. An answer that was lost is found by reading
// the rows.
func (c *Census) register(ctx context.Context) {
	if uptime.Now() < c.next || c.directory.AsOf(mirror.Fleet) == 0 {
		return
	}
	c.next = uptime.Now() + retryAfter
	h := c.self
	h.State = host.Alive
	if err := c.write(ctx, h, nil); err != nil {
		klog.InfoS("this host can't be registered yet", "host", h.Name, "err", err.Error())
	}
	if err := c.directory.Reread(ctx, mirror.Fleet); err != nil {
		klog.InfoS("the registrations can't be read yet", "host", h.Name, "err", err.Error())
	}
}

func (c *Census) write(ctx context.Context, h host.Host, expected []tuple.Tuple) error {
	row, err := mirror.Registration(h)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = c.store.Write(call, expected, []tuple.Tuple{row}, nil)
	return err
}

// sweep suspends and then removes the registrations of silent hosts.
func (c *Census) sweep(ctx context.Context) {
	alive := map[string]bool{
		c.self.Name: true,
	}
	for _, h := range c.fleet.Alive() {
		alive[h.Name] = true
	}
	now := uptime.Now()
	registered := c.directory.Registered()
	for name := range c.silent {
		if _, ok := registered[name]; !ok || alive[name] {
			delete(c.silent, name)
		}
	}
	for name, h := range registered {
		if alive[name] {
			continue
		}
		since, ok := c.silent[name]
		if !ok {
			c.silent[name] = now
			continue
		}
		c.judge(ctx, h, now-since)
	}
}

func (c *Census) judge(ctx context.Context, h host.Host, silent time.Duration) {
	row := tuple.Tuple{
		Table:   mirror.Fleet,
		Key:     mirror.HostPrefix + h.Name,
		Version: c.directory.RegisteredRow(h.Name),
	}
	var err error
	switch {
	case h.State == host.Suspect && silent > suspendedFor:
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err = c.store.Write(call, []tuple.Tuple{row}, nil, []tuple.Tuple{row})
		klog.InfoS("registration removed", "host", h.Name, "silent", silent.String(), "ok", err == nil)
	case h.State != host.Suspect && silent > silentFor:
		h.State = host.Suspect
		err = c.write(ctx, h, []tuple.Tuple{row})
		klog.InfoS("registration suspended", "host", h.Name, "silent", silent.String(), "ok", err == nil)
	default:
		return
	}
	// A failure shows in the rows; the next look tries again.
	c.silent[h.Name] = uptime.Now()
}

// Leave removes this host's registration. The host must use no primary any
// more.
func (c *Census) Leave(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row := tuple.Tuple{
		Table:   mirror.Fleet,
		Key:     mirror.HostPrefix + c.self.Name,
		Version: c.directory.RegisteredRow(c.self.Name),
	}
	_, err := c.store.Write(call, []tuple.Tuple{row}, nil, []tuple.Tuple{row})
	if err != nil {
		klog.InfoS("the registration could not be removed; others will", "host", c.self.Name, "err", err.Error())
	}
}
