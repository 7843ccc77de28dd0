package linedb

import (
	"fmt"
	"slices"
	"time"
)

// Commits returns all commits of all instances, in order.
func (g *Group) Commits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.commits)
}

// appendLog appends the commits of the statement id to the primary's log and sends
// them to the replicas. The caller holds the group's mutex.
func (inst *instance) appendLog(id string, writes []commit) {
	record := Commit{
		ID:       id,
		Instance: inst.id,
	}
	for i := range writes {
		writes[i].id = id
		writes[i].term = inst.term
		record.Writes = append(record.Writes, writes[i].item+"="+writes[i].data)
	}
	inst.group.commits = append(inst.group.commits, record)
	inst.group.noteCommit(id, inst)
	inst.log = append(inst.log, writes...)
	inst.applied = len(inst.log)
	g, term, to := inst.group, inst.term, len(inst.log)
	time.AfterFunc(replicationTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, r := range g.instances {
			if r == inst || r.primary || r.replicationBlocked || r.down || r.pausedTerm > 0 || r.term != term || len(r.log) >= to || !inst.primary {
				continue
			}
			r.log = append([]commit(nil), inst.log[:to]...)
			r.applyLater(to)
		}
	})
}

// replicated reports whether enough replicas hold the log up to the entry
// number to; gone tells that inst has crashed or is not the primary any more.
func (inst *instance) replicated(to int) (enough, gone bool) {
	g := inst.group
	g.mu.Lock()
	defer g.mu.Unlock()
	replicas := 0
	for _, r := range g.instances {
		if r != inst && r.term == inst.term && len(r.log) >= to {
			replicas++
		}
	}
	return replicas >= g.syncReplicas, inst.down || !inst.primary
}

// position returns the log position of the entry with this number, as
// term.number.
func (inst *instance) position(number int) string {
	return fmt.Sprintf("%d.%d", inst.term, number)
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
