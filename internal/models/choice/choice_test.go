package choice_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/choice"
	"wasabislip.example/wasabislip/internal/models/load"
)

// tolerance is for what the random start of the shares changes.
const tolerance = 0.01

// loaded returns a local replica with one report.
func loaded(id string, statements int, age time.Duration) choice.Candidate {
	return choice.Candidate{
		ID:        id,
		Slots:     slots,
		Local:     true,
		StartedMs: 100,
		Hosts:     1,
		Reports: []choice.Report{{
			Report: load.Report{
				Running:   statements,
				Service:   service * time.Duration(max(statements, slots)) / slots,
				StartedMs: 100,
			},
			Age: age,
		}},
	}
}

// share returns how often the first candidate goes first.
func share(list ...choice.Candidate) float64 {
	const reads = 1000
	rng := rand.New(rand.NewPCG(1, 2))
	c := choice.Chooser{
		Random: rng.Float64,
	}
	n := 0
	for range reads {
		if order, _ := c.Order(list); order[0] == 0 {
			n++
		}
	}
	return float64(n) / reads
}

// TestFailures plays the failures of the section "Load balancing with stale
// information" of docs/design/load-work.md.
func TestFailures(t *testing.T) {
	const age = 100 * time.Millisecond
	idle, usual := loaded("a", 0, age), loaded("b", 4, age)
	run := func(name string, list []choice.Candidate, check func(is *is.I, share float64)) {
		t.Run(name, func(t *testing.T) {
			check(is.New(t), share(list...))
		})
	}
	isEven := func(is *is.I, share float64) { is.True(math.Abs(share-0.5) < tolerance) }
	isMore := func(is *is.I, share float64) { is.True(share > 0.5+tolerance) }
	isAtMostEven := func(is *is.I, share float64) { is.True(share < 0.5+tolerance) }
	isNone := func(is *is.I, share float64) { is.True(share < tolerance) }
	with := func(change func(c *choice.Candidate), others ...choice.Candidate) []choice.Candidate {
		c := idle
		c.Reports = append([]choice.Report(nil), idle.Reports...)
		change(&c)
		return append([]choice.Candidate{c}, others...)
	}
	run("a recent report counts", []choice.Candidate{idle, usual}, isMore)
	run("an old report does not", []choice.Candidate{loaded("a", 0, 2*time.Second), usual}, isEven)
	run("a report from before a restart does not", with(func(c *choice.Candidate) { c.StartedMs = 200 }, usual), isEven)
	run("an instance that a report shows to be restarted attracts none", with(func(c *choice.Candidate) { c.Reports[0].StartedMs = 200 }, usual), isAtMostEven)
	run("a cold instance attracts none", with(func(c *choice.Candidate) { c.Cold = true }, usual), isAtMostEven)
	run("a failing instance attracts none", with(func(c *choice.Candidate) { c.Failing = true }, usual), isAtMostEven)
	run("an instance that returns errors gets none", with(func(c *choice.Candidate) { c.Errors = 1 }, usual), isNone)
	elsewhere := loaded("b", 0, age)
	elsewhere.Local = false
	run("an instance that returns errors gets none even if it is the only local one", with(func(c *choice.Candidate) { c.Errors = 1 }, elsewhere), isNone)
	run("a failing instance gets few even if it is the only local one", with(func(c *choice.Candidate) { c.Failing = true }, elsewhere), isAtMostEven)
	run("errors of all are the callers'", with(func(c *choice.Candidate) { c.Errors = 0.5 }, func() choice.Candidate {
		c := usual
		c.Errors = 0.5
		return c
	}()), isMore)
	run("a lost report counts as the mean", with(func(c *choice.Candidate) { c.Reports = nil }, usual), isEven)
	run("without any report the choice is even", []choice.Candidate{{ID: "a", Local: true}, {ID: "b", Local: true}}, isEven)
	run("without any report no read goes to another data centre", []choice.Candidate{{ID: "a"}, {ID: "b", Local: true}}, isNone)
	run("one that does not answer this host gets none", with(func(c *choice.Candidate) { c.InFlight = 10 }, usual), isNone)
	run("a report of one of ten hosts counts less", with(func(c *choice.Candidate) { c.Hosts = 10 }, usual), func(is *is.I, share1 float64) {
		is.True(share1 < share(idle, usual))
		is.True(share1 > 0.5)
	})
}

// TestOlderCountsLess guards against hosts that follow old reports all at once.
func TestOlderCountsLess(t *testing.T) {
	is := is.New(t)
	last := 1.0
	for _, age := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second, 2 * time.Second} {
		now := share(loaded("a", 0, age), loaded("b", 20, age))
		is.True(now < last)
		last = now
	}
}

// TestCosts guards against bytes between data centres and reads on the primary that save
// callers no time.
func TestCosts(t *testing.T) {
	remote := func(statements int) choice.Candidate {
		c := loaded("a", statements, 0)
		c.Local = false
		return c
	}
	primary := func(statements int) choice.Candidate {
		c := loaded("a", statements, 0)
		c.Primary = true
		return c
	}
	run := func(name string, first, local choice.Candidate, used bool) {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(share(first, local) > tolerance, used)
		})
	}
	run("an idle remote replica", remote(0), loaded("b", 2, 0), false)
	run("a remote replica that saves less than it costs", remote(3), loaded("b", 3, 0), false)
	run("a remote replica that saves more", remote(0), loaded("b", 5, 0), true)
	run("a primary that saves less than writes lose", primary(0), loaded("b", 4, 0), false)
	run("a primary where replicas are clearly worse", primary(0), loaded("b", 9, 0), true)
	t.Run("the next ones follow by what they cost", func(t *testing.T) {
		is := is.New(t)
		c := choice.Chooser{
			Random: func() float64 { return 0 },
		}
		last := primary(0)
		last.Local = false
		order, reason := c.Order([]choice.Candidate{last, remote(0), loaded("b", 2, 0)})
		is.Equal(order, []int{2, 1, 0})
		is.Equal(reason, choice.Preferred)
	})
}
