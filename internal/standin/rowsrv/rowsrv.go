// Package rowsrv is a stand-in for the platform's store: an HTTP server of
// versioned rows with conditional writes, feeds of changes, and fault injection.
package rowsrv

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

// responseDelay is how long the store takes for a call.
const responseDelay = 4 * time.Millisecond

// hangTime is how long a call without an answer hangs; clients time out earlier.
const hangTime = 3 * time.Second

// Store holds the rows of all tables. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// fault returns the fault of a call from an IP address, or an empty text; it
	// is nil when there are no faults.
	fault func(ip string, write bool) string
	// version is that of the last write; all rows share the counter.
	version uint64
	rows    map[string]row
	// changed is closed and replaced at each write.
	changed chan struct{}
	// compacted is the version below which no feed can be resumed.
	compacted uint64
	calls     int
}

// Faults of a call.
const (
	// Busy answers status 503 and does nothing.
	Busy = "busy"
	// Silent never answers and does nothing.
	Silent = "silent"
	// AnswerLost does what the call asks for and never answers.
	AnswerLost = "lost"
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
func New() *Store {
	return &Store{
		rows:    map[string]row{},
		changed: make(chan struct{}),
	}
}

// Put writes a row as operators and instances do. Faults don't apply.
func (s *Store) Put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // a test passed a value that JSON can't hold
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{
		Table: table,
		Key:   key,
		Value: raw,
	}}, nil)
}

// Delete removes a row. Faults don't apply.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{
		Table: table,
		Key:   key,
	}})
}

// Get returns the value of a row, or nil when there is no row.
func (s *Store) Get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rows[table+"/"+key]
	if r.Deleted {
		return nil
	}
	return r.Value
}

// SetFault sets the function that returns the fault of a call, given the client's
// IP address and whether the call writes. Nil ends all faults.
func (s *Store) SetFault(fault func(ip string, write bool) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Compact drops the history of changes, so that no feed can be resumed: clients
// must read their tables anew.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.version + 1
}

// CallCount returns how many calls were made.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) apply(puts, deletes []row) {
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

// ServeHTTP handles a call of a client.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	if fault == AnswerLost {
		time.Sleep(hangTime)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

func (s *Store) handle(r *http.Request) (int, response) {
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

func (s *Store) write(c request) (int, response) {
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

func (s *Store) read(table, start string) (int, response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return http.StatusOK, response{
		Rows: s.list(func(r row) bool {
			return r.Table == table && r.Key >= start && !r.Deleted
		}),
		Version: s.version,
	}
}

func (s *Store) feed(table string, after uint64, wait time.Duration) (int, response) {
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

func (s *Store) list(matches func(r row) bool) []row {
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
