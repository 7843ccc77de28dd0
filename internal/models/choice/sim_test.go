package choice_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/choice"
	"wasabislip.example/wasabislip/internal/models/load"
)

const (
	slots = 3
	// service follows from the design size: 330,000 statements a second at 3,300
	// instances of three slots, 70% of them in use.
	service     = 21 * time.Millisecond
	utilisation = 0.7
	// seeds is the number of runs, warmUp the part of each that is not counted.
	seeds  = 3
	warmUp = 3 * time.Second
	sample = time.Millisecond
)

// end is the end of a statement's run at an instance.
type end struct {
	at, arrived time.Duration
	chooser     *chooser
	instance    int
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(a, b int) bool { return e[a].at < e[b].at }
func (e ends) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }

func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// chooser is one host: what it knows by itself of each instance.
type chooser struct {
	centre   int
	inFlight []int
	latency  []time.Duration
	measured []time.Duration
	turn     int
	chooser  choice.Chooser
}

// scene is what a policy is played in.
type scene struct {
	instances int
	hosts     int
	staleness time.Duration
	// length is the simulated time of each run.
	length time.Duration
	// centres says that the instances and the hosts are in as many data centres, that
	// the last instance is the primary, and that the first data centre has half of the
	// reads.
	centres bool
	// slow says that the first instance takes twice as long for a statement.
	slow bool
	// blind says that the loads are sampled only at the end of each interval of the
	// policy blind.
	blind bool
}

// world is instances with exponential service times and a queue each, and hosts that
// see their loads as they were some time ago.
type world struct {
	scene
	rng      *rand.Rand
	now      time.Duration
	queues   [][]end // running and waiting, the first of them running
	running  ends
	history  [][]int         // the loads at each sample
	answers  []time.Duration // the moving average of each instance's answers
	choosers []*chooser
}

// stale returns an instance's load as the hosts know it now.
func (w *world) stale(i int) int {
	n := int((w.now - w.staleness) / sample)
	return w.history[max(0, n)][i]
}

// serving returns how many instances are to serve reads, a slow one as a half.
func (s *scene) serving() float64 {
	switch {
	case s.centres:
		return float64(s.instances - 1)
	case s.slow:
		return float64(s.instances) - 0.5
	}
	return float64(s.instances)
}

func (s *scene) isLocal(c *chooser, i int) bool { return !s.centres || c.centre == i }
func (s *scene) isPrimary(i int) bool           { return s.centres && i == s.instances-1 }

// policy chooses an instance for a statement of a host.
type policy func(w *world, c *chooser) int

// result is what happened in one or several runs.
type result struct {
	longest  []int // the most statements at an instance, at each sample
	arrivals []int
}

// p99 returns the 99th percentile of the statements at the busiest instance.
func (r *result) p99() int {
	slices.Sort(r.longest)
	return r.longest[len(r.longest)*99/100]
}

// play plays a policy once with each seed.
func play(p policy, s scene) *result {
	r := &result{
		arrivals: make([]int, s.instances),
	}
	for seed := range uint64(seeds) {
		r.add(p, seed, s)
	}
	return r
}

// add plays a policy once.
func (r *result) add(p policy, seed uint64, s scene) {
	w := &world{
		scene:   s,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		queues:  make([][]end, s.instances),
		answers: make([]time.Duration, s.instances),
	}
	for i := range s.hosts {
		c := &chooser{
			centre:   i % s.instances,
			inFlight: make([]int, s.instances),
			latency:  make([]time.Duration, s.instances),
			measured: make([]time.Duration, s.instances),
			turn:     w.rng.IntN(s.instances),
		}
		c.chooser.Random = w.rng.Float64
		w.choosers = append(w.choosers, c)
	}
	interval := service.Seconds() / (utilisation * slots * w.serving())
	next := time.Duration(0)
	for w.now < s.length {
		tick := time.Duration(len(w.history)) * sample
		switch {
		case tick <= next && (len(w.running) == 0 || tick <= w.running[0].at):
			w.now = tick
			loads := make([]int, s.instances)
			for i, q := range w.queues {
				loads[i] = len(q)
			}
			w.history = append(w.history, loads)
			if tick > warmUp && (!s.blind || tick%blindInterval == blindInterval-sample) {
				r.longest = append(r.longest, slices.Max(loads))
			}
		case len(w.running) > 0 && w.running[0].at < next:
			w.finish(heap.Pop(&w.running).(end))
		default:
			w.now = next
			next += time.Duration(w.rng.ExpFloat64() * interval * float64(time.Second))
			c := w.choosers[w.rng.IntN(s.hosts)]
			if s.centres && w.rng.IntN(4) == 0 {
				c = w.choosers[0]
			}
			i := p(w, c)
			r.arrivals[i]++
			c.inFlight[i]++
			w.queues[i] = append(w.queues[i], end{arrived: w.now, chooser: c, instance: i})
			if len(w.queues[i]) <= slots {
				w.start(w.queues[i][len(w.queues[i])-1])
			}
		}
	}
}

