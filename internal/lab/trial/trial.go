// Package trial runs one policy of an experiment against one load. It runs the
// hosts in this process, in the simulated environment of package simenv.
package trial

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
	// warmUp is the time before the first operation arrives. In it the hosts learn
	// of each other by gossip, and the token buckets of new homes fill. A home is
	// the host that owns a part of a workspace's rate.
	warmUp = 3 * time.Second
	// step is the interval at which a stream draws whether operations arrive.
	step = 2 * time.Millisecond
	// maxAttempts is how often a caller tries an operation, the first attempt
	// included. The backoff between attempts is random, from minBackoff to
	// maxBackoff: see the open questions of docs/PLATFORM.md.
	maxAttempts = 3
	minBackoff  = 30 * time.Millisecond
	maxBackoff  = 190 * time.Millisecond
)

// Trial is one run of one policy against one load.
type Trial struct {
	// Hosts is the number of hosts.
	Hosts int
	// Duration is how long operations arrive.
	Duration time.Duration
	// Seed determines the random choices: when operations arrive, at which hosts,
	// and how long callers wait before a retry.
	Seed uint64
	// Priorities are the priorities of the databases, by name; 0 is the highest.
	Priorities map[string]int
	// Tuning holds the parameters of the policy.
	Tuning tuning.Tuning
	// Load is the operations that callers send.
	Load load.Load
	// Faults are injected one after the other.
	Faults []fault.Fault

	env   *simenv.Environment
	tally *tally.Tally
}

// Run runs the trial and returns the outcomes of its operations.
func (t *Trial) Run(ctx context.Context) *tally.Tally {
	t.tally = &tally.Tally{}
	t.env = simenv.New()
	defer t.env.Close()
	t.env.Tuning = t.Tuning
	t.env.SetWorkspaces(t.Load.RateLimits(), t.Priorities)
	for i := range t.Hosts {
		t.env.StartHost(i)
	}
	time.Sleep(warmUp)
	start := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		t.injectFaults(ctx, start)
	})
	for i := range t.Load.Streams {
		wg.Go(func() {
			t.runStream(ctx, start, i)
		})
	}
	wg.Wait()
	return t.tally
}

// injectFaults injects the faults and ends them, one after the other.
func (t *Trial) injectFaults(ctx context.Context, start time.Time) {
	for _, f := range t.Faults {
		if !waitUntil(ctx, start.Add(f.At)) {
			return
		}
		t.beginFault(f)
		if !waitUntil(ctx, start.Add(f.At+f.Duration)) {
			return
		}
		t.endFault(f)
	}
}

func (t *Trial) beginFault(f fault.Fault) {
	switch f.Kind {
	case fault.PowerOff:
		var all []int
		for i := range t.Hosts {
			all = append(all, i)
		}
		t.env.PowerOff(all...)
	case fault.CrashPrimary:
		id, _ := simenv.Instance(0)
		t.env.CrashInstance(id)
	case fault.SlowInstances:
		t.env.Group.SetTimes(simenv.ApplyLag, f.StatementTime)
	case fault.StoreUnavailable:
		t.env.Store.SetFault(func(string, bool) string {
			return rowsrv.Busy
		})
	}
}

func (t *Trial) endFault(f fault.Fault) {
	switch f.Kind {
	case fault.PowerOff:
		for i := range t.Hosts {
			t.env.StartHost(i)
		}
	case fault.CrashPrimary:
		if f.Duration > 0 {
			id, _ := simenv.Instance(0)
			t.env.StartInstance(id)
		}
	case fault.SlowInstances:
		t.env.Group.SetTimes(simenv.ApplyLag, simenv.StatementTime)
	case fault.StoreUnavailable:
		t.env.Store.SetFault(nil)
	}
}

// runStream runs the operations of the stream at index n. They arrive at random
// times. It returns once all of them have ended.
func (t *Trial) runStream(ctx context.Context, start time.Time, n int) {
	s := &t.Load.Streams[n]
	rng := rand.New(rand.NewPCG(t.Seed, uint64(n)))
	var callers sync.WaitGroup
	defer callers.Wait()
	for ctx.Err() == nil && time.Since(start) < t.Duration {
		expected := s.RateAt(time.Since(start)) * step.Seconds()
		for expected > 0 && rng.Float64() < expected {
			expected--
			o := &operation{
				trial:     t,
				rng:       rand.New(rand.NewPCG(rng.Uint64(), 0)),
				workspace: s.Workspace,
				database:  s.Database,
				statement: "READ item",
				arrived:   time.Now(),
			}
			if rng.Float64() < s.WriteFraction {
				o.statement = fmt.Sprintf("WRITE item-%d x", rng.IntN(100))
			}
			at := time.Since(start)
			callers.Go(func() {
				outcome := o.run()
				t.tally.Record(o.workspace, at, outcome, time.Since(o.arrived))
			})
		}
		time.Sleep(step)
	}
}

// operation is one operation of a caller, with its retries.
type operation struct {
	trial     *Trial
	rng       *rand.Rand
	workspace string
	database  string
	statement string
	arrived   time.Time
}

// run tries the operation until it is answered, its timeout has passed or no
// attempt is left, and returns the outcome.
func (o *operation) run() int {
	outcome := tally.Failed
	for n := range maxAttempts {
		if n > 0 {
			time.Sleep(minBackoff + time.Duration(o.rng.Int64N(int64(maxBackoff-minBackoff))))
		}
		remaining := simenv.StatementTimeout - time.Since(o.arrived)
		if remaining <= 0 {
			return outcome
		}
		var retry bool
		outcome, retry = o.try(remaining)
		if !retry {
			return outcome
		}
	}
	return outcome
}

// try sends the operation to a random host and reports whether the caller may
// retry it: only if it certainly did not take effect.
func (o *operation) try(remaining time.Duration) (outcome int, retry bool) {
	c, code, ok := o.trial.env.OpenSession(o.rng.IntN(o.trial.Hosts), o.database, "key-"+o.workspace)
	if !ok {
		return outcomeOfRefusal(code), true
	}
	defer c.Close()
	c.AnswerTimeout = remaining
	a := c.Do(o.statement)
	switch {
	case a.OK() && time.Since(o.arrived) <= simenv.TargetLatency:
		return tally.InTime, false
	case a.OK():
		return tally.Late, false
	case a.GuaranteesNoEffect():
		return tally.Refused, true
	}
	return tally.Failed, false
}

// outcomeOfRefusal returns the outcome of a session that was not accepted. The
// code is empty if the host gave no answer.
func outcomeOfRefusal(code string) int {
	if code == "" {
		return tally.Failed
	}
	return tally.Refused
}

// waitUntil waits until a time. It returns false if ctx ends first.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
