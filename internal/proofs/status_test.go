package proofs_test

import (
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/client"
)

// TestStatus asks each host for the status of the fleet, the last one after
// another host was isolated.
func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 6, nil)
		clients := client.NewWithDialer(nil, cl.net.Dialer(callerIP))
		defer clients.Close()
		defer cl.net.Rejoin(cl.Hosts[0].Address)
		_, err := cl.query(2, "settle", "SELECT put('hold-17','lotus')")
		is.NoErr(err)
		for i := range cl.Hosts {
			// An isolated host may delay the answer, but must not make it fail.
			if i == len(cl.Hosts)-1 {
				cl.net.Isolate(cl.Hosts[0].Address)
			}
			resp, err := clients.Admin(net.JoinHostPort(cl.Hosts[i].Address, "7000")).Status(cl.ctx, connect.NewRequest(&v1.StatusRequest{}))
			is.NoErr(err)
			is.Equal(len(resp.Msg.GetHosts()), len(cl.Hosts))
			is.True(len(resp.Msg.GetDatabases()) <= 1)
			if i == len(cl.Hosts)-1 {
				continue
			}
			assertDatabase(t, resp.Msg.GetDatabases()[0])
			is.Equal(resp.Msg.GetWorkspaces()[0].GetRate(), 1000.0)
			is.True(resp.Msg.GetWorkspaces()[0].GetHome() != "")
		}
	})
}

// assertDatabase asserts that a database has a term, a coordinator (steward on
// the wire), one primary, and replicas that receive its log.
func assertDatabase(t *testing.T, d *v1.DatabaseStatus) {
	t.Helper()
	is := is.New(t)
	is.Equal(d.GetDatabase(), database)
	is.True(d.GetTerm() > 0)
	is.True(d.GetSteward() != "")
	roles := map[string]int{}
	for _, in := range d.GetInstances() {
		roles[in.GetRole()]++
		is.Equal(in.GetState(), "live")
		is.True(in.GetReceived().GetOffset() > 0)
	}
	is.Equal(roles["primary"], 1)
	is.Equal(roles["replica"], len(centres)-1)
}

// TestMetrics checks that the metrics of each kind are exported, and that no
// label contains what callers send.
func TestMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, nil)
		_, err := cl.query(0, "settle", "SELECT put('hold-17','lotus')")
		is.NoErr(err)
		_, err = cl.query(0, "nowhere", "SELECT 1")
		is.True(err != nil)
		cl.drainPrimary(t)
		time.Sleep(drainTimeout)
		cl.drainDataCentre(t, centres[1])
		time.Sleep(drainTimeout)
		b := newBalancer(cl)
		var all strings.Builder
		for i := range cl.Hosts {
			all.WriteString(b.fetch(i, "/metrics"))
		}
		for _, want := range []string{
			`wasabislip_statements_total{role="primary",route_kind="write"}`,
			`wasabislip_refusals_total{kind="bad-request"} 1`,
			`wasabislip_batch_seconds_count{route_kind="write"}`,
			`wasabislip_failover_seconds_count{planned="true"}`,
			`wasabislip_caller_connections 0`,
			`wasabislip_config_version 3`,
			`wasabislip_members{state="leaving"} 1`,
			`wasabislip_database_term{database="swap-ledger-1"}`,
		} {
			if !strings.Contains(all.String(), want) {
				t.Errorf("no %s", want)
			}
		}
		for _, secret := range []string{"lotus", "hold-17", secretOf("orchid-market")} {
			is.True(!strings.Contains(all.String(), secret))
		}
	})
}
