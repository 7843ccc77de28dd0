package edge

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// Steps of a stop, as fractions of the grace period. Before the first step the
// balancer gets the two seconds that it needs to send new callers elsewhere. Open
// transactions get half of the period.
const (
	// idleCloseStart is when the first idle sessions are closed.
	idleCloseStart = 0.3
	// idleCloseEnd is when the last idle sessions are closed, and the listener
	// for callers with them.
	idleCloseEnd = 0.45
	// rollBackAt is when open transactions are rolled back.
	rollBackAt = 0.52
	// cutOffAt is when the sessions that are left are cut off.
	cutOffAt = 0.92
	// deregisterUntil is when the host gives up the removal of its registration.
	deregisterUntil = 0.98
	// stopPoll is the time between two checks during a stop.
	stopPoll = 50 * time.Millisecond
)

func (h *Host) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

// stop ends the sessions in order. The balancer and the other hosts are told at
// once. Idle sessions end somewhat later, one after the other, and those with open
// transactions last.
func (h *Host) stop(ctx context.Context, l *listeners) {
	h.mu.Lock()
	h.stopping = true
	n := len(h.sessions)
	h.mu.Unlock()
	klog.InfoS("stopping", "host", h.Settings.Host, "callers", n, "grace", h.Settings.GracePeriod.String())
	h.gossip.Stop()
	h.usage.leave(ctx)
	began := time.Now()
	at := func(fraction float64) time.Time {
		return began.Add(time.Duration(fraction * float64(h.Settings.GracePeriod)))
	}
	for now := range ticks(ctx, at(cutOffAt)) {
		if now.Before(at(idleCloseStart)) {
			continue
		}
		if now.After(at(idleCloseEnd)) {
			h.closeCallers(l)
		}
		progress := float64(now.Sub(at(idleCloseStart))) / float64(at(idleCloseEnd).Sub(at(idleCloseStart)))
		left := h.endSessions(progress, now.After(at(rollBackAt)))
		if left+h.tasks.Busy() == 0 && now.After(at(idleCloseEnd)) {
			break
		}
	}
	h.closeCallers(l)
	deregister, cancel := context.WithDeadline(ctx, at(deregisterUntil))
	defer cancel()
	h.usage.finish(deregister)
	h.registrar.Deregister(deregister)
	_ = l.ready.Close() // the process ends
	_ = l.peers.Close()
	_ = l.metrics.Close()
	_ = l.runs.Close()
	h.tasks.Close()
}

// closeCallers closes the listener for callers and waits until the callers that it
// accepted are among the sessions.
func (h *Host) closeCallers(l *listeners) {
	_ = l.callers.Close() // a second close is harmless
	<-h.callersDone
}

// ticks yields the present time every stopPoll until end.
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

// endSessions asks some of the sessions to end: the fraction of them that progress
// gives, at least one. It returns how many sessions there are.
func (h *Host) endSessions(progress float64, rollBack bool) int {
	h.mu.Lock()
	list := make([]*caller, 0, len(h.sessions))
	for c := range h.sessions {
		list = append(list, c)
	}
	h.mu.Unlock()
	n := int(min(1, progress)*float64(len(list)) + 1)
	for _, c := range list[:min(n, len(list))] {
		c.requestEnd(rollBack)
	}
	return len(list)
}
