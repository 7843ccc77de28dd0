package rates_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/permit"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/services/rates"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/space"
)

const (
	// silentAfter and giveUp are those of the packages gossip and edge.
	silentAfter = 2800 * time.Millisecond
	giveUp      = 100 * time.Millisecond
)

// cluster simulates hosts that report to each other, ask homes over slow or cut links,
// die and come back.
type cluster struct {
	policy *policy.Policy
	random *rand.Rand
	nodes  []*node
	// side is the part of the network that a host is in; roundTrip that of all links.
	side      []int
	roundTrip time.Duration

	mu       sync.Mutex
	asked    int
	admitted []time.Duration
	start    time.Time
}

// node is one process of a host.
type node struct {
	cluster *cluster
	id      int
	rates   *rates.Rates
	started time.Time
	dead    atomic.Bool
	leaving atomic.Bool

	mu      sync.Mutex
	heard   map[int]heard
	avoided map[int]time.Time
	backoff map[int]time.Duration
}

// heard is the last report of another host.
type heard struct {
	at      time.Time
	demands []byte
	leaving bool
}

func newCluster(size int, rate, burst float64, seed uint64) *cluster {
	c := &cluster{
		policy: &policy.Policy{
			Version: 1,
			Workspaces: map[string]space.Workspace{
				"w": {
					Name:  "w",
					Rate:  rate,
					Burst: burst,
				},
			},
		},
		random:    rand.New(rand.NewPCG(seed, 7)),
		nodes:     make([]*node, size),
		side:      make([]int, size),
		roundTrip: 4 * time.Millisecond,
		start:     time.Now(),
	}
	for i := range size {
		c.startNode(i)
	}
	return c
}

func (c *cluster) startNode(i int) {
	n := &node{
		cluster: c,
		id:      i,
		started: time.Now(),
		heard:   map[int]heard{},
		avoided: map[int]time.Time{},
		backoff: map[int]time.Duration{},
	}
	n.rates = &rates.Rates{
		Homes:       n,
		ReportAge:   n.reportAge,
		LateDemands: n.lateDemands,
		Window:      windowLength,
		Overage:     overage,
		Tolerance:   tolerance,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[i] = n
}

// Home returns the live host of the lowest number, another one if this host leaves.
func (n *node) Home(string) (host.Host, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := n.id
	if n.leaving.Load() {
		last = len(n.cluster.nodes)
	}
	for i := range last {
		if h, ok := n.heard[i]; ok && !h.leaving && time.Since(h.at) < silentAfter {
			return host.Host{
				Name: fmt.Sprint(i),
			}, true
		}
	}
	return host.Host{}, false
}

func (n *node) RequestPermit(_ context.Context, home host.Host, workspace string, request permit.Request) (bool, time.Duration, string, error) {
	var i int
	_, _ = fmt.Sscan(home.Name, &i)
	n.mu.Lock()
	avoided := time.Now().Before(n.avoided[i])
	n.mu.Unlock()
	if avoided {
		return false, 0, "", errors.New("avoided")
	}
	c := n.cluster
	c.mu.Lock()
	there, trip := c.nodes[i], c.roundTrip
	reached := !there.dead.Load() && c.side[n.id] == c.side[i]
	c.mu.Unlock()
	if !reached || trip > giveUp {
		if reached {
			time.AfterFunc(trip/2, func() {
				there.rates.Grant(workspace, request)
			})
		}
		time.Sleep(giveUp)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.backoff[i] = min(max(2*n.backoff[i], 300*time.Millisecond), 3*time.Second)
		n.avoided[i] = time.Now().Add(n.backoff[i])
		return false, 0, "", errors.New("no answer")
	}
	time.Sleep(trip / 2)
	ok, after, why := there.rates.Grant(workspace, request)
	time.Sleep(trip / 2)
	if !ok && why == "" {
		return false, 0, "", errors.New("not the home")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.backoff, i)
	return ok, after, why, nil
}

func (n *node) reportAge(h host.Host) time.Duration {
	var i int
	_, _ = fmt.Sscan(h.Name, &i)
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.heard[i].at)
}

