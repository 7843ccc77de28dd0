package exec

import (
	"time"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// heldRetryAfter is when a workspace whose transactions hold too many connections
// is told to retry.
const heldRetryAfter = 100 * time.Millisecond

// reservedDivisor sets how much of a pool is reserved at most for workspaces that
// hold less than their share: the pool's size divided by this.
const reservedDivisor = 4

// reserveConn counts a connection that the workspace is about to take to the
// instance at index. It fails if the workspace holds its share already and only
// the reserved connections are left. As many connections are reserved as the
// instance has slots, but at most a quarter of the pool, for workspaces that hold
// less than their share. So the open transactions of one workspace cannot lock
// the others out. A workspace's first connection is always granted.
func (x *Executor) reserveConn(index int, workspace string) error {
	database := x.coordinator.Database()
	p := x.coordinator.Pool(index)
	share := x.policy.Share(database.Name, workspace) * float64(p.Limit())
	reserved := min(database.Instances[index].Slots, max(p.Limit()/reservedDivisor, 1))
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.connsHeld[index][workspace]
	all := 0
	for _, other := range x.connsHeld[index] {
		all += other
	}
	if n > 0 && float64(n+1) > share && all+reserved >= p.Limit() {
		return fault.New(fault.Overloaded, "the workspace's open transactions hold its share of the connections", "end open transactions sooner").WithRetryAfter(heldRetryAfter)
	}
	x.connsHeld[index][workspace] = n + 1
	return nil
}

// unreserveConn counts a connection that the workspace has given back.
func (x *Executor) unreserveConn(index int, workspace string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.connsHeld[index][workspace]--
	if x.connsHeld[index][workspace] <= 0 {
		delete(x.connsHeld[index], workspace)
	}
}
