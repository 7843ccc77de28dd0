// Package failov replaces the primaries of services: a failed primary by an
// unplanned failover, and one that is about to leave by a planned failover. See
// docs/PLATFORM.md for why no two primaries can serve at once.
package failov

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// checkInterval is the time between two checks of all primaries.
	checkInterval = 100 * time.Millisecond
	// silenceTimeout is how long a primary has answered no host before it
	// counts as failed. Several probes and the statements of all hosts fail in
	// that time.
	silenceTimeout = 900 * time.Millisecond
	// unreachableFraction is the fraction of the hosts that can't reach a
	// primary at which it is replaced although other hosts reach it.
	unreachableFraction = 0.6
	// unreachableTimeout is how long unreachableFraction is exceeded before
	// the primary is replaced: a partition of a second or two costs less than
	// a failover.
	unreachableTimeout = 1500 * time.Millisecond
	// maxTableAge is the age of the fleet's table past which this host counts
	// as partitioned. Hosts read the store once their copy is older than a
	// second and pass it on, so that only a host that reaches no other host has
	// an older copy.
	maxTableAge = 2 * time.Second
	// rankDelay is how much longer each host waits than the one before it in
	// the ranking, so that normally only one host starts a failover.
	rankDelay = 1200 * time.Millisecond
	// abandonedTimeout is how long a record stays in the phase Changing before
	// another host takes the failover over. A failover takes the time of a
	// lease, a promotion of about a second, and the calls between; a replica that is
	// stopped from receiving late takes longer.
	abandonedTimeout = 6 * time.Second
	// nearRanks is how many hosts in the ranking check a primary at each check; the
	// others, which act 1.2 s after each other, do so each farInterval. Hosts times
	// services would be checked ten times a second otherwise.
	nearRanks   = 4
	farInterval = 500 * time.Millisecond
	// retryPause is the pause after a failover of a service, successful or not,
	// before this host starts another one.
	retryPause = 700 * time.Millisecond
)

// directory is the local copy of the platform's tables.
type directory interface {
	Services() []string
	Servers(service string) []server.Server
	Server(id string) (server.Server, bool)
	Missing(id string) bool
	MissingFor(id string) time.Duration
	Evacuated(dataCentre string) bool
	Leader(service string) (l leader.Leader, version uint64, ok bool)
	SyncReplicas(service string) int
	Registered() map[string]host.Host
	Reread(ctx context.Context, name string) error
	StoreAnswers() bool
	Age(name string) time.Duration
	EraOpen() (open bool, rowVersion uint64)
	EraSince(name string) (era uint64, since time.Duration)
}

// store is the platform's store.
type store interface {
	Write(ctx context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error)
}

// promoter tells the platform to promote an instance.
type promoter interface {
	Promote(ctx context.Context, service, id, holder string, token uint64) error
}

// prober asks instances for their status and sends them the commands of a
// failover.
type prober interface {
	// Status may return the report of an earlier request, if the instance repeats answers;
	// FreshStatus does not, and opens a new connection.
	Status(ctx context.Context, s server.Server) (report.Report, int, error)
	FreshStatus(ctx context.Context, s server.Server) (report.Report, int, error)
	PauseReplication(ctx context.Context, s server.Server, term uint64) (report.Report, int, error)
	ResumeReplication(ctx context.Context, s server.Server) (report.Report, int, error)
	StepDown(ctx context.Context, s server.Server, term uint64) (report.Report, int, error)
}

// fleet is what gossip tells of the other hosts.
type fleet interface {
	Alive() []host.Host
	Rank(duty string) int
	IsAmong(duty string, n int) bool
	RankingVersion() uint64
	FleetVersion(name string) uint64
	CountUnreachable(service string) (hosts, failing int)
	CountOpenTransactions(service string) int
	PushNow()
}

// views gives what this host knows of a service's instances.
type views interface {
	View(service string) *dbview.View
}

// meter counts failovers and how long they took.
type meter interface {
	RecordPrimaryChange(planned bool, took time.Duration)
	SetBlockedChanges(n int)
}

// Failover checks the primaries and replaces those that failed or are about to
// leave.
type Failover struct {
	// Host is the name of this host.
	Host string
	// FleetTable is the name of the table that holds the leader records.
	FleetTable string
	// Directory is the local copy of the platform's tables.
	Directory directory
	// Store writes the leader records.
	Store store
	// Platform promotes instances.
	Platform promoter
	// Prober asks instances and sends them commands.
	Prober prober
	// Hosts are the other hosts.
	Hosts fleet
	// Views gives what this host knows of a service's instances.
	Views views
	// Meter counts failovers.
	Meter meter

	// services is the state of each service, by name; only Run uses it, as partitioned,
	// when this host last counted as partitioned.
	services    map[string]*serviceState
	partitioned time.Duration
}

