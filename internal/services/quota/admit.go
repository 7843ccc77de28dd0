package quota

import (
	"context"
	"time"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/draw"
	"wasabislip.example/wasabislip/internal/models/grant"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	// admitTimeout bounds the wait for tokens if homes do not answer.
	admitTimeout = 500 * time.Millisecond
	// drawTimeout bounds one draw; homes may be in another region.
	drawTimeout = 400 * time.Millisecond
	// hedgeAfter is how long a draw may take before another home is asked too.
	hedgeAfter = 20 * time.Millisecond
	// refillWait is how long statements may wait for a bucket to refill.
	refillWait = 50 * time.Millisecond
	// failureBackoff is the pause before the next draw from a home that did not
	// answer.
	failureBackoff = 200 * time.Millisecond
)

// Admit takes one token for each statement. It fails with fault.OverRate if the
// workspace has used up its rate, and with fault.NotRun if the workspace is not in
// the configuration.
func (q *Quota) Admit(ctx context.Context, workspace string, statements int) error {
	n := float64(statements)
	s := q.shard(workspace)
	s.mu.Lock()
	e := s.entries[workspace]
	if e == nil || !e.known {
		s.mu.Unlock()
		return q.refuse(workspace, "unknown", unknown(workspace))
	}
	now := time.Now()
	e.demand.add(now, n)
	if e.take(now, n) {
		s.mu.Unlock()
		return nil
	}
	e.waiting += n
	s.mu.Unlock()
	return q.await(ctx, s, e, n)
}

// await draws until the entry holds n tokens, all homes are out of tokens, or the
// time is up. The caller has added n to the entry's waiting tokens.
func (q *Quota) await(ctx context.Context, s *shard, e *entry, n float64) error {
	deadline := time.Now().Add(admitTimeout)
	for {
		s.mu.Lock()
		now := time.Now()
		if e.take(now, n) {
			e.waiting -= n
			s.mu.Unlock()
			return nil
		}
		if err := q.refusal(ctx, e, n, now, deadline); err != nil {
			e.waiting -= n
			s.mu.Unlock()
			return err
		}
		if k := e.partToAsk(now); k >= 0 {
			r := e.request(now, q.processID, k)
			s.mu.Unlock()
			if !q.goUnlessStopped(func() { q.draw(ctx, s, e, k, r) }) {
				// A host that is stopping still draws for its last callers.
				q.draw(ctx, s, e, k, r)
			}
			continue
		}
		ended := e.drawEnded()
		until := min(deadline.Sub(now), e.retryAfter(now), hedgeAfter)
		s.mu.Unlock()
		pause(ctx, ended, until)
	}
}

// refusal returns the refusal if no draw can bring n tokens in time, else nil.
func (q *Quota) refusal(ctx context.Context, e *entry, n float64, now, deadline time.Time) error {
	if err := ctx.Err(); err != nil {
		return fault.New(fault.NotRun, "the request ended before it was admitted", "send it again").Wrap(err)
	}
	if n > e.burst {
		return q.refuse(e.workspace, "over-rate", tooMany(e.workspace))
	}
	if !now.Before(deadline) {
		return q.refuse(e.workspace, "no-answer", overRate(e.workspace, failureBackoff))
	}
	if !e.canGetTokens(now, deadline) {
		return q.refuse(e.workspace, "over-rate", overRate(e.workspace, e.retryAfter(now)))
	}
	return nil
}

// draw sends one draw to the home of part k, and follows one redirection.
func (q *Quota) draw(ctx context.Context, s *shard, e *entry, k int, r draw.Request) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drawTimeout)
	defer cancel()
	host := q.target(s, e, k)
	m := message(e.workspace, k, r)
	resp, err := q.sendDraw(ctx, host, m)
	if err == nil && resp.GetHome() != "" && resp.GetHome() != host && q.homes.Alive(resp.GetHome()) {
		host = resp.GetHome()
		resp, err = q.sendDraw(ctx, host, m)
	}
	now := time.Now()
	s.mu.Lock()
	result := e.parts[k].applyAnswer(now, host, resp, err)
	e.wakeWaiters()
	s.mu.Unlock()
	q.meter.RecordDraw(result, now.Sub(start))
}