func (n *node) lateDemands(_ uint64, age time.Duration) [][]byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list [][]byte
	for _, h := range n.heard {
		if silent := time.Since(h.at); silent > age && silent < silentAfter {
			list = append(list, h.demands)
		}
	}
	return list
}

// gossip sends the reports of all hosts and updates their shares.
func (c *cluster) gossip() {
	for _, from := range c.nodes {
		if from.dead.Load() {
			continue
		}
		d, _ := from.rates.Demands()
		r := heard{
			at:      time.Now(),
			demands: d,
			leaving: from.leaving.Load(),
		}
		for _, to := range c.nodes {
			if to == from || to.dead.Load() || c.side[from.id] != c.side[to.id] {
				continue
			}
			delay := 30*time.Millisecond + time.Duration(c.random.IntN(400))*time.Millisecond
			time.AfterFunc(delay, func() {
				to.mu.Lock()
				defer to.mu.Unlock()
				if r.at.After(to.heard[from.id].at) {
					to.heard[from.id] = r
				}
			})
		}
	}
	for _, n := range c.nodes {
		if !n.dead.Load() {
			n.update()
		}
	}
}

func (n *node) update() {
	n.mu.Lock()
	var others [][]byte
	alive := 1
	for _, h := range n.heard {
		age := time.Since(h.at)
		if age < silentAfter {
			alive++
		}
		if age < 15*time.Second && !h.leaving || age < silentAfter {
			others = append(others, h.demands)
		}
	}
	size := alive
	if time.Since(n.started) < 2*time.Second {
		size = len(n.cluster.nodes)
	}
	n.mu.Unlock()
	n.rates.UpdateShares(n.cluster.policy, others, size, alive)
}

// send sends one operation through a host.
func (c *cluster) send(n *node, request permit.Request) {
	c.mu.Lock()
	c.asked++
	c.mu.Unlock()
	go func() {
		ok, after, _ := n.rates.Admit(context.Background(), "w", request)
		if !ok {
			return
		}
		time.Sleep(after)
		c.mu.Lock()
		defer c.mu.Unlock()
		if !n.dead.Load() {
			c.admitted = append(c.admitted, time.Since(c.start))
		}
	}()
}

// run sends a load that is spread over the hosts by weight, for some time.
func (c *cluster) run(length time.Duration, perSecond float64, weights []float64) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	until := time.Now().Add(length)
	for k := 0; time.Now().Before(until); k++ {
		if k%40 == 0 {
			c.gossip()
		}
		for expected := perSecond * step.Seconds(); expected > 0 && c.random.Float64() < expected; expected-- {
			at, i := c.random.Float64()*sum, 0
			for i < len(weights)-1 && at >= weights[i] {
				at -= weights[i]
				i++
			}
			if !c.nodes[i].dead.Load() {
				c.send(c.nodes[i], permit.Request{
					Wait:  time.Duration(c.random.IntN(2)) * 125 * time.Millisecond,
					Level: c.random.IntN(3),
				})
			}
		}
		time.Sleep(step)
	}
}

// kill ends the processes of some hosts.
func (c *cluster) kill(hosts ...int) {
	for _, i := range hosts {
		c.nodes[i].dead.Store(true)
	}
}

func (c *cluster) restartDead() {
	for i, n := range c.nodes {
		if n.dead.Load() {
			c.startNode(i)
		}
	}
}

// weights draws how the load is spread: evenly, mostly to one host, or by chance.
func (c *cluster) weights() []float64 {
	w := make([]float64, len(c.nodes))
	one := c.random.IntN(len(w))
	kind := c.random.IntN(3)
	for i := range w {
		w[i] = []float64{1, 0.02, c.random.Float64()}[kind]
		if i == one && kind == 1 {
			w[i] = 1
		}
	}
	return w
}

// load draws how many operations a second are sent.
func (c *cluster) load() float64 {
	return c.policy.Workspaces["w"].Rate * []float64{0.1, 0.6, 0.9, 1.5, 3}[c.random.IntN(5)]
}

// heal joins the parts of the network.
func (c *cluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.side)
}

