package serve

import (
	"context"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/modules/trail"
)

// duty is whether the host is to take new work.
type drainState struct {
	mu      sync.Mutex
	drained bool
	// stopping tells that the process ends, after which no restore counts.
	stopping bool
	// settle calls off the step of a drain that waits for the balancer.
	cancelPending context.CancelFunc
}

// drain takes the host out of service, or back into it, while its process
// goes on. The balancer and the fleet learn of it first; callers are told to
// go elsewhere once the balancer has had its time.
func (h *Host) setDrained(ctx context.Context, on bool) {
	if !h.drainState.set(on) {
		return
	}
	what := "restore-host"
	if on {
		what = "drain-host"
	}
	trail.Decision{
		Decision:   what,
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
		if sleep(wait, h.Settings.Timeouts.Balancer) {
			h.drainState.unlessCancelled(wait, h.callers.Drain)
		}
	})
	h.fleet.Leave(ctx)
}

// set records whether the host is drained, and reports a change that counts.
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

// waits keeps what calls off the step that waits.
func (d *drainState) setPending(cancel context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelPending = cancel
}

// whileDrained calls f unless wait was called off.
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

// off reports whether the host is drained.
func (d *drainState) isDrained() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.drained
}

// pause waits for d and reports whether ctx lasted as long.
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
