// Package enroll registers this host in the platform's store and removes the
// registrations of hosts that are gone. A host that is not registered holds no
// lease on a primary, since a host that replaces a primary waits only for
// registered hosts.
package enroll

import (
	"context"
	"slices"
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
	// checkInterval is the time between two checks of the registrations.
	checkInterval = 250 * time.Millisecond
	// callTimeout bounds one write to the store.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the least time between two attempts to register, and
	// copyPause the time after a successful one in which the row reaches this
	// host's copy of the table.
	retryPause = time.Second
	copyPause  = 3 * time.Second
	// suspendAfter is how long a host is silent before its registration is
	// suspended: longer than a restart takes, and than most cuts between hosts last.
	// A host that registers again although it is still silent lives, so that the
	// time is doubled, up to maxSuspendAfter.
	suspendAfter    = 10 * time.Second
	maxSuspendAfter = 2 * time.Minute
	// reportDelay is how much later than this host's last exchange with others its
	// report may reach the host that expires registrations.
	reportDelay = 2 * time.Second
	// clockMargin is how much sooner a use of the registration ends, because hosts'
	// clocks run at different speeds.
	clockMargin = 100 * time.Millisecond
	// deregisterTimeout bounds the removal of this host's own registration, and
	// maxDeletes how often that is tried.
	deregisterTimeout = 1500 * time.Millisecond
	maxDeletes        = 3
	// maxExpired is how many registrations are suspended or removed at one check.
	maxExpired = 4
	// censusDuty is the name under which hosts are ranked for expiring
	// registrations.
	censusDuty = "census"
	// removeAfter is how long a registration is suspended before it is removed:
	// by then all leases of the host have expired.
	removeAfter = dbview.Lease + time.Second
)

// directory is this host's copy of the tables in the platform's store.
type directory interface {
	Registered() map[string]host.Host
	RegistrationVersion(name string) uint64
	Reread(ctx context.Context, name string) error
	AsOf(name string) time.Duration
}

// writer writes to the platform's store.
type writer interface {
	Write(ctx context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error)
}

// fleet knows the other hosts.
type fleet interface {
	Alive() []host.Host
	Rank(duty string) int
}

// Registrar registers this host and expires the registrations of others. It is
// safe for concurrent use.
type Registrar struct {
	self      host.Host
	directory directory
	store     writer
	fleet     fleet
	// started is when this host's process started.
	started time.Duration

	mu sync.Mutex
	// registeredSince is since when this host has been registered, if registered,
	// and registeredAsOf the as-of time of a copy that shows it.
	registeredSince time.Duration
	registeredAsOf  time.Duration
	registered      bool
	// heardMajority is when this host last heard of more than half of the registered
	// hosts.
	heardMajority time.Duration

	// silent are the registered hosts that are silent.
	silent map[string]*silence
	// nextAttempt is when the host may try to register again.
	nextAttempt time.Duration
	// leaving says that the host must not register any more. writing holds an element
	// while the host's own row is being written, and lastWrite is when that last ended.
	leaving   bool
	writing   chan struct{}
	lastWrite time.Duration
}

// silence is that of a registered host.
type silence struct {
	// since is when it began, or when the registration was last changed.
	since time.Duration
	// patience is how long it may last before the registration is suspended.
	patience time.Duration
}

// New returns a registrar for the host self.
func New(self host.Host, d directory, w writer, f fleet) *Registrar {
	return &Registrar{
		self:      self,
		directory: d,
		store:     w,
		fleet:     f,
		started:   uptime.Now(),
		silent:    map[string]*silence{},
		writing:   make(chan struct{}, 1),
	}
}

// Registered returns since when and until when this host is known to be registered; ok
// is false if it is not registered. A process is not registered before its start: what
// the host's former process reported may have ended the wait of a failover.
//
// No lease that counts from until or earlier outlasts the registration. While it is
// suspended, until stays where it is. Otherwise a host that hears half of the others
// may suspend it only after this host has been silent for suspendAfter.
func (r *Registrar) Registered() (since, until time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.directory.Registered()[r.self.Name]
	if !ok || h.Address != r.self.Address {
		r.registered = false
		return 0, 0, false
	}
	if h.State == host.Suspect {
		return r.registeredSince, r.registeredAsOf, r.registered
	}
	if !r.registered {
		r.registered = true
		r.registeredAsOf = r.directory.AsOf(mirror.Fleet)
		r.registeredSince = max(r.started, r.registeredAsOf)
	}
	suspended := max(r.registeredAsOf, r.heardMajority+suspendAfter-reportDelay)
	return r.registeredSince, suspended + removeAfter - dbview.Lease - clockMargin, true
}

// isInForce reports whether this host is registered and not suspended. asOf is the
// as-of time of the copy some time ago.
func (r *Registrar) isInForce(asOf time.Duration) bool {
	_, _, ok := r.Registered()
	registered := r.directory.Registered()
	if !ok || registered[r.self.Name].State == host.Suspect {
		return false
	}
	majority := 2*(len(r.fleet.Alive())+1) > len(registered)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registeredAsOf = max(r.registeredAsOf, asOf)
	if majority {
		r.heardMajority = uptime.Now()
	}
	return true
}

// Run keeps this host registered until ctx ends. One host of the fleet also
// expires the registrations of silent hosts.
func (r *Registrar) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		asOf := r.directory.AsOf(mirror.Fleet)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !r.isInForce(asOf) {
			r.register(ctx)
			continue
		}
		if r.fleet.Rank(censusDuty) == 0 {
			r.sweep(ctx)
		}
	}
}