// split draws a part of the network for each host.
func (c *cluster) split() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.side {
		c.side[i] = c.random.IntN(2)
	}
}

// disturbances are what happens between two phases of a schedule.
var disturbances = map[string]func(c *cluster){
	"none": func(*cluster) {},
	"slow homes": func(c *cluster) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.roundTrip = []time.Duration{4, 60, 98, 102, 150, 400}[c.random.IntN(6)] * time.Millisecond
	},
	"homes that leave": func(c *cluster) {
		c.restartDead()
		for _, n := range c.nodes {
			if !n.leaving.Load() {
				n.leaving.Store(true)
				break
			}
		}
		c.kill(leavers(c)...)
	},
	"partitions": func(c *cluster) {
		c.split()
		for range 2 {
			c.run(windowLength+time.Duration(c.random.IntN(3000))*time.Millisecond, c.load(), c.weights())
			c.heal()
		}
	},
	"partitions within a window": func(c *cluster) {
		c.split()
		if c.random.IntN(3) == 0 {
			c.heal()
		}
	},
	"restarts of one": func(c *cluster) {
		c.restartDead()
		c.kill(c.random.IntN(len(c.nodes)))
	},
	"restarts of the home": func(c *cluster) {
		c.restartDead()
		c.kill(0)
	},
	"restarts of all": func(c *cluster) {
		c.kill(0, 1, 2, 3, 4, 5, 6)
		time.Sleep(time.Duration(c.random.IntN(2000)) * time.Millisecond)
		c.restartDead()
	},
}

// leavers returns the hosts that announced their stop, but for the last one.
func leavers(c *cluster) []int {
	var list []int
	for i, n := range c.nodes {
		if n.leaving.Load() && !n.dead.Load() {
			list = append(list, i)
		}
	}
	return list[:max(0, len(list)-1)]
}

// TestBound guards against windows above a workspace's bound, over random schedules of
// load and of faults.
func TestBound(t *testing.T) {
	for name, disturb := range disturbances {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			highest, schedule := 0.0, ""
			for seed := range uint64(6) {
				for _, rate := range []float64{31, 200} {
					synctest.Test(t, func(*testing.T) {
						if most := boundSchedule(seed, rate, disturb); most > highest {
							highest = most
							schedule = fmt.Sprintf("seed %d, rate %.0f", seed, rate)
						}
					})
				}
			}
			t.Logf("at most %.3f of the bound (%s)", highest, schedule)
			is.True(highest <= 1)
		})
	}
}

// boundSchedule runs a schedule and returns the most that was admitted in a window, as a
// fraction of the bound.
func boundSchedule(seed uint64, rate float64, disturb func(c *cluster)) float64 {
	c := newCluster(7, rate, rate, seed)
	c.run(time.Second, 0, c.weights())
	for range 10 {
		c.run(time.Duration(500+c.random.IntN(5000))*time.Millisecond, c.load(), c.weights())
		disturb(c)
	}
	time.Sleep(time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.Sort(c.admitted)
	return float64(maxInWindow(c.admitted)) / ((rate*windowLength.Seconds()+rate)*(1+overage) + tolerance)
}

// TestWithinRate guards against operations that are refused although callers ask for
// less than the rate: 0.1% is the target on a day without a restart.
func TestWithinRate(t *testing.T) {
	for _, rate := range []float64{8, 31, 200} {
		for _, size := range []int{7, 60} {
			t.Run(fmt.Sprintf("rate %.0f, %d hosts", rate, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					c := newCluster(size, rate, rate, 1)
					c.run(time.Second+windowLength, 0.8*rate, c.weights()) // the start
					c.mu.Lock()
					c.asked, c.admitted = 0, nil
					c.mu.Unlock()
					for range 25 {
						c.run(time.Duration(500+c.random.IntN(5000))*time.Millisecond, 0.8*rate, c.weights())
					}
					time.Sleep(time.Second)
					c.mu.Lock()
					defer c.mu.Unlock()
					t.Logf("refused %d of %d", c.asked-len(c.admitted), c.asked)
					is.True(len(c.admitted)*1000 >= c.asked*999)
				})
			})
		}
	}
}
