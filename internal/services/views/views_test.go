package views_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/views"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const services = 300

// tables stands for a store that renewed the leases renewed ago.
type tables struct {
	renewed time.Duration
}

func (t *tables) Servers(string) []server.Server          { return nil }
func (t *tables) Server(string) (server.Server, bool)     { return server.Server{}, false }
func (t *tables) Missing(string) bool                     { return false }
func (t *tables) LeavingFor(string) (time.Duration, bool) { return 0, false }
func (t *tables) AcceptsWork(string) bool                 { return true }
func (t *tables) Evacuated(string) bool                   { return false }
func (t *tables) AsOf(string) time.Duration               { return uptime.Now() - t.renewed }

func (t *tables) LeasesAsOf() time.Duration { return uptime.Now() - t.renewed }

func (t *tables) Registered() (since, until time.Duration, ok bool) { return 0, math.MaxInt64, true }

func (t *tables) Leader(string) (l leader.Leader, version uint64, ok bool) {
	return leader.Leader{
		Phase:   leader.Settled,
		Primary: "i-1",
	}, 1, true
}

func name(k int) string {
	return fmt.Sprintf("s-%d", k)
}

// run runs a script with the views of 300 services.
func run(t *testing.T, what string, script func(is *is.I, vs *views.Views, tables *tables)) {
	t.Run(what, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			uptime.Restart()
			tables := &tables{}
			vs := views.New(func(service string) *dbview.View {
				return dbview.New(service, "a", "wasabislip", tables, tables)
			})
			for k := range services {
				vs.View(name(k))
			}
			script(is.New(t), vs, tables)
		})
	})
}

// ask returns questions about services, as a host of this build or of an earlier one
// sends them.
func ask(names ...string) []*wasabislipv1.ServiceReport {
	var list []*wasabislipv1.ServiceReport
	for _, n := range names {
		list = append(list, &wasabislipv1.ServiceReport{
			Service: n,
			Primary: "i-1",
			AskedMs: 70,
		})
	}
	return list
}

// TestQuestions guards against messages that hold the reports of all services, and
// against hosts that lack those that they need.
func TestQuestions(t *testing.T) {
	run(t, "a small fleet asks for all services, a large one for none that is idle", func(is *is.I, vs *views.Views, _ *tables) {
		is.Equal(len(vs.Questions(true)), services)
		is.Equal(len(vs.Questions(false)), 0)
	})
	run(t, "a large fleet asks for the services in use", func(is *is.I, vs *views.Views, _ *tables) {
		vs.View(name(7)).MinPosition(0, logpos.Position{})
		is.Equal(len(vs.Questions(false)), 1)
		is.Equal(vs.Questions(false)[0].GetService(), name(7))
		time.Sleep(6 * time.Second)
		is.Equal(len(vs.Questions(false)), 0)
	})
	run(t, "the number of questions is bounded", func(is *is.I, vs *views.Views, _ *tables) {
		for k := range services {
			vs.View(name(k)).RecordStart("i-2")
		}
		is.Equal(len(vs.Questions(false)), 100)
	})
	run(t, "leases that the store did not renew are asked for, all of them", func(is *is.I, vs *views.Views, tables *tables) {
		tables.renewed = 1100 * time.Millisecond
		is.Equal(len(vs.Questions(false)), services)
	})
	run(t, "a lease that the replicas renewed is told", func(is *is.I, vs *views.Views, _ *tables) {
		vs.View(name(7)).RenewLease("i-1", uptime.Now())
		list := vs.Questions(false)
		is.Equal(len(list), 1)
		is.Equal(list[0].GetPrimary(), "i-1")
		is.True(list[0].GetProofMs() > 0)
	})
	run(t, "a primary that this host can't reach is asked for", func(is *is.I, vs *views.Views, _ *tables) {
		vs.View(name(7)).RecordFailure("i-1")
		is.Equal(len(vs.Questions(false)), 1)
	})
}

func TestReports(t *testing.T) {
	record := func(vs *views.Views, k int) {
		vs.View(name(k)).RecordPosition("i-1", uptime.Now(), logpos.Position{
			Term:   1,
			Offset: 5,
		})
	}
	run(t, "an answer holds what is known of the services that are asked for", func(is *is.I, vs *views.Views, _ *tables) {
		for k := range 3 {
			record(vs, k)
		}
		list := vs.Reports(ask(name(1), name(9), "unknown"))
		is.Equal(len(list), 1)
		is.Equal(list[0].GetService(), name(1))
		is.Equal(list[0].GetOffset(), uint64(5))
	})
	run(t, "what is too old for any use is left out", func(is *is.I, vs *views.Views, _ *tables) {
		record(vs, 1)
		time.Sleep(4 * time.Second)
		is.Equal(len(vs.Reports(ask(name(1)))), 0)
	})
	run(t, "what others ask for is outdated until its position is known, and not asked on", func(is *is.I, vs *views.Views, _ *tables) {
		vs.Reports(ask(name(1)))
		is.Equal(vs.Outdated(time.Second), []string{name(1)})
		is.Equal(len(vs.Questions(false)), 0)
		record(vs, 1)
		is.Equal(len(vs.Outdated(time.Second)), 0)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(vs.Outdated(time.Second), []string{name(1)})
		time.Sleep(time.Second)
		is.Equal(len(vs.Outdated(time.Second)), 0) // nobody asks any more
	})
}
