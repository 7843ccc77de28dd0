package quota_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/services/quota"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/space"
)

var errDown = errors.New("down")

const (
	// oneWay is the time that a message between hosts takes.
	oneWay = time.Millisecond
	// tableTime is the time that a call to the table takes.
	tableTime = 5 * time.Millisecond
	hostCount = 9
)

// world simulates a fleet of hosts, with a table and a network that can fail.
type world struct {
	mu     sync.Mutex
	rows   map[string]record.Record
	outage bool
	// writes counts the writes of the table that took effect, by class.
	writes map[string]int
	// lossy is the probability that an answer of the table or a message is
	// lost, late or repeated.
	lossy  float64
	rand   *rand.Rand
	hosts  []*host
	cancel context.CancelFunc
}

// host is one host of the fleet; it implements the interfaces that quota needs.
type host struct {
	*world
	name string
	// dead tells that the host no longer runs; knownDead that the others know.
	dead      bool
	knownDead bool
	// isolated tells that no message to or from the host arrives, and tableless
	// that it cannot reach the table.
	isolated  bool
	tableless bool
	// unknown tells that no other host knows of the host yet.
	unknown bool
	quota   *quota.Quota
}

// newWorld starts n hosts.
func newWorld(n int) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		rows:   make(map[string]record.Record),
		writes: make(map[string]int),
		rand:   rand.New(rand.NewPCG(1, 2)),
		cancel: cancel,
	}
	for i := range n {
		w.hosts = append(w.hosts, &host{
			world: w,
			name:  string(rune('a' + i)),
		})
	}
	for _, h := range w.hosts {
		h.quota = quota.New(ctx, h, h, h, h)
	}
	return w
}

// inWorld runs f with n hosts under synctest's clock, and waits for the hosts to end.
func inWorld(t *testing.T, n int, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(n)
		defer func() {
			w.cancel()
			for _, h := range w.hosts {
				<-h.quota.Done()
			}
		}()
		f(t, w)
	})
}

// limit sets the rate and burst of the only workspace on all hosts.
func (w *world) limit(rate, burst float64) {
	for _, h := range w.hosts {
		h.quota.SetLimits([]space.Workspace{{
			Name:  "ws",
			Rate:  rate,
			Burst: burst,
		}})
	}
}

// set runs f under the lock.
func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// kill stops a host; the others notice after 3 s.
func (w *world) kill(h *host) {
	w.set(func() { h.dead = true })
	time.AfterFunc(3*time.Second, func() { w.set(func() { h.knownDead = true }) })
}

func (h *host) Candidates(string) []string {
	var names []string
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.hosts {
		if o == h || !o.unknown {
			names = append(names, o.name)
		}
	}
	return names
}

func (h *host) Alive(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.hosts {
		if o.name == name {
			return !o.knownDead && (o == h || !o.unknown)
		}
	}
	return false
}

func (h *host) Self() string                     { return h.name }
func (h *host) RecordRefusal(string, string)     {}
func (h *host) RecordDraw(string, time.Duration) {}
func (h *host) RecordClaim(string)               {}
func (h *host) lost() bool                       { return h.rand.Float64() < h.lossy }
func (h *host) Get(ctx context.Context, class, name string) (record.Record, error) {
	time.Sleep(tableTime)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage || h.dead || h.isolated || h.tableless {
		return record.Record{}, errDown
	}
	r := h.rows[class+" "+name]
	r.Class = class
	r.Name = name
	return r, nil
}

func (h *host) Put(ctx context.Context, r record.Record, expect uint64) error {
	time.Sleep(tableTime)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage || h.dead || h.isolated || h.tableless {
		return errDown
	}
	if h.rows[r.Class+" "+r.Name].Version != expect {
		return fault.New(fault.Conflict, "changed", "read again")
	}
	r.Version = expect + 1
	h.rows[r.Class+" "+r.Name] = r
	h.writes[r.Class]++
	if h.lost() {
		return errDown
	}
	return nil
}

