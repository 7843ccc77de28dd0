// Package member decides which hosts of the fleet are alive. It holds the state
// of a SWIM-style protocol: hosts suspect those that do not answer, spread
// changes by gossip, and refute suspicions of themselves by a higher incarnation
// number.
package member

import (
	"math/bits"
	"slices"
	"time"

	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// forgetAfter is how long a dead host is kept, so that a late message that
	// says it is alive is recognized as outdated.
	forgetAfter = 10 * time.Minute
	// unhealthyFactor multiplies the suspicion timeout while this host itself
	// does not reach a majority.
	unhealthyFactor = 3
	// baseDoublings is the binary logarithm of the fleet size up to which
	// SuspectTimeout applies unchanged.
	baseDoublings = 6
)

// Table is the membership table of one host. It is not safe for concurrent use.
type Table struct {
	// SuspectTimeout is how long a suspect has to refute before it is declared
	// dead.
	SuspectTimeout time.Duration
	// Healthy says that this host reaches a majority of the known hosts.
	Healthy bool
	// Version increases with each change of a host's state, address or start time.
	Version uint64
	// Superseded says that a later process uses this host's name.
	Superseded bool

	self     string
	entries  map[string]*entry
	lastTick time.Time
	// probed is when this host last probed another one, heard when it last had
	// an answer or a message from it.
	probed map[string]time.Time
	heard  map[string]time.Time
	// lastContact is when another host last reached this one.
	lastContact time.Time
	// withdrawn says that this host is leaving because no other host reaches it.
	withdrawn bool
}

type entry struct {
	host.Host
	// since is when this host last changed the state.
	since time.Time
	// sent is how often the entry was gossiped since its last change.
	sent int
	// left says that the host was leaving before it was declared dead.
	left bool
}

// New returns the table of a host that has just started and knows only itself.
// Its first incarnation is its start time, so that it is above those of former
// processes of the same name.
func New(self host.Host, suspectTimeout time.Duration) *Table {
	self.State = host.Alive
	if self.Incarnation == 0 {
		self.Incarnation = uint64(max(1, self.Started.UnixMilli()))
	}
	t := &Table{
		SuspectTimeout: suspectTimeout,
		Healthy:        true,
		self:           self.Name,
		entries:        map[string]*entry{},
		lastTick:       time.Now(),
		probed:         map[string]time.Time{},
		heard:          map[string]time.Time{},
		lastContact:    time.Now(),
	}
	t.put(self)
	return t
}

// Self returns this host's own entry.
func (t *Table) Self() host.Host {
	return t.entries[t.self].Host
}

// Get returns the host called name.
func (t *Table) Get(name string) (host.Host, bool) {
	e, ok := t.entries[name]
	if !ok {
		return host.Host{}, false
	}
	return e.Host, true
}