func (w *world) start(e end) {
	e.at = w.now + time.Duration(w.rng.ExpFloat64()*float64(service))
	if w.slow && e.instance == 0 {
		e.at += e.at - w.now
	}
	heap.Push(&w.running, e)
}

func (w *world) finish(e end) {
	w.now = e.at
	i := e.instance
	w.queues[i] = slices.Delete(w.queues[i], 0, 1)
	if len(w.queues[i]) >= slots {
		w.start(w.queues[i][slots-1])
	}
	c, took := e.chooser, w.now-e.arrived
	w.answers[i] += (took - w.answers[i]) / 50
	c.inFlight[i]--
	if w.now-c.measured[i] > 2*time.Second {
		c.latency[i] = took
	}
	c.latency[i] += (took - c.latency[i]) / 5
	c.measured[i] = w.now
}

// least returns the index with the lowest value, the first of several.
func least(n int, value func(i int) float64) int {
	best, lowest := 0, math.Inf(1)
	for i := range n {
		if v := value(i); v < lowest {
			best, lowest = i, v
		}
	}
	return best
}

// fresh knows the loads of this moment, ties broken at random.
func fresh(w *world, _ *chooser) int {
	return least(len(w.queues), func(i int) float64 { return float64(len(w.queues[i])) + w.rng.Float64()/2 })
}

// today is the choice of least-cost: the own latency, and 8 ms for each own statement.
func today(w *world, c *chooser) int {
	return least(len(w.queues), func(i int) float64 {
		cost := 10 * time.Millisecond
		if c.measured[i] > 0 && w.now-c.measured[i] < 2*time.Second {
			cost = c.latency[i]
		}
		if !w.isLocal(c, i) {
			cost += 6 * time.Millisecond
		}
		if w.isPrimary(i) {
			cost += 20 * time.Millisecond
		}
		return float64(cost + time.Duration(c.inFlight[i])*8*time.Millisecond)
	})
}

var ids = strings.Fields("0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20 21 22 23")

// even is the choice of this package.
func even(w *world, c *chooser) int {
	list := make([]choice.Candidate, len(w.queues))
	for i := range list {
		n := w.stale(i)
		list[i] = choice.Candidate{
			ID:       ids[i],
			Slots:    slots,
			Local:    w.isLocal(c, i),
			Primary:  w.isPrimary(i),
			InFlight: c.inFlight[i],
			Hosts:    1,
			Reports: []choice.Report{{
				Report: load.Report{
					Running: n,
					Service: w.answers[i],
				},
				Age: w.staleness,
			}},
		}
	}
	order, _ := c.chooser.Order(list)
	return order[0]
}

const blindInterval = 600 * time.Millisecond

// blind chooses with fresh information, and for the last part of each interval, which is
// as long as the staleness, by own statements in flight alone. What then stands at the
// busiest instance is the least that can be reached with information of that age, if
// hosts choose independently of each other.
func blind(w *world, c *chooser) int {
	if w.now%blindInterval < blindInterval-w.staleness {
		return fresh(w, c)
	}
	return alternatives["own in flight"](w, c)
}

// alternatives are choices that were considered; see docs/design/balancing.md.
var alternatives = map[string]policy{
	"random": func(w *world, _ *chooser) int { return w.rng.IntN(len(w.queues)) },
	"in turn": func(w *world, c *chooser) int {
		c.turn++
		return c.turn % len(w.queues)
	},
	"least reported": func(w *world, c *chooser) int {
		return least(len(w.queues), func(i int) float64 { return float64(w.stale(i)+c.inFlight[i]) + w.rng.Float64()/2 })
	},
	"two choices": func(w *world, c *chooser) int {
		a, b := w.rng.IntN(len(w.queues)), w.rng.IntN(len(w.queues))
		if w.stale(a)+c.inFlight[a] <= w.stale(b)+c.inFlight[b] {
			return a
		}
		return b
	},
	// Weights by the completions a second for each statement that is there: weights by
	// completions alone feed on themselves.
	"completion rate": func(w *world, _ *chooser) int {
		return least(len(w.queues), func(i int) float64 {
			n := float64(w.stale(i) + 1)
			return w.rng.ExpFloat64() * n / min(slots, n)
		})
	},
	"subsets of 2": func(w *world, c *chooser) int {
		a, b := c.turn, (c.turn+1)%len(w.queues)
		if w.stale(a)+c.inFlight[a] <= w.stale(b)+c.inFlight[b] {
			return a
		}
		return b
	},
	"own in flight": func(w *world, c *chooser) int {
		return least(len(w.queues), func(i int) float64 { return float64(c.inFlight[i]) + w.rng.Float64()/2 })
	},
}

