package failov_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/failov"
	"wasabislip.example/wasabislip/internal/services/mirror"
)

// changeTime is longer than a failover of a primary that is silent takes, with the
// time after which it counts as failed and the wait for leases.
const changeTime = 6 * time.Second

// run runs the failover of the host host-0 in a world, in which i-1 is the primary of
// three instances and no other host is registered.
func run(t *testing.T, what string, script func(is *is.I, w *world)) {
	t.Run(what, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			uptime.Restart()
			w := newWorld()
			f := &failov.Failover{
				Host:       hostName,
				FleetTable: mirror.Fleet,
				Directory:  w,
				Store:      w,
				Platform:   w,
				Prober:     w,
				Hosts:      w,
				Views:      w,
				Meter:      w,
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.Run(ctx)
			}()
			defer func() {
				cancel()
				<-done
			}()
			script(is.New(t), w)
		})
	})
}

// TestEraNotOpen guards against a failover that starts from a record which the restored
// store lacks the successor of: the primary that it replaces is not the one in force,
// and those who use that one may not obey the new record.
func TestEraNotOpen(t *testing.T) {
	run(t, "no primary is replaced", func(is *is.I, w *world) {
		w.restore()
		w.crash("i-1")
		time.Sleep(2 * changeTime)
		is.Equal(w.writes(), 0)
		is.Equal(len(w.promotions()), 0)
	})
	run(t, "no abandoned change is taken over", func(is *is.I, w *world) {
		w.putLeader(leader.Leader{
			Token:         1,
			Holder:        hostName,
			Phase:         leader.Changing,
			FormerPrimary: "i-1",
		})
		w.restore()
		before := w.writes()
		time.Sleep(2 * changeTime)
		is.Equal(w.writes(), before)
		is.Equal(len(w.promotions()), 0)
	})
	run(t, "once it is open, the primary is replaced", func(is *is.I, w *world) {
		w.restore()
		w.crash("i-1")
		time.Sleep(changeTime)
		w.openEra()
		time.Sleep(changeTime)
		is.Equal(len(w.promotions()), 1)
	})
}

// TestLateWrite guards against a write of a failover that the store does in its next
// era: it would replace a record that has got the version of the expected one.
func TestLateWrite(t *testing.T) {
	late := func(is *is.I, w *world) {
		is.Helper()
		former, _ := w.EraSince(mirror.Fleet)
		inForce := leader.Leader{
			Token:   leader.NextToken(0, former+1),
			Phase:   leader.Settled,
			Primary: "i-3",
		}
		w.putLeader(leader.Leader{
			Token:   leader.NextToken(0, former),
			Phase:   leader.Settled,
			Primary: "i-1",
		})
		w.beforeWrite(func() {
			_, version, _ := w.Leader(service)
			w.restore()
			// The first write of the era removes the row of the former one.
			w.put(mirror.EraKey(former), nil)
			w.reuseVersion(version)
			w.putLeader(inForce)
			w.openEra()
		})
		w.crash("i-1")
		time.Sleep(2 * changeTime)
		is.Equal(w.attempts(), 1)
		l, _, _ := w.Leader(service)
		is.Equal(l, inForce)
		is.Equal(len(w.promotions()), 0)
	}
	run(t, "a record of the next era is not replaced", func(is *is.I, w *world) {
		w.restore()
		w.openEra()
		late(is, w)
	})
	run(t, "a record of era 1 is not replaced", func(is *is.I, w *world) {
		late(is, w)
	})
	run(t, "within an era a change goes on", func(is *is.I, w *world) {
		w.restore()
		w.openEra()
		w.crash("i-1")
		time.Sleep(changeTime)
		is.Equal(len(w.promotions()), 1)
	})
}

// TestTokens guards against orders that the platform can't tell from those of an
// earlier failover whose record the store lost.
func TestTokens(t *testing.T) {
	run(t, "a token of a new era is higher than those that nobody remembers", func(is *is.I, w *world) {
		const forgotten = 7 // the token of the newest failover before the restore
		w.restore()
		w.openEra()
		w.crash("i-1")
		time.Sleep(changeTime)
		is.Equal(len(w.promotions()), 1)
		is.True(w.promotions()[0].token > forgotten)
		w.crash(w.promotions()[0].id)
		time.Sleep(changeTime)
		is.Equal(len(w.promotions()), 2)
		is.True(w.promotions()[1].token > w.promotions()[0].token)
	})
}

