// Package change replaces primaries: those that are gone, and those that are
// to leave. See docs/PLATFORM.md for why no two primaries can serve at once.
package change

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// every is the time between two looks at the primaries.
	checkInterval = 100 * time.Millisecond
	// silentFor is how long a primary has answered no host before it counts
	// as gone: several probes and the statements of all hosts.
	silenceTimeout = 900 * time.Millisecond
	// cutPart is the part of the hosts that can't reach a primary at which it
	// is replaced although others reach it.
	unreachableFraction = 0.6
	// cutFor is how long that lasts before it is: cuts of a second or two
	// cost less than a change.
	unreachableTimeout = 1500 * time.Millisecond
	// missingFor is how long the entry of a primary that still answers is gone
	// before it is replaced: entries that lapsed during an outage of the store
	// are back within two seconds of its return. It is less than the time for
	// which the mirror keeps the instance.
	unregisteredTimeout = 2200 * time.Millisecond
	// touchAge is the age of the fleet's table past which this host counts as
	// cut off. Other hosts read the store once a copy is older than a second, so
	// that only a host without a way to any of them gets there.
	maxTableAge = 2 * time.Second
	// turn is how much longer each host waits than the one before it in the
	// ranking.
	rankDelay = 1200 * time.Millisecond
	// abandonedAfter is how long a record stays in a change before another
	// host takes it over. A change takes a lease, a promotion of about a
	// second, and the calls between.
	abandonedTimeout = 5 * time.Second
	// retryAfter is the pause after a change that did not succeed.
	retryPause = 700 * time.Millisecond
)

// directory is the copy of the platform's tables.
type directory interface {
	Services() []string
	Servers(service string) []server.Server
	Server(id string) (server.Server, bool)
	Missing(id string) bool
	Evacuated(dataCentre string) bool
	Leader(service string) (l leader.Leader, version uint64, ok bool)
	SyncReplicas(service string) int
	Registered() map[string]host.Host
	Reread(ctx context.Context, name string) error
	StoreAnswers() bool
	Age(name string) time.Duration
}

// writer is the platform's store.
type store interface {
	Write(ctx context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error)
}

// promoter gives the order that makes an instance the primary.
type promoter interface {
	Promote(ctx context.Context, service, id, holder string, token uint64) error
}

// prober asks instances and gives them the orders of a change.
type prober interface {
	Status(ctx context.Context, s server.Server) (report.Report, int, error)
	Hold(ctx context.Context, s server.Server, term uint64) (report.Report, int, error)
	Release(ctx context.Context, s server.Server) (report.Report, int, error)
	StepDown(ctx context.Context, s server.Server, term uint64) (report.Report, int, error)
}

// fleet is what is known of the other hosts.
type fleet interface {
	Alive() []host.Host
	Rank(duty string) int
	Seen(name string) uint64
	Unreachable(service string) (hosts, failing int)
	Unfinished(service string) int
	Urge()
}

// groups are the beliefs about services.
type views interface {
	View(service string) *dbview.View
}

// meter counts changes.
type meter interface {
	Changed(planned bool, took time.Duration)
}

// Change watches the primaries and replaces them.
type Change struct {
	// Host is the name of this host.
	Host string
	// Fleet is the name of the table that holds the records.
	Fleet string
	// Directory is the copy of the platform's tables.
	Directory directory
	// Store writes the records.
	Store store
	// Platform gives the orders.
	Platform promoter
	// Prober asks the instances.
	Prober prober
	// Hosts are the other hosts.
	Hosts fleet
	// Groups are the beliefs about services.
	Groups views
	// Meter counts changes.
	Meter meter

	services map[string]*serviceState
}

// watch is what is remembered of one service between two looks.
type serviceState struct {
	running chan struct{}
	cause   cause
	causeSince   time.Duration
	pausedUntil   time.Duration
	// version is the record's row as it was last seen, and seen since when.
	version uint64
	versionSince    time.Duration
}

// cause is why a primary is to be replaced; reason is empty without one.
type cause struct {
	reason  string
	planned bool
	// patience is how long the cause lasts before the first host acts.
	delay time.Duration
}

// Run watches until ctx ends.
func (c *Change) Run(ctx context.Context) {
	c.services = map[string]*serviceState{}
	var parts conc.WaitGroup
	defer parts.Wait()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.checkServices(ctx, &parts)
		}
	}
}

