// Package admit is the admission control for callers' statements. Those of a
// workspace are limited by its rate over all hosts, those of callers without a
// key by a rate of this host.
package admit

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// burstSeconds is how many seconds of the rate for callers without a key may be
// saved up.
const burstSeconds = 2

// rateLimiter limits each workspace to its rate over all hosts.
type rateLimiter interface {
	Admit(ctx context.Context, workspace string, statements int) error
}

// Controller admits statements or refuses them. It is safe for concurrent use.
type Controller struct {
	workspaces rateLimiter
	anonymous  *rate.Limiter
}

// New returns a controller. Workspaces are limited by their fleet-wide rates, and
// all callers without a key on this host to anonymousRate statements a second.
func New(workspaces rateLimiter, anonymousRate float64) *Controller {
	return &Controller{
		workspaces: workspaces,
		anonymous:  rate.NewLimiter(rate.Limit(anonymousRate), max(int(anonymousRate*burstSeconds), 1)),
	}
}

// Admit admits a batch of statements, or fails with fault.OverRate. It admits all
// of them or none.
func (c *Controller) Admit(ctx context.Context, workspace string, statements int) error {
	if workspace != "" {
		return c.workspaces.Admit(ctx, workspace, statements)
	}
	now := time.Now()
	if statements > c.anonymous.Burst() {
		return fault.New(fault.OverRate, "the batch holds more statements than callers without a key may send at once", "send fewer at once, or connect with a key")
	}
	r := c.anonymous.ReserveN(now, statements)
	wait := r.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	r.CancelAt(now)
	return fault.New(fault.OverRate, "callers without a key have used up this host's rate", "slow down, or connect with a key").WithRetryAfter(wait)
}