func (h *host) Draw(ctx context.Context, name string, r *wasabislipv1.DrawRequest) (*wasabislipv1.DrawResponse, error) {
	time.Sleep(oneWay)
	h.mu.Lock()
	var to *host
	for _, o := range h.hosts {
		if o.name == name && !o.dead && !o.isolated && !h.isolated {
			to = o
		}
	}
	lost, repeated, late := h.lost(), h.lost(), h.lost()
	h.mu.Unlock()
	if to == nil || lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if late {
		time.Sleep(30 * time.Millisecond)
	}
	resp, err := to.quota.Draw(ctx, r)
	if repeated {
		resp, err = to.quota.Draw(ctx, r)
	}
	time.Sleep(oneWay)
	h.mu.Lock()
	lost = h.lost()
	h.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return resp, err
}

// tally counts what the fleet admitted, and compares it with one token bucket for
// the whole fleet.
type tally struct {
	mu    sync.Mutex
	rate  float64
	burst float64
	// ideal is the level of a bucket that admits all that is within the rate;
	// bound is that of a bucket from which all is taken that the fleet admitted.
	ideal float64
	bound float64
	// at is when the levels were last updated.
	at    time.Time
	asked int
	// inRate counts the statements that the ideal bucket admits, and refused
	// those of them that the fleet refused.
	inRate  int
	refused int
	// over is by how many statements the fleet exceeded the bound.
	over float64
	ran  int
	// slices are the levels of a baseline for comparison, in which each host has
	// a fixed slice of the rate; sliced counts the refusals of the baseline
	// within the rate.
	slices map[string]float64
	sliced int
}

func newTally(rate, burst float64) *tally {
	return &tally{
		rate:  rate,
		burst: burst,
		ideal: burst,
		bound: burst,
		at:    time.Now(),

		slices: make(map[string]float64),
	}
}

// advance updates the levels to the present time.
func (c *tally) advance() {
	gain := c.rate * time.Since(c.at).Seconds()
	c.at = time.Now()
	c.ideal = min(c.burst, c.ideal+gain)
	c.bound = min(c.burst, c.bound+gain)
	for name, level := range c.slices {
		c.slices[name] = min(c.burst/hostCount, level+gain/hostCount)
	}
}

// slice admits n statements from h's fixed slice; a refusal counts if they are
// within the rate (in).
func (c *tally) slice(h *host, n float64, in bool) {
	level, ok := c.slices[h.name]
	if !ok {
		level = c.burst / hostCount
	}
	if level >= n {
		level -= n
	} else if in {
		c.sliced += int(n)
	}
	c.slices[h.name] = level
}

// admit asks h to admit n statements and counts the outcome.
func (c *tally) admit(h *host, n int) {
	c.mu.Lock()
	c.advance()
	c.asked += n
	in := c.ideal >= float64(n)
	if in {
		c.ideal -= float64(n)
		c.inRate += n
	}
	c.slice(h, float64(n), in)
	c.mu.Unlock()
	err := h.quota.Admit(context.Background(), "ws", n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	if err != nil {
		if in {
			c.refused += n
		}
		return
	}
	c.ran += n
	c.bound -= float64(n)
	c.over = max(c.over, -c.bound)
}

// share returns the fraction of the statements within the rate that were refused.
func (c *tally) share() float64 {
	return float64(c.refused) / float64(max(1, c.inRate))
}

// drive sends statements for d, as a Poisson process of perSecond; pick chooses the
// host of each.
func (w *world) drive(c *tally, perSecond float64, d time.Duration, pick func(r *rand.Rand) *host) {
	r := rand.New(rand.NewPCG(3, 4))
	var wg conc.WaitGroup
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		h := pick(r)
		wg.Go(func() { c.admit(h, 1) })
	}
	wg.Wait()
}

// skewed picks the first host with a probability of 0.9, else any of the hosts.
func skewed(hosts []*host) func(r *rand.Rand) *host {
	return func(r *rand.Rand) *host {
		if r.Float64() < 0.9 {
			return hosts[0]
		}
		return hosts[r.IntN(len(hosts))]
	}
}
