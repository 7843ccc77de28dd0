// Package tour runs the demonstration and prints what its members get.
package tour

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/demo/crowd"
	"wasabislip.example/wasabislip/internal/demo/scene"
)

const (
	usersPerWorkspace = 4
	// cycle is the time of one round of events when the demonstration has no
	// end.
	roundDuration = 20 * time.Second
	// drained is the index of the data centre that is taken out.
	drainedIndex = 2
)

// Tour is one demonstration.
type Tour struct {
	// Out takes the lines.
	Out io.Writer
	// For is how long the load lasts; 0 for until ctx ends.
	For time.Duration
}

// Run runs the demonstration. It returns an error when something acknowledged
// was lost or doubled, or a caller got another's answer.
func (s *Tour) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	at, err := scene.Start(inner)
	if err != nil {
		return err
	}
	defer at.Close()
	s.print("connect with: psql '%s'", at.Address(scene.Workspaces()[0]))
	c := crowd.New(at, scene.Workspaces(), usersPerWorkspace)
	if err := c.Ready(ctx); err != nil {
		return err
	}
	if s.For > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, s.For)
		defer stop()
	}
	var group conc.WaitGroup
	group.Go(func() { c.Run(ctx) })
	group.Go(func() { s.printFigures(ctx, at, c) })
	s.injectFaults(ctx, at)
	group.Wait()
	acked, err := c.Check(inner)
	if err != nil {
		return err
	}
	refused, unknown := c.Refused()
	s.print("checked: %d acknowledged writes are held once each; refused within rate %d, outcome unknown %d, longest time without a write %s", acked, refused, unknown, c.Gap().Round(time.Millisecond))
	return nil
}

// figures prints a line each second.
func (s *Tour) printFigures(ctx context.Context, at *scene.Scene, c *crowd.Crowd) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var replica, all float64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r, a := at.Reads()
		share := 0.0
		if a > all {
			share = 100 * (r - replica) / (a - all)
		}
		replica, all = r, a
		worst, n := c.Worst()
		refused, unknown := c.Refused()
		s.print("reads on replicas %5.1f%%  longest failover gap %6s  worst-served %s %d/s  refused within rate %d  unknown %d", share, c.Gap().Round(time.Millisecond), worst, n, refused, unknown)
	}
}

// events kills a primary, and takes a data centre out and back.
func (s *Tour) injectFaults(ctx context.Context, at *scene.Scene) {
	round := s.For
	if round == 0 {
		round = roundDuration
	}
	step := round / 6
	for {
		if !sleep(ctx, step) {
			return
		}
		killed := at.Kill()
		s.print("-- the primary was killed")
		sleep(ctx, step)
		if killed >= 0 {
			s.printEvent("-- the instance was started again, empty", at.Revive(killed))
		}
		sleep(ctx, step)
		name, err := at.Drain(ctx, drainedIndex, true)
		s.printEvent("-- data centre "+name+" is taken out", err)
		sleep(ctx, step)
		_, err = at.Drain(context.WithoutCancel(ctx), drainedIndex, false)
		s.printEvent("-- data centre "+name+" is back", err)
		if !sleep(ctx, 2*step) {
			return
		}
	}
}

func (s *Tour) printEvent(what string, err error) {
	if err != nil {
		what = fmt.Sprintf("%s: failed: %v", what, err)
	}
	s.print("%s", what)
}

func (s *Tour) print(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, format+"\n", args...)
}

// sleep waits for d and reports whether ctx lasted as long.
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
