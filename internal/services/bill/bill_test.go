package bill_test

import (
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabislip.example/wasabislip/internal/models/usage"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/internal/standin/bills"
	"wasabislip.example/wasabislip/internal/standin/rowsrv"
)

// runTime is the length of a random schedule, after which the faults end.
var runTime = flag.Duration("bill.time", 45*time.Second, "length of a random schedule")

// event is what happens to one host, to the store or to the API. A negative host stands
// for the holder.
type event struct {
	After  time.Duration
	Kind   string
	Host   int
	Length time.Duration
}

// faults are the kinds of events, those that come often more than once.
var faults = []string{
	"kill", "kill", "stop", "start", "start", "start", "suspend", "suspend", "suspend-at-call", "suspend-at-call",
	"store-late", "store-lost", "store-busy", "api-lost", "api-slow", "api-busy", "api-busy", "api-silent",
	"restore", "restore",
}

// drawEvents draws a schedule.
func drawEvents(rt *rapid.T, hosts int) []event {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
		return event{
			After:  time.Duration(rapid.IntRange(0, 4000).Draw(rt, "after")) * time.Millisecond,
			Kind:   rapid.SampledFrom(faults).Draw(rt, "kind"),
			Host:   rapid.IntRange(-hosts, hosts-1).Draw(rt, "host"),
			Length: time.Duration(rapid.IntRange(100, 6000).Draw(rt, "length")) * time.Millisecond,
		}
	}), 1, 40).Draw(rt, "events")
}

