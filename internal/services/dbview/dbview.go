// Package dbview holds what a host believes of one service's instances: who is
// primary and until when that is certain, how fresh replicas are, and how soon
// each instance answers.
package dbview

import (
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/models/fences"
	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// Lease is how long a host may use a primary after the moment at which
	// nobody had yet begun to replace it. A host that replaces a primary
	// waits that long for hosts that don't answer; see docs/PLATFORM.md.
	Lease = 2500 * time.Millisecond
	// FailingAfter is how long an instance may fail before work avoids it.
	FailingAfter = 150 * time.Millisecond
	// retryLeast and retryMost bound the time between two trials of an
	// instance that fails.
	retryLeast = 250 * time.Millisecond
	retryMost  = 2 * time.Second
	// laggingLeast and laggingMost bound how long a replica is avoided that
	// lacked a position: from the usual lag of a replica to a part of the lag
	// of one that fell far behind.
	laggingLeast = 50 * time.Millisecond
	laggingMost  = 400 * time.Millisecond
)

// tables is the copy of the platform's tables.
type tables interface {
	Servers(service string) []server.Server
	Server(id string) (server.Server, bool)
	Missing(id string) bool
	Evacuated(dataCentre string) bool
	Leader(service string) (l leader.Leader, version uint64, ok bool)
	AsOf(name string) time.Duration
}

// registry tells since when the platform's store lists this host.
type registry interface {
	RegisteredSince() (time.Duration, bool)
}

// View is the belief about one service. It is safe for concurrent use.
type View struct {
	service  string
	centre   string
	fleet    string
	tables   tables
	registry registry

	mu      sync.Mutex
	members map[string]*member
	fences  fences.Fences
	// initial is the primary as long as no change was recorded.
	initial string
	// proof is the primary that all replicas were seen to follow at proven.
	proof  string
	proven time.Duration
	// heardOf is the primary that last answered another host at answered.
	heardOf  string
	answered time.Duration
	// begun counts the transactions open on the primary.
	begun int
}

// member is one instance.
type member struct {
	answered     time.Duration
	failingSince time.Duration
	failing      bool
	nextTrial    time.Duration
	backoff      time.Duration
	latency      time.Duration
	measured     time.Duration
	applied      logpos.Position
	lagging      time.Duration
	lagBackoff   time.Duration
	running      int
}

// New returns the view of a service from a host in a data centre. fleet is the
// name of the table that holds the leaders' records.
func New(service, centre, fleet string, t tables, r registry) *View {
	return &View{
		service:  service,
		centre:   centre,
		fleet:    fleet,
		tables:   t,
		registry: r,
		members:  map[string]*member{},
	}
}

// Service returns the service's name.
func (v *View) Service() string {
	return v.service
}

func (v *View) member(id string) *member {
	m, ok := v.members[id]
	if !ok {
		m = &member{}
		v.members[id] = m
	}
	return m
}

// Leading returns the record in force, or the instance that registered as
// primary where there is no record yet.
func (v *View) Leading() (l leader.Leader, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leading()
}

func (v *View) leading() (leader.Leader, uint64) {
	if l, version, ok := v.tables.Leader(v.service); ok {
		return l, version
	}
	if v.initial == "" {
		v.initial = soleClaim(v.tables.Servers(v.service))
	}
	return leader.Leader{
		Phase:   leader.Settled,
		Primary: v.initial,
	}, 0
}

