package serve

import (
	"context"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/modules/declog"
)

// drainState says whether the host is drained.
type drainState struct {
	mu      sync.Mutex
	drained bool
	// stopping says that the process ends. Drains and restores have no effect any
	// more then.
	stopping bool
	// cancelPending cancels the last step of a drain, which waits for the balancer.
	cancelPending context.CancelFunc
}

// setDrained takes the host out of service, or back into service, while its process
// goes on. The balancer and the fleet learn of a drain first. Callers are refused
// once the balancer has had time to send new ones elsewhere.
func (h *Host) setDrained(ctx context.Context, on bool) {
	if !h.drainState.set(on) {
		return
	}
	decision := "restore-host"
	if on {
		decision = "drain-host"
	}
	declog.Decision{
		Decision:   decision,
		Reason:     "configuration",
		Host:       h.Settings.Host,
		DataCentre: h.Settings.DataCentre,
	}.Log()
	h.databases.SetDraining(on)
	if !on {
		h.callers.Resume()
		h.fleet.Rejoin(ctx)
		return
	}
	wait, cancel := context.WithCancel(ctx)
	h.drainState.setPending(cancel)
	h.group.Go(func() {
		if sleep(wait, h.Settings.Timeouts.BalancerDelay) {
			h.drainState.unlessCancelled(wait, h.callers.Drain)
		}
	})
	h.fleet.Leave(ctx)
}

// set records whether the host is drained, and reports whether that is a change that
// has to take effect.
func (d *drainState) set(on bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping || d.drained == on {
		return false
	}
	d.drained = on
	if d.cancelPending != nil {
		d.cancelPending()
		d.cancelPending = nil
	}
	return true
}

// setPending stores the function that cancels the pending step.
func (d *drainState) setPending(cancel context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelPending = cancel
}

// unlessCancelled calls f unless wait was cancelled.
func (d *drainState) unlessCancelled(wait context.Context, f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if wait.Err() == nil {
		f()
	}
}

// stop records that the process ends.
func (d *drainState) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

// isDrained reports whether the host is drained.
func (d *drainState) isDrained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drained
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