// register writes this host's row. If the answer is lost, it reads the rows again:
// they show whether the write succeeded.
func (r *Registrar) register(ctx context.Context) {
	if uptime.Now() < r.nextAttempt || r.directory.AsOf(mirror.Fleet) == 0 {
		return
	}
	r.nextAttempt = uptime.Now() + retryPause
	h := r.self
	h.State = host.Alive
	leaving, err := r.writeOwn(ctx, h)
	if leaving {
		return
	}
	if err == nil {
		r.nextAttempt = uptime.Now() + copyPause
		return
	}
	klog.InfoS("this host can't be registered yet", "host", h.Name, "err", err.Error())
	if err := r.directory.Reread(ctx, mirror.Fleet); err != nil {
		klog.InfoS("the registrations can't be read yet", "host", h.Name, "err", err.Error())
	}
}

// writeOwn writes this host's own row, unless the host leaves.
func (r *Registrar) writeOwn(ctx context.Context, h host.Host) (leaving bool, err error) {
	r.writing <- struct{}{}
	defer func() {
		<-r.writing
	}()
	r.mu.Lock()
	leaving = r.leaving
	r.mu.Unlock()
	if leaving {
		return true, nil
	}
	err = r.write(ctx, h, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastWrite = uptime.Now()
	return false, err
}

// write writes the row of h.
func (r *Registrar) write(ctx context.Context, h host.Host, expected []tuple.Tuple) error {
	row, err := mirror.Registration(h)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = r.store.Write(call, expected, []tuple.Tuple{row}, nil)
	return err
}

// sweep suspends and then removes the registrations of silent hosts: few at a time, so
// that this host's own registration is looked at in between, and none of a host that
// was heard of meanwhile.
func (r *Registrar) sweep(ctx context.Context) {
	due := r.dueHosts()
	for _, h := range due[:min(len(due), maxExpired)] {
		if r.fleet.Rank(censusDuty) != 0 || r.isAlive(h.Name) {
			continue
		}
		r.expire(ctx, h)
	}
}

// dueHosts returns the registered hosts whose registration is to be suspended or
// removed. A host that hears of less than half suspends none: the others may use
// primaries by what the replicas tell them, while they hear of each other.
func (r *Registrar) dueHosts() []host.Host {
	now := uptime.Now()
	registered := r.directory.Registered()
	for name := range r.silent {
		if _, ok := registered[name]; !ok {
			delete(r.silent, name)
		}
	}
	minority := 2*(len(r.fleet.Alive())+1) < len(registered)
	var due []host.Host
	for name, h := range registered {
		if name == r.self.Name || r.isAlive(name) {
			delete(r.silent, name)
			continue
		}
		q, ok := r.silent[name]
		if !ok {
			r.silent[name] = &silence{
				since:    now,
				patience: suspendAfter,
			}
			continue
		}
		limit := q.patience
		switch {
		case h.State == host.Suspect:
			limit = removeAfter
		case minority:
			continue
		}
		if now-q.since > limit {
			due = append(due, h)
		}
	}
	return due
}

// isAlive reports whether another host is heard of.
func (r *Registrar) isAlive(name string) bool {
	return slices.ContainsFunc(r.fleet.Alive(), func(h host.Host) bool {
		return h.Name == name
	})
}

// expire suspends the registration of a host that has been silent for long, or
// removes one that has been suspended for long. The store refuses the write if
// the row has changed since it was read.
func (r *Registrar) expire(ctx context.Context, h host.Host) {
	row := tuple.Tuple{
		Table:   mirror.Fleet,
		Key:     mirror.HostPrefix + h.Name,
		Version: r.directory.RegistrationVersion(h.Name),
	}
	q := r.silent[h.Name]
	silent := (uptime.Now() - q.since).String()
	if h.State == host.Suspect {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		_, err := r.store.Write(call, []tuple.Tuple{row}, nil, []tuple.Tuple{row})
		klog.InfoS("registration removed", "host", h.Name, "silent", silent, "ok", err == nil)
	} else {
		h.State = host.Suspect
		q.patience = min(2*q.patience, maxSuspendAfter)
		err := r.write(ctx, h, []tuple.Tuple{row})
		klog.InfoS("registration suspended", "host", h.Name, "silent", silent, "ok", err == nil)
	}
	// If the write failed, the rows show it and a later check tries again.
	q.since = uptime.Now()
}

// Deregister removes this host's registration, and keeps it from registering again. The
// host must not use a primary any more.
func (r *Registrar) Deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := r.removeOwn(ctx); err != nil {
		klog.InfoS("this host could not be deregistered, another host will remove its registration", "host", r.self.Name, "err", err.Error())
	}
}

// removeOwn waits for the end of a registration under way, and deletes this host's row.
func (r *Registrar) removeOwn(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	select {
	case r.writing <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() {
		<-r.writing
	}()
	r.mu.Lock()
	lastWrite := r.lastWrite
	r.mu.Unlock()
	var err error
	for n := range maxDeletes {
		// The copy may not show what was written last.
		if n > 0 || r.directory.AsOf(mirror.Fleet) <= lastWrite {
			if err := r.directory.Reread(ctx, mirror.Fleet); err != nil {
				return err
			}
		}
		row := tuple.Tuple{
			Table:   mirror.Fleet,
			Key:     mirror.HostPrefix + r.self.Name,
			Version: r.directory.RegistrationVersion(r.self.Name),
		}
		if _, err = r.store.Write(ctx, []tuple.Tuple{row}, nil, []tuple.Tuple{row}); err == nil {
			return nil
		}
	}
	return err
}