// serviceState is what is kept of one service between two checks.
type serviceState struct {
	// duty is the name under which hosts are ranked for replacing the primary, and
	// nextCheck when a host that is not among the first is to check it.
	duty      string
	nextCheck time.Duration
	// near says that this host is among the first, as of a version of the ranking.
	near    bool
	ranking uint64
	// running is closed when the failover under way has ended; nil without one.
	running     chan struct{}
	cause       cause
	causeSince  time.Duration
	pausedUntil time.Duration
	// version is the version of the leader record's row, and versionSince when
	// this host first saw it.
	version      uint64
	versionSince time.Duration
	// blocked describes why the primary is not replaced although it is to be; empty if
	// it can be.
	blocked string
}

// cause is why a primary is to be replaced; reason is empty if it is not.
type cause struct {
	reason  string
	planned bool
	// delay is how long the cause lasts before the first host in the ranking
	// acts.
	delay time.Duration
}

// Run checks the primaries until ctx ends.
func (f *Failover) Run(ctx context.Context) {
	f.services = map[string]*serviceState{}
	var parts conc.WaitGroup
	defer parts.Wait()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f.checkServices(ctx, &parts)
		}
	}
}

// checkServices starts a failover for each service whose primary this host is
// to replace now, unless one is under way.
func (f *Failover) checkServices(ctx context.Context, parts *conc.WaitGroup) {
	now := uptime.Now()
	if f.Directory.Age(f.FleetTable) > maxTableAge {
		f.partitioned = now
	}
	defer func() { f.Meter.SetBlockedChanges(f.countBlocked()) }()
	ranking := f.Hosts.RankingVersion()
	for _, service := range f.Directory.Services() {
		state, ok := f.services[service]
		if !ok {
			state = &serviceState{
				duty: leader.Duty(service),
			}
			f.services[service] = state
		}
		if state.running != nil {
			select {
			case <-state.running:
				state.running = nil
				state.pausedUntil = uptime.Now() + retryPause
			default:
				continue
			}
		}
		if state.ranking != ranking {
			state.near = f.Hosts.IsAmong(state.duty, nearRanks)
			state.ranking = ranking
		}
		if now < state.nextCheck && !state.near {
			continue
		}
		state.nextCheck = now + farInterval/2 + rand.N(farInterval/2)
		found, due := f.causeToAct(service, state)
		if !due {
			continue
		}
		running := make(chan struct{})
		state.running = running
		parts.Go(func() {
			defer close(running)
			guard.Run("failover", func() {
				f.replace(ctx, service, found)
			})
		})
	}
}

// causeToAct returns why the primary of a service is to be replaced, and
// whether this host is to do that now.
func (f *Failover) causeToAct(service string, state *serviceState) (cause, bool) {
	now := uptime.Now()
	f.trackRecord(service, state, now)
	found := f.findCause(service, state, now)
	if found.reason != state.cause.reason {
		state.cause = found
		state.causeSince = now
	}
	if found.reason == "" || now < state.pausedUntil {
		return found, false
	}
	rank := f.Hosts.Rank(state.duty)
	delay := found.delay + time.Duration(rank)*rankDelay
	return found, now-state.causeSince >= delay
}

// trackRecord records since when this host knows the leader record in force.
// While the host is partitioned the time starts anew: what it knows of the
// primary is as old as the partition.
func (f *Failover) trackRecord(service string, state *serviceState, now time.Duration) {
	_, version := f.Views.View(service).Leader()
	if state.version != version || state.versionSince == 0 {
		state.version = version
		state.versionSince = now
	}
	state.versionSince = max(state.versionSince, f.partitioned)
}

// findCause returns why the primary of a service is to be replaced, or an empty
// cause.
func (f *Failover) findCause(service string, state *serviceState, now time.Duration) cause {
	if open, _ := f.Directory.EraOpen(); !open {
		return cause{} // records of primaries may be missing from the store
	}
	v := f.Views.View(service)
	l, _ := v.Leader()
	if l.Phase == leader.Changing {
		state.blocked = ""
		return f.findAbandoned(l, state, now)
	}
	found := f.findDefect(service, l, state, now)
	switch {
	case len(f.Directory.Servers(service)) == 0:
		state.blocked = "" // this host has no copy of the instances yet, or there is none
		return cause{}
	case found.reason == "" || len(f.candidates(service, l.Primary)) > 0:
		state.blocked = ""
		return found
	}
	f.noteBlocked(service, l, state, found)
	return cause{}
}

