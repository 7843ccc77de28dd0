// Package demo runs the demonstration: a small cluster under load, with a
// failover and a drained data centre. It prints what the users see.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/demo/clust"
	"wasabislip.example/wasabislip/internal/demo/load"
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
type Demo struct {
	// Out is where the output is written.
	Out io.Writer
	// Duration is how long the load lasts; 0 means until ctx ends.
	Duration time.Duration
}

// Run runs the demonstration. It returns an error if an acknowledged write was
// lost or applied twice, or if a user got another user's answer.
func (d *Demo) Run(ctx context.Context) error {
	clusterCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	cluster, err := clust.Start(clusterCtx)
	if err != nil {
		return err
	}
	defer cluster.Close()
	d.print("connect with: psql '%s'", cluster.ConnString(clust.Workspaces()[0]))
	g := load.New(cluster, clust.Workspaces(), usersPerWorkspace)
	if err := g.WaitReady(ctx); err != nil {
		return err
	}
	if d.Duration > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, d.Duration)
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
	refused, unknown := g.FailureCounts()
	d.print("checked: %d acknowledged writes are held once each; refused within rate %d, outcome unknown %d, longest time without a write %s", acked, refused, unknown, g.LongestWriteGap().Round(time.Millisecond))
	return nil
}

// printFigures prints a line of figures each second until ctx ends.
func (d *Demo) printFigures(ctx context.Context, cluster *clust.Cluster, g *load.Generator) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	var replica, all float64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		newReplica, newAll := cluster.ReadCounts()
		share := 0.0
		if newAll > all {
			share = 100 * (newReplica - replica) / (newAll - all)
		}
		replica, all = newReplica, newAll
		workspace, n := g.LeastServed()
		refused, unknown := g.FailureCounts()
		d.print("reads on replicas %5.1f%%  longest failover gap %6s  worst-served %s %d/s  refused within rate %d  unknown %d", share, g.LongestWriteGap().Round(time.Millisecond), workspace, n, refused, unknown)
	}
}

// injectFaults kills the primary and starts it again, and takes a data centre
// out of service and back, until ctx ends.
func (d *Demo) injectFaults(ctx context.Context, cluster *clust.Cluster) {
	round := d.Duration
	if round == 0 {
		round = roundDuration
	}
	step := round / 6
	for {
		if !sleep(ctx, step) {
			return
		}
		killed := cluster.KillPrimary()
		d.print("-- the primary was killed")
		sleep(ctx, step)
		if killed >= 0 {
			d.printEvent("-- the instance was started again, empty", cluster.RestartInstance(killed))
		}
		sleep(ctx, step)
		name, err := cluster.SetDrained(ctx, drainedIndex, true)
		d.printEvent("-- data centre "+name+" is taken out", err)
		sleep(ctx, step)
		_, err = cluster.SetDrained(context.WithoutCancel(ctx), drainedIndex, false)
		d.printEvent("-- data centre "+name+" is back", err)
		if !sleep(ctx, 2*step) {
			return
		}
	}
}

// printEvent prints an event, and its error if it failed.
func (d *Demo) printEvent(event string, err error) {
	if err != nil {
		event = fmt.Sprintf("%s: failed: %v", event, err)
	}
	d.print("%s", event)
}

func (d *Demo) print(format string, args ...any) {
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
