package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// Parts of the grace period at which a stop goes on. The balancer needs two
// seconds to send new callers elsewhere; open transactions get half of the
// period.
const (
	// idleFrom is when idle sessions begin to be closed.
	idleCloseStart = 0.3
	// idleUntil is when the last idle one is asked to end.
	idleCloseEnd = 0.45
	// transactionsUntil is when open transactions are rolled back.
	rollBackAt = 0.52
	// endAt is when what is left is cut off.
	cutOffAt = 0.92
	// stopPoll is the time between two looks during a stop.
	stopPoll = 50 * time.Millisecond
)

func (h *Host) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

// stop ends the sessions in order: the balancer is told at once, idle sessions
// end a while later and one after the other, then those with transactions.
func (h *Host) stop(ctx context.Context, l *listeners) {
	h.mu.Lock()
	h.stopping = true
	n := len(h.sessions)
	h.mu.Unlock()
	klog.InfoS("stopping", "host", h.Settings.Host, "callers", n, "grace", h.Settings.Grace.String())
	h.gossip.Stop()
	began := time.Now()
	at := func(part float64) time.Time {
		return began.Add(time.Duration(part * float64(h.Settings.Grace)))
	}
	for now := range ticks(ctx, at(cutOffAt)) {
		if now.Before(at(idleCloseStart)) {
			continue
		}
		if now.After(at(idleCloseEnd)) {
			_ = l.callers.Close() // a second close is harmless
		}
		progress := float64(now.Sub(at(idleCloseStart))) / float64(at(idleCloseEnd).Sub(at(idleCloseStart)))
		left := h.endSessions(progress, now.After(at(rollBackAt)))
		if left+h.tasks.Busy() == 0 && now.After(at(idleCloseEnd)) {
			break
		}
	}
	_ = l.callers.Close() // a second close is harmless
	h.registrar.Deregister(ctx)
	_ = l.ready.Close() // the process ends
	_ = l.peers.Close()
	_ = l.metrics.Close()
	_ = l.runs.Close()
	h.tasks.Close()
}

// ticks yields the time now and then until the end.
func ticks(ctx context.Context, end time.Time) func(yield func(time.Time) bool) {
	return func(yield func(time.Time) bool) {
		for ctx.Err() == nil {
			now := time.Now()
			if now.After(end) || !yield(now) {
				return
			}
			time.Sleep(stopPoll)
		}
	}
}

// ask asks a growing part of the sessions to end, and returns how many are
// left.
func (h *Host) endSessions(progress float64, expire bool) int {
	h.mu.Lock()
	list := make([]*caller, 0, len(h.sessions))
	for x := range h.sessions {
		list = append(list, x)
	}
	h.mu.Unlock()
	part := int(min(1, progress)*float64(len(list)) + 1)
	for _, x := range list[:min(part, len(list))] {
		x.requestEnd(expire)
	}
	return len(list)
}
