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
	// era is how often the store was restored from an older copy.
	era uint64
	// history holds what each write replaced, for Restore.
	history []replaced
}

// replaced is what one write replaced.
type replaced struct {
	at   time.Time
	rows map[string]row
}

// Faults of a call.
const (
	// Busy answers status 503 and does nothing.
	Busy = "busy"
	// Silent never answers and does nothing.
	Silent = "silent"
	// AnswerLost does what the call asks for and never answers.
	AnswerLost = "lost"
	// Late does what the call asks for after lateTime and never answers.
	Late = "late"
)

// lateTime is how late a call is done that meets the fault Late.
const lateTime = 2 * time.Second

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
	s.PutRaw(table, key, raw)
}

// PutRaw writes a row with any value, which need not be JSON. Faults don't apply.
func (s *Store) PutRaw(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{
		Table: table,
		Key:   key,
		Value: value,
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

// Restore brings back the copy of the store that is as old as age: what was written
// since is gone, the versions go back, and the era rises.
func (s *Store) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := time.Now().Add(-age)
	for len(s.history) > 0 && s.history[len(s.history)-1].at.After(limit) {
		last := s.history[len(s.history)-1]
		s.history = s.history[:len(s.history)-1]
		for key, r := range last.rows {
			s.rows[key] = r
			if r.Version == 0 {
				delete(s.rows, key)
			}
		}
		s.version--
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// CallCount returns how many calls were made.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) apply(puts, deletes []row) {
	s.version++
	before := replaced{
		at:   time.Now(),
		rows: map[string]row{},
	}
	for _, r := range slices.Concat(puts, deletes) {
		key := r.Table + "/" + r.Key
		before.rows[key] = s.rows[key]
	}
	s.history = append(s.history, before)
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
	if fault == Late {
		time.Sleep(lateTime)
	}
	status, body, era := s.handle(r)
	if fault == AnswerLost || fault == Late {
		time.Sleep(hangTime)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have disconnected
}

// handle returns the status and the body of the answer to a call, and the era in
// which it was given.
func (s *Store) handle(r *http.Request) (int, response, uint64) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-tx":
		var change request
		if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
			return http.StatusBadRequest, response{}, 0
		}
		return s.write(change)
	case "/-/rows-get":
		return s.read(q.Get("table"), q.Get("start_key"))
	case "/-/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		return s.feed(q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	}
	return http.StatusNotFound, response{}, 0
}

func (s *Store) write(c request) (int, response, uint64) {
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
			}, s.era
		}
	}
	s.apply(c.Puts, c.Deletes)
	return http.StatusOK, response{
		Version: s.version,
	}, s.era
}

func (s *Store) read(table, start string) (int, response, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return http.StatusOK, response{
		Rows: s.list(func(r row) bool {
			return r.Table == table && r.Key >= start && !r.Deleted
		}),
		Version: s.version,
	}, s.era
}

func (s *Store) feed(table string, after uint64, wait time.Duration) (int, response, uint64) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		if after > s.version || after < s.compacted && after != s.version {
			era := s.era
			s.mu.Unlock()
			return http.StatusGone, response{}, era
		}
		found := s.list(func(r row) bool {
			return r.Table == table && r.Version > after
		})
		version, changed, era := s.version, s.changed, s.era
		s.mu.Unlock()
		if len(found) > 0 {
			return http.StatusOK, response{
				Rows:    found,
				Version: version,
			}, era
		}
		select {
		case <-changed:
		case <-limit.C:
			return http.StatusOK, response{
				Version: version,
			}, era
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
