// Package sums adds up the counts that hosts report of their requests. It holds the
// windows that are not final: at the design size 590 hosts with some 100 active
// workspaces each, of two windows, and of up to usage.KeptWindows while the store is
// away.
package sums

import (
	"math"
	"unique"

	"wasabislip.example/wasabislip/internal/models/usage"
)

// process is one process of a host.
type process struct {
	host        string
	incarnation uint64
}

// counts are a process's counts by workspace. Names are shared by all.
type counts map[unique.Handle[string]]uint64

// Sums merges the counts by host, process and window. Repeated and reordered messages
// have no effect. It is not safe for concurrent use.
type Sums struct {
	windows map[uint64]map[process]counts
	// told is the newest window in a process's messages.
	told map[process]uint64
	// final is the last window that is known to be final, oldest the first that is
	// kept.
	final   uint64
	oldest  uint64
	dropped int
}

// New returns empty sums.
func New() *Sums {
	return &Sums{
		windows: map[uint64]map[process]counts{},
		told:    map[process]uint64{},
	}
}

// Add takes a message. Counts of windows that are final are dropped.
func (s *Sums) Add(m *usage.Message) {
	p := process{
		host:        m.From,
		incarnation: m.Incarnation,
	}
	for _, c := range m.Windows {
		s.told[p] = max(s.told[p], c.Window)
		if c.Window > s.final && c.Window >= s.oldest {
			s.merge(c, p)
		} else if len(c.Counts) > 0 {
			s.dropped++
		}
	}
}

func (s *Sums) merge(c usage.Content, p process) {
	w, ok := s.windows[c.Window]
	if !ok {
		w = map[process]counts{}
		s.windows[c.Window] = w
	}
	known, ok := w[p]
	if !ok {
		known = counts{}
		w[p] = known
	}
	for name, n := range c.Counts {
		key := unique.Make(name)
		known[key] = max(known[key], n)
	}
}

// Total returns the sums of a window by workspace, without those of zero.
func (s *Sums) Total(window uint64) map[string]uint64 {
	total := map[string]uint64{}
	for _, known := range s.windows[window] {
		for name, n := range known {
			if n > 0 {
				total[name.Value()] += n
			}
		}
	}
	return total
}

// HasAll reports whether a host has told all its counts of a window: its messages name
// a later one.
func (s *Sums) HasAll(host string, incarnation, window uint64) bool {
	return s.told[process{
		host:        host,
		incarnation: incarnation,
	}] > window
}

// First returns the earliest window with counts; false if there is none.
func (s *Sums) First() (uint64, bool) {
	first := uint64(math.MaxUint64)
	for window := range s.windows {
		first = min(first, window)
	}
	return first, len(s.windows) > 0
}

// Forget drops the windows up to the last one that is final, or older than the
// windows that are kept before current.
func (s *Sums) Forget(final, current uint64) {
	s.final = final
	s.oldest = 0
	if current > usage.KeptWindows {
		s.oldest = current - usage.KeptWindows
	}
	for window := range s.windows {
		if window <= final || window < s.oldest {
			delete(s.windows, window)
		}
	}
	for p, window := range s.told {
		if window < s.oldest {
			delete(s.told, p)
		}
	}
}

// Dropped returns how many windows' counts came after the content was final.
func (s *Sums) Dropped() int {
	return s.dropped
}

// Messages returns the counts of the windows that are not final of the processes
// that are not among the live ones: nobody else sends them again.
func (s *Sums) Messages(isAlive func(host string, incarnation uint64) bool) []usage.Message {
	byProcess := map[process][]usage.Content{}
	for window, w := range s.windows {
		for p, known := range w {
			if isAlive(p.host, p.incarnation) {
				continue
			}
			c := usage.Content{
				Window: window,
				Counts: map[string]uint64{},
			}
			for name, n := range known {
				c.Counts[name.Value()] = n
			}
			byProcess[p] = append(byProcess[p], c)
		}
	}
	var list []usage.Message
	for p, windows := range byProcess {
		list = append(list, usage.Message{
			From:        p.host,
			Incarnation: p.incarnation,
			Windows:     windows,
		})
	}
	return list
}