// Hosts returns all known hosts, dead ones included, sorted by name.
func (t *Table) Hosts() []host.Host {
	list := make([]host.Host, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e.Host)
	}
	slices.SortFunc(list, func(a, b host.Host) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// Size returns the number of known hosts that are not dead.
func (t *Table) Size() int {
	n := 0
	for _, e := range t.entries {
		if e.Reachable() {
			n++
		}
	}
	return n
}

// SetConfig records the version of the configuration in force on this host.
func (t *Table) SetConfig(version uint64) {
	e := t.entries[t.self]
	if version > e.ConfigVersion {
		e.ConfigVersion = version
		e.sent = 0
	}
}

// Leave announces that this host takes no new work.
func (t *Table) Leave() {
	self := t.Self()
	self.State = host.Leaving
	self.Incarnation++
	t.withdrawn = false
	t.put(self)
}

// Rejoin announces that this host takes new work again after Leave.
func (t *Table) Rejoin() {
	self := t.Self()
	if self.State != host.Leaving {
		return
	}
	self.State = host.Alive
	self.Incarnation++
	t.withdrawn = false
	t.put(self)
}

// Merge merges the entries that another host sent.
func (t *Table) Merge(list []host.Host) {
	for _, h := range list {
		switch {
		case h.Name == "" || rank(h.State) < 0:
		case h.Name == t.self:
			t.refute(h)
		default:
			t.mergeOne(h)
		}
	}
}

// refute answers an outdated entry of this host with a higher incarnation. An
// entry with another start time is of another process of this name. If it
// started later at another address, it takes the name over. At the same address
// it can only be a former process whose clock ran ahead.
func (t *Table) refute(h host.Host) {
	self := t.Self()
	if h.Incarnation < self.Incarnation {
		return
	}
	otherProcess := h.Started.UnixMilli() != self.Started.UnixMilli()
	if otherProcess && h.Address != self.Address && h.Started.After(self.Started) {
		t.Superseded = true
		return
	}
	if !otherProcess && h.Incarnation == self.Incarnation && rank(h.State) <= rank(self.State) {
		return
	}
	self.Incarnation = h.Incarnation + 1
	t.put(self)
}

// mergeOne merges an entry of another host: the higher incarnation wins, and
// within one incarnation the state of higher rank.
func (t *Table) mergeOne(h host.Host) {
	e, ok := t.entries[h.Name]
	switch {
	case !ok && h.State == host.Dead:
		return
	case !ok || h.Incarnation > e.Incarnation:
		t.put(h)
		return
	case h.Incarnation < e.Incarnation:
		return
	}
	if h.ConfigVersion > e.ConfigVersion {
		e.ConfigVersion = h.ConfigVersion
		e.sent = 0
	}
	state := h.State
	if state == host.Dead && e.State != host.Leaving {
		// The host that declared it dead may itself have been cut off, so
		// the host is only suspected and has time to refute.
		state = host.Suspect
	}
	if rank(state) > rank(e.State) {
		t.setState(e, state)
	}
}

// put stores h as a change to be gossiped.
func (t *Table) put(h host.Host) {
	t.entries[h.Name] = &entry{
		Host:  h,
		since: time.Now(),
	}
	t.Version++
}

// setState changes the state of e, a change to be gossiped.
func (t *Table) setState(e *entry, state string) {
	e.left = e.State == host.Leaving
	e.State = state
	e.since = time.Now()
	e.sent = 0
	t.Version++
}

// RecordFailure records that neither this host nor those it asked to probe name
// could reach it. A host that is alive becomes suspect. One that is leaving is
// dead at once: it was expected to go.
func (t *Table) RecordFailure(name string) {
	e, ok := t.entries[name]
	if !ok || name == t.self {
		return
	}
	switch e.State {
	case host.Alive:
		t.setState(e, host.Suspect)
	case host.Leaving:
		t.setState(e, host.Dead)
	}
}

// Tick declares suspects dead that did not refute in time, removes hosts that
// have been dead for long, and returns the hosts that it declared dead. Time for
// which this process was paused does not count against the suspects.
func (t *Table) Tick() []host.Host {
	now := time.Now()
	pause := now.Sub(t.lastTick)
	t.lastTick = now
	timeout := t.suspectTimeout()
	if pause > timeout/2 {
		t.lastContact = t.lastContact.Add(pause)
	}
	var died []host.Host
	for name, e := range t.entries {
		if pause > timeout/2 {
			e.since = e.since.Add(pause)
		}
		switch {
		case e.State == host.Suspect && now.Sub(e.since) >= timeout:
			t.setState(e, host.Dead)
			died = append(died, e.Host)
		case e.State == host.Dead && now.Sub(e.since) >= forgetAfter:
			t.forget(name)
		}
	}
	return died
}

// suspectTimeout returns how long a suspect has to refute: longer in a large
// fleet, where gossip takes longer to reach all hosts.
func (t *Table) suspectTimeout() time.Duration {
	doublings := max(bits.Len(uint(len(t.entries))), baseDoublings)
	timeout := t.SuspectTimeout * time.Duration(doublings) / baseDoublings
	if !t.Healthy {
		timeout *= unhealthyFactor
	}
	return timeout
}

func (t *Table) forget(name string) {
	delete(t.entries, name)
	delete(t.probed, name)
	delete(t.heard, name)
	t.Version++
}

// rank orders the states within one incarnation: the higher one wins. It is -1
// for an unknown state.
func rank(state string) int {
	return slices.Index([]string{
		host.Alive,
		host.Suspect,
		host.Leaving,
		host.Dead,
	}, state)
}
