package bill

import (
	"context"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/duty"
	"wasabislip.example/wasabislip/internal/models/usage"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/counts"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// send sends the oldest content that is not delivered. The call goes on beside further
// decisions: a slow platform does not delay the contents of later windows.
func (r *Reporter) send(ctx context.Context, in *duty.Input) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.undelivered[0]
	r.sending = true
	r.sendAfter = uptime.Now() + retryPause
	token, until := in.Hold.Record.Token, in.Hold.Written+r.Params.SendTime()
	go guard.Run("usage-report", func() {
		err := fault.New(
			fault.OutcomeUnknown,
			"the call did not end",
			"look for its panic in the log",
		)
		defer func() {
			r.endSend(c, token, err)
		}()
		if e := r.Platform.Report(ctx, c.Window, c.Counts, r.Self.Name, token, until); e == nil {
			err = nil
		} else if f := fault.As(e); f != nil {
			err = f
		}
	})
}

// endSend records the outcome of a call.
func (r *Reporter) endSend(c usage.Content, token uint64, err *fault.Fault) {
	now, _ := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sending = false
	delay := now.Sub(r.Params.End(c.Window))
	if err != nil {
		klog.InfoS("usage: a report was not delivered", "window", c.Window, "token", token, "workspaces", len(c.Counts), "after", delay.String(), "err", err.Error())
	}
	switch {
	case err == nil:
		r.stats.Delivered++
		r.stats.Delay = delay
		if delay > r.Params.Delay {
			r.stats.Late++
		}
		klog.InfoS("usage: report delivered", "window", c.Window, "token", token, "workspaces", len(c.Counts), "after", delay.String())
		r.sendAfter = 0
	case err.Kind == fault.Conflict, err.Kind == fault.BadRequest:
		r.stats.Refused++
	case err.Kind == fault.OutcomeUnknown:
		r.unknownSend = uptime.Now()
		return
	default:
		return
	}
	if len(r.undelivered) > 0 && r.undelivered[0].Window == c.Window {
		r.undelivered = r.undelivered[1:]
	}
	r.decideAgain()
}

// passOn sends the counts of hosts that are gone to the host that reports next. The
// live ones send theirs again.
func (r *Reporter) passOn(ctx context.Context) {
	to, ok := r.Hosts.Lead(counts.Duty, r.Self.Name)
	if !ok {
		return
	}
	alive := r.Hosts.Alive()
	r.mu.Lock()
	list := r.sums.Messages(func(name string, incarnation uint64) bool {
		for _, h := range append([]host.Host{r.Self}, alive...) {
			if h.Name == name && h.Incarnation == incarnation {
				return true
			}
		}
		return false
	})
	r.mu.Unlock()
	for i := range list {
		if err := r.Forwarder.Forward(ctx, to, &list[i]); err != nil {
			klog.InfoS("usage: the counts of a host that is gone could not be passed on", "from", list[i].From, "to", to.Name, "err", err.Error())
		}
	}
}
