package proofs_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/standin/inproc"
)

var (
	seedCount = flag.Int("proofs.seeds", 4, "how many seeds each history runs with")
	firstSeed = flag.Uint64("proofs.first", 1, "the first seed")
)

const (
	callerCount      = 4
	historyDuration  = 25 * time.Second
	maxFaultPause    = 3 * time.Second
	faultDuration    = 4 * time.Second
	historyApplyLag  = 150 * time.Millisecond
	historyShipDelay = 3 * time.Millisecond
)

// workload is a way to use the database, and the model that its history must
// satisfy.
type workload struct {
	name         string
	operate      func(ctx context.Context, c *caller)
	model        porcupine.Model
	namedSession bool
}

func workloads() []workload {
	start := map[string]int64{}
	for _, a := range accounts {
		start[a] = openingBalance
	}
	return []workload{
		{
			name:    "session",
			operate: useRegister,
			model:   sessionModel(),
		},
		{
			name:         "named-session",
			operate:      useRegister,
			model:        sessionModel(),
			namedSession: true,
		},
		{
			name:    "list",
			operate: useList,
			model:   listModel(),
		},
		{
			name:    "ledger",
			operate: useLedger,
			model:   ledgerModel(start),
		},
	}
}

// TestHistories runs each workload with concurrent callers while faults are
// injected, and checks that the model allows the history of their operations.
// A seed that failed is run again by
//
//	go test ./internal/proofs -run 'TestHistories/NAME' -proofs.first SEED -proofs.seeds 1
func TestHistories(t *testing.T) {
	for _, wl := range workloads() {
		t.Run(wl.name, func(t *testing.T) {
			for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
				t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					ops := recordHistory(t, wl, seed)
					is.True(len(ops) > callerCount) // the history has operations
					if !porcupine.CheckOperations(wl.model, ops) {
						t.Errorf("the model does not allow this history; to run it again: go test ./internal/proofs -run 'TestHistories/%s' -proofs.first %d -proofs.seeds 1", wl.name, seed)
						logHistory(t, ops)
					}
				})
			}
		})
	}
}

// recordHistory runs a workload once and returns its history.
func recordHistory(t *testing.T, wl workload, seed uint64) []porcupine.Operation {
	var ops []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, func(s *inproc.Cluster) {
			s.ApplyLag = historyApplyLag
			s.ShipDelay = historyShipDelay
		})
		cl.openAccounts(t)
		r := newRecorder()
		end := time.Now().Add(historyDuration)
		var group conc.WaitGroup
		for n := range callerCount {
			c := newCaller(cl, n, seed, r)
			if wl.namedSession {
				c.session = fmt.Sprintf("member-%d", n)
			}
			group.Go(func() { c.run(cl.ctx, end, wl.operate) })
		}
		group.Go(func() { cl.injectFaults(seed, end) })
		group.Wait()
		ops = r.history()
	})
	return ops
}

// openAccounts gives each account its opening balance.
func (cl *cluster) openAccounts(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for _, a := range accounts {
		_, err := cl.query(0, "settle", fmt.Sprintf("SELECT add('%s',%d)", a, openingBalance))
		is.NoErr(err)
	}
}

// injectFaults injects random faults until shortly before end, one after the
// other. About a third of them may overlap with the next ones.
func (cl *cluster) injectFaults(seed uint64, end time.Time) {
	rng := rand.New(rand.NewPCG(seed, 99))
	faults := []func(*rand.Rand){cl.isolateInstance, cl.isolatePrimaryInSteps, cl.isolateHost, cl.stopPlatform, cl.restartHost, cl.slowPlatform}
	var group conc.WaitGroup
	for time.Now().Add(maxFaultPause + faultDuration).Before(end) {
		time.Sleep(time.Duration(rng.Int64N(int64(maxFaultPause))))
		inject := faults[rng.IntN(len(faults))]
		faultRNG := rand.New(rand.NewPCG(seed, rng.Uint64()))
		if rng.IntN(3) == 0 {
			group.Go(func() { inject(faultRNG) })
			continue
		}
		inject(faultRNG)
	}
	group.Wait()
}

// isolateInstance isolates a random instance, which may be the primary, for
// faultDuration.
func (cl *cluster) isolateInstance(rng *rand.Rand) {
	ip := instanceIP(cl, rng.IntN(len(cl.Spec.Databases[0].Instances)))
	cl.net.Isolate(ip)
	time.Sleep(faultDuration)
	cl.net.Rejoin(ip)
}

// isolatePrimaryInSteps first cuts the primary off from the other instances,
// while hosts still reach it, and then from everything. The writes that it
// accepted in between are in its log only.
func (cl *cluster) isolatePrimaryInSteps(*rand.Rand) {
	instances := cl.Spec.Databases[0].Instances
	for i := range instances {
		if !cl.Instance(instances[i].Address).IsPrimary() {
			continue
		}
		ip := instanceIP(cl, i)
		for n := range instances {
			cl.net.Cut(ip, instanceIP(cl, n))
			cl.net.Cut(instanceIP(cl, n), ip)
		}
		time.Sleep(faultDuration / 4)
		cl.net.Isolate(ip)
		time.Sleep(faultDuration)
		for n := range instances {
			cl.net.Heal(ip, instanceIP(cl, n))
			cl.net.Heal(instanceIP(cl, n), ip)
		}
		cl.net.Rejoin(ip)
		return
	}
}

// isolateHost isolates a random host, which may be the coordinator, for
// faultDuration.
func (cl *cluster) isolateHost(rng *rand.Rand) {
	ip := cl.Hosts[rng.IntN(len(cl.Hosts))].Address
	cl.net.Isolate(ip)
	time.Sleep(faultDuration)
	cl.net.Rejoin(ip)
}

// stopPlatform makes the platform refuse all calls for faultDuration.
func (cl *cluster) stopPlatform(*rand.Rand) {
	_ = cl.SetFaults(`{"outage":true}`)
	time.Sleep(faultDuration)
	_ = cl.SetFaults(`{"outage":false}`)
}

// slowPlatform makes the platform slow for faultDuration and drops some of its
// answers.
func (cl *cluster) slowPlatform(rng *rand.Rand) {
	_ = cl.SetFaults(fmt.Sprintf(`{"slow":"400ms","lose-answers":%d}`, 1+rng.IntN(3)))
	time.Sleep(faultDuration)
	_ = cl.SetFaults(`{"slow":"0s","lose-answers":0}`)
}

// restartHost shuts a random host down, as SIGTERM does, and starts it again.
func (cl *cluster) restartHost(rng *rand.Rand) {
	h := cl.Hosts[rng.IntN(len(cl.Hosts))]
	_ = cl.StopHost(h.Name)
	time.Sleep(time.Second)
	_ = cl.StartHost(cl.ctx, h)
}

// logHistory logs a history that its model does not allow.
func logHistory(t *testing.T, ops []porcupine.Operation) {
	t.Helper()
	for _, op := range ops {
		t.Logf("%10s %10s client %d %+v -> %+v", time.Duration(op.Call), time.Duration(op.Return), op.ClientId, op.Input, op.Output)
	}
}
