// Package play runs one policy of an experiment against one load, on whole
// hosts of the project's emulator.
package play

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/lab/fault"
	"wasabislip.example/wasabislip/internal/lab/load"
	"wasabislip.example/wasabislip/internal/lab/tally"
	"wasabislip.example/wasabislip/internal/models/tuning"
	"wasabislip.example/wasabislip/internal/standin/rowsrv"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

const (
	// warmUp is how long hosts have before callers come: they hear of each
	// other, and rates of a new home have filled.
	warmUp = 3 * time.Second
	// step is the time between two looks for arrivals.
	step = 2 * time.Millisecond
	// tries is how often a caller asks, its first time included, and backLeast
	// and backMost bound the pause between: see the open questions of
	// docs/PLATFORM.md.
	tries     = 3
	backLeast = 30 * time.Millisecond
	backMost  = 190 * time.Millisecond
)

// Play is one policy against one load.
type Play struct {
	// Hosts is how many hosts serve.
	Hosts int
	// Length is how long callers come.
	Length time.Duration
	// Seed fixes when callers come and where.
	Seed uint64
	// Priorities are those of the databases.
	Priorities map[string]int
	// Tuning is the policy.
	Tuning tuning.Tuning
	// Load is what callers ask for.
	Load load.Load
	// Faults happen meanwhile.
	Faults []fault.Fault

	town  *simenv.Environment
	tally *tally.Tally
}

// Run plays and returns what callers got.
func (p *Play) Run(ctx context.Context) *tally.Tally {
	p.tally = &tally.Tally{}
	p.town = simenv.New()
	defer p.town.Close()
	p.town.Tuning = p.Tuning
	p.town.SetWorkspaces(p.Load.Limits(), p.Priorities)
	for i := range p.Hosts {
		p.town.StartHost(i)
	}
	time.Sleep(warmUp)
	began := time.Now()
	var parts sync.WaitGroup
	parts.Go(func() {
		p.disturb(ctx, began)
	})
	for i := range p.Load.Streams {
		parts.Go(func() {
			p.arrive(ctx, began, i)
		})
	}
	parts.Wait()
	return p.tally
}

// disturb makes the faults happen, one after the other.
func (p *Play) disturb(ctx context.Context, began time.Time) {
	for _, f := range p.Faults {
		if !until(ctx, began.Add(f.At)) {
			return
		}
		p.begin(f)
		if !until(ctx, began.Add(f.At+f.For)) {
			return
		}
		p.end(f)
	}
}

func (p *Play) begin(f fault.Fault) {
	switch f.Kind {
	case fault.PowerOff:
		var all []int
		for i := range p.Hosts {
			all = append(all, i)
		}
		p.town.PowerOff(all...)
	case fault.Crash:
		id, _ := simenv.Instance(0)
		p.town.CrashInstance(id)
	case fault.Slow:
		p.town.Group.SetTimes(simenv.ApplyLag, f.Work)
	case fault.Away:
		p.town.Store.SetFault(func(string, bool) string {
			return rowsrv.Busy
		})
	}
}

func (p *Play) end(f fault.Fault) {
	switch f.Kind {
	case fault.PowerOff:
		for i := range p.Hosts {
			p.town.StartHost(i)
		}
	case fault.Crash:
		if f.For > 0 {
			id, _ := simenv.Instance(0)
			p.town.StartInstance(id)
		}
	case fault.Slow:
		p.town.Group.SetTimes(simenv.ApplyLag, simenv.StatementTime)
	case fault.Away:
		p.town.Store.SetFault(nil)
	}
}

// arrive sends the operations of one stream at random moments.
func (p *Play) arrive(ctx context.Context, began time.Time, n int) {
	s := &p.Load.Streams[n]
	random := rand.New(rand.NewPCG(p.Seed, uint64(n)))
	var callers sync.WaitGroup
	defer callers.Wait()
	for ctx.Err() == nil && time.Since(began) < p.Length {
		expected := s.At(time.Since(began)) * step.Seconds()
		for expected > 0 && random.Float64() < expected {
			expected--
			o := &operation{
				play:      p,
				random:    rand.New(rand.NewPCG(random.Uint64(), 0)),
				workspace: s.Workspace,
				database:  s.Database,
				text:      "READ item",
				came:      time.Now(),
			}
			if random.Float64() < s.Writes {
				o.text = fmt.Sprintf("WRITE item-%d x", random.IntN(100))
			}
			at := time.Since(began)
			callers.Go(func() {
				outcome := o.run()
				p.tally.Note(o.workspace, at, outcome, time.Since(o.came))
			})
		}
		time.Sleep(step)
	}
}

// operation is one caller's wish.
type operation struct {
	play      *Play
	random    *rand.Rand
	workspace string
	database  string
	text      string
	came      time.Time
}

// run asks until the operation is answered or given up.
func (o *operation) run() int {
	outcome := tally.Failed
	for n := range tries {
		if n > 0 {
			time.Sleep(backLeast + time.Duration(o.random.Int64N(int64(backMost-backLeast))))
		}
		left := simenv.StatementTimeout - time.Since(o.came)
		if left <= 0 {
			return outcome
		}
		var again bool
		outcome, again = o.try(left)
		if !again {
			return outcome
		}
	}
	return outcome
}

// try asks one host; again tells that the caller may ask once more.
func (o *operation) try(left time.Duration) (outcome int, again bool) {
	c, code, ok := o.play.town.OpenSession(o.random.IntN(o.play.Hosts), o.database, "key-"+o.workspace)
	if !ok {
		return refusal(code), true
	}
	defer c.Close()
	c.AnswerTimeout = left
	a := c.Do(o.text)
	switch {
	case a.OK() && time.Since(o.came) <= simenv.TargetLatency:
		return tally.InTime, false
	case a.OK():
		return tally.Late, false
	case a.GuaranteesNoEffect():
		return tally.Refused, true
	}
	return tally.Failed, false
}

// refusal tells a host that refused from one that gave no answer.
func refusal(code string) int {
	if code == "" {
		return tally.Failed
	}
	return tally.Refused
}

// until waits for a moment; false once ctx has ended.
func until(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
