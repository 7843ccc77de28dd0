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

func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 6, nil)
		clients := client.NewWithDialer(nil, w.net.Dialer(callerIP))
		defer clients.Close()
		defer w.net.Rejoin(w.Hosts[0].Address)
		_, err := w.ask(2, "settle", "SELECT put('hold-17','lotus')")
		is.NoErr(err)
		for i := range w.Hosts {
			// A host that was cut off slows the answer and spoils nothing.
			if i == len(w.Hosts)-1 {
				w.net.Isolate(w.Hosts[0].Address)
			}
			resp, err := clients.Admin(net.JoinHostPort(w.Hosts[i].Address, "7000")).Status(w.ctx, connect.NewRequest(&v1.StatusRequest{}))
			is.NoErr(err)
			is.Equal(len(resp.Msg.GetHosts()), len(w.Hosts))
			is.True(len(resp.Msg.GetDatabases()) <= 1)
			if i == len(w.Hosts)-1 {
				continue
			}
			assertDatabase(t, resp.Msg.GetDatabases()[0])
			is.Equal(resp.Msg.GetWorkspaces()[0].GetRate(), 1000.0)
			is.True(resp.Msg.GetWorkspaces()[0].GetHome() != "")
		}
	})
}

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

// TestMetrics looks for the families of metrics, and that no label holds what
// callers send.
func TestMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, 3, nil)
		_, err := w.ask(0, "settle", "SELECT put('hold-17','lotus')")
		is.NoErr(err)
		_, err = w.ask(0, "nowhere", "SELECT 1")
		is.True(err != nil)
		w.drainPrimary(t)
		time.Sleep(settleTime)
		w.applyDrain(t, centres[1])
		time.Sleep(settleTime)
		b := newBalancer(w)
		var all strings.Builder
		for i := range w.Hosts {
			all.WriteString(b.page(i, "/metrics"))
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
