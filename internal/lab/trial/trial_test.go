package trial_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/lab/design"
	"wasabislip.example/wasabislip/internal/lab/fault"
	"wasabislip.example/wasabislip/internal/lab/load"
	"wasabislip.example/wasabislip/internal/lab/result"
	"wasabislip.example/wasabislip/internal/lab/tally"
	"wasabislip.example/wasabislip/internal/lab/trial"
	"wasabislip.example/wasabislip/internal/models/tuning"
)

// run runs a trial with one stream in a synctest bubble, whose clock advances
// without waiting.
func run(t *testing.T, limit float64, faults ...fault.Fault) (got *tally.Tally) {
	t.Helper()
	d, err := design.Parse([]byte("{name: one, hosts: 3, length: 1s, policies: [{name: usual}], loads: [{name: one, streams: [{workspace: shops, limit: 1, database: own, rate: 60, writes: 0.2}]}]}"))
	is.New(t).NoErr(err)
	l := load.Load{
		Name:    "one",
		Streams: d.Loads[0].Streams,
	}
	l.Streams[0].RateLimit = limit
	synctest.Test(t, func(t *testing.T) {
		p := &trial.Trial{
			Hosts:    3,
			Duration: 4 * time.Second,
			Seed:     1,
			Tuning:   tuning.Default(),
			Load:     l,
			Faults:   faults,
		}
		got = p.Run(t.Context())
	})
	return got
}

func TestTrial(t *testing.T) {
	t.Run("without faults all operations are served in time", func(t *testing.T) {
		is := is.New(t)
		got := run(t, 200)
		is.True(got.Total() > 150)
		is.True(got.Count(tally.InTime)*100 >= got.Total()*99)
		is.True(got.LeastServed() >= 0.99)
	})
	t.Run("operations over the rate are refused, not failed", func(t *testing.T) {
		is := is.New(t)
		got := run(t, 20)
		is.True(got.Count(tally.Refused) > 0)
		is.Equal(got.Count(tally.Failed), 0)
	})
	t.Run("a crash of the primary costs some operations, not all", func(t *testing.T) {
		is := is.New(t)
		got := run(t, 200, fault.Fault{
			Kind: fault.CrashPrimary,
			At:   time.Second,
		})
		is.True(got.Count(tally.InTime) < got.Total())
		is.True(got.Count(tally.InTime) > got.Total()/4)
	})
}

func TestResult(t *testing.T) {
	is := is.New(t)
	r := &result.Result{
		Name: "one",
	}
	one := &tally.Tally{}
	one.Record("shops", 0, tally.InTime, 20*time.Millisecond)
	one.Record("shops", time.Second, tally.Refused, 0)
	one.Record("salons", time.Second, tally.Late, 400*time.Millisecond)
	r.Add("steady", "usual", one)
	var text bytes.Buffer
	is.NoErr(r.WriteTable(&text))
	is.True(strings.Contains(text.String(), "| steady | usual | 3 | 33.3% | 33.3% | 33.3% | 0.0% | 400 ms | 400 ms | 50.0% |"))
	is.NoErr(r.WritePlots(t.TempDir()))
}
