package billing_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabislip.example/wasabislip/internal/standin/bills"
	"wasabislip.example/wasabislip/internal/standin/rowsrv"
)

// runTime is the length of a random schedule, after which the faults end.
var runTime = flag.Duration("billing.time", 45*time.Second, "length of a random schedule")

// event is what happens to one host, to the store or to the API.
type event struct {
	After  time.Duration
	Kind   string
	Host   int
	Length time.Duration
}

// faults are the kinds of events, those that come often more than once.
var faults = []string{
	"kill", "kill", "stop", "start", "start", "start", "suspend", "suspend", "suspend",
	"store-late", "store-lost", "store-busy", "api-lost", "api-slow", "api-busy", "api-silent", "restore",
}

// drawEvents draws a schedule.
func drawEvents(rt *rapid.T, hosts int) []event {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			After:  time.Duration(rapid.IntRange(0, 4000).Draw(rt, "after")) * time.Millisecond,
			Kind:   rapid.SampledFrom(faults).Draw(rt, "kind"),
			Host:   rapid.IntRange(0, hosts-1).Draw(rt, "host"),
			Length: time.Duration(rapid.IntRange(100, 6000).Draw(rt, "length")) * time.Millisecond,
		}
	}), 1, 40).Draw(rt, "events")
}

// apply makes an event happen.
func (w *world) apply(e event) {
	switch e.Kind {
	case "kill":
		w.kill(e.Host)
	case "stop":
		w.running.Go(func() { w.stop(e.Host) })
	case "start":
		w.start(e.Host)
	case "suspend":
		w.suspend(e.Host, e.Length)
	case "store-late":
		w.failWrites(rowsrv.Late, e.Length)
	case "store-lost":
		w.failWrites(rowsrv.AnswerLost, e.Length)
	case "store-busy":
		w.failWrites(rowsrv.Busy, e.Length)
	case "api-lost":
		w.failReports(bills.AnswerLost, e.Length)
	case "api-slow":
		w.failReports(bills.Slow, e.Length)
	case "api-busy":
		w.failReports(bills.Busy, e.Length)
	case "api-silent":
		w.failReports(bills.Silent, e.Length)
	case "restore":
		w.restore(e.Length)
	}
}

// failWrites makes half of the writes to the store meet a fault for some time.
func (w *world) failWrites(fault string, length time.Duration) {
	until := time.Now().Add(length)
	n := 0
	w.store.SetFault(func(_ string, write bool) string {
		if n++; write && n%2 == 0 && time.Now().Before(until) {
			return fault
		}
		return ""
	})
}

// failReports makes reports meet a fault for some time.
func (w *world) failReports(fault string, length time.Duration) {
	until := time.Now().Add(length)
	w.bills.SetFault(func() string {
		if time.Now().Before(until) {
			return fault
		}
		return ""
	})
}

// TestRandomSchedules plays random schedules of killed, stopped, suspended and started
// hosts, lost and late writes, a failing API and restores of the store. No window is
// ever sent with two contents, no token falls or is used by two holders, and no holders
// act in the order A, B, A within the lease. Once the faults have ended, reports go on.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(2, 4).Draw(rt, "hosts")
		duel := rapid.Bool().Draw(rt, "duel")
		events := drawEvents(rt, hosts)
		var violations []string
		var before, after int
		run(t, hosts, func(w *world) {
			w.duel = duel
			time.Sleep(8 * time.Second)
			began := time.Now()
			for _, e := range events {
				time.Sleep(e.After)
				if time.Since(began) > *runTime {
					break
				}
				w.apply(e)
			}
			w.store.SetFault(nil)
			w.bills.SetFault(nil)
			time.Sleep(3 * time.Second) // stops that are under way end
			for i := range hosts {
				w.suspend(i, 0)
				w.start(i)
			}
			time.Sleep(20 * time.Second)
			before = len(w.bills.Reports())
			time.Sleep(20 * time.Second)
			after = len(w.bills.Reports())
			violations = w.bills.Violations()
		})
		for _, v := range violations {
			rt.Errorf("%s", v)
		}
		if after < before+4 {
			rt.Errorf("%d reports in 20 s after the faults", after-before)
		}
	})
}

// check checks what must hold in every script.
func check(is *is.I, w *world) {
	is.Helper()
	is.Equal(w.bills.Violations(), []string(nil))
}
