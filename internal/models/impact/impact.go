// Package impact compares two configurations and orders the differences by what they
// change for callers.
package impact

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"wasabislip.example/wasabislip/internal/models/draft"
	"wasabislip.example/wasabislip/internal/models/rules"
	"wasabislip.example/wasabislip/pkg/model/space"
)

// Ranks of changes, the worst for callers first.
const (
	removed  = iota // callers are refused
	moved           // callers are served by other rules or instances
	lowered         // callers are refused more often or sooner
	changed         // any other change of what exists
	extended        // callers get more
)

var rankNames = []string{"removed", "moved", "lowered", "changed", "extended"}

// Change is one difference.
type Change struct {
	// Effect is what it does to callers: removed, moved, lowered, changed or extended.
	Effect string
	// Path is the item and its field: databases/shop/timeout.
	Path string
	// Before and After are the values; one that does not exist is empty.
	Before string
	After  string

	rank int
}

// comparison collects the changes between two configurations.
type comparison struct {
	list []Change
}

// Between returns the changes from one configuration to another, the worst for callers
// first. Keys are shown as hashes.
func Between(before, after *draft.Draft) []Change {
	c := &comparison{}
	c.databases(databases(before), databases(after))
	c.keys(owners(before), owners(after))
	c.workspaces(workspaces(before), workspaces(after))
	c.services(services(before), services(after))
	c.number("transactions/idle", before.IdleTransaction.Seconds(), after.IdleTransaction.Seconds())
	slices.SortStableFunc(c.list, func(a, b Change) int {
		return cmp.Compare(a.rank, b.rank)
	})
	return c.list
}

func (c *comparison) add(rank int, path, before, after string) {
	c.list = append(c.list, Change{
		Effect: rankNames[rank],
		Path:   path,
		Before: before,
		After:  after,
		rank:   rank,
	})
}

// text adds a change of a text; rank is its rank.
func (c *comparison) text(rank int, path, before, after string) {
	if before != after {
		c.add(rank, path, before, after)
	}
}

// number adds a change of a limit that serves callers less if it is lower.
func (c *comparison) number(path string, before, after float64) {
	rank := extended
	if after < before {
		rank = lowered
	}
	c.text(rank, path, fmt.Sprint(before), fmt.Sprint(after))
}

// items calls both for the items that exist before and after, and adds the others.
func items[T any](c *comparison, path string, before, after map[string]T, both func(path string, before, after T)) {
	for _, name := range slices.Sorted(maps.Keys(before)) {
		next, ok := after[name]
		if !ok {
			c.add(removed, path+name, "(whole)", "")
			continue
		}
		both(path+name+"/", before[name], next)
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if _, ok := before[name]; !ok {
			c.add(extended, path+name, "", "(whole)")
		}
	}
}

func (c *comparison) databases(before, after map[string]rules.Rules) {
	items(c, "databases/", before, after, func(path string, a, b rules.Rules) {
		c.text(moved, path+"service", a.Service, b.Service)
		c.text(moved, path+"freshness", a.Freshness, b.Freshness)
		rank := extended
		if a.Open {
			rank = removed
		}
		c.text(rank, path+"open", fmt.Sprint(a.Open), fmt.Sprint(b.Open))
		c.number(path+"timeout", a.Timeout.Seconds(), b.Timeout.Seconds())
		c.text(changed, path+"target-latency", a.TargetLatency.String(), b.TargetLatency.String())
		c.text(changed, path+"max-age", a.MaxAge.String(), b.MaxAge.String())
		c.number(path+"priority", -float64(a.Priority), -float64(b.Priority))
	})
}

func (c *comparison) keys(before, after map[string]string) {
	items(c, "keys/", before, after, func(path string, a, b string) {
		c.text(moved, path+"workspace", a, b)
	})
}

func (c *comparison) workspaces(before, after map[string]space.Workspace) {
	items(c, "workspaces/", before, after, func(path string, a, b space.Workspace) {
		c.number(path+"rate", a.Rate, b.Rate)
		c.number(path+"burst", a.Burst, b.Burst)
	})
}

func (c *comparison) services(before, after map[string]draft.Service) {
	items(c, "services/", before, after, func(path string, a, b draft.Service) {
		c.number(path+"connections", float64(a.Connections), float64(b.Connections))
		c.number(path+"sync-replicas", float64(a.SyncReplicas), float64(b.SyncReplicas))
		c.text(changed, path+"warm-up-rate", fmt.Sprint(a.WarmupRate), fmt.Sprint(b.WarmupRate))
	})
}

func databases(d *draft.Draft) map[string]rules.Rules {
	m := map[string]rules.Rules{}
	for _, r := range d.Databases {
		m[r.Database] = r
	}
	return m
}

func services(d *draft.Draft) map[string]draft.Service {
	m := map[string]draft.Service{}
	for _, s := range d.Services {
		m[s.Name] = s
	}
	return m
}

func workspaces(d *draft.Draft) map[string]space.Workspace {
	m := map[string]space.Workspace{}
	for _, w := range d.Workspaces {
		m[w.Name] = w.Workspace
	}
	return m
}

// owners maps the hash of each key to its workspace.
func owners(d *draft.Draft) map[string]string {
	const shown = 6 // bytes; enough to tell some thousand keys apart
	m := map[string]string{}
	for _, w := range d.Workspaces {
		for _, key := range w.Keys {
			sum := sha256.Sum256([]byte(key))
			m["sha256:"+hex.EncodeToString(sum[:shown])] = w.Name
		}
	}
	return m
}
