package dbview_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
)

// copies is the host's copy of the store and its registration.
type copies struct {
	record leader.Leader
	// asOf is the as-of time of the copy.
	asOf time.Duration
	// registered says whether the host is registered, since when and until when.
	registered bool
	since      time.Duration
	until      time.Duration
}

func (c *copies) Servers(string) []server.Server { return nil }

func (c *copies) Server(id string) (server.Server, bool) {
	return server.Server{
		ID: id,
	}, true
}

func (c *copies) Missing(string) bool                         { return false }
func (c *copies) LeavingFor(string) (time.Duration, bool)     { return 0, false }
func (c *copies) AcceptsWork(string) bool                     { return true }
func (c *copies) Evacuated(string) bool                       { return false }
func (c *copies) Leader(string) (leader.Leader, uint64, bool) { return c.record, 1, true }
func (c *copies) AsOf(string) time.Duration                   { return c.asOf }
func (c *copies) LeasesAsOf() time.Duration                   { return c.asOf }
func (c *copies) Registered() (since, until time.Duration, ok bool) {
	return c.since, c.until, c.registered
}

// TestLease guards against a host that uses a primary which another host may have
// replaced: it replaces one once each registered host has applied its record, or a
// lease has passed since.
func TestLease(t *testing.T) {
	run := func(what string, script func(is *is.I, c *copies, v *dbview.View)) {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				uptime.Restart()
				time.Sleep(time.Minute)
				c := &copies{
					record: leader.Leader{
						Phase:   leader.Settled,
						Primary: "i-1",
					},
					asOf:       uptime.Now(),
					registered: true,
					until:      math.MaxInt64,
				}
				script(is.New(t), c, dbview.New("ledger", "a", "wasabislip", c, c))
			})
		})
	}
	check := func(is *is.I, v *dbview.View, want bool) {
		is.Helper()
		is.Equal(v.HasLease("i-1"), want)
		_, reason := v.Primary()
		is.Equal(reason == "", want)
	}
	run("it counts from the copy of the table", func(is *is.I, _ *copies, v *dbview.View) {
		time.Sleep(dbview.Lease - time.Millisecond)
		check(is, v, true)
		time.Sleep(time.Millisecond)
		check(is, v, false)
	})
	run("a host that is not registered has none", func(is *is.I, c *copies, v *dbview.View) {
		c.registered = false
		check(is, v, false)
		v.RenewLease("i-1", uptime.Now())
		check(is, v, false)
	})
	run("a copy from before the registration gives none", func(is *is.I, c *copies, v *dbview.View) {
		time.Sleep(time.Second)
		c.since = uptime.Now()
		check(is, v, false)
		c.asOf = uptime.Now()
		check(is, v, true)
	})
	run("an answer of the replicas from before the registration gives none", func(is *is.I, c *copies, v *dbview.View) {
		v.RenewLease("i-1", uptime.Now())
		time.Sleep(time.Second)
		c.since = uptime.Now()
		check(is, v, false)
		v.RenewLease("i-1", uptime.Now())
		check(is, v, true)
	})
	run("a suspended host's counts until its suspension", func(is *is.I, c *copies, v *dbview.View) {
		c.until = uptime.Now()
		time.Sleep(time.Second)
		c.asOf = uptime.Now()
		v.RenewLease("i-1", uptime.Now())
		check(is, v, true)
		time.Sleep(dbview.Lease - time.Second)
		check(is, v, false)
	})
	run("the replicas of another primary renew none", func(is *is.I, _ *copies, v *dbview.View) {
		time.Sleep(dbview.Lease)
		v.RenewLease("i-2", uptime.Now())
		check(is, v, false)
		v.RenewLease("i-1", uptime.Now())
		check(is, v, true)
	})
	run("an older answer of the replicas does not shorten it", func(is *is.I, _ *copies, v *dbview.View) {
		asked := uptime.Now()
		time.Sleep(time.Second)
		v.RenewLease("i-1", uptime.Now())
		v.RenewLease("i-1", asked)
		time.Sleep(2 * time.Second)
		check(is, v, true)
	})
	run("a primary that is being replaced has none", func(is *is.I, c *copies, v *dbview.View) {
		c.record = leader.Leader{
			Phase:         leader.Changing,
			FormerPrimary: "i-1",
			Primary:       "i-1",
		}
		check(is, v, false)
	})
}
