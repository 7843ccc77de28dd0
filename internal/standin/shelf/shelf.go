// Package shelf is a stand-in of the platform's store: rows under one counter,
// conditional writes, feeds, and the faults that tests ask for.
package shelf

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is how long the store takes for a call.
const responseDelay = 4 * time.Millisecond

// silence is how long a call hangs that gets no answer; callers give up
// earlier.
const hangTime = 3 * time.Second

// Shelf is the store. It is safe for concurrent use.
type Shelf struct {
	mu sync.Mutex
	// fault decides what happens to a call from an IP number; nil for none.
	fault   func(ip string, write bool) string
	version uint64
	rows    map[string]row
	changed chan struct{}
	// forgotten is the version below which no feed can be resumed.
	compacted uint64
	calls     int
}

// Faults of a call.
const (
	// Busy calls are answered 503; nothing is done.
	Busy = "busy"
	// Silent calls are never answered; nothing is done.
	Silent = "silent"
	// Lost calls are done, and their answer is lost.
	Lost = "lost"
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type request struct {
	Expected []row `json:"expected"`
	Puts     []row `json:"puts"`
	Deletes  []row `json:"deletes"`
}

type response struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"row_version"`
}

// New returns an empty store.
func New() *Shelf {
	return &Shelf{
		rows:    map[string]row{},
		changed: make(chan struct{}),
	}
}

// Put writes a row as operators and instances do, past all faults.
func (s *Shelf) Put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // a test's own value
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{
		Table: table,
		Key:   key,
		Value: raw,
	}}, nil)
}

// Drop removes a row past all faults.
func (s *Shelf) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{
		Table: table,
		Key:   key,
	}})
}

// Get returns a row's value; nil without one.
func (s *Shelf) Get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rows[table+"/"+key]
	if r.Deleted {
		return nil
	}
	return r.Value
}

// SetFault sets what happens to calls, by the caller's IP number; nil for
// nothing.
func (s *Shelf) SetFault(fault func(ip string, write bool) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Forget drops the history, so that no feed can be resumed.
func (s *Shelf) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.version + 1
}

// Calls returns how many calls were made.
func (s *Shelf) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Shelf) apply(puts, deletes []row) {
	s.version++
	for _, r := range puts {
		r.Version = s.version
		r.Deleted = false
		s.rows[r.Table+"/"+r.Key] = r
	}
	for _, r := range deletes {
		r.Version = s.version
		r.Deleted = true
		r.Value = nil
		s.rows[r.Table+"/"+r.Key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the store's calls.
func (s *Shelf) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := ""
	write := r.URL.Path == "/-/rows-tx"
	if s.fault != nil {
		ip, _, _ := net.SplitHostPort(r.RemoteAddr)
		fault = s.fault(ip, write)
	}
	s.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		time.Sleep(hangTime)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(responseDelay)
	status, body := s.handle(r)
	if fault == Lost {
		time.Sleep(hangTime)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

func (s *Shelf) handle(r *http.Request) (int, response) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-tx":
		var change request
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			return http.StatusBadRequest, response{}
		}
		return s.write(change)
	case "/-/rows-get":
		return s.read(q.Get("table"), q.Get("start_key"))
	case "/-/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		return s.feed(q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	}
	return http.StatusNotFound, response{}
}

func (s *Shelf) write(c request) (int, response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range c.Expected {
		r := s.rows[e.Table+"/"+e.Key]
		if r.Deleted {
			r.Version = 0
		}
		if r.Version != e.Version {
			return http.StatusPreconditionFailed, response{
				Version: s.version,
			}
		}
	}
	s.apply(c.Puts, c.Deletes)
	return http.StatusOK, response{
		Version: s.version,
	}
}

func (s *Shelf) read(table, start string) (int, response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return http.StatusOK, response{
		Rows: s.list(func(r row) bool {
			return r.Table == table && r.Key >= start && !r.Deleted
		}),
		Version: s.version,
	}
}

func (s *Shelf) feed(table string, after uint64, wait time.Duration) (int, response) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		if after < s.compacted && after != s.version {
			s.mu.Unlock()
			return http.StatusGone, response{}
		}
		found := s.list(func(r row) bool {
			return r.Table == table && r.Version > after
		})
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			return http.StatusOK, response{
				Rows:    found,
				Version: version,
			}
		}
		select {
		case <-changed:
		case <-limit.C:
			return http.StatusOK, response{
				Version: version,
			}
		}
	}
}

func (s *Shelf) list(matches func(r row) bool) []row {
	found := []row{}
	for _, r := range s.rows {
		if matches(r) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int {
		return strings.Compare(a.Key, b.Key)
	})
	return found
}
