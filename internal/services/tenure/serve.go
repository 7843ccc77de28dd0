package tenure

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/models/recent"
	"wasabislip.example/wasabislip/internal/models/view"
	"wasabislip.example/wasabislip/internal/services/epoch"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Run takes a term and serves it, and takes further terms as primaries fail
// or are drained. It returns once another host holds the term, ctx ends or
// Stop was called.
func (s *Steward) Run(ctx context.Context) {
	defer close(s.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer cancel()
		s.waitStopped(ctx)
	})
	pause := RetryAfter
	for ctx.Err() == nil {
		served, err := s.serveTerm(ctx)
		if fault.IsKind(err, fault.Superseded) {
			s.setEnd(err)
			break
		}
		if served {
			pause = RetryAfter
			continue
		}
		if err != nil {
			s.decision("take-term", "attempt-failed", s.ownTerm.Load()).Refuse()
		}
		sleep(ctx, pause)
		pause = min(pause*2, RetryLimit)
	}
	s.setEnd(nil)
	for _, p := range s.pools {
		p.SetTerm(0)
	}
	cancel()
}

// turn takes one term and serves it to its end.
func (s *Steward) serveTerm(ctx context.Context) (bool, error) {
	c, err := s.nextTerm(ctx)
	if err != nil {
		return false, err
	}
	t := c.term
	primary, report, err := s.promoteNewest(ctx, t)
	if err != nil {
		return false, err
	}
	for _, p := range s.pools {
		p.SetTerm(t.Number)
	}
	e := epoch.New(s.database, t.Number, primary)
	for _, c := range s.instances {
		e.Add(c)
	}
	s.writes.Store(recent.New(report.Received))
	s.mu.Lock()
	e.Drain(s.drained)
	s.epoch.Store(e)
	s.mu.Unlock()
	var wg conc.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { e.Run(ctx) })
	wg.Go(func() { s.reserveNext(ctx, c, s.database.Instances[primary].Name) })
	s.setPaused(false)
	if !s.pausedAt.IsZero() {
		s.meter.Failover(s.planned, time.Since(s.pausedAt))
	}
	s.planned = false
	err = s.waitForTermEnd(ctx, e)
	if !s.planned {
		s.pausedAt = time.Now()
	}
	s.setPaused(true)
	s.failedPrimary = -1
	if e.Reason() == epoch.PrimaryDead {
		s.failedPrimary = primary
	}
	return true, err
}

// serve returns when the term has to end. The error is fault.Superseded when
// another host holds a later term.
func (s *Steward) waitForTermEnd(ctx context.Context, e *epoch.Epoch) error {
	tick := time.NewTicker(PlanEvery)
	defer tick.Stop()
	notBefore := time.Now().Add(PlanEvery)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.Ended():
			if e.Reason() == epoch.Superseded && ctx.Err() == nil {
				return fault.New(fault.Superseded, s.database.Name+" has another steward", "ask the present steward")
			}
			return nil
		case now := <-tick.C:
			s.closeDeadConns(e)
			if now.Before(notBefore) || !s.shouldReplacePrimary(e.View()) {
				continue
			}
			if s.prepareReplacement(ctx, e) {
				return nil
			}
			notBefore = time.Now().Add(PlanPause)
		}
	}
}

// flush closes idle connections to instances that do not answer, since they
// would fail the statement that took one.
func (s *Steward) closeDeadConns(e *epoch.Epoch) {
	for i, live := range e.View().Live {
		if !live {
			s.pools[i].SetTerm(e.Term())
		}
	}
}

// wantsChange reports whether the primary is drained, a replica that is not
// could replace it, and a term for the change is at hand.
func (s *Steward) shouldReplacePrimary(v *view.View) bool {
	if !v.Drained[v.Primary] || s.reserved.Load() == nil {
		return false
	}
	return s.hasSuccessor(v, false)
}

// successor reports whether an instance other than the primary, live and not
// drained, may be promoted; equal asks that it holds all that the primary has.
func (s *Steward) hasSuccessor(v *view.View, equal bool) bool {
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

// prepare admits no new run, waits for those admitted and for a replica that
// holds all. It reports whether the primary may now be changed; otherwise runs
// are admitted again.
func (s *Steward) prepareReplacement(ctx context.Context, e *epoch.Epoch) bool {
	s.decision("change-primary", "primary-drained", e.Term()).Log()
	s.setPaused(true)
	s.pausedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, CatchUpLimit)
	defer cancel()
	if s.waitIdle(ctx) {
		for {
			v, err := e.Round(ctx)
			if err != nil {
				break
			}
			if s.hasSuccessor(v, true) {
				s.planned = true
				return true
			}
		}
	}
	select {
	case <-e.Ended():
		return true
	default:
	}
	s.decision("keep-primary", "change-not-ready-in-time", e.Term()).Refuse()
	s.setPaused(false)
	return false
}

func (s *Steward) waitStopped(ctx context.Context) {
	for {
		s.mu.Lock()
		over, changed := s.stopped && s.active == 0, s.changed
		s.mu.Unlock()
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
