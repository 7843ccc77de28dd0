package edge

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/usage"
	"wasabislip.example/wasabislip/internal/modules/count"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/services/bill"
	"wasabislip.example/wasabislip/internal/services/counts"
	"wasabislip.example/wasabislip/internal/services/wall"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// usageReports are the parts of a host that report usage. A nil one does nothing.
type usageReports struct {
	reporter *bill.Reporter
	sender   *counts.Sender
}

// buildUsage creates the parts that report usage, if the settings enable them. The other
// services exist already.
func (h *Host) buildUsage(self host.Host) {
	if !h.Settings.ReportsUsage() {
		return
	}
	params := usage.Params{
		Window:    h.Settings.ReportWindow,
		Delay:     h.Settings.UsageDelay,
		Lease:     h.Settings.LeaseDuration,
		Tolerance: h.Settings.UsageTolerance,
	}
	counter := count.New(params.Window)
	clock := wall.New(h.gossip, h.mirror)
	sender := &counts.Sender{
		Self:      self,
		Params:    params,
		Counter:   counter,
		Clock:     clock,
		Hosts:     h.gossip,
		Directory: h.mirror,
		Caller:    h.forwarder,
	}
	reporter := &bill.Reporter{
		Self:      self,
		Params:    params,
		Clock:     clock,
		Directory: h.mirror,
		Store:     h.Store,
		Platform:  h.Promoter,
		Hosts:     h.gossip,
		Forwarder: sender,
	}
	sender.Local = reporter
	h.gossip.ReportsUsage = true
	h.forwarder.Counter = counter
	h.tasks.Counter = counter
	h.tasks.Reporter = reporter
	h.usage = &usageReports{
		reporter: reporter,
		sender:   sender,
	}
	h.registerUsageGauges(reporter)
	klog.InfoS("usage is reported", "window", params.Window.String(), "delay", params.Delay.String(), "lease", params.Lease.String(), "tolerance", params.Tolerance)
}

// run starts the parts.
func (u *usageReports) run(ctx context.Context, wg *conc.WaitGroup) {
	if u == nil {
		return
	}
	wg.Go(func() { guard.Keep(ctx, "usage-reporter", u.reporter.Run) })
	wg.Go(func() { guard.Keep(ctx, "usage-sender", u.sender.Run) })
}

// leave lets another host report; this one goes on counting until finish.
func (u *usageReports) leave(ctx context.Context) {
	if u == nil {
		return
	}
	u.sender.Leave()
	go guard.Run("usage-release", func() {
		u.reporter.Stop(ctx)
	})
}

// finish sends the last counts, and waits until another host may report. It leaves most
// of the time to what comes after it.
func (u *usageReports) finish(ctx context.Context) {
	if u == nil {
		return
	}
	if end, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(end)/3)
		defer cancel()
	}
	u.reporter.Stop(ctx)
	u.sender.Send(ctx)
}

// registerUsageGauges adds the metrics of the usage reports.
func (h *Host) registerUsageGauges(r *bill.Reporter) {
	for _, g := range []struct {
		name, help string
		value      func(s bill.Stats) float64
	}{
		{name: "usage_holder", help: "1 if this host sends the usage reports.", value: func(s bill.Stats) float64 {
			if s.Holder {
				return 1
			}
			return 0
		}},
		{name: "usage_windows_finalized", help: "Windows whose counts this host made final.", value: func(s bill.Stats) float64 { return float64(s.Finalized) }},
		{name: "usage_windows_delivered", help: "Usage reports that the platform took from this host.", value: func(s bill.Stats) float64 { return float64(s.Delivered) }},
		{name: "usage_windows_late", help: "Usage reports that this host delivered after the usage delay.", value: func(s bill.Stats) float64 { return float64(s.Late) }},
		{name: "usage_windows_missed", help: "Windows that this host found too old to report.", value: func(s bill.Stats) float64 { return float64(s.Missed) }},
		{name: "usage_windows_refused", help: "Usage reports that the platform refused for good.", value: func(s bill.Stats) float64 { return float64(s.Refused) }},
		{name: "usage_takeovers", help: "Times that this host began to send the usage reports.", value: func(s bill.Stats) float64 { return float64(s.Takeovers) }},
		{name: "usage_delay_seconds", help: "Time from a window's end to the delivery of its report, for the last one.", value: func(s bill.Stats) float64 { return s.Delay.Seconds() }},
		{name: "usage_hosts_missing", help: "Live hosts without all counts when the last window became final.", value: func(s bill.Stats) float64 { return float64(s.MissingHosts) }},
		{name: "usage_counts_dropped", help: "Counts of a host and window that came after the window was final.", value: func(s bill.Stats) float64 { return float64(s.Dropped) }},
	} {
		h.stats.AddGauge(g.name, g.help, func() float64 {
			return g.value(r.Stats())
		})
	}
}
