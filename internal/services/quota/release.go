package quota

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/declog"
)

const (
	// rebalanceInterval is the time between two rounds of claims and releases.
	rebalanceInterval = 2 * time.Second
	// maxReleases is the number of parts of one workspace that a host releases
	// in one round: most of the workspace's rate must stay available meanwhile.
	maxReleases = 3
)

// releaseMisplaced releases some of the parts for which another live host is the
// preferred candidate, until end. A host that starts alone claims all parts of a
// workspace; if it kept them, its loss would cost the whole rate until its lease has
// expired.
func (q *Quota) releaseMisplaced(ctx context.Context, end time.Time) {
	// leased tells which hosts have a lease, as read in this round.
	leased := make(map[string]bool)
	for i := range q.shards {
		for _, e := range q.shards[i].list() {
			q.releaseParts(ctx, &q.shards[i], e, end, leased)
		}
	}
}

// releaseParts releases at most maxReleases misplaced parts of one workspace, with a
// pause after each, so that a change of the fleet does not overload the table.
func (q *Quota) releaseParts(ctx context.Context, s *shard, e *entry, end time.Time, leased map[string]bool) {
	candidates := q.homes.Candidates(e.workspace)
	remaining := maxReleases
	for k := range partCount {
		if remaining == 0 || len(candidates) == 0 || ctx.Err() != nil || !time.Now().Before(end) {
			return
		}
		next := candidates[k%len(candidates)]
		if next == q.self || !q.homes.Alive(next) || !s.isHome(e, k) {
			continue
		}
		if _, known := leased[next]; !known {
			leased[next] = q.hasLease(ctx, next)
		}
		if leased[next] && q.release(ctx, s, e, k, next) {
			remaining--
			pause(ctx, nil, time.Duration(len(candidates))*claimPause)
		}
	}
}

// isHome reports whether this host has the bucket of part k.
func (s *shard) isHome(e *entry, k int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.parts[k].bucket != nil
}

// hasLease reports whether a host has a lease that is not marked as ended.
func (q *Quota) hasLease(ctx context.Context, name string) bool {
	rec, err := q.table.Get(ctx, leaseClass, name)
	if err != nil || rec.Version == 0 {
		return false
	}
	var l leaseRow
	return decode(rec, &l) == nil && !l.Ended
}

// release hands part k over to next if this host is its home, and reports whether it
// was. The bucket is dropped before the row is written, so that nothing is granted
// from it any more. If the outcome of the write stays unknown, the next claim
// rewrites the row and starts with the whole burst outstanding.
func (q *Quota) release(ctx context.Context, s *shard, e *entry, k int, next string) bool {
	incarnation := q.incarnation()
	now := time.Now()
	s.mu.Lock()
	p := &e.parts[k]
	if p.bucket == nil || incarnation == "" || p.incarnation != incarnation {
		s.mu.Unlock()
		return false
	}
	released := homeRow{
		Host:  q.self,
		Lease: incarnation,
		Released: &partState{
			Available:   p.bucket.Available(now),
			Outstanding: p.bucket.Outstanding(now),
		},
	}
	p.bucket = nil
	p.owner = next
	p.claimAt = now.Add(claimInterval)
	s.mu.Unlock()
	declog.Decision{
		Decision:  "release-home",
		Reason:    "other-host-preferred",
		Workspace: e.workspace,
		Host:      next,
	}.Log()
	if err := q.writeRelease(ctx, row(e.workspace, k), released); err != nil {
		klog.V(1).InfoS("part not released", "workspace", e.workspace, "part", k, "err", err)
		return true
	}
	q.offer(ctx, e.workspace, k, next)
	return true
}

// offer asks next to claim a part that was released to it, to keep the time without
// a home short. If the call is lost, next claims the part by itself later.
func (q *Quota) offer(ctx context.Context, workspace string, k int, next string) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	_, err := q.peers.Draw(ctx, next, &wasabislipv1.DrawRequest{
		From:      q.processID + "/release",
		Workspace: workspace,
		Part:      uint32(k),
		Sequence:  1,
		Released:  true,
	})
	if err != nil {
		klog.V(1).InfoS("released part not offered to its next home", "workspace", workspace, "part", k, "host", next, "err", err)
	}
}

// writeRelease writes the row of a part that this host has released, unless the row
// has changed since.
func (q *Quota) writeRelease(ctx context.Context, name string, released homeRow) error {
	rec, err := q.table.Get(ctx, homeClass, name)
	if err != nil {
		return err
	}
	var present homeRow
	if err := decode(rec, &present); err != nil {
		return err
	}
	if present.Host != released.Host || present.Lease != released.Lease || present.Released != nil {
		return nil
	}
	return q.put(ctx, homeClass, name, released, rec.Version)
}
