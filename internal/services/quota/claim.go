package quota

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"wasabislip.example/wasabislip/internal/models/expiry"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/modules/declog"
)

// Classes of rows.
const (
	homeClass  = "home"
	leaseClass = "lease"
)

// claimPause, times the number of candidates, is the pause between the claims that
// a host makes without being asked for tokens.
const claimPause = 2 * time.Millisecond

// homeRow is the row of one part: its home, and the lease under which it is.
type homeRow struct {
	Host  string `json:"host"`
	Lease string `json:"lease"`
	// Released is the bucket's state if the home gave the part up while it kept
	// its lease.
	Released *partState `json:"released,omitempty"`
}

// leaseRow is the lease of one host. Version changes with each renewal.
type leaseRow struct {
	Incarnation string `json:"incarnation"`
	// Ended tells that the lease is not used any more. It is set by the lease's
	// host, or by another host that saw the row unchanged for the lease's
	// duration.
	Ended bool `json:"ended,omitempty"`
	// Witnesses are the two processes that may end the lease together; empty if
	// there are none.
	Witnesses []string `json:"witnesses,omitempty"`
	// HandedOver holds the buckets' states of the parts that the host was home
	// of, by the name of the part's row, if the host ended its lease itself.
	HandedOver map[string]partState `json:"left,omitempty"`
}

// partState is the state of a bucket that a home hands to the next one.
type partState struct {
	Available   float64 `json:"level"`
	Outstanding float64 `json:"outstanding"`
}

// claim makes this host the home of part k unless the present home holds a valid
// lease, and remembers the part's home.
func (q *Quota) claim(ctx context.Context, s *shard, e *entry, k int) {
	ctx, cancel := context.WithTimeout(ctx, 2*tableTimeout)
	defer cancel()
	owner, err := q.tryClaim(ctx, s, e, k)
	result := "other-home"
	switch {
	case err != nil:
		result = "failed"
	case owner == q.self:
		result = "claimed"
	}
	q.meter.RecordClaim(result)
	declog.Decision{
		Decision:  "claim-home",
		Reason:    result,
		Workspace: e.workspace,
		Host:      owner,
	}.Log()
	s.mu.Lock()
	defer s.mu.Unlock()
	e.parts[k].owner = owner
}

// claimPreferred claims, one after the other, the parts that this host is the
// preferred candidate for and not yet the home of.
func (q *Quota) claimPreferred(ctx context.Context, end time.Time) {
	for i := range q.shards {
		for _, e := range q.shards[i].list() {
			if ctx.Err() != nil || !time.Now().Before(end) || q.incarnation() == "" {
				return
			}
			q.claimParts(ctx, &q.shards[i], e)
		}
	}
}

// claimParts claims parts of one workspace, with a pause after each, so that the
// hosts of a fleet that starts don't overload the table.
func (q *Quota) claimParts(ctx context.Context, s *shard, e *entry) {
	candidates := q.homes.Candidates(e.workspace)
	for k := range partCount {
		if len(candidates) == 0 || candidates[k%len(candidates)] != q.self {
			continue
		}
		s.mu.Lock()
		due := e.known && e.active(k) && e.parts[k].bucket == nil && !time.Now().Before(e.parts[k].claimAt)
		if due {
			e.parts[k].claimAt = time.Now().Add(claimInterval)
		}
		s.mu.Unlock()
		if due {
			q.claim(ctx, s, e, k)
			pause(ctx, nil, time.Duration(len(candidates))*claimPause)
		}
	}
}

// list returns the shard's workspaces.
func (s *shard) list() []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]*entry, 0, len(s.entries))
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	return entries
}

