// Package linedb is a stand-in of one service's database instances: a primary
// and its replicas that speak the platform's line protocol. It has statement
// slots, replication lag, terms, replicas whose replication is paused, and
// answers that get lost.
package linedb

import (
	"fmt"
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
	syncReplicas    int
	executions      []execution
	promotionOrders []string
}

// commit is one entry of the log: an item gets a value.
type commit struct {
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
	// loseAnswers tells that callers' statements run but are not answered.
	loseAnswers bool
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
func (g *Group) SetTimes(lag, work time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ApplyLag = lag
	g.StatementTime = work
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
	g.instances[id] = &instance{
		group:    g,
		id:       id,
		primary:  len(g.instances) == 0,
		term:     1,
		slots:    make(chan struct{}, g.Slots),
		sessions: map[*session]struct{}{},
	}
}

// Primary returns the primary of the newest term.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	best := ""
	var term uint64
	for id, n := range g.instances {
		if n.primary && n.term > term {
			best = id
			term = n.term
		}
	}
	return best
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
	n := g.instances[id]
	n.down = true
	for s := range n.sessions {
		_ = s.conn.Close()
	}
}

// Start restarts a crashed instance with its log.
func (g *Group) Start(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.instances[id]
	n.down = false
	for _, other := range g.instances {
		if other.primary && other.term > n.term {
			n.follow(other)
		}
	}
}

// BlockReplication keeps an instance from receiving log entries, or lets it
// catch up.
func (g *Group) BlockReplication(id string, blocked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.instances[id]
	n.replicationBlocked = blocked
	if !blocked {
		g.resync(n)
	}
}

// LoseAnswers makes an instance run callers' statements without answering them.
func (g *Group) LoseAnswers(id string, lose bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances[id].loseAnswers = lose
}

// Promote makes an instance the primary of the next term after promotionTime.
// It returns false when the instance is down or does not exist.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	n := g.instances[id]
	if n == nil || n.down {
		g.mu.Unlock()
		return false
	}
	newest := g.newestTerm()
	if n.primary && n.term == newest {
		g.mu.Unlock()
		return true
	}
	g.mu.Unlock()
	time.AfterFunc(promotionTime, func() {
		g.becomePrimary(n, newest+1)
	})
	return true
}

// newestTerm returns the highest term of all instances. The caller holds mu.
func (g *Group) newestTerm() uint64 {
	var term uint64
	for _, n := range g.instances {
		term = max(term, n.term)
	}
	return term
}

// becomePrimary makes n the primary of term, unless it is down or a term at
// least as high exists.
func (g *Group) becomePrimary(n *instance, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n.down || g.newestTerm() >= term {
		return
	}
	n.primary = true
	n.term = term
	n.pausedTerm = 0
	n.applied = len(n.log)
	for _, other := range g.instances {
		if other != n && !other.down && !other.replicationBlocked && !other.primary {
			other.follow(n)
		}
	}
}

// follow makes n a replica of primary and copies its log.
func (n *instance) follow(primary *instance) {
	n.primary = false
	n.term = primary.term
	n.pausedTerm = 0
	n.log = append([]commit(nil), primary.log...)
	n.applied = min(n.applied, len(n.log))
	n.applyLater(len(n.log))
}

// resync makes n follow a running primary whose term is at least its own.
// The caller holds mu.
func (g *Group) resync(n *instance) {
	for _, p := range g.instances {
		if p.primary && !p.down && p != n && p.term >= n.term && !n.primary {
			n.follow(p)
		}
	}
}

// applyLater makes the log up to the entry number to visible to reads after
// the apply lag.
func (n *instance) applyLater(to int) {
	g := n.group
	time.AfterFunc(g.ApplyLag, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		n.applied = max(n.applied, min(to, len(n.log)))
	})
}

// appendLog appends commits to the primary's log and sends them to the
// replicas. The caller holds the group's mutex.
func (n *instance) appendLog(writes []commit) {
	for i := range writes {
		writes[i].term = n.term
	}
	n.log = append(n.log, writes...)
	n.applied = len(n.log)
	g, term, to := n.group, n.term, len(n.log)
	time.AfterFunc(replicationTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, r := range g.instances {
			if r == n || r.primary || r.replicationBlocked || r.down || r.pausedTerm > 0 || r.term != term || len(r.log) >= to || !n.primary {
				continue
			}
			r.log = append([]commit(nil), n.log[:to]...)
			r.applyLater(to)
		}
	})
}

// replicated reports whether enough replicas hold the log up to the entry
// number to; gone tells that n crashed or is no primary any more.
func (n *instance) replicated(to int) (enough, gone bool) {
	g := n.group
	g.mu.Lock()
	defer g.mu.Unlock()
	holders := 0
	for _, r := range g.instances {
		if r != n && r.term == n.term && len(r.log) >= to {
			holders++
		}
	}
	return holders >= g.syncReplicas, n.down || !n.primary
}

// position returns the log position of the entry with this number, as
// term.number.
func (n *instance) position(number int) string {
	return fmt.Sprintf("%d.%d", n.term, number)
}

// execution is one statement that an instance ran for a caller.
type execution struct {
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
	// InTransaction tells that it ran inside a transaction block.
	InTransaction bool
}

// Executions returns the statements that ran, in order.
func (g *Group) Executions() []execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]execution(nil), g.executions...)
}

// CommittedValue returns the newest value of an item in the log of the newest
// term's primary ("-" when the item has none), and that term.
func (g *Group) CommittedValue(item string) (value string, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	value = "-"
	for _, c := range g.newestPrimary().log {
		if c.item == item {
			value = c.data
		}
	}
	return value, g.newestPrimary().term
}

// CountCommitted counts how often each value occurs in the log of the newest
// term's primary; the keys are item=data.
func (g *Group) CountCommitted() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[string]int{}
	for _, c := range g.newestPrimary().log {
		counts[c.item+"="+c.data]++
	}
	return counts
}

// newestPrimary returns the primary of the newest term, or the instance with
// the longest log when there is no primary. The caller holds mu.
func (g *Group) newestPrimary() *instance {
	var best *instance
	for _, n := range g.instances {
		if n.primary && (best == nil || n.term > best.term) {
			best = n
		}
	}
	if best == nil {
		for _, n := range g.instances {
			if best == nil || len(n.log) > len(best.log) {
				best = n // the old primary stepped down and the new one is not promoted yet
			}
		}
	}
	return best
}
