// Package linedb is a stand-in for one service's database instances: a primary
// and its replicas that speak the platform's line protocol. It has statement
// slots, replication lag, terms, replicas whose replication is paused, and
// answers that get lost.
package linedb

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// replicationTime is how long a commit takes to reach a replica.
const replicationTime = time.Millisecond

// syncTimeout is how long a commit waits for synchronous replicas before its
// connection is closed.
const syncTimeout = 5 * time.Second

// promotionTime is how long a promotion takes.
const promotionTime = 300 * time.Millisecond

// Group is the instances of one service. It is safe for concurrent use.
type Group struct {
	// Service is the service's name.
	Service string
	// ApplyLag is how long replicas take to apply what they received.
	ApplyLag time.Duration
	// StatementTime is how long a read, a write or a commit holds a slot.
	StatementTime time.Duration
	// Slots is how many statements an instance runs at once, Connections how
	// many connections it accepts.
	Slots       int
	Connections int

	mu        sync.Mutex
	instances map[string]*instance
	// syncReplicas is how many replicas must receive a commit before it is
	// acknowledged.
	syncReplicas int
	executions   []Execution
	commits      []Commit
	// transactions is how many transactions were begun.
	transactions    int
	promotionOrders []string
	// lastToken and lastHolder are those of the newest order, badTokens the number
	// of orders that broke their sequence.
	lastToken  uint64
	lastHolder string
	badTokens  int
	// leader is the instance that was the last to begin to take writes.
	leader *instance
	// outcomes holds the commits by the id of their statement, acknowledged the
	// statements whose success callers were told; see Acknowledge.
	outcomes      map[string]*outcome
	acknowledged  map[string]bool
	statusQueries int
	// sentRows holds the rows of the answers to each statement, by its id, joined by
	// CR LF.
	sentRows map[string][]string
	// rowsPerRead is how often a read returns the item; 0 counts as 1.
	rowsPerRead int
}

// SetRowsPerRead makes reads return the item's value n times.
func (g *Group) SetRowsPerRead(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rowsPerRead = n
}

// CountStatusQueries returns how many status queries the instances have received.
func (g *Group) CountStatusQueries() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statusQueries
}

// commit is one entry of the log: an item gets a value.
type commit struct {
	// id is that of the statement that committed it.
	id   string
	term uint64
	item string
	data string
}

// instance is one database instance of a group. The group's mutex guards it.
type instance struct {
	group   *Group
	id      string
	primary bool
	term    uint64
	log     []commit
	// applied is how many log entries are visible to reads.
	applied int
	// pausedTerm is the term of the PAUSE that stopped replication, or 0.
	pausedTerm uint64
	// replicationBlocked tells that the instance receives no log entries.
	replicationBlocked bool
	down               bool
	// steppedDown tells that it led and gave that up when it was asked to.
	steppedDown bool
	// loseAnswers tells that callers' statements run but are not answered.
	loseAnswers bool
	// repeatAfter is how long after each answer it is sent once more; 0 is never.
	repeatAfter time.Duration
	// refuseEvery is the number of the caller's statement that is refused as BUSY, over
	// and over; 0 is none. received counts them.
	refuseEvery int
	received    int
	// disturbance is what happens to answers; rng decides to which.
	disturbance disturbance
	rng         *rand.Rand
	// busy tells that status requests and commands are answered BUSY.
	busy        bool
	connections int
	slots       chan struct{}
	sessions    map[*session]struct{}
}

// SetSyncReplicas sets how many replicas must receive a commit before it is
// acknowledged.
func (g *Group) SetSyncReplicas(replicas int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.syncReplicas = replicas
}

// SetTimes sets how long replicas take to apply entries and how long
// statements run.
func (g *Group) SetTimes(applyLag, statementTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ApplyLag = applyLag
	g.StatementTime = statementTime
}

func (g *Group) statementTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.StatementTime
}

// Add adds an instance; the first one is the primary.
func (g *Group) Add(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.instances == nil {
		g.instances = map[string]*instance{}
	}
	inst := &instance{
		group:    g,
		id:       id,
		primary:  len(g.instances) == 0,
		term:     1,
		slots:    make(chan struct{}, g.Slots),
		rng:      rand.New(rand.NewPCG(0, uint64(len(g.instances)))),
		sessions: map[*session]struct{}{},
	}
	if inst.primary {
		g.leader = inst
	}
	g.instances[id] = inst
}

// Primary returns the primary of the newest term.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	best := ""
	var term uint64
	for id, inst := range g.instances {
		if inst.primary && inst.term > term {
			best = id
			term = inst.term
		}
	}
	return best
}

// RunningPrimary returns the primary of the newest term that is not down, or "".
func (g *Group) RunningPrimary() string {
	id := g.Primary()
	g.mu.Lock()
	defer g.mu.Unlock()
	if id == "" || g.instances[id].down {
		return ""
	}
	return id
}

// IsPrimary reports whether an instance takes itself for the primary.
func (g *Group) IsPrimary(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.instances[id].primary
}

// Crash closes an instance's connections, and new ones too until Start.
func (g *Group) Crash(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inst := g.instances[id]
	inst.down = true
	for s := range inst.sessions {
		_ = s.conn.Close()
	}
}

// Start restarts a crashed instance with its log. It receives again if it had been told
// to stop.
func (g *Group) Start(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inst := g.instances[id]
	inst.down = false
	inst.pausedTerm = 0
	for _, other := range g.instances {
		if other.primary && other.term > inst.term {
			inst.follow(other)
		}
	}
}

