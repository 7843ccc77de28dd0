// Package dbview holds one host's view of the instances of one service: which is
// the primary and until when its lease is valid, how fresh the replicas are, and
// how fast each instance answers.
package dbview

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/marks"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// Lease is how long a host may use a primary after the last time at which
	// it is known that nobody had begun to replace it. A host that replaces a
	// primary waits that long for hosts that don't answer; see
	// docs/PLATFORM.md.
	Lease = 2500 * time.Millisecond
	// FailingAfter is how long an instance may fail before it gets no more work.
	FailingAfter = 150 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff bound the time between two trials of
	// an instance that fails.
	minRetryBackoff = 250 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
	// minLagBackoff and maxLagBackoff bound how long a replica that lacked a
	// position is avoided: from the usual lag of a replica to a fraction of the
	// lag of one that is far behind.
	minLagBackoff = 50 * time.Millisecond
	maxLagBackoff = 400 * time.Millisecond
)

// Sources of a lease, for log lines.
const (
	// SourceStore is a copy of the fleet table.
	SourceStore = "store"
	// SourceReplicas is the answer of all replicas that they follow the primary.
	SourceReplicas = "replicas"
)

// NoSuccessor is the reason of Primary if the primary gets no new work and no other instance
// can replace it: waiting for another one is of no use.
const NoSuccessor = "no-successor"

// tables is this host's copy of the tables in the platform's store.
type tables interface {
	Servers(service string) []server.Server
	Server(id string) (server.Server, bool)
	Missing(id string) bool
	LeavingFor(id string) (time.Duration, bool)
	AcceptsWork(id string) bool
	Evacuated(dataCentre string) bool
	Leader(service string) (l leader.Leader, version uint64, ok bool)
	AsOf(name string) time.Duration
	LeasesAsOf() time.Duration
}

// registry knows since when this host is registered in the platform's store.
type registry interface {
	Registered() (since, until time.Duration, ok bool)
}

// View is one host's view of one service. Its times are readings of uptime.Now.
// It is safe for concurrent use.
type View struct {
	service  string
	centre   string
	fleet    string
	tables   tables
	registry registry
	// even is set if reads are divided evenly among the instances.
	even *even

	mu        sync.Mutex
	instances map[string]*instance
	// watermarks are the primary's log positions and when they were asked for.
	watermarks marks.Watermarks
	// initialPrimary is the primary until a first failover is recorded.
	initialPrimary string
	// leasePrimary is the primary that all replicas were seen to follow at
	// leaseRenewed.
	leasePrimary string
	leaseRenewed time.Duration
	// peerPrimary is the primary in the last report of another host,
	// peerAnswered the latest time at which it answered another host.
	peerPrimary  string
	peerAnswered time.Duration
	// openTransactions counts the transactions open on the primary.
	openTransactions int
	// used is when a caller of this host last used the service.
	used time.Duration
}

// instance is what the host knows of one instance.
type instance struct {
	// answered is when it last answered this host.
	answered time.Duration

	// failingSince is since when it has failed without an answer, if failing.
	failingSince time.Duration
	failing      bool
	// nextTrial is when a statement may try it again, backoff the wait between
	// two trials.
	nextTrial time.Duration
	backoff   time.Duration

	// latency is the moving average of its answers, updated last at measured.
	latency  time.Duration
	measured time.Duration

	// applied is the last log position that its reads are known to see.
	applied logpos.Position
	// lagUntil is until when it is avoided as a lagging replica, lagBackoff how
	// long it was avoided last.
	lagUntil   time.Duration
	lagBackoff time.Duration

	// running counts this host's statements that it runs, sent those that were sent to
	// it in all.
	running int
	sent    int64

	// reports are the latest load reports of different hosts, errors its share of
	// errors; both are kept only for an even choice.
	reports []report
	errors  errorShare
}

// New returns the view that a host in a data centre has of a service. fleet is
// the name of the table that holds the records of the primaries.
func New(service, centre, fleet string, t tables, r registry) *View {
	return &View{
		service:   service,
		centre:    centre,
		fleet:     fleet,
		tables:    t,
		registry:  r,
		instances: map[string]*instance{},
	}
}

// Service returns the name of the service.
func (v *View) Service() string {
	return v.service
}