// apply makes an event happen.
func (w *world) apply(e event) {
	if e.Host < 0 {
		e.Host = max(0, w.holder())
	}
	switch e.Kind {
	case "kill":
		w.kill(e.Host)
	case "stop":
		w.running.Go(func() { w.stop(e.Host) })
	case "start":
		w.start(e.Host)
	case "suspend":
		w.suspend(e.Host, e.Length)
	case "suspend-at-call":
		w.mu.Lock()
		defer w.mu.Unlock()
		w.atCall[e.Host] = e.Length + params.Lease
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
		p := rapid.SampledFrom([]usage.Params{params, shortParams}).Draw(rt, "params")
		var violations []string
		var before, after int
		run(t, p, hosts, func(_ *testing.T, w *world) {
			w.mu.Lock()
			w.duel = duel
			w.mu.Unlock()
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
				w.suspendAtCall(i)
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

// report returns the newest window that the platform got.
func (w *world) report() uint64 {
	last := uint64(0)
	for window := range w.bills.Reports() {
		last = max(last, window)
	}
	return last
}

// record returns the record in the store.
func (w *world) record() usage.Record {
	r, _ := usage.DecodeRecord(w.store.Get(mirror.Fleet, mirror.UsageKey))
	return r
}

// await waits until a condition holds, for 15 s at most.
func await(is *is.I, what func() bool) {
	is.Helper()
	for range 300 {
		if what() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	is.Fail()
}

// awaitFinal waits until a window becomes final while the platform takes no report, and
// returns the holder.
func (w *world) awaitFinal(is *is.I) (holder int, window uint64) {
	is.Helper()
	w.bills.SetFault(func() string { return bills.Busy })
	window = w.record().Final
	await(is, func() bool { return w.record().Final > window })
	return w.holder(), w.record().Final
}

// TestFailures plays each failure of docs/design/usage.md by itself.
func TestFailures(t *testing.T) {
	play := func(what string, script func(is *is.I, w *world)) {
		t.Run(what, func(t *testing.T) {
			run(t, params, 3, func(t *testing.T, w *world) {
				is := is.New(t)
				time.Sleep(12 * time.Second)
				script(is, w)
				w.bills.SetFault(nil)
				w.store.SetFault(nil)
				before := len(w.bills.Reports())
				time.Sleep(25 * time.Second)
				is.True(len(w.bills.Reports()) >= before+4) // reports go on
				is.Equal(w.bills.Violations(), []string(nil))
			})
		})
	}
	play("the holder dies before a window is final: the successor reports it in time", func(is *is.I, w *world) {
		former, window := w.holder(), w.record().Final+1
		time.Sleep(time.Until(params.End(window)) + time.Second)
		w.kill(former)
		await(is, func() bool { return w.bills.Reports()[window].Holder != "" })
		is.True(w.holder() != former)
		is.True(w.bills.Reports()[window].At.Sub(params.End(window)) <= params.Delay)
	})
	play("the holder dies between the store and the platform: the successor sends its content", func(is *is.I, w *world) {
		former, window := w.awaitFinal(is)
		w.kill(former)
		w.bills.SetFault(nil)
		await(is, func() bool { return w.bills.Reports()[window].Holder != "" })
		is.True(w.holder() != former)
	})
	play("the holder dies after its report was taken without an answer: the successor repeats it", func(is *is.I, w *world) {
		former, window := w.awaitFinal(is)
		w.bills.SetFault(func() string { return bills.AnswerLost })
		await(is, func() bool { return w.bills.Reports()[window].Holder != "" })
		w.kill(former)
		w.bills.SetFault(nil)
		calls := w.bills.Calls()
		await(is, func() bool { return w.bills.Calls() > calls })
		is.True(w.bills.Holder() != w.bills.Reports()[window].Holder)
	})
	play("the store is away: later windows follow in order, none is sent before it is final", func(is *is.I, w *world) {
		final := w.record().Final
		w.store.SetFault(func(string, bool) string { return rowsrv.Busy })
		time.Sleep(22 * time.Second)
		last := w.report()
		is.True(last <= final)
		w.store.SetFault(nil)
		await(is, func() bool { last := w.report(); return last >= final+4 })
		for window := final + 1; window <= final+4; window++ {
			is.True(w.bills.Reports()[window].Holder != "")
		}
	})
	play("a write has an effect without an answer: the content in the store is sent", func(is *is.I, w *world) {
		window, n := w.record().Final+1, 0
		w.store.SetFault(func(_ string, write bool) string {
			if write {
				n++
			}
			if write && n == 1 {
				return rowsrv.AnswerLost
			}
			return ""
		})
		await(is, func() bool { return w.bills.Reports()[window].Holder != "" })
		is.Equal(w.bills.Reports()[window].Token, uint64(1)) // of the same holder
	})
	play("the platform is away: it is asked once a second at most, and gets all windows", func(is *is.I, w *world) {
		_, window := w.awaitFinal(is)
		var refused atomic.Int64
		w.bills.SetFault(func() string {
			refused.Add(1)
			return bills.Busy
		})
		time.Sleep(22 * time.Second)
		is.True(refused.Load() >= 10 && refused.Load() <= 23)
		w.bills.SetFault(nil)
		await(is, func() bool { last := w.report(); return last >= window+4 })
		for i := range uint64(5) {
			is.True(w.bills.Reports()[window+i].Holder != "")
		}
	})
	for _, atCall := range []bool{false, true} {
		play(fmt.Sprintf("a holder that was suspended sends nothing once another may act, right before its call %t", atCall), func(is *is.I, w *world) {
			former, window := w.awaitFinal(is)
			const length = 14 * time.Second
			if atCall {
				w.mu.Lock()
				w.atCall[former] = length
				w.mu.Unlock()
			} else {
				w.suspend(former, length)
			}
			time.Sleep(5 * time.Second)
			w.bills.SetFault(nil)
			await(is, func() bool { return w.bills.Reports()[window].Token > 1 })
			time.Sleep(length) // it goes on
			is.True(w.holder() != former)
		})
	}
	play("a holder that stops is replaced at once, and waits before it acts again", func(is *is.I, w *world) {
		former := w.holder()
		name := w.record().Holder
		w.stop(former)
		// Copies of the row are up to 0.75 s old here. The second in rank would take
		// over after 1.5 s.
		time.Sleep(time.Second)
		w.start(former)
		next := w.holder()
		is.True(next >= 0 && next != former)
		for i := range 3 { // nobody else could take over now
			if i != former {
				w.stop(i)
			}
		}
		is.True(w.record().WasHolder(name))
		time.Sleep(2 * time.Second)
		is.Equal(w.holder(), -1)
		await(is, func() bool { return w.holder() == former })
		for i := range 3 {
			w.start(i)
		}
	})
	play("a release while a call may still arrive is none", func(is *is.I, w *world) {
		former, _ := w.awaitFinal(is)
		w.bills.SetFault(func() string { return bills.Silent })
		time.Sleep(1500 * time.Millisecond)
		name := w.record().Holder
		w.stop(former)
		is.Equal(w.record().Holder, name)
		w.start(former)
	})
	play("a take-over that a restore undid is followed by a higher token", func(is *is.I, w *world) {
		former := w.holder()
		w.stop(former)
		await(is, func() bool { return w.holder() >= 0 })
		_, window := w.awaitFinal(is)
		w.bills.SetFault(nil)
		await(is, func() bool { return w.bills.Reports()[window].Holder != "" })
		last := w.bills.Reports()[window]
		age := time.Since(last.At) + 9*time.Second
		w.kill(w.holder())
		w.restore(age)
		await(is, func() bool { return w.bills.Holder() != last.Holder })
		is.True(w.record().Token >= 1<<32)
	})
	play("a window that a restore undid is not reported again", func(is *is.I, w *world) {
		_, window := w.awaitFinal(is)
		w.bills.SetFault(nil)
		await(is, func() bool { return w.bills.Reports()[window].Holder != "" })
		w.restore(2 * time.Second)
		await(is, func() bool { last := w.report(); return last > window })
	})
	play("a write that comes after a restore has no effect on what is sent", func(is *is.I, w *world) {
		// The first write of a window is late, another one succeeds and its content is
		// sent. Then a restore undoes it, and the late one is performed.
		window := w.record().Final + 1
		n := 0
		w.store.SetFault(func(_ string, write bool) string {
			if write {
				n++
			}
			if write && n == 1 {
				return rowsrv.Late
			}
			return ""
		})
		await(is, func() bool { return w.bills.Reports()[window].Holder != "" })
		w.restore(300 * time.Millisecond)
	})
	play("a write from before a restore fails although its version was given out again", func(is *is.I, w *world) {
		final := w.record().Final
		await(is, func() bool { return w.record().Final == final+3 }) // enough writes to undo
		held := w.holdWrite()
		time.Sleep(time.Until(params.End(final + 4).Add(3500 * time.Millisecond)))
		// Four writes are undone. Their versions go to the row of the new era, the removal
		// of the former one, the take-over and the content of the first window.
		w.restore(21 * time.Second)
		await(is, func() bool { return w.record().Token >= 1<<32 })
		last := w.report()
		await(is, func() bool { now := w.report(); return now > last })
		close(held)
	})
}
