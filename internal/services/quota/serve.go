package quota

import (
	"context"
	"math"
	"time"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/draw"
	"wasabislip.example/wasabislip/internal/models/grant"
)

const (
	// claimInterval is the least time between two attempts to become the home of
	// a part.
	claimInterval = 5 * time.Second
	// notHomeRetry is when a host that asked another than the home may draw
	// from the part again.
	notHomeRetry = time.Second
)

// Draw serves another host's request for tokens. If this host is not the home of the
// part, it tries to become it; if that fails, it names the home that it knows of.
func (q *Quota) Draw(ctx context.Context, m *wasabislipv1.DrawRequest) (*wasabislipv1.DrawResponse, error) {
	if isWitnessCall(m) {
		return q.answerAsWitness(m), nil
	}
	workspace := m.GetWorkspace()
	k := int(m.GetPart())
	s := q.shard(workspace)
	s.mu.Lock()
	e := s.entries[workspace]
	if e == nil || !e.known || !e.active(k) {
		s.mu.Unlock()
		return notHome(q.self), nil
	}
	if resp := q.grantTokens(e, k, m); resp != nil {
		s.mu.Unlock()
		return resp, nil
	}
	p := &e.parts[k]
	now := time.Now()
	if now.Before(p.claimAt) && !m.GetReleased() {
		owner := p.owner
		s.mu.Unlock()
		return notHome(owner), nil
	}
	p.claimAt = now.Add(claimInterval)
	s.mu.Unlock()
	q.claimInBackground(ctx, s, e, k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp := q.grantTokens(e, k, m); resp != nil {
		return resp, nil
	}
	return notHome(p.owner), nil
}

// claimInBackground claims part k and waits until that is done or ctx ends; the
// claim then goes on.
func (q *Quota) claimInBackground(ctx context.Context, s *shard, e *entry, k int) {
	claimed := make(chan struct{})
	started := q.goUnlessStopped(func() {
		defer close(claimed)
		q.claim(context.WithoutCancel(ctx), s, e, k)
	})
	if !started {
		return
	}
	select {
	case <-claimed:
	case <-ctx.Done():
	}
}

// grantTokens answers from the part's bucket if this host is its home under a lease
// that it may use now, else it returns nil. It drops the bucket if the lease is over.
func (q *Quota) grantTokens(e *entry, k int, m *wasabislipv1.DrawRequest) *wasabislipv1.DrawResponse {
	p := &e.parts[k]
	now := time.Now()
	held, usable := q.checkLease(now, p.incarnation)
	if p.bucket == nil || !held {
		p.bucket = nil
		return nil
	}
	if !usable {
		return nil
	}
	return response(p.bucket.Draw(now, draw.Request{
		From:         m.GetFrom(),
		Sequence:     m.GetSequence(),
		Need:         m.GetNeed(),
		Wanted:       m.GetWanted(),
		Held:         m.GetHeld(),
		Returned:     m.GetReturned(),
		LastAccepted: m.GetAccepted(),
	}))
}

// checkLease reports whether the lease is held now and of that incarnation, and
// whether it is usable: no witness can have ended it.
func (q *Quota) checkLease(now time.Time, incarnation string) (held, usable bool) {
	q.leaseMu.RLock()
	defer q.leaseMu.RUnlock()
	held = q.lease.Held(now) && q.lease.Incarnation() == incarnation
	return held, held && q.holder.Valid(now)
}

func response(g grant.Grant) *wasabislipv1.DrawResponse {
	retry := math.Ceil(float64(g.RetryAfter) / float64(time.Millisecond))
	return &wasabislipv1.DrawResponse{
		Granted:      g.Tokens,
		Sequence:     g.Sequence,
		ValidMs:      g.Valid.Milliseconds(),
		RetryAfterMs: int64(retry),
	}
}

// notHome answers that this host is not the home, and names the home if it is known.
func notHome(owner string) *wasabislipv1.DrawResponse {
	if owner == "" {
		owner = "none"
	}
	return &wasabislipv1.DrawResponse{
		RetryAfterMs: notHomeRetry.Milliseconds(),
		Home:         owner,
	}
}
