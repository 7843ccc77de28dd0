// Package faults injects faults into the platform's stand-in on request, and
// counts the operations that it served.
package faults

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Classes of operations.
const (
	Table  = "table"
	Object = "object"
)

// faults is the body of a fault request. It replaces the faults of its class,
// or of both when the class is empty.
type faults struct {
	// Class is Table, Object or empty.
	Class string `json:"class"`
	// Outage answers each request with 503.
	Outage bool `json:"outage"`
	// Hang leaves each request unanswered until its client gives up.
	Hang bool `json:"hang"`
	// Slow delays each request; it is a duration such as 200ms.
	Slow string `json:"slow"`
	// LoseAnswers is how many of the next writes take effect but get no
	// answer.
	LoseAnswers int `json:"lose-answers"`
	// LoseFraction is the fraction of writes that take effect but get no
	// answer.
	LoseFraction float64 `json:"lose-fraction"`
	// Seed seeds the random numbers for LoseFraction.
	Seed uint64 `json:"seed"`
	// HostsLag is by how long reads of the list of hosts lag behind its writes.
	HostsLag string `json:"hosts-lag"`

	slow   time.Duration
	lag    time.Duration
	random *rand.Rand
}

// Control holds the faults and counters of a platform. It is safe for
// concurrent use.
type Control struct {
	mu      sync.Mutex
	classes map[string]*faults
	counts  map[string]uint64
}

// New returns a control without faults.
func New() *Control {
	return &Control{
		classes: map[string]*faults{
			Table:  {},
			Object: {},
		},
		counts: map[string]uint64{},
	}
}

// ServeFaults sets faults from a JSON body: class, outage, hang, slow,
// lose-answers, lose-fraction, seed and hosts-lag.
func (c *Control) ServeFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "post a JSON body", http.StatusMethodNotAllowed)
		return
	}
	var f faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(&f)
	if err == nil {
		err = f.parse()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.set(f)
	w.WriteHeader(http.StatusNoContent)
}

func (f *faults) parse() error {
	var err error
	if f.Slow != "" {
		if f.slow, err = time.ParseDuration(f.Slow); err != nil {
			return err
		}
	}
	if f.HostsLag != "" {
		f.lag, err = time.ParseDuration(f.HostsLag)
	}
	return err
}

// set replaces the faults of f's class, or of both classes.
func (c *Control) set(f faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for class := range c.classes {
		if f.Class != "" && f.Class != class {
			continue
		}
		updated := f
		updated.random = rand.New(rand.NewPCG(f.Seed, 0))
		c.classes[class] = &updated
	}
}

// ServeCounts writes the counters as JSON: one for each operation, and the
// sums reads, writes, table-reads and so on.
func (c *Control) ServeCounts(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	counts := maps.Clone(c.counts)
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(counts)
}

// Admit counts an operation, and makes it hang, wait or fail as the faults of
// its class say. It reports whether the operation may run; if not, the answer
// is already written.
func (c *Control) Admit(w http.ResponseWriter, r *http.Request, class, operation string, write bool) bool {
	c.countOperation(class, operation, write)
	f := c.current(class)
	if f.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	sleep(r.Context(), f.slow)
	if f.Outage {
		http.Error(w, "the platform is out of service", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// MaybeLoseAnswer aborts the request without an answer if the faults say that
// the answer to this write is lost. The write has taken effect by then.
func (c *Control) MaybeLoseAnswer(class string) {
	c.mu.Lock()
	f := c.classes[class]
	lost := f.LoseAnswers > 0
	if lost {
		f.LoseAnswers--
	}
	if f.LoseFraction > 0 && f.random.Float64() < f.LoseFraction {
		lost = true
	}
	c.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}

// HostsLag is by how long reads of the list of hosts lag behind its writes.
func (c *Control) HostsLag() time.Duration {
	return c.current(Object).lag
}

func (c *Control) current(class string) faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.classes[class]
}

func (c *Control) countOperation(class, operation string, write bool) {
	kind := "reads"
	if write {
		kind = "writes"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[operation]++
	c.counts[kind]++
	c.counts[class+"-"+kind]++
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
