package exec

import (
	"time"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// holdRetry is when a workspace whose transactions hold too many connections
// may come back.
const heldRetryAfter = 100 * time.Millisecond

// keptPart is the part of a pool, one in so many, that at most is kept for
// workspaces below their share.
const reservedDivisor = 4

// hold counts a connection that the workspace is about to take to the instance
// at index. Connections as many as the instance has slots, but no more than a
// quarter of the pool, are kept for those that hold less than their share, so
// that open transactions of one workspace cannot keep the others out.
func (r *Runner) reserveConn(index int, workspace string) error {
	database := r.coordinator.Database()
	p := r.coordinator.Pool(index)
	share := r.policy.Share(database.Name, workspace) * float64(p.Limit())
	kept := min(database.Instances[index].Slots, max(p.Limit()/reservedDivisor, 1))
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.connsHeld[index][workspace]
	all := 0
	for _, other := range r.connsHeld[index] {
		all += other
	}
	if n > 0 && float64(n+1) > share && all+kept >= p.Limit() {
		return fault.New(fault.Overloaded, "the workspace's open transactions hold its share of the connections", "end open transactions sooner").After(heldRetryAfter)
	}
	r.connsHeld[index][workspace] = n + 1
	return nil
}

// yield counts a connection that the workspace has given back.
func (r *Runner) unreserveConn(index int, workspace string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connsHeld[index][workspace]--
	if r.connsHeld[index][workspace] <= 0 {
		delete(r.connsHeld[index], workspace)
	}
}
