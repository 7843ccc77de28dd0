package dbview_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/choice"
	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/load"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// replicas are copies with two local replicas, r-1 and r-2. They count what a choice
// records.
type replicas struct {
	copies
	dropped int
}

func (r *replicas) Servers(string) []server.Server {
	var list []server.Server
	for _, id := range []string{"r-1", "r-2"} {
		list = append(list, server.Server{
			ID:         id,
			DataCentre: "a",
			Slots:      3,
			StartedMs:  100,
		})
	}
	return list
}

func (r *replicas) RecordChoice(string) {}
func (r *replicas) RecordDroppedLoad()  { r.dropped++ }

// TestEvenChoice guards against load reports that count for the wrong instance, in the
// wrong order, or without the setting.
func TestEvenChoice(t *testing.T) {
	run := func(what string, even bool, script func(is *is.I, r *replicas, v *dbview.View)) {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				uptime.Restart()
				r := &replicas{
					copies: copies{
						record: leader.Leader{
							Phase:   leader.Settled,
							Primary: "i-1",
						},
					},
				}
				v := dbview.New("ledger", "a", "wasabislip", r, r)
				if even {
					v.ChooseEvenly(func() float64 { return 0.5 }, func(server.Server) int { return 1 }, r)
				}
				script(is.New(t), r, v)
			})
		})
	}
	report := func(v *dbview.View, id, of string, waiting int, asked time.Duration) {
		v.RecordLoad(id, &load.Report{
			Instance:  of,
			Host:      "host-1",
			Waiting:   waiting,
			Service:   20 * time.Millisecond,
			StartedMs: 100,
		}, asked)
	}
	check := func(is *is.I, v *dbview.View, first, reason string) {
		is.Helper()
		list, why := v.ReadCandidates(logpos.Position{})
		is.Equal(list[0].ID, first)
		is.Equal(why, reason)
	}
	run("a report counts until it is old", true, func(is *is.I, _ *replicas, v *dbview.View) {
		check(is, v, "r-1", choice.Uninformed)
		report(v, "r-1", "r-1", 100, uptime.Now())
		report(v, "r-2", "r-2", 0, uptime.Now())
		for range 3 {
			check(is, v, "r-2", choice.Preferred)
		}
		time.Sleep(2 * time.Second)
		check(is, v, "r-2", choice.Uninformed)
		check(is, v, "r-1", choice.Uninformed)
	})
	run("an older report of the same host does not replace a newer one", true, func(is *is.I, _ *replicas, v *dbview.View) {
		time.Sleep(time.Second)
		report(v, "r-1", "r-1", 100, uptime.Now())
		report(v, "r-2", "r-2", 0, uptime.Now())
		report(v, "r-1", "r-1", 0, uptime.Now()-time.Second)
		for range 3 {
			check(is, v, "r-2", choice.Preferred)
		}
	})
	run("an implausible report is dropped and counted", true, func(is *is.I, r *replicas, v *dbview.View) {
		report(v, "r-1", "r-1", math.MaxUint32, uptime.Now())
		report(v, "r-2", "r-1", 1, uptime.Now())
		is.Equal(r.dropped, 2)
		check(is, v, "r-1", choice.Uninformed)
	})
	run("an instance that quickly returns errors gets none, and a trial later", true, func(is *is.I, _ *replicas, v *dbview.View) {
		for range 100 {
			v.RecordOutcome("r-1", reply.Busy)
		}
		for range 3 {
			check(is, v, "r-2", choice.Uninformed)
		}
		time.Sleep(10 * time.Second)
		check(is, v, "r-1", choice.Uninformed)
	})
	run("without the setting no report counts", false, func(is *is.I, r *replicas, v *dbview.View) {
		report(v, "r-1", "r-1", math.MaxUint32, uptime.Now())
		v.RecordOutcome("r-1", reply.Busy)
		check(is, v, "r-1", "")
		is.Equal(r.dropped, 0)
	})
}
