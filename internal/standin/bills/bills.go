// Package bills is a stand-in for the part of the platform's API that takes usage
// reports. It checks what must never happen: two contents of a window, a lower fencing
// token, one token of two holders, and holders that act in the order A, B, A within the
// lease.
package bills

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// hangTime is how long a call without an answer hangs; clients time out earlier.
const hangTime = 3 * time.Second

// slowTime is how long a slow call takes before the report is taken.
const slowTime = time.Second

// Faults of a call.
const (
	// Busy answers status 429 and does nothing.
	Busy = "busy"
	// Silent never answers and does nothing.
	Silent = "silent"
	// Slow takes the report after slowTime and answers then.
	Slow = "slow"
	// AnswerLost takes the report and never answers.
	AnswerLost = "lost"
)

// Report is a report that was taken.
type Report struct {
	Counts map[string]uint64
	// At is when it came first, Holder from whom, with what token.
	At     time.Time
	Holder string
	Token  uint64
}

// Bills takes usage reports. It is safe for concurrent use.
type Bills struct {
	// Lease is within what time holders must not act in the order A, B, A.
	Lease time.Duration

	mu       sync.Mutex
	fault    func() string
	reports  map[uint64]Report
	wrong    []string
	calls    int
	token    uint64
	holder   string
	lastCall map[string]time.Time
}

// New returns an API without reports.
func New(lease time.Duration) *Bills {
	return &Bills{
		Lease:    lease,
		reports:  map[uint64]Report{},
		lastCall: map[string]time.Time{},
	}
}

// SetFault sets the function that returns the fault of a call; nil ends all faults.
func (b *Bills) SetFault(fault func() string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = fault
}

// Fault returns the fault of the next call, or an empty text.
func (b *Bills) Fault() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fault == nil {
		return ""
	}
	return b.fault()
}

// Take takes a report and returns the status of the answer.
func (b *Bills) Take(window uint64, counts map[string]uint64, holder string, token uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	now := time.Now()
	if token < b.token || token == b.token && holder != b.holder {
		b.violate("window %d: token %d of %s after token %d of %s", window, token, holder, b.token, b.holder)
	}
	if last, ok := b.lastCall[holder]; ok && holder != b.holder && now.Sub(last) < b.Lease {
		b.violate("window %d: %s acts %s after its last call, with %s in between", window, holder, now.Sub(last), b.holder)
	}
	b.token = max(b.token, token)
	b.holder = holder
	b.lastCall[holder] = now
	known, ok := b.reports[window]
	if ok && !maps.Equal(known.Counts, counts) {
		b.violate("window %d: %v of %s after %v of %s", window, counts, holder, known.Counts, known.Holder)
		return http.StatusConflict
	}
	if !ok {
		b.reports[window] = Report{
			Counts: maps.Clone(counts),
			At:     now,
			Holder: holder,
			Token:  token,
		}
	}
	return http.StatusOK
}

func (b *Bills) violate(format string, args ...any) {
	b.wrong = append(b.wrong, fmt.Sprintf(format, args...))
}

// ServeHTTP takes the reports of hosts.
func (b *Bills) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report struct {
		Window uint64            `json:"window_id"`
		Counts map[string]uint64 `json:"counts"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Wasabislip-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&report) != nil || report.Counts == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fault := b.Fault()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case Silent:
		time.Sleep(hangTime)
		panic(http.ErrAbortHandler)
	case Slow:
		time.Sleep(slowTime)
	}
	status := b.Take(report.Window, report.Counts, r.Header.Get("X-Wasabislip-Lease-Holder"), token)
	if fault == AnswerLost {
		time.Sleep(hangTime)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// Reports returns the reports by window.
func (b *Bills) Reports() map[uint64]Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.reports)
}

// Calls returns how many calls arrived.
func (b *Bills) Calls() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.calls
}

// Holder returns the holder of the last call.
func (b *Bills) Holder() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder
}

// Violations describes what happened and must not.
func (b *Bills) Violations() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.wrong...)
}
