package serve

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// portCloseTimeout bounds the closing of the ports after the last request has ended.
const portCloseTimeout = 2 * time.Second

// supersededInterval is the time between two checks whether a later process uses
// this host's name.
const supersededInterval = 200 * time.Millisecond

// ready returns why the host accepts no callers, or nil.
func (h *Host) ready() error {
	select {
	case <-h.stopped:
		return errors.New("the host is stopping; connect to another")
	default:
	}
	if h.drainState.isDrained() {
		return errors.New("the host is drained; connect to another")
	}
	if s, _ := h.config.Current(); s == nil {
		return errors.New("no configuration is in force yet; apply one or wait")
	}
	return h.config.CheckConfirmed()
}

// stop ends the host's work. It tells the balancer and the fleet first, hands over
// its databases and the token buckets that it is the home of, lets requests end, and
// closes the ports last. New callers are accepted until the balancer has had time to
// send them elsewhere.
func (h *Host) stop(background context.Context) {
	ctx, cancel := context.WithTimeout(background, h.Settings.Timeouts.Drain)
	defer cancel()
	begin := time.Now()
	close(h.stopped)
	h.drainState.stop()
	var wg conc.WaitGroup
	wg.Go(func() {
		sleep(ctx, h.Settings.Timeouts.BalancerDelay)
		_ = h.callers.Shutdown(ctx)
		_ = h.quota.Drain(ctx)
	})
	wg.Go(func() {
		h.fleet.Leave(ctx)
		h.databases.Stop(ctx)
	})
	wg.Wait()
	if ctx.Err() != nil {
		klog.InfoS("the drain timeout was reached; requests may have been interrupted", "host", h.Settings.Host, "limit", h.Settings.Timeouts.Drain)
	}
	h.closePorts(background)
	klog.InfoS("host has stopped", "host", h.Settings.Host, "took", time.Since(begin))
}

// superseded returns a channel that is closed once a later process uses this host's
// name.
func (h *Host) superseded(ctx context.Context) <-chan struct{} {
	found := make(chan struct{})
	h.group.Go(func() {
		for !h.fleet.Superseded() {
			if !sleep(ctx, supersededInterval) {
				return
			}
		}
		close(found)
	})
	return found
}

// abort ends the host's work at once, because the other hosts can't tell this process
// from the one that uses its name now.
func (h *Host) abort() error {
	klog.InfoS("a later process uses this host's name; stopping at once", "host", h.Settings.Host)
	close(h.stopped)
	h.drainState.stop()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.callers.Shutdown(ctx)
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.clients.Close()
	return fault.New(fault.Superseded, "a later process uses the host name "+h.Settings.Host, "give each process a host name of its own")
}

// closePorts closes the ports after the last answers to other hosts and operators
// were sent.
func (h *Host) closePorts(background context.Context) {
	last, done := context.WithTimeout(background, portCloseTimeout)
	defer done()
	for _, s := range h.servers {
		if s.Shutdown(last) != nil {
			_ = s.Close()
		}
	}
	h.clients.Close()
}