// instance returns the instance id, which it adds if it is new. The caller holds
// mu, as for all unexported methods.
func (v *View) instance(id string) *instance {
	in, ok := v.instances[id]
	if !ok {
		in = &instance{}
		v.instances[id] = in
	}
	return in
}

// Leader returns the record of the service's primary and its version. As long as
// there is no record, it returns the instance that registered as primary.
func (v *View) Leader() (l leader.Leader, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader()
}

func (v *View) leader() (leader.Leader, uint64) {
	if l, version, ok := v.tables.Leader(v.service); ok {
		return l, version
	}
	if v.initialPrimary == "" {
		v.initialPrimary = solePrimary(v.tables.Servers(v.service))
	}
	return leader.Leader{
		Phase:   leader.Settled,
		Primary: v.initialPrimary,
	}, 0
}

// solePrimary returns the instance that registered as primary, or "" if several
// did, since all but one of them are outdated.
func solePrimary(list []server.Server) string {
	id := ""
	for _, s := range list {
		if !s.Primary {
			continue
		}
		if id != "" {
			return ""
		}
		id = s.ID
	}
	return id
}

// Primary returns the primary to use for new work. If there is none, reason says
// why, in kebab case.
func (v *View) Primary() (s server.Server, reason string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.primary()
}

func (v *View) primary() (s server.Server, reason string) {
	l, _ := v.leader()
	if l.Phase != leader.Settled {
		return server.Server{}, "primary-changing"
	}
	s, ok := v.tables.Server(l.Primary)
	if !ok {
		return server.Server{}, "primary-unknown"
	}
	if !v.hasLease(l.Primary) {
		return server.Server{}, "lease-expired"
	}
	if reason := v.unavailable(s); reason != "" {
		return server.Server{}, reason
	}
	if v.fails(l.Primary) {
		return server.Server{}, "primary-unreachable"
	}
	return s, ""
}

// unavailable returns why a primary that runs gets no new work; empty if it does.
func (v *View) unavailable(primary server.Server) string {
	evacuated := v.tables.Evacuated(primary.DataCentre)
	switch {
	case !evacuated && v.tables.AcceptsWork(primary.ID):
		return ""
	case len(v.Successors(primary.ID)) == 0:
		return NoSuccessor
	case evacuated:
		return "primary-evacuated"
	}
	return "primary-leaving"
}

// Successors returns the instances that may replace the primary.
func (v *View) Successors(primary string) []server.Server {
	var list []server.Server
	for _, s := range v.tables.Servers(v.service) {
		if s.ID != primary && !s.Draining && !v.tables.Missing(s.ID) && !v.tables.Evacuated(s.DataCentre) {
			list = append(list, s)
		}
	}
	return list
}

// HasLease reports whether id is the primary and its lease is valid: no other
// instance can have been promoted by now. An answer of the primary counts only
// if this still holds when the answer is in.
func (v *View) HasLease(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, _ := v.leader()
	return l.Phase == leader.Settled && l.Primary == id && v.hasLease(id)
}

// hasLease reports whether the lease on id is valid. It counts from the later of
// two moments: the newest state of the fleet table, with complete records of
// primaries, that this host has read, and the last one at which all replicas were seen
// to follow id. That moment must not be before this host's registration, since a host
// that replaces a primary waits for registered hosts only.
func (v *View) hasLease(id string) bool {
	registered, until, ok := v.registry.Registered()
	if !ok {
		return false
	}
	asOf, _ := v.leaseAsOf(id)
	asOf = min(asOf, until)
	return asOf >= registered && uptime.Now()-asOf < Lease
}

// leaseAsOf returns the moment from which the lease on id counts, and its source.
func (v *View) leaseAsOf(id string) (asOf time.Duration, source string) {
	asOf = v.tables.LeasesAsOf()
	if v.leasePrimary == id && v.leaseRenewed > asOf {
		return v.leaseRenewed, SourceReplicas
	}
	return asOf, SourceStore
}

// LeaseAge returns the time since the primary's lease was last renewed.
func (v *View) LeaseAge() time.Duration {
	age, _ := v.LastRenewal()
	return age
}

