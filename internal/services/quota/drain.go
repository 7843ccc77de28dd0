package quota

import (
	"context"
	"time"
)

// Drain hands over the parts that this host is the home of. It stops granting
// tokens, then ends its lease by one write that holds the state of each part's
// bucket. It returns once the write took effect or ctx ended.
func (q *Quota) Drain(ctx context.Context) error {
	incarnation := q.stop()
	if incarnation == "" {
		return nil
	}
	body := leaseRow{
		Incarnation: incarnation,
		Ended:       true,
		HandedOver:  q.takeParts(incarnation),
	}
	for {
		err := q.endLease(ctx, body)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(renewRetry):
		}
	}
}

// endLease writes the last version of the lease row, unless the lease has already
// ended.
func (q *Quota) endLease(ctx context.Context, body leaseRow) error {
	rec, err := q.table.Get(ctx, leaseClass, q.self)
	if err != nil {
		return err
	}
	var l leaseRow
	if err := decode(rec, &l); err != nil {
		return err
	}
	if l.Incarnation != body.Incarnation || l.Ended {
		return nil
	}
	return q.put(ctx, leaseClass, q.self, body, rec.Version)
}

// takeParts removes the buckets of the parts that this host is the home of, and
// returns their states by the names of the parts' rows.
func (q *Quota) takeParts(incarnation string) map[string]partState {
	parts := make(map[string]partState)
	now := time.Now()
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			for k := range e.parts {
				p := &e.parts[k]
				if p.bucket == nil || p.incarnation != incarnation {
					continue
				}
				parts[row(e.workspace, k)] = partState{
					Available:   p.bucket.Available(now),
					Outstanding: p.bucket.Outstanding(now),
				}
				p.bucket = nil
			}
		}
		s.mu.Unlock()
	}
	return parts
}
