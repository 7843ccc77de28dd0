// Package verify finds the mistakes of a configuration: entries that can never match, and
// limits that contradict each other.
package verify

import (
	"fmt"
	"time"

	"wasabislip.example/wasabislip/internal/models/draft"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// minMaxAge is the age from which replicas can be known to be fresh enough: the position
// of a primary without traffic is asked for every 350 ms, and takes up to a round trip.
const minMaxAge = 400 * time.Millisecond

// Finding is one mistake.
type Finding struct {
	// List, Index and Field are the place; see draft.Draft.Locate.
	List  string
	Index int
	Field string
	// Warning says that callers are served in spite of it.
	Warning bool
	// Message says what is wrong, and Remedy what to do.
	Message string
	Remedy  string
}

// checker collects the findings of one configuration.
type checker struct {
	draft *draft.Draft
	hosts int
	list  []Finding
}

// Check returns the mistakes of a configuration in the order of its entries. hosts is the
// number of hosts of the fleet; 0 if unknown.
func Check(d *draft.Draft, hosts int) []Finding {
	c := &checker{
		draft: d,
		hosts: hosts,
	}
	c.checkDatabases()
	c.checkServices()
	c.checkWorkspaces()
	return c.list
}

func (c *checker) add(warning bool, list string, index int, field, message, remedy string) {
	c.list = append(c.list, Finding{
		List:    list,
		Index:   index,
		Field:   field,
		Warning: warning,
		Message: message,
		Remedy:  remedy,
	})
}

func (c *checker) checkDatabases() {
	services := map[string]bool{}
	for _, s := range c.draft.Services {
		services[s.Name] = true
	}
	last := map[string]int{}
	for i, r := range c.draft.Databases {
		last[r.Database] = i
	}
	for i, r := range c.draft.Databases {
		bad := func(field, message, remedy string) {
			c.add(false, draft.Databases, i, field, message, remedy)
		}
		if r.Database == "" {
			bad(draft.Name, "no database is named, so that no caller can match", "name the database")
		}
		if n := last[r.Database]; n != i {
			bad(draft.Name, fmt.Sprintf("%q is declared again by entry %d, which hides this one", r.Database, n), "remove one of them")
		}
		if !services[r.Service] {
			bad(draft.ServiceName, fmt.Sprintf("no service is named %q, so that no instance serves %q", r.Service, r.Database), "name a service of the configuration")
		}
		if r.Freshness == "" {
			bad(draft.Freshness, "the type is not known", "use primary, bounded_staleness or read_your_writes")
		}
		if r.Timeout <= 0 {
			bad(draft.Timeout, "no statement can be run in time", "use a time above 0")
		}
		if r.TargetLatency <= 0 {
			bad(draft.TargetLatency, "no statement may wait at all", "use a time above 0")
		}
		if r.Timeout > 0 && r.Timeout < r.TargetLatency {
			bad(draft.Timeout, fmt.Sprintf("the timeout %s is below the target latency %s", r.Timeout, r.TargetLatency), "raise the timeout or lower the target")
		}
		switch {
		case r.MaxAge < 0:
			bad(draft.MaxAge, "an age can't be below 0", "use 0 or more")
		case (r.Freshness == route.Bounded || r.Freshness == route.Session) && r.MaxAge < minMaxAge:
			c.add(true, draft.Databases, i, draft.MaxAge,
				fmt.Sprintf("replicas are seldom known to be as fresh as %s, so that reads go to the primary", r.MaxAge),
				fmt.Sprintf("use %s or more, or the type primary", minMaxAge))
		}
	}
}

func (c *checker) checkServices() {
	used := map[string]bool{}
	for _, r := range c.draft.Databases {
		used[r.Service] = true
	}
	seen := map[string]int{}
	for i, s := range c.draft.Services {
		bad := func(field, message, remedy string) {
			c.add(false, draft.Services, i, field, message, remedy)
		}
		if n, ok := seen[s.Name]; ok {
			bad(draft.Name, fmt.Sprintf("%q is declared by entry %d already, whose limits this one replaces", s.Name, n), "remove one of them")
		}
		seen[s.Name] = i
		if s.SyncReplicas < 0 {
			bad(draft.SyncReplicas, "the number of replicas is below 0", "use 0 or more")
		}
		switch {
		case s.Connections <= 0:
			bad(draft.Connections, "the instances accept no connection", "use the number that each instance accepts")
		case s.Connections < c.hosts:
			bad(draft.Connections, fmt.Sprintf("an instance accepts %d connections from %d hosts", s.Connections, c.hosts), "raise the limit, or expect refusals when holders fail")
		}
		if !used[s.Name] {
			c.add(true, draft.Services, i, draft.Name, fmt.Sprintf("no database is on service %q", s.Name), "remove it if it is not needed")
		}
	}
}

func (c *checker) checkWorkspaces() {
	names := map[string]int{}
	owners := map[string]string{}
	for i, w := range c.draft.Workspaces {
		bad := func(field, message, remedy string) {
			c.add(false, draft.Workspaces, i, field, message, remedy)
		}
		if n, ok := names[w.Name]; ok {
			bad(draft.Name, fmt.Sprintf("%q is declared by entry %d already, whose limits this one replaces", w.Name, n), "remove one of them")
		}
		names[w.Name] = i
		for n, key := range w.Keys {
			switch owner, ok := owners[key]; {
			case key == "":
				bad(draft.Keys, fmt.Sprintf("key %d is empty", n), "remove it")
			case ok && owner != w.Name:
				bad(draft.Keys, fmt.Sprintf("key %d belongs to workspace %q as well; only this entry is in force", n, owner), "give each workspace keys of its own")
			case ok:
				c.add(true, draft.Workspaces, i, draft.Keys, fmt.Sprintf("key %d is listed twice", n), "remove one of them")
			}
			owners[key] = w.Name
		}
		if len(w.Keys) == 0 {
			c.add(true, draft.Workspaces, i, draft.Keys, "no caller can match a workspace without keys", "add a key or remove the workspace")
		}
		if w.Rate <= 0 {
			bad(draft.Rate, "no operation is admitted", "use a rate above 0")
		}
		if w.Burst < 1 {
			bad(draft.Burst, fmt.Sprintf("a burst of %g is below one operation, so that none is admitted at once", w.Burst), "use 1 or more")
		}
	}
}
