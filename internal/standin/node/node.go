// Package node joins an instance's log, data and locks under one mutex.
package node

import (
	"strconv"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/standin/change"
	"wasabislip.example/wasabislip/internal/standin/knobs"
	"wasabislip.example/wasabislip/internal/standin/ledger"
	"wasabislip.example/wasabislip/internal/standin/pgerr"
	"wasabislip.example/wasabislip/internal/standin/store"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// Node is the state of one instance. Entries received by a replica become
// visible once they are as old as the apply lag. It is safe for concurrent
// use.
type Node struct {
	faults *knobs.Knobs

	mu      sync.Mutex
	log     *ledger.Ledger
	data    *store.Store
	applied logpos.Position
	changed chan struct{}
}

// New returns a node without a role and with an empty log.
func New(faults *knobs.Knobs) *Node {
	return &Node{
		faults:  faults,
		log:     ledger.New(),
		data:    store.New(),
		changed: make(chan struct{}),
	}
}

// Status returns the columns fence, term, role, received, applied and
// end_of_terms.
func (n *Node) Status() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyDue(n.log.Role == ledger.Primary)
	return []string{
		strconv.FormatUint(n.log.Fence, 10),
		strconv.FormatUint(n.log.Term, 10),
		n.log.Role,
		n.log.Received().String(),
		n.applied.String(),
		n.log.EndOfTerms(),
	}
}

// Check returns LT001 when term is below the fence.
func (n *Node) Check(term uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.Check(term)
}

// IsPrimary reports whether the node accepts writes.
func (n *Node) IsPrimary() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.Role == ledger.Primary
}

// Fence raises the fence to term.
func (n *Node) Fence(term uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyDue(n.log.Role == ledger.Primary)
	err := n.log.RaiseFence(term)
	n.notify()
	return err
}

// Promote makes the node primary of term and applies all it received.
func (n *Node) Promote(term uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.log.Promote(term, time.Now()); err != nil {
		return err
	}
	n.applyDue(true)
	n.notify()
	return nil
}

// Follow makes the node a replica in term.
func (n *Node) Follow(term uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyDue(n.log.Role == ledger.Primary)
	err := n.log.Follow(term)
	n.notify()
	return err
}

// Rewind discards the entries that a primary of term with these ends does
// not hold, and returns how many were discarded.
func (n *Node) Rewind(term uint64, ends []logpos.Position) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log.Role != ledger.Replica || n.log.Term != term {
		return 0, pgerr.New(pgerr.NotInRole, "the instance does not follow in this term; ask it to follow again")
	}
	applied := n.applied.Offset
	dropped := n.log.Rewind(ends)
	if n.log.Received().Offset < applied {
		n.rebuild()
	}
	return dropped, nil
}

// rebuild applies the whole log anew.
func (n *Node) rebuild() {
	n.data = store.New()
	n.applied = logpos.Position{}
	n.applyDue(true)
}

// Receive adds entries of the primary of term.
func (n *Node) Receive(term uint64, entries []change.Change) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range entries {
		if err := n.log.Receive(term, c, time.Now()); err != nil {
			return err
		}
	}
	n.notify()
	return nil
}

// Received returns the position of the last entry.
func (n *Node) Received() logpos.Position {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.Received()
}

// Writable returns an error unless the node accepts writes: it must be a
// primary and, for a connection bound to a term, the primary of that term.
func (n *Node) Writable(bound bool, term uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.checkWritableLocked(bound, term)
}

func (n *Node) checkWritableLocked(bound bool, term uint64) error {
	if bound {
		if err := n.log.Check(term); err != nil {
			return err
		}
	}
	if n.log.Role != ledger.Primary || (bound && n.log.Term != term) {
		return pgerr.New(pgerr.ReadOnly, "cannot write in a read-only transaction; write to the primary of this term")
	}
	return nil
}

// Commit adds the writes of a transaction, if the node is writable.
func (n *Node) Commit(bound bool, term uint64, c change.Change) (logpos.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkWritableLocked(bound, term); err != nil {
		return logpos.Position{}, err
	}
	p, err := n.log.Append(c, time.Now())
	if err != nil {
		return p, err
	}
	n.applyDue(true)
	n.notify()
	return p, nil
}

// Since returns at most limit entries after offset that the primary of term
// holds, and a channel that is closed once the log or the role changed.
func (n *Node) Since(term, offset uint64, limit int) ([]change.Change, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.log.Role != ledger.Primary || n.log.Term != term {
		return nil, nil, pgerr.New(pgerr.NotInRole, "the instance is not the primary of this term; follow the present primary")
	}
	return n.log.Since(offset, limit), n.changed, nil
}

// Get returns the applied value of key.
func (n *Node) Get(key string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyDue(n.log.Role == ledger.Primary)
	return n.data.Get(key)
}

// Values returns the applied values of keys as of one moment, empty when absent.
func (n *Node) Values(keys []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyDue(n.log.Role == ledger.Primary)
	values := make([]string, 0, len(keys))
	for _, key := range keys {
		v, _ := n.data.Get(key)
		values = append(values, v)
	}
	return values
}

// Elements returns the applied elements of list.
func (n *Node) Elements(list string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyDue(n.log.Role == ledger.Primary)
	return n.data.Elements(list)
}

// advance applies the entries that are old enough, or all.
func (n *Node) applyDue(all bool) {
	due := time.Now().Add(-n.faults.Delay(knobs.ApplyLag))
	for {
		c, received, ok := n.log.At(n.applied.Offset + 1)
		if !ok || (!all && received.After(due)) {
			return
		}
		n.data.Apply(c)
		n.applied = c.Position
	}
}

func (n *Node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}