func forScenes(t *testing.T, scenes []scene, check func(t *testing.T, s scene)) {
	for _, s := range scenes {
		t.Run(fmt.Sprintf("%d instances, %d hosts, %s", s.instances, s.hosts, s.staleness), func(t *testing.T) {
			t.Parallel()
			check(t, s)
		})
	}
}

// TestTarget guards against hosts that overload one instance in turn. Its bounds are
// the target of docs/design/load-work.md.
func TestTarget(t *testing.T) {
	var scenes []scene
	for _, hosts := range []int{9, 195, 590} {
		scenes = append(scenes,
			scene{instances: 3, hosts: hosts, staleness: 200 * time.Millisecond, length: 200 * time.Second},
			scene{instances: 24, hosts: hosts, staleness: 200 * time.Millisecond, length: 8 * time.Second})
	}
	forScenes(t, scenes, func(t *testing.T, s scene) {
		r, ideal, former := play(even, s), play(fresh, s), play(today, s)
		t.Logf("p99 at the busiest: fresh %d, even %d, least-cost %d", ideal.p99(), r.p99(), former.p99())
		if testing.Verbose() {
			s.blind = true
			s.length = 300 * time.Second / time.Duration(s.instances/3)
			t.Logf("least that can be reached: %d", play(blind, s).p99())
		}
		t.Run("twice the queue with fresh information", func(t *testing.T) {
			is.New(t).True(r.p99() <= 2*ideal.p99())
		})
		t.Run("half the queue of least-cost", func(t *testing.T) {
			is.New(t).True(2*r.p99() <= former.p99())
		})
	})
}

// TestDataCentres guards against reads that load the primary, and against a replica that
// is overloaded since it is the nearest one of most reads.
func TestDataCentres(t *testing.T) {
	var scenes []scene
	for _, hosts := range []int{9, 195, 590} {
		scenes = append(scenes, scene{instances: 3, hosts: hosts, staleness: 200 * time.Millisecond, length: 60 * time.Second, centres: true})
	}
	forScenes(t, scenes, func(t *testing.T, s scene) {
		is := is.New(t)
		r, former := play(even, s), play(today, s)
		t.Logf("arrivals: even %v, least-cost %v; p99 at the busiest: %d, %d", r.arrivals, former.arrivals, r.p99(), former.p99())
		is.True(r.arrivals[2] <= former.arrivals[2])
		// The least uneven instances of the requirement had 1.23 times the mean.
		is.True(2*float64(r.arrivals[0]) < 1.23*float64(r.arrivals[0]+r.arrivals[1]))
	})
}

// TestSlowInstance guards against an even division among instances that are not equally
// fast, which would overload the slow one: it would get 1.17 times what it can run.
func TestSlowInstance(t *testing.T) {
	var scenes []scene
	for _, hosts := range []int{9, 195, 590} {
		scenes = append(scenes, scene{instances: 3, hosts: hosts, staleness: 200 * time.Millisecond, length: 60 * time.Second, slow: true})
	}
	forScenes(t, scenes, func(t *testing.T, s scene) {
		r, former, random := play(even, s).p99(), play(today, s).p99(), play(alternatives["random"], s).p99()
		t.Logf("p99 at the busiest: even %d, least-cost %d, random %d, own in flight %d", r, former, random, play(alternatives["own in flight"], s).p99())
		is := is.New(t)
		is.True(r <= former)
		is.True(2*r <= random)
	})
}

// TestStaleness guards against reports that do harm when they are old: a choice with
// them is no worse than one at random. With -v it prints the other policies, too.
func TestStaleness(t *testing.T) {
	// At 2 s no report counts: of two sets of ten seeds, one gave 16 and one 19, and a
	// hundred seeds 16, as at random.
	const samplingError = 3
	var scenes []scene
	for _, hosts := range []int{9, 590} {
		for _, staleness := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
			scenes = append(scenes,
				scene{instances: 3, hosts: hosts, staleness: staleness, length: 60 * time.Second},
				scene{instances: 24, hosts: hosts, staleness: staleness, length: 8 * time.Second})
		}
	}
	forScenes(t, scenes, func(t *testing.T, s scene) {
		p99, random := play(even, s).p99(), play(alternatives["random"], s).p99()
		t.Logf("even %d, random %d", p99, random)
		is.New(t).True(p99 <= random+samplingError)
		for name, p := range alternatives {
			if testing.Verbose() {
				t.Logf("%s %d", name, play(p, s).p99())
			}
		}
	})
}