// LastRenewal returns the time since the primary's lease was last renewed, and the
// source of that renewal.
func (v *View) LastRenewal() (age time.Duration, source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, _ := v.leader()
	asOf, source := v.leaseAsOf(l.Primary)
	return uptime.Now() - asOf, source
}

// LeavingFor returns how long ago, at most, an instance announced that it leaves; false if
// it has not.
func (v *View) LeavingFor(id string) (time.Duration, bool) {
	return v.tables.LeavingFor(id)
}

// Handover reports whether id is being replaced in a planned failover. What it
// still acknowledges is not lost, since it stops before its successor starts. It ends
// with the lease from the store: the failover may have gone on without id's consent.
func (v *View) Handover(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	since, until, ok := v.registry.Registered()
	asOf := min(v.tables.LeasesAsOf(), until)
	if !ok || asOf < since || uptime.Now()-asOf >= Lease {
		return false
	}
	l, _ := v.leader()
	return l.Phase == leader.Changing && l.Planned && l.FormerPrimary == id
}

// RenewLease renews the lease on the primary id: all replicas were seen to follow
// it at asOf, so no other instance had been promoted by then.
func (v *View) RenewLease(id string, asOf time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leasePrimary != id || asOf-v.leaseRenewed >= Lease {
		klog.InfoS("the lease is renewed by the replicas", "service", v.service, "primary", id, "age", (uptime.Now() - asOf).String())
	}
	if v.leasePrimary != id {
		v.leasePrimary = id
		v.leaseRenewed = asOf
		return
	}
	v.leaseRenewed = max(v.leaseRenewed, asOf)
}

// MinPosition returns the log position that a replica must have applied so that a read
// sees everything that was acknowledged before since, and the session's own
// writes up to own. It returns false if no position read after since is known.
func (v *View) MinPosition(since time.Duration, own logpos.Position) (logpos.Position, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.used = uptime.Now()
	p, ok := v.watermarks.MinPosition(since)
	l, _ := v.leader()
	if !ok && l.Phase == leader.Changing && !l.LogEnd.IsZero() && v.tables.AsOf(v.fleet) >= since {
		p = l.LogEnd
		ok = true
	}
	if own.Newer(p) {
		p = own
	}
	return p, ok
}

// RecordPosition records that the primary id answered that its log ends at p, to a
// request sent at asked. The position counts only if id still has its lease.
func (v *View) RecordPosition(id string, asked time.Duration, p logpos.Position) {
	if p.IsZero() || !v.HasLease(id) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watermarks.Add(asked, p)
}

// RecordPeerReport records what another host knows of the primary id: a log
// position that was asked for at asked, and when the primary last answered.
func (v *View) RecordPeerReport(id string, asked time.Duration, p logpos.Position, answered time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !p.IsZero() {
		v.watermarks.Add(asked, p)
	}
	if v.peerPrimary != id {
		v.peerPrimary = id
		v.peerAnswered = answered
		return
	}
	v.peerAnswered = max(v.peerAnswered, answered)
}

// NewestPosition returns the newest known log position of the primary and when it
// was asked for.
func (v *View) NewestPosition() (asked time.Duration, p logpos.Position, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.watermarks.Newest()
}

// LastLeaseRenewal returns the primary whose lease was last renewed by its replicas, and
// when all of them were last seen to follow it.
func (v *View) LastLeaseRenewal() (id string, asOf time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leasePrimary, v.leaseRenewed
}

// LastUse returns when a caller of this host last used the service; 0 if none did.
func (v *View) LastUse() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.used
}

// LastAnswer returns when the instance last answered this host or, as far as
// known, another one.
func (v *View) LastAnswer(id string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	last := v.instance(id).answered
	if v.peerPrimary == id {
		last = max(last, v.peerAnswered)
	}
	return last
}

// UnreachableSince reports whether this host cannot reach the primary, and since
// when.
func (v *View) UnreachableSince() (since time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, _ := v.leader()
	in := v.instance(l.Primary)
	return in.failingSince, in.failing
}

// BeginTransaction records that a transaction on the primary begins.
func (v *View) BeginTransaction() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.openTransactions++
}

// EndTransaction records that a transaction on the primary has ended.
func (v *View) EndTransaction() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.openTransactions--
}

// HasOpenTransactions reports whether transactions are open on the primary.
func (v *View) HasOpenTransactions() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.openTransactions > 0
}