// TestLeases guards against a promotion while another host may still use the former
// primary.
func TestLeases(t *testing.T) {
	const other = "host-1"
	// waited returns the time from the record of the change to the order.
	waited := func(is *is.I, w *world) time.Duration {
		is.Helper()
		w.crash("i-1")
		time.Sleep(2 * changeTime)
		is.Equal(len(w.promotions()), 1)
		return w.promotions()[0].at - w.changeAt()
	}
	run(t, "a registered host that does not obey is waited for", func(is *is.I, w *world) {
		w.register(other)
		is.True(waited(is, w) >= dbview.Lease)
	})
	run(t, "a host that obeys is not waited for", func(is *is.I, w *world) {
		w.register(other)
		w.obey(other)
		is.True(waited(is, w) < dbview.Lease)
	})
	run(t, "after a restore hosts that are not registered are waited for", func(is *is.I, w *world) {
		w.restore()
		w.openEra()
		is.True(waited(is, w) >= dbview.Lease)
	})
	run(t, "replicas are held before the wait, so that none renews a lease", func(is *is.I, w *world) {
		w.register(other)
		w.crash("i-1")
		time.Sleep(changeTime)
		is.Equal(len(w.promotions()), 1)
		for _, id := range []string{"i-2", "i-3"} {
			held := w.heldAt(id)
			is.True(held > 0)
			is.True(held < w.promotions()[0].at-dbview.Lease)
		}
	})
}

// TestPlanned guards against a planned change that loses the last commits: a primary
// that stepped down does not send what it had not sent yet.
func TestPlanned(t *testing.T) {
	run(t, "the primary steps down once a replica has received its whole log", func(is *is.I, w *world) {
		const lag = 200 * time.Millisecond
		w.receive("i-1", 10)
		w.receive("i-2", 9)
		w.drain("i-1")
		w.await(is, func() bool { return w.writes() > 0 })
		time.Sleep(lag)
		is.Equal(w.steppedDownAt("i-1"), time.Duration(0))
		w.receive("i-2", 10)
		caughtUp := uptime.Now()
		time.Sleep(changeTime)
		is.True(w.steppedDownAt("i-1") >= caughtUp)
		is.Equal(w.promotions()[0].id, "i-2")
	})
	run(t, "the replica that received most is promoted", func(is *is.I, w *world) {
		w.receive("i-1", 10)
		w.receive("i-2", 9)
		w.receive("i-3", 10)
		w.drain("i-1")
		time.Sleep(changeTime)
		is.Equal(w.promotions()[0].id, "i-3")
	})
}

// TestRepeatedAnswers guards against steps of a failover that are decided by the report of
// an earlier request, after an instance has repeated an answer.
func TestRepeatedAnswers(t *testing.T) {
	const age = time.Second
	run(t, "the replica that received most by now is promoted", func(is *is.I, w *world) {
		w.repeatAnswers(age)
		w.register("host-2") // does not obey, so that the lease is waited for
		w.receive("i-2", 5)
		w.crash("i-1")
		w.await(is, func() bool { return w.heldAt("i-3") > 0 })
		time.Sleep(dbview.Lease - age/10)
		is.Equal(len(w.promotions()), 0)
		w.receive("i-3", 9)
		time.Sleep(changeTime)
		is.True(len(w.promotions()) > 0)
		is.Equal(w.promotions()[0].id, "i-3")
	})
	run(t, "replicas that restarted, and receive, are not taken for held", func(is *is.I, w *world) {
		w.repeatAnswers(age)
		w.register("host-2")
		w.crash("i-1")
		w.await(is, func() bool { return w.heldAt("i-2") > 0 && w.heldAt("i-3") > 0 })
		time.Sleep(dbview.Lease - age/10)
		is.Equal(len(w.promotions()), 0)
		w.restart("i-2")
		w.restart("i-3")
		restarted := uptime.Now()
		time.Sleep(2 * changeTime)
		is.True(len(w.promotions()) > 0)
		is.True(w.promotions()[0].at-restarted >= dbview.Lease)
	})
	run(t, "a primary that has committed since does not step down", func(is *is.I, w *world) {
		w.repeatAnswers(age)
		w.receive("i-1", 10)
		w.receive("i-2", 10)
		w.drain("i-1")
		w.await(is, func() bool { return w.writes() > 0 })
		time.Sleep(5 * time.Millisecond) // the primary was asked once
		w.receive("i-1", 11)
		time.Sleep(200 * time.Millisecond)
		is.Equal(w.steppedDownAt("i-1"), time.Duration(0))
		w.receive("i-2", 11)
		caughtUp := uptime.Now()
		time.Sleep(changeTime)
		is.True(w.steppedDownAt("i-1") >= caughtUp)
		is.Equal(w.promotions()[0].id, "i-2")
		is.Equal(w.steppedDownAt("i-2"), time.Duration(0))
	})
}

// encode returns the value of a row.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only records are encoded
	}
	return b
}

// isChange reports whether a row is the record of a change that begins.
func isChange(r tuple.Tuple) bool {
	var l leader.Leader
	return json.Unmarshal(r.Value, &l) == nil && l.Phase == leader.Changing && l.Primary == ""
}
