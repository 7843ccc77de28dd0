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
	seeds = flag.Int("proofs.seeds", 4, "how many seeds each history runs with")
	first = flag.Uint64("proofs.first", 1, "the first seed")
)

const (
	members      = 4
	historyTime  = 25 * time.Second
	faultPause   = 3 * time.Second
	outageLength = 4 * time.Second
	historyLag   = 150 * time.Millisecond
	historyShip  = 3 * time.Millisecond
)

// history names a use of the database and the model that judges it.
type history struct {
	name  string
	act   func(ctx context.Context, m *member)
	model porcupine.Model
	named bool
}

func histories() []history {
	start := map[string]int64{}
	for _, a := range accounts {
		start[a] = opening
	}
	return []history{
		{
			name:  "session",
			act:   useRegister,
			model: sessionModel(),
		},
		{
			name:  "named-session",
			act:   useRegister,
			model: sessionModel(),
			named: true,
		},
		{
			name:  "list",
			act:   useList,
			model: listModel(),
		},
		{
			name:  "ledger",
			act:   useLedger,
			model: ledgerModel(start),
		},
	}
}

// TestHistories runs concurrent callers while faults strike, and checks what
// they were told. A failing seed is run again by
//
//	go test ./internal/proofs -run 'TestHistories/NAME' -proofs.first SEED -proofs.seeds 1
func TestHistories(t *testing.T) {
	for _, h := range histories() {
		t.Run(h.name, func(t *testing.T) {
			for seed := *first; seed < *first+uint64(*seeds); seed++ {
				t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					ops := record(t, h, seed)
					is.True(len(ops) > members) // the history holds operations
					if !porcupine.CheckOperations(h.model, ops) {
						t.Errorf("not allowed; again: go test ./internal/proofs -run 'TestHistories/%s' -proofs.first %d -proofs.seeds 1", h.name, seed)
						explain(t, ops)
					}
				})
			}
		})
	}
}

// record returns the history of one run.
func record(t *testing.T, h history, seed uint64) []porcupine.Operation {
	var ops []porcupine.Operation
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, func(s *inproc.Cluster) {
			s.ApplyLag = historyLag
			s.ShipDelay = historyShip
		})
		w.openAccounts(t)
		d := newDiary()
		end := time.Now().Add(historyTime)
		var group conc.WaitGroup
		for n := range members {
			m := newMember(w, n, seed, d)
			if h.named {
				m.session = fmt.Sprintf("member-%d", n)
			}
			group.Go(func() { m.run(w.ctx, end, h.act) })
		}
		group.Go(func() { w.strike(seed, end) })
		group.Wait()
		ops = d.history()
	})
	return ops
}

// openAccounts gives each account its opening balance.
func (w *world) openAccounts(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for _, a := range accounts {
		_, err := w.ask(0, "settle", fmt.Sprintf("SELECT add('%s',%d)", a, opening))
		is.NoErr(err)
	}
}

// strike brings faults, one after the other and sometimes two at once.
func (w *world) strike(seed uint64, end time.Time) {
	rng := rand.New(rand.NewPCG(seed, 99))
	faults := []func(*rand.Rand){w.cutInstance, w.cutReplication, w.cutHost, w.outage, w.restartHost, w.slowPlatform}
	var group conc.WaitGroup
	for time.Now().Add(faultPause + outageLength).Before(end) {
		time.Sleep(time.Duration(rng.Int64N(int64(faultPause))))
		strike := faults[rng.IntN(len(faults))]
		one := rand.New(rand.NewPCG(seed, rng.Uint64()))
		if rng.IntN(3) == 0 {
			group.Go(func() { strike(one) })
			continue
		}
		strike(one)
	}
	group.Wait()
}

// cutInstance isolates an instance, often the primary, and lets it return.
func (w *world) cutInstance(rng *rand.Rand) {
	ip := addressOf(w, rng.IntN(len(w.Spec.Databases[0].Instances)))
	w.net.Isolate(ip)
	time.Sleep(outageLength)
	w.net.Rejoin(ip)
}

// cutReplication cuts the primary off from the other instances while hosts
// still reach it, then from everything, so that what it accepted in between
// stands in its log only.
func (w *world) cutReplication(*rand.Rand) {
	instances := w.Spec.Databases[0].Instances
	for i := range instances {
		if !w.Instance(instances[i].Address).IsPrimary() {
			continue
		}
		ip := addressOf(w, i)
		for n := range instances {
			w.net.Cut(ip, addressOf(w, n))
			w.net.Cut(addressOf(w, n), ip)
		}
		time.Sleep(outageLength / 4)
		w.net.Isolate(ip)
		time.Sleep(outageLength)
		for n := range instances {
			w.net.Heal(ip, addressOf(w, n))
			w.net.Heal(addressOf(w, n), ip)
		}
		w.net.Rejoin(ip)
		return
	}
}

// cutHost isolates a host, which may be the steward, and lets it return.
func (w *world) cutHost(rng *rand.Rand) {
	ip := w.Hosts[rng.IntN(len(w.Hosts))].Address
	w.net.Isolate(ip)
	time.Sleep(outageLength)
	w.net.Rejoin(ip)
}

// outage takes the platform away.
func (w *world) outage(*rand.Rand) {
	_ = w.SetFaults(`{"outage":true}`)
	time.Sleep(outageLength)
	_ = w.SetFaults(`{"outage":false}`)
}

// slowPlatform makes the platform slow and loses some of its answers.
func (w *world) slowPlatform(rng *rand.Rand) {
	_ = w.SetFaults(fmt.Sprintf(`{"slow":"400ms","lose-answers":%d}`, 1+rng.IntN(3)))
	time.Sleep(outageLength)
	_ = w.SetFaults(`{"slow":"0s","lose-answers":0}`)
}

// restartHost stops a host as planned and starts it again.
func (w *world) restartHost(rng *rand.Rand) {
	h := w.Hosts[rng.IntN(len(w.Hosts))]
	_ = w.StopHost(h.Name)
	time.Sleep(time.Second)
	_ = w.StartHost(w.ctx, h)
}

// explain logs a history that was not allowed.
func explain(t *testing.T, ops []porcupine.Operation) {
	t.Helper()
	for _, op := range ops {
		t.Logf("%10s %10s client %d %+v -> %+v", time.Duration(op.Call), time.Duration(op.Return), op.ClientId, op.Input, op.Output)
	}
}
