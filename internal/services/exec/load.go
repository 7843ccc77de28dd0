package exec

import (
	"context"
	"sync/atomic"
	"time"
)

// smoothing is the divisor of the moving average of the time that a slot is held:
// the latest time counts for one part in so many.
const smoothing = 8

// loadGauge measures the use of one instance's slots: how many statements run or
// wait, and the mean time that a slot is held.
type loadGauge struct {
	busy atomic.Int64
	mean atomic.Int64
}

// Busy returns how many statements run or wait at the instance at index.
func (x *Executor) Busy(index int) int {
	return int(x.loads[index].busy.Load())
}

// acquire waits for a slot of the instance at index. The returned function gives
// it back.
func (x *Executor) acquire(ctx context.Context, index int, workspace string) (func(), error) {
	g := x.loads[index]
	g.busy.Add(1)
	release, err := x.queues[index].Acquire(ctx, workspace, x.policy.Weight(workspace))
	if err != nil {
		g.busy.Add(-1)
		return nil, err
	}
	start := time.Now()
	return func() {
		held := int64(time.Since(start))
		mean := g.mean.Load()
		g.mean.Store(mean + (held-mean)/smoothing)
		g.busy.Add(-1)
		release()
	}, nil
}

// expectedWait is how long a new statement is expected to wait for a slot of the
// instance at index.
func (x *Executor) expectedWait(index int) time.Duration {
	slots := max(x.coordinator.Database().Instances[index].Slots, 1)
	g := x.loads[index]
	ahead := int(g.busy.Load()) + 1 - slots
	if ahead <= 0 {
		return 0
	}
	return time.Duration(g.mean.Load()) * time.Duration(ahead) / time.Duration(slots)
}