// tryClaim attempts a claim and returns the part's home after it.
func (q *Quota) tryClaim(ctx context.Context, s *shard, e *entry, k int) (string, error) {
	incarnation := q.incarnation()
	if incarnation == "" {
		return "", nil
	}
	name := row(e.workspace, k)
	rec, err := q.table.Get(ctx, homeClass, name)
	if err != nil {
		return "", err
	}
	var previous homeRow
	if err := decode(rec, &previous); err != nil {
		return "", err
	}
	var state *partState
	switch {
	case rec.Version == 0:
	case previous.Released != nil:
		state = previous.Released
	case previous.Host != q.self || previous.Lease != incarnation:
		ended, handedOver, err := q.leaseEnded(ctx, previous, name)
		if err != nil || !ended {
			return previous.Host, err
		}
		state = handedOver
	}
	fresh, err := q.neverHadHome(ctx, e.workspace, k, rec)
	if err != nil {
		return "", err
	}
	next := homeRow{
		Host:  q.self,
		Lease: incarnation,
	}
	// The row is written even if it already says the same: the new version makes
	// a release by this host fail that is still in flight.
	if err := q.put(ctx, homeClass, name, next, rec.Version); err != nil {
		return "", err
	}
	q.openBucket(s, e, k, incarnation, fresh, state)
	return q.self, nil
}

// neverHadHome reports whether the part never had a home, and neither had the rate
// under the other division. Only then may the bucket start full.
func (q *Quota) neverHadHome(ctx context.Context, workspace string, k int, rec record.Record) (bool, error) {
	if rec.Version > 0 {
		return false, nil
	}
	other := wholePart
	if k == wholePart {
		other = 0
	}
	r, err := q.table.Get(ctx, homeClass, row(workspace, other))
	return r.Version == 0, err
}

// openBucket creates the bucket of a part that this host became the home of. A part
// that never had a home (fresh) starts full. Else the bucket starts with the state
// that the last home handed over or, without one, empty with the whole burst
// outstanding.
func (q *Quota) openBucket(s *shard, e *entry, k int, incarnation string, fresh bool, state *partState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	p := &e.parts[k]
	if p.bucket != nil && p.incarnation == incarnation {
		return
	}
	burst := e.share(e.burst)
	initial := partState{
		Outstanding: burst,
	}
	switch {
	case fresh:
		initial = partState{
			Available: burst,
		}
	case state != nil:
		initial = *state
	}
	p.incarnation = incarnation
	p.bucket = e.bucket(now, p, initial.Available, initial.Outstanding)
	if !e.known || !e.active(k) {
		p.bucket.SetLimits(now, 0, 0)
	}
}

// leaseEnded reports whether the lease that a home row names has ended, and returns
// the state of the part that its host handed over, if any. A lease row that was
// unchanged for the lease's duration is marked as ended, so that a late renewal
// fails.
func (q *Quota) leaseEnded(ctx context.Context, home homeRow, name string) (bool, *partState, error) {
	sent := time.Now()
	rec, err := q.table.Get(ctx, leaseClass, home.Host)
	if err != nil {
		return false, nil, err
	}
	var l leaseRow
	if err := decode(rec, &l); err != nil {
		return false, nil, err
	}
	if l.Incarnation != home.Lease {
		return true, nil, nil
	}
	if l.Ended {
		if state, ok := l.HandedOver[name]; ok {
			return true, &state, nil
		}
		return true, nil, nil
	}
	if !q.leaseExpired(sent, rec) {
		return false, nil, nil
	}
	l.Ended = true
	if err := q.put(ctx, leaseClass, home.Host, l, rec.Version); err != nil {
		return false, nil, err
	}
	return true, nil, nil
}

// leaseExpired reports whether a lease row has kept its version for the lease's
// duration and a margin for clock drift.
func (q *Quota) leaseExpired(sent time.Time, rec record.Record) bool {
	q.trackersMu.Lock()
	defer q.trackersMu.Unlock()
	t := q.trackers[rec.Name]
	if t == nil {
		t = &expiry.Tracker{}
		q.trackers[rec.Name] = t
	}
	return t.Observe(sent, time.Now(), rec.Version) > leaseDuration+leaseDuration/50
}

// put writes a row if it still has the version expected.
func (q *Quota) put(ctx context.Context, class, name string, body any, expect uint64) error {
	b, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode the %s row %s: %w", class, name, err)
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return q.table.Put(ctx, record.Record{
		Class:   class,
		Name:    name,
		Version: expect + 1,
		Body:    b,
		Request: uuid.NewString(),
	}, expect)
}

// decode decodes a row's body; a row that does not exist leaves v as it is.
func decode(r record.Record, v any) error {
	if r.Version == 0 {
		return nil
	}
	if err := json.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("decode the %s row %s: %w", r.Class, r.Name, err)
	}
	return nil
}