func (c *Change) checkServices(ctx context.Context, parts *conc.WaitGroup) {
	for _, service := range c.Directory.Services() {
		w, ok := c.services[service]
		if !ok {
			w = &serviceState{}
			c.services[service] = w
		}
		if w.running != nil {
			select {
			case <-w.running:
				w.running = nil
				w.pausedUntil = uptime.Now() + retryPause
			default:
				continue
			}
		}
		found, due := c.causeToAct(service, w)
		if !due {
			continue
		}
		running := make(chan struct{})
		w.running = running
		parts.Go(func() {
			defer close(running)
			c.replace(ctx, service, found)
		})
	}
}

// due reports whether this host is to replace the primary of a service now.
func (c *Change) causeToAct(service string, w *serviceState) (cause, bool) {
	now := uptime.Now()
	c.trackRecord(service, w, now)
	found := c.findCause(service, w, now)
	if found.reason != w.cause.reason {
		w.cause = found
		w.causeSince = now
	}
	if found.reason == "" || now < w.pausedUntil {
		return found, false
	}
	rank := c.Hosts.Rank("change/" + service)
	patience := found.delay + time.Duration(rank)*rankDelay
	return found, now-w.causeSince >= patience
}

// observe notes since when this host knows the record in force. A host that was
// cut off starts anew: what it knows of the primary is as old as the cut.
func (c *Change) trackRecord(service string, w *serviceState, now time.Duration) {
	_, version := c.Groups.View(service).Leading()
	if c.Directory.Age(c.Fleet) > maxTableAge {
		w.versionSince = now
	}
	if w.version != version || w.versionSince == 0 {
		w.version = version
		w.versionSince = now
	}
}

// cause finds out why the primary of a service is to be replaced.
func (c *Change) findCause(service string, w *serviceState, now time.Duration) cause {
	v := c.Groups.View(service)
	l, _ := v.Leading()
	if l.Phase == leader.Changing {
		return c.findAbandoned(l, w, now)
	}
	if len(c.candidates(service, l.Primary)) == 0 {
		return cause{} // nobody could take over
	}
	s, ok := c.Directory.Server(l.Primary)
	if !ok {
		return cause{
			reason:   "primary-gone",
			delay: silenceTimeout,
		}
	}
	silent := now-max(v.LastAnswer(l.Primary), w.versionSince) >= silenceTimeout
	_, failing := v.Unreachable()
	switch {
	case silent && failing:
		return cause{
			reason: "primary-silent",
		}
	case s.Draining:
		return cause{
			reason:  "primary-leaving",
			planned: true,
		}
	case c.Directory.Evacuated(s.DataCentre):
		return cause{
			reason:  "data-centre-evacuated",
			planned: true,
		}
	case c.Directory.Missing(l.Primary) && c.Directory.StoreAnswers():
		return cause{
			reason:   "primary-unregistered",
			planned:  true,
			delay: unregisteredTimeout,
		}
	case c.unreachableFromMost(service, failing):
		return cause{
			reason:   "primary-cut-off",
			planned:  !failing,
			delay: unreachableTimeout,
		}
	}
	return cause{}
}

// abandoned finds a change whose holder has stopped.
func (c *Change) findAbandoned(l leader.Leader, w *serviceState, now time.Duration) cause {
	if l.Holder != c.Host && now-w.versionSince < abandonedTimeout {
		return cause{}
	}
	return cause{
		reason: "change-abandoned",
	}
}

// cut reports whether so many hosts can't reach the primary that it is better
// replaced.
func (c *Change) unreachableFromMost(service string, own bool) bool {
	hosts, failing := c.Hosts.Unreachable(service)
	hosts++
	if own {
		failing++
	}
	return hosts > 2 && float64(failing) >= unreachableFraction*float64(hosts)
}

// candidates returns the instances that may become the primary.
func (c *Change) candidates(service, former string) []server.Server {
	var list []server.Server
	for _, s := range c.Directory.Servers(service) {
		if s.ID == former || s.Draining || c.Directory.Missing(s.ID) || c.Directory.Evacuated(s.DataCentre) {
			continue
		}
		list = append(list, s)
	}
	return list
}

// quorum returns how many replicas have to answer before one of them may become
// the primary: where commits are acknowledged once some replicas hold them, any
// so many others that one of those is among them.
func (c *Change) requiredAnswers(service, former string) int {
	replicas := 0
	for _, s := range c.Directory.Servers(service) {
		if s.ID != former {
			replicas++
		}
	}
	sync := c.Directory.SyncReplicas(service)
	if sync == 0 {
		return 1
	}
	return max(1, replicas-sync+1)
}

func (c *Change) log(message, service string, l leader.Leader, fields ...any) {
	klog.InfoS(message, append([]any{
		"service", service,
		"token", l.Token,
		"reason", l.Reason,
		"planned", l.Planned,
		"former", l.Former,
		"primary", l.Primary,
	}, fields...)...)
}
