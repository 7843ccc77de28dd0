// Package store holds the data that an instance has applied from its log.
package store

import "wasabislip.example/wasabislip/internal/standin/entry"

// Store holds keys with their values, and lists. It is not safe for
// concurrent use.
type Store struct {
	values map[string]string
	lists  map[string][]string
}

// New returns an empty store.
func New() *Store {
	return &Store{
		values: map[string]string{},
		lists:  map[string][]string{},
	}
}

// Apply applies the writes of a log entry.
func (s *Store) Apply(e entry.Entry) {
	for _, w := range e.Writes {
		if w.List {
			s.lists[w.Key] = append(s.lists[w.Key], w.Value)
			continue
		}
		s.values[w.Key] = w.Value
	}
}

// Get returns the value of key.
func (s *Store) Get(key string) (string, bool) {
	v, ok := s.values[key]
	return v, ok
}

// Elements returns the elements of list. The caller must not change them.
func (s *Store) Elements(list string) []string {
	e := s.lists[list]
	return e[:len(e):len(e)]
}