// target returns the host to draw part k from: the last known home or, if there is
// none, a candidate, another one after each failure.
func (q *Quota) target(s *shard, e *entry, k int) string {
	s.mu.Lock()
	host := e.parts[k].home
	tries := e.parts[k].failures
	s.mu.Unlock()
	if host != "" && q.homes.Alive(host) {
		return host
	}
	var alive []string
	for _, c := range q.homes.Candidates(e.workspace) {
		if q.homes.Alive(c) {
			alive = append(alive, c)
		}
	}
	if len(alive) == 0 {
		return q.self
	}
	return alive[(k+tries)%len(alive)]
}

// sendDraw sends a draw to host, which may be this one.
func (q *Quota) sendDraw(ctx context.Context, host string, m *wasabislipv1.DrawRequest) (*wasabislipv1.DrawResponse, error) {
	if host == q.self {
		return q.Draw(ctx, m)
	}
	return q.peers.Draw(ctx, host, m)
}

// applyAnswer takes the answer of host to the newest draw, and returns the result
// for the metrics.
func (p *part) applyAnswer(now time.Time, host string, resp *wasabislipv1.DrawResponse, err error) string {
	if err != nil {
		p.failures++
		p.recordFailure(now)
		return "failed"
	}
	if resp.GetHome() != "" {
		p.home = ""
		p.failures++
		p.tokens.Fail(now, milliseconds(resp.GetRetryAfterMs()))
		return "no-home"
	}
	p.home = host
	p.failures = 0
	p.tokens.Accept(now, grant.Grant{
		Sequence:   resp.GetSequence(),
		Tokens:     resp.GetGranted(),
		Valid:      milliseconds(resp.GetValidMs()),
		RetryAfter: milliseconds(resp.GetRetryAfterMs()),
	})
	if resp.GetGranted() > 0 {
		return "granted"
	}
	return "empty"
}

// recordFailure ends the newest draw, which got no answer. The first failure is
// retried at once. After another one the home is forgotten, and the next draw waits
// for failureBackoff.
func (p *part) recordFailure(now time.Time) {
	if p.failures == 1 {
		p.tokens.Fail(now, 0)
		return
	}
	p.home = ""
	p.tokens.Fail(now, failureBackoff)
}

// refuse counts and logs a refusal.
func (q *Quota) refuse(workspace, reason string, err error) error {
	q.meter.RecordRefusal(workspace, reason)
	declog.Decision{
		Decision:  "refuse-admission",
		Reason:    reason,
		Workspace: workspace,
		Host:      q.self,
	}.Log()
	return err
}

// pause waits until ended is closed, ctx ends or d has passed.
func pause(ctx context.Context, ended <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ended:
	case <-ctx.Done():
	case <-timer.C:
	}
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func message(workspace string, part int, r draw.Request) *wasabislipv1.DrawRequest {
	return &wasabislipv1.DrawRequest{
		From:      r.From,
		Workspace: workspace,
		Part:      uint32(part),
		Sequence:  r.Sequence,
		Need:      r.Need,
		Wanted:    r.Wanted,
		Held:      r.Held,
		Returned:  r.Returned,
		Accepted:  r.LastAccepted,
	}
}

func overRate(workspace string, after time.Duration) error {
	return fault.New(fault.OverRate, "workspace "+workspace+" has used up its rate", "slow down, or have the rate raised").
		WithRetryAfter(after)
}

func tooMany(workspace string) error {
	return fault.New(fault.OverRate, "the request holds more statements than the burst of workspace "+workspace, "send fewer statements at once, or have the burst raised")
}

func unknown(workspace string) error {
	return fault.New(fault.NotRun, "workspace "+workspace+" is not in the configuration", "apply a configuration that names it")
}
