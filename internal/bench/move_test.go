package bench_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/bench/clust"
	"wasabislip.example/wasabislip/internal/bench/load"
	"wasabislip.example/wasabislip/internal/bench/user"
)

const (
	// moveAt is when the data centre is drained, and drainedFor later it is no
	// longer drained.
	moveAt     = 5 * time.Second
	drainedFor = 15 * time.Second
	moveTime   = 35 * time.Second
	moveRate   = 40.0
	moveConns  = 12
)

// ackedAppends holds the elements whose append to a list was acknowledged, by the
// key of the list.
type ackedAppends struct {
	mu   sync.Mutex
	list map[string][]string
}

// TestMove measures how writes are served while a data centre is drained and put
// back into service.
func TestMove(t *testing.T) {
	eachUser(t, func(t *testing.T, fresh func() *user.User) {
		is := is.New(t)
		u := fresh().Truncate(1, 9)
		gen, lost := move(t, u)
		served := float64(gen.Succeeded.Load()) / float64(max(gen.Offered.Load(), 1))
		text := fmt.Sprintf("%s served, %d cut, %d unknown, %d other, %d refused as leaving, %d lost", percent(served), gen.Disconnected.Load(), gen.Unknown.Load(), gen.Other.Load(), gen.Draining.Load(), lost)
		met := gen.Disconnected.Load() == 0 && gen.Unknown.Load() == 0 && lost == 0
		table.Add("5 a data centre leaves and returns", u.Name, fmt.Sprintf("%d writes offered", gen.Offered.Load()), text, "-", "0 cut, 0 lost", met)
		is.True(met) // no request cut, no acknowledged write lost
	})
}

// move returns the load generator after its run and how many acknowledged writes
// were lost.
func move(t *testing.T, u *user.User) (*load.Generator, int) {
	t.Helper()
	acked := &ackedAppends{
		list: map[string][]string{},
	}
	gen := &load.Generator{
		Workspace:     u.Spec.Workspaces[0].Name,
		Route:         u.Spec.DefaultRoute,
		Rate:          moveRate,
		Workers:       moveConns,
		Seed:          1,
		ChooseHost:    func(rng *rand.Rand) int { return rng.IntN(len(u.Hosts)) },
		NextStatement: func(worker, n int) string { return fmt.Sprintf("SELECT append('list-%d','%d')", worker, n) },
		OnResult:      acked.record,
	}
	lost := 0
	withCluster(t, u, nil, func(ctx context.Context, c *clust.Cluster) {
		is := is.New(t)
		var group conc.WaitGroup
		group.Go(func() { gen.Run(ctx, c, time.Now().Add(moveTime)) })
		for _, drained := range []bool{true, false} {
			time.Sleep(moveAt)
			u.Spec.DataCentres[0].Drained = drained
			_, err := c.Apply(ctx, u.Spec)
			is.NoErr(err)
			time.Sleep(drainedFor - moveAt)
		}
		group.Wait()
		lost = acked.lost(t, c)
	})
	return gen, lost
}

// record records the outcome of an append by a worker.
func (a *ackedAppends) record(worker, n int, ok, _ bool) {
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	key := fmt.Sprintf("list-%d", worker)
	a.list[key] = append(a.list[key], fmt.Sprint(n))
}

// lost returns how many of the acknowledged elements the primary doesn't have.
func (a *ackedAppends) lost(t *testing.T, c *clust.Cluster) int {
	t.Helper()
	n := 0
	for key, want := range a.list {
		text, err := c.QueryOnce(1, 0, user.PrimaryRoute, "SELECT elements('"+key+"')")
		is.New(t).NoErr(err)
		present := map[string]bool{}
		for v := range strings.SplitSeq(text, ",") {
			present[v] = true
		}
		for _, v := range want {
			if !present[v] {
				n++
			}
		}
	}
	return n
}
