package coord

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/models/recent"
	"wasabislip.example/wasabislip/internal/models/view"
	"wasabislip.example/wasabislip/internal/services/epoch"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Run takes a term and serves it, and takes further terms when the primary
// fails or is drained. It returns once another host holds a later term, ctx ends
// or Stop was called.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer cancel()
		c.waitStopped(ctx)
	})
	pause := MinBackoff
	for ctx.Err() == nil {
		served, err := c.serveTerm(ctx)
		if fault.IsKind(err, fault.Superseded) {
			c.setEnd(err)
			break
		}
		if served {
			pause = MinBackoff
			continue
		}
		if err != nil {
			c.decision("take-term", "attempt-failed", c.ownTerm.Load()).LogAlways()
		}
		sleep(ctx, pause)
		pause = min(pause*2, MaxBackoff)
	}
	c.setEnd(nil)
	for _, p := range c.pools {
		p.SetTerm(0)
	}
	cancel()
}

// serveTerm takes one term, promotes a primary in it and serves it to its end.
// It reports whether the term was served.
func (c *Coordinator) serveTerm(ctx context.Context) (bool, error) {
	taken, err := c.nextTerm(ctx)
	if err != nil {
		return false, err
	}
	t := taken.term
	primary, report, err := c.promoteNewest(ctx, t)
	if err != nil {
		return false, err
	}
	for _, p := range c.pools {
		p.SetTerm(t.Number)
	}
	e := epoch.New(c.database, t.Number, primary)
	for _, client := range c.instances {
		e.AddInstance(client)
	}
	c.writes.Store(recent.New(report.Received))
	c.mu.Lock()
	e.SetDrained(c.drained)
	c.epoch.Store(e)
	c.mu.Unlock()
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { e.Run(ctx) })
	wg.Go(func() { c.reserveNext(ctx, taken, c.database.Instances[primary].Name) })
	c.setPaused(false)
	if !c.pausedAt.IsZero() {
		c.meter.RecordFailover(c.planned, time.Since(c.pausedAt))
	}
	c.planned = false
	err = c.waitForTermEnd(ctx, e)
	if !c.planned {
		c.pausedAt = time.Now()
	}
	c.setPaused(true)
	c.failedPrimary = -1
	if e.Reason() == epoch.PrimaryFailed {
		c.failedPrimary = primary
	}
	return true, err
}

// waitForTermEnd returns when the term has to end: it was ended by the epoch,
// or the drained primary may be replaced now. The error is fault.Superseded
// when another host holds a later term.
func (c *Coordinator) waitForTermEnd(ctx context.Context, e *epoch.Epoch) error {
	tick := time.NewTicker(DrainCheckInterval)
	defer tick.Stop()
	notBefore := time.Now().Add(DrainCheckInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.Ended():
			if e.Reason() == epoch.Superseded && ctx.Err() == nil {
				return fault.New(fault.Superseded, c.database.Name+" has another steward", "ask the present steward")
			}
			return nil
		case now := <-tick.C:
			c.closeDeadConns(e)
			if now.Before(notBefore) || !c.shouldReplacePrimary(e.View()) {
				continue
			}
			if c.prepareReplacement(ctx, e) {
				return nil
			}
			notBefore = time.Now().Add(PlannedRetryPause)
		}
	}
}

// closeDeadConns closes the idle connections to instances that do not answer: a
// statement that took one would fail.
func (c *Coordinator) closeDeadConns(e *epoch.Epoch) {
	for i, live := range e.View().Live {
		if !live {
			c.pools[i].SetTerm(e.Term())
		}
	}
}

// shouldReplacePrimary reports whether the primary is drained, a replica that
// is not drained could replace it, and the next term is reserved.
func (c *Coordinator) shouldReplacePrimary(v *view.View) bool {
	if !v.Drained[v.Primary] || c.reserved.Load() == nil {
		return false
	}
	return c.hasSuccessor(v, false)
}

// hasSuccessor reports whether an instance other than the primary, live and not
// drained, may be promoted. With equal it must also hold all of the primary's
// log.
func (c *Coordinator) hasSuccessor(v *view.View, equal bool) bool {
	for i := range v.Quorum.Reports {
		if i == v.Primary || v.Drained[i] || !v.Live[i] {
			continue
		}
		r := &v.Quorum.Reports[i]
		if r.Term != v.Quorum.Term {
			continue
		}
		if !equal || r.Received == v.PrimaryStatus().Received {
			return true
		}
	}
	return false
}

// prepareReplacement stops admission, and waits for the admitted runs to end and
// for a replica to hold all of the primary's log. It reports whether the primary
// may be replaced now; otherwise runs are admitted again.
func (c *Coordinator) prepareReplacement(ctx context.Context, e *epoch.Epoch) bool {
	c.decision("change-primary", "primary-drained", e.Term()).Log()
	c.setPaused(true)
	c.pausedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, CatchUpTimeout)
	defer cancel()
	if c.waitIdle(ctx) {
		for {
			v, err := e.VerifyTerm(ctx)
			if err != nil {
				break
			}
			if c.hasSuccessor(v, true) {
				c.planned = true
				return true
			}
		}
	}
	select {
	case <-e.Ended():
		return true
	default:
	}
	c.decision("keep-primary", "change-not-ready-in-time", e.Term()).LogAlways()
	c.setPaused(false)
	return false
}

// waitStopped returns once Stop was called and no run is admitted, or ctx ended.
func (c *Coordinator) waitStopped(ctx context.Context) {
	for {
		c.mu.Lock()
		over, changed := c.stopped && c.active == 0, c.changed
		c.mu.Unlock()
		if over {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
