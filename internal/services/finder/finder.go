// Package finder finds the coordinators (stewards on the wire) of databases.
package finder

import (
	"sync"

	"wasabislip.example/wasabislip/pkg/model/host"
)

type placement interface {
	// Candidates returns hosts in the order in which they may serve a database.
	Candidates(database string) []string
}

// fleet looks up hosts by name.
type fleet interface {
	Lookup(name string) (host.Host, bool)
}

// Finder remembers which host last proved to be, or was named as, the
// coordinator of a database. What it remembers is only a hint: a wrong one costs
// a run that is refused with the name of another host.
type Finder struct {
	placement placement
	fleet     fleet
	// hints holds the hints: a host's name by a database's.
	hints sync.Map
}

// New returns a finder without hints.
func New(p placement, f fleet) *Finder {
	return &Finder{
		placement: p,
		fleet:     f,
	}
}

// Coordinator returns the host that probably is the coordinator of database, with
// its peer address; ok is false when no such host is known.
func (f *Finder) Coordinator(database string) (name, address string, ok bool) {
	if v, found := f.hints.Load(database); found {
		h, known := f.fleet.Lookup(v.(string))
		switch {
		case !known || !h.Reachable():
			f.hints.CompareAndDelete(database, v)
		case h.State != host.Suspect:
			return h.Name, h.Address, true
		}
	}
	return f.candidate(database)
}

// candidate returns the first candidate that is alive, or else the first that
// may be given work.
func (f *Finder) candidate(database string) (name, address string, ok bool) {
	for _, candidate := range f.placement.Candidates(database) {
		h, known := f.fleet.Lookup(candidate)
		if !known || !h.AcceptsWork() {
			continue
		}
		if h.State == host.Alive {
			return h.Name, h.Address, true
		}
		if !ok {
			name, address, ok = h.Name, h.Address, true
		}
	}
	return name, address, ok
}

// RecordHint remembers name as the probable coordinator of database; an empty name
// removes the hint.
func (f *Finder) RecordHint(database, name string) {
	if name == "" {
		f.hints.Delete(database)
		return
	}
	f.hints.Store(database, name)
}