// soleClaim returns the one instance that registered as primary; none when two
// did, since one of them is superseded.
func soleClaim(list []server.Server) string {
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

// Primary returns the primary to use for new work; reason tells, in kebab
// case, why there is none.
func (v *View) Primary() (s server.Server, reason string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, _ := v.leading()
	if l.Phase != leader.Settled {
		return server.Server{}, "primary-changing"
	}
	s, ok := v.tables.Server(l.Primary)
	if !ok {
		return server.Server{}, "primary-unknown"
	}
	if !v.certain(l.Primary) {
		return server.Server{}, "lease-expired"
	}
	if v.tables.Evacuated(s.DataCentre) {
		return server.Server{}, "primary-evacuated"
	}
	if v.fails(l.Primary) {
		return server.Server{}, "primary-unreachable"
	}
	return s, ""
}

// Certain reports whether id leads and nobody else can have been promoted by
// now. What the primary answered counts only while it holds.
func (v *View) Certain(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, _ := v.leading()
	return l.Phase == leader.Settled && l.Primary == id && v.certain(id)
}

func (v *View) certain(id string) bool {
	registered, ok := v.registry.RegisteredSince()
	if !ok {
		return false
	}
	asOf := v.tables.AsOf(v.fleet)
	if v.proof == id {
		asOf = max(asOf, v.proven)
	}
	return asOf >= registered && uptime.Now()-asOf < Lease
}

// LeaseAge returns how old the moment is from which the primary's lease counts.
func (v *View) LeaseAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	asOf := v.tables.AsOf(v.fleet)
	if l, _ := v.leading(); v.proof == l.Primary {
		asOf = max(asOf, v.proven)
	}
	return uptime.Now() - asOf
}

// Handover reports whether id is being replaced as planned: what it still
// acknowledges is kept, since it stops before its successor starts.
func (v *View) Handover(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, _ := v.leading()
	return l.Phase == leader.Changing && l.Planned && l.Former == id
}

// Proven notes that all replicas were seen to follow id at asOf, so that
// nobody had been promoted by then.
func (v *View) Proven(id string, asOf time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.proof != id {
		v.proof = id
		v.proven = asOf
		return
	}
	v.proven = max(v.proven, asOf)
}

// Floor returns the position that a replica's log must hold so that a read
// sees what was acknowledged before since and the session's own writes.
func (v *View) Floor(since time.Duration, own logpos.Position) (logpos.Position, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.fences.Floor(since)
	l, _ := v.leading()
	if !ok && l.Phase == leader.Changing && !l.Floor.IsZero() && v.tables.AsOf(v.fleet) >= since {
		p = l.Floor
		ok = true
	}
	if own.Newer(p) {
		p = own
	}
	return p, ok
}

// Position notes that the primary id, asked at asked, answered with the end of
// its log. It counts only if id surely led at that time.
func (v *View) Position(id string, asked time.Duration, p logpos.Position) {
	if p.IsZero() || !v.Certain(id) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fences.Add(asked, p)
}

// Heard takes what another host knows of the primary: a position asked for at
// asked, and when the primary last answered.
func (v *View) Heard(id string, asked time.Duration, p logpos.Position, answered time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !p.IsZero() {
		v.fences.Add(asked, p)
	}
	if v.heardOf != id {
		v.heardOf = id
		v.answered = answered
		return
	}
	v.answered = max(v.answered, answered)
}

// Newest returns the newest position known and when it was asked for.
func (v *View) Newest() (asked time.Duration, p logpos.Position, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fences.Newest()
}

// Proof returns until when all replicas were seen to follow a primary.
func (v *View) Proof() (id string, asOf time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.proof, v.proven
}

// LastAnswer returns when the instance last answered any host of the fleet.
func (v *View) LastAnswer(id string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	last := v.member(id).answered
	if v.heardOf == id {
		last = max(last, v.answered)
	}
	return last
}

// Unreachable reports whether this host can't reach the primary, and since
// when.
func (v *View) Unreachable() (since time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l, _ := v.leading()
	m := v.member(l.Primary)
	return m.failingSince, m.failing
}

// Enter notes that a transaction on the primary starts; Leave, that it ended.
func (v *View) Enter() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begun++
}

// Leave notes that a transaction on the primary ended.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begun--
}

// Unfinished reports whether transactions are open on the primary.
func (v *View) Unfinished() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.begun > 0
}