// BlockReplication keeps an instance from receiving log entries, or lets it
// catch up.
func (g *Group) BlockReplication(id string, blocked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inst := g.instances[id]
	inst.replicationBlocked = blocked
	if !blocked {
		g.resync(inst)
	}
}

// LoseAnswers makes an instance run callers' statements without answering them.
func (g *Group) LoseAnswers(id string, lose bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances[id].loseAnswers = lose
}

// RepeatAnswers makes an instance send each answer a second time after a while; 0 ends
// that.
func (g *Group) RepeatAnswers(id string, after time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances[id].repeatAfter = after
}

// RefuseEvery makes an instance answer every nth read, write or commit with BUSY; 0 ends
// that.
func (g *Group) RefuseEvery(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances[id].refuseEvery = n
}

// refuses reports whether the instance refuses a statement that it has just received.
func (inst *instance) refuses() bool {
	g := inst.group
	g.mu.Lock()
	defer g.mu.Unlock()
	inst.received++
	return inst.refuseEvery > 0 && inst.received%inst.refuseEvery == 0 || inst.chance(inst.disturbance.refuseShare)
}

// recordRows records the rows of an answer to the statement id. The caller holds mu.
func (g *Group) recordRows(id string, rows []string) {
	if g.sentRows == nil {
		g.sentRows = map[string][]string{}
	}
	g.sentRows[id] = append(g.sentRows[id], strings.Join(rows, "\r\n"))
}

// HasSent reports whether an instance sent these rows in answer to the statement id.
func (g *Group) HasSent(id string, rows []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(g.sentRows[id], strings.Join(rows, "\r\n"))
}

// SetBusy makes an instance answer status requests and commands with BUSY.
func (g *Group) SetBusy(id string, busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances[id].busy = busy
}

// Promote makes an instance the primary of the next term after promotionTime,
// unless it is the primary of the newest term already. It returns false when the
// instance is down or does not exist.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	inst := g.instances[id]
	if inst == nil || inst.down {
		g.mu.Unlock()
		return false
	}
	newest := g.newestTerm()
	if inst.primary && inst.term == newest {
		g.mu.Unlock()
		return true
	}
	g.mu.Unlock()
	time.AfterFunc(promotionTime, func() {
		g.becomePrimary(inst, newest+1)
	})
	return true
}

// newestTerm returns the highest term of all instances. The caller holds mu.
func (g *Group) newestTerm() uint64 {
	var term uint64
	for _, inst := range g.instances {
		term = max(term, inst.term)
	}
	return term
}

// becomePrimary makes inst the primary of term, unless it is down or a term at
// least as high exists.
func (g *Group) becomePrimary(inst *instance, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if inst.down || g.newestTerm() >= term {
		return
	}
	g.noteTakeover(inst)
	inst.primary = true
	inst.steppedDown = false
	inst.term = term
	inst.pausedTerm = 0
	inst.applied = len(inst.log)
	for _, other := range g.instances {
		if other != inst && !other.down && !other.replicationBlocked && !other.primary {
			other.follow(inst)
		}
	}
}

// follow makes inst a replica of primary and copies its log.
func (inst *instance) follow(primary *instance) {
	inst.primary = false
	inst.steppedDown = false
	inst.term = primary.term
	inst.pausedTerm = 0
	inst.log = append([]commit(nil), primary.log...)
	inst.applied = min(inst.applied, len(inst.log))
	inst.applyLater(len(inst.log))
}

// resync makes inst follow a running primary whose term is at least its own.
// The caller holds mu.
func (g *Group) resync(inst *instance) {
	for _, p := range g.instances {
		if p.primary && !p.down && p != inst && p.term >= inst.term && !inst.primary {
			inst.follow(p)
		}
	}
}

// applyLater makes the log up to the entry number to visible to reads after
// the apply lag.
func (inst *instance) applyLater(to int) {
	g := inst.group
	time.AfterFunc(g.ApplyLag, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		inst.applied = max(inst.applied, min(to, len(inst.log)))
	})
}

// Commit is what an instance committed for one statement. A later primary may lack it.
type Commit struct {
	// ID is the id of the statement, Instance the one that ran it.
	ID       string
	Instance string
	// Writes are the items and their data, as item=data, in the order of the log.
	Writes []string
}

// Execution is one statement that an instance ran for a caller.
type Execution struct {
	// At is when it ran.
	At time.Time
	// ID is the statement's id, as the caller gave it; Text is the statement
	// as received.
	ID   string
	Text string
	// Instance ran it for Workspace.
	Instance  string
	Workspace string
	// SessionValues are the session values in force when it ran.
	SessionValues map[string]string
	// InTransaction tells that it ran inside a transaction block. Transaction is the
	// number of that block, unique in the group, or 0; ReadOnly is its mode.
	InTransaction bool
	Transaction   int
	ReadOnly      bool
	// Declared is what the prepared name of an EXECUTE stood for.
	Declared string
}

// Executions returns the statements that ran, in order.
func (g *Group) Executions() []Execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Execution(nil), g.executions...)
}

// newestPrimary returns the primary of the newest term, or the instance with
// the longest log when there is no primary. The caller holds mu.
func (g *Group) newestPrimary() *instance {
	var best *instance
	for _, inst := range g.instances {
		if inst.primary && (best == nil || inst.term > best.term) {
			best = inst
		}
	}
	if best == nil {
		for _, inst := range g.instances {
			if best == nil || len(inst.log) > len(best.log) {
				best = inst // the old primary stepped down and the new one is not promoted yet
			}
		}
	}
	return best
}