// findDefect returns why the primary in force is to be replaced, whether or not another
// instance could take over.
func (f *Failover) findDefect(service string, l leader.Leader, state *serviceState, now time.Duration) cause {
	v := f.Views.View(service)
	s, ok := f.Directory.Server(l.Primary)
	if !ok {
		return cause{
			reason: "primary-gone",
			delay:  silenceTimeout,
		}
	}
	silent := now-max(v.LastAnswer(l.Primary), state.versionSince) >= silenceTimeout
	_, failing := v.UnreachableSince()
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
	case f.Directory.Evacuated(s.DataCentre):
		return cause{
			reason:  "data-centre-evacuated",
			planned: true,
		}
	case f.Directory.MissingFor(l.Primary) >= mirror.ExpiredFor && f.Directory.StoreAnswers():
		return cause{
			reason:  "primary-unregistered",
			planned: true,
		}
	case f.unreachableFromMost(service, failing):
		return cause{
			reason:  "primary-cut-off",
			planned: !failing,
			delay:   unreachableTimeout,
		}
	}
	return cause{}
}

// noteBlocked logs, whenever that changes, why no instance can take over.
func (f *Failover) noteBlocked(service string, l leader.Leader, state *serviceState, found cause) {
	others := []string{}
	for _, s := range f.Directory.Servers(service) {
		if s.ID != l.Primary {
			others = append(others, s.ID+" "+f.unfitness(s))
		}
	}
	blocked := found.reason + ": " + strings.Join(others, ", ")
	if state.blocked == blocked {
		return
	}
	state.blocked = blocked
	leaving := ""
	if age, ok := f.Views.View(service).LeavingFor(l.Primary); ok {
		leaving = age.String()
	}
	klog.InfoS("the primary is to be replaced, but no instance can take over", "service", service, "primary", l.Primary, "reason", found.reason, "others", others, "leaving-for", leaving)
}

// unfitness returns why an instance can't become the primary, in kebab case.
func (f *Failover) unfitness(s server.Server) string {
	switch {
	case f.Directory.Missing(s.ID):
		return "unregistered"
	case s.Draining:
		return "leaving"
	}
	return "data-centre-evacuated"
}

// countBlocked returns how many services have a primary that is to be replaced while no
// other instance can take over.
func (f *Failover) countBlocked() int {
	n := 0
	for _, state := range f.services {
		if state.blocked != "" {
			n++
		}
	}
	return n
}

// findAbandoned returns a cause for a record in the phase Changing whose failover
// nobody carries out: its holder has not finished it within abandonedTimeout, or
// the holder is this host, which has no failover under way.
func (f *Failover) findAbandoned(l leader.Leader, state *serviceState, now time.Duration) cause {
	if l.Holder != f.Host && now-state.versionSince < abandonedTimeout {
		return cause{}
	}
	return cause{
		reason: "change-abandoned",
	}
}

// unreachableFromMost reports whether so many hosts can't reach the primary
// that it is to be replaced; own tells whether this host is one of them.
func (f *Failover) unreachableFromMost(service string, own bool) bool {
	hosts, failing := f.Hosts.CountUnreachable(service)
	hosts++
	if own {
		failing++
	}
	return hosts > 2 && float64(failing) >= unreachableFraction*float64(hosts)
}

// candidates returns the instances that may become the primary.
func (f *Failover) candidates(service, former string) []server.Server {
	return f.Views.View(service).Successors(former)
}

// requiredAnswers returns how many replicas have to answer before one of them
// may become the primary. With synchronous replication every acknowledged commit
// is on at least sync replicas, so that any replicas-sync+1 of them include one
// that holds it.
func (f *Failover) requiredAnswers(service, former string) int {
	replicas := 0
	for _, s := range f.Directory.Servers(service) {
		if s.ID != former {
			replicas++
		}
	}
	sync := f.Directory.SyncReplicas(service)
	if sync == 0 {
		return 1
	}
	return max(1, replicas-sync+1)
}

// log writes a log line with the fields of the leader record.
func (f *Failover) log(message, service string, l leader.Leader, fields ...any) {
	klog.InfoS(message, append([]any{
		"service", service,
		"token", l.Token,
		"reason", l.Reason,
		"planned", l.Planned,
		"former", l.FormerPrimary,
		"primary", l.Primary,
	}, fields...)...)
}
