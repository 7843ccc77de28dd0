// Package demo runs the demonstration: a small cluster under load, with a
// failover and a drained data centre. It prints what the users see.
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
	// roundDuration is the time of one round of faults when the demonstration
	// runs until interrupted.
	roundDuration = 20 * time.Second
	// drainedIndex is the index of the data centre that is taken out of service.
	drainedIndex = 2
)

// Demo is one run of the demonstration.
type Tour struct {
	// Out is where the output is written.
	Out io.Writer
	// Duration is how long the load lasts; 0 means until ctx ends.
	For time.Duration
}

// Run runs the demonstration. It returns an error if an acknowledged write was
// lost or applied twice, or if a user got another user's answer.
func (d *Tour) Run(ctx context.Context) error {
	clusterCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	cluster, err := scene.Start(clusterCtx)
	if err != nil {
		return err
	}
	defer cluster.Close()
	d.print("connect with: psql '%s'", cluster.Address(scene.Workspaces()[0]))
	g := crowd.New(cluster, scene.Workspaces(), usersPerWorkspace)
	if err := g.Ready(ctx); err != nil {
		return err
	}
	if d.For > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, d.For)
		defer stop()
	}
	var group conc.WaitGroup
	group.Go(func() { g.Run(ctx) })
	group.Go(func() { d.printFigures(ctx, cluster, g) })
	d.injectFaults(ctx, cluster)
	group.Wait()
	acked, err := g.Check(clusterCtx)
	if err != nil {
		return err
	}
	refused, unknown := g.Refused()
	d.print("checked: %d acknowledged writes are held once each; refused within rate %d, outcome unknown %d, longest time without a write %s", acked, refused, unknown, g.Gap().Round(time.Millisecond))
	return nil
}

// printFigures prints a line of figures each second until ctx ends.
func (d *Tour) printFigures(ctx context.Context, cluster *scene.Scene, g *crowd.Crowd) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var replica, all float64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		newReplica, newAll := cluster.Reads()
		share := 0.0
		if newAll > all {
			share = 100 * (newReplica - replica) / (newAll - all)
		}
		replica, all = newReplica, newAll
		workspace, n := g.Worst()
		refused, unknown := g.Refused()
		d.print("reads on replicas %5.1f%%  longest failover gap %6s  worst-served %s %d/s  refused within rate %d  unknown %d", share, g.Gap().Round(time.Millisecond), workspace, n, refused, unknown)
	}
}

// injectFaults kills the primary and starts it again, and takes a data centre
// out of service and back, until ctx ends.
func (d *Tour) injectFaults(ctx context.Context, cluster *scene.Scene) {
	round := d.For
	if round == 0 {
		round = roundDuration
	}
	step := round / 6
	for {
		if !sleep(ctx, step) {
			return
		}
		killed := cluster.Kill()
		d.print("-- the primary was killed")
		sleep(ctx, step)
		if killed >= 0 {
			d.printEvent("-- the instance was started again, empty", cluster.Revive(killed))
		}
		sleep(ctx, step)
		name, err := cluster.Drain(ctx, drainedIndex, true)
		d.printEvent("-- data centre "+name+" is taken out", err)
		sleep(ctx, step)
		_, err = cluster.Drain(context.WithoutCancel(ctx), drainedIndex, false)
		d.printEvent("-- data centre "+name+" is back", err)
		if !sleep(ctx, 2*step) {
			return
		}
	}
}

// printEvent prints an event, and its error if it failed.
func (d *Tour) printEvent(event string, err error) {
	if err != nil {
		event = fmt.Sprintf("%s: failed: %v", event, err)
	}
	d.print("%s", event)
}

func (d *Tour) print(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
}

// sleep waits for d, or until ctx ends. It reports whether the whole time
// passed.
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
