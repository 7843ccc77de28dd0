package linedb

import (
	"fmt"
	"slices"
	"time"
)

// outcome is what became of the commit of one statement.
type outcome struct {
	// instance committed it at this time.
	instance string
	at       time.Time
	// leader is the instance that led a later term by then, or empty. Such a commit
	// must not be acknowledged.
	leader string
	// mayBeLost tells that it was lost in a way that is allowed.
	mayBeLost bool
}

// noteCommit records the commit of the statement id by inst. The caller holds mu.
func (g *Group) noteCommit(id string, inst *instance) {
	o := &outcome{
		instance: inst.id,
		at:       time.Now(),
	}
	if inst != g.leader && inst.term < g.leader.term {
		o.leader = g.leader.id
	}
	if g.outcomes == nil {
		g.outcomes = map[string]*outcome{}
	}
	g.outcomes[id] = o
}

// noteTakeover records that next is about to take writes, and which commits of its
// predecessor may be lost with that: those that no other live instance holds, unless
// the predecessor stepped down and still runs. With synchronous replicas an instance
// that is down counts too: what it holds must be waited for. The caller holds mu.
func (g *Group) noteTakeover(next *instance) {
	former := g.leader
	g.leader = next
	if former == next {
		return
	}
	held := map[string]bool{}
	for _, other := range g.instances {
		if other == former || other.down && g.syncReplicas == 0 {
			continue
		}
		for _, c := range other.log {
			held[c.id] = true
		}
	}
	for _, c := range former.log {
		if !held[c.id] && (!former.steppedDown || former.down) {
			g.outcomes[c.id].mayBeLost = true
		}
	}
}

// Acknowledge records that a caller was told the success of the statement id. wrote
// tells that it was a write of its own, not one within a transaction.
func (g *Group) Acknowledge(id string, wrote bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.acknowledged == nil {
		g.acknowledged = map[string]bool{}
	}
	g.acknowledged[id] = wrote
}

// SupersededWrites describes the acknowledged writes that an instance committed after
// another one had begun to take writes: two primaries served at once.
func (g *Group) SupersededWrites() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for id := range g.acknowledged {
		o := g.outcomes[id]
		if o != nil && o.leader != "" {
			list = append(list, fmt.Sprintf("%s was acknowledged, but %s committed it at %s, when %s was the primary", id, o.instance, o.at.UTC().Format(timeOfDay), o.leader))
		}
	}
	slices.Sort(list)
	return list
}

// LostWrites describes the acknowledged writes that the log of the newest primary lacks
// although docs/PLATFORM.md promises that they are kept.
func (g *Group) LostWrites() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := map[string]bool{}
	for _, c := range g.newestPrimary().log {
		kept[c.id] = true
	}
	var list []string
	for id, wrote := range g.acknowledged {
		o := g.outcomes[id]
		switch {
		case o == nil && wrote:
			list = append(list, id+" was acknowledged, but no instance committed it")
		case o != nil && !kept[id] && !o.mayBeLost && o.leader == "":
			list = append(list, fmt.Sprintf("%s was acknowledged, but what %s committed at %s is lost", id, o.instance, o.at.UTC().Format(timeOfDay)))
		}
	}
	slices.Sort(list)
	return list
}

// timeOfDay is the format of times in descriptions.
const timeOfDay = "15:04:05.000"
