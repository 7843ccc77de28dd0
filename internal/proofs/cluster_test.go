// Package proofs_test checks what must always hold, such as that each session
// reads its own writes. The tests run a whole installation in memory under a
// simulated clock (testing/synctest), inject faults while concurrent callers
// use it, and check the history of the callers' operations with porcupine, a
// linearizability checker.
package proofs_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/inproc"
	"wasabislip.example/wasabislip/internal/standin/memnet"
	"wasabislip.example/wasabislip/pkg/model/centre"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/keys"
	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/space"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

const (
	platformAddress = "10.0.0.1:80"
	callerIP        = "10.9.0.1"
	salt            = "00112233445566778899aabbccddeeff"
	database        = "swap-ledger-1"
	readyTimeout    = 12 * time.Second
)

// centres are the data centres of Hanbit, a user of the product (see
// examples/hanbit.yaml).
var centres = []string{"daejeon-a", "sejong-b", "cheongju-c"}

// cluster is a whole installation in memory: the platform, instances and hosts.
type cluster struct {
	*inproc.Cluster
	net *memnet.Network
	ctx context.Context //nolint:containedctx // a test's context, for its helpers
}

// secretOf returns a workspace's key.
func secretOf(workspace string) string {
	return workspace + "-secret"
}

// newCluster runs one database of three instances, and n hosts that are spread
// evenly over the data centres. It waits until a write through each host
// succeeds.
func newCluster(t *testing.T, n int, adjust func(*inproc.Cluster)) *cluster {
	t.Helper()
	cl := startCluster(t, n, adjust)
	end := time.Now().Add(readyTimeout)
	for i := range cl.Hosts {
		cl.waitForWrite(t, i, end)
	}
	return cl
}

// startCluster is newCluster without the wait.
func startCluster(t *testing.T, n int, adjust func(*inproc.Cluster)) *cluster {
	t.Helper()
	is := is.New(t)
	net := memnet.New(500 * time.Microsecond)
	cl := &cluster{
		net: net,
		ctx: t.Context(),
		Cluster: &inproc.Cluster{
			Network:         net,
			PlatformAddress: platformAddress,
			Spec:            newSpec(),
			Hosts:           newHosts(n),
		},
	}
	if adjust != nil {
		adjust(cl.Cluster)
	}
	is.NoErr(cl.Start(cl.ctx))
	t.Cleanup(func() {
		cl.Close()
		// The PostgreSQL client closes broken connections in goroutines of its own,
		// which have to end within the test.
		time.Sleep(time.Minute)
	})
	return cl
}

// waitForWrite waits until a write through the host at index i succeeds. Hosts
// receive the configuration at different times.
func (cl *cluster) waitForWrite(t *testing.T, i int, end time.Time) {
	t.Helper()
	for {
		_, err := cl.query(i, "settle", "SELECT put('ready','1')")
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("no write through host %d within %s: %v", i, readyTimeout, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// newHosts returns n hosts, spread evenly over the data centres.
func newHosts(n int) []host.Host {
	var out []host.Host
	for i := range n {
		out = append(out, host.Host{
			Name:       fmt.Sprintf("host-%d", i+1),
			DataCentre: centres[i%len(centres)],
			Address:    fmt.Sprintf("10.1.0.%d", i+1),
		})
	}
	return out
}

// newSpec returns a configuration of one database, with the data centres
// of Hanbit and its sizes of instances.
func newSpec() *spec.Spec {
	s := &spec.Spec{
		DefaultRoute: "settle",
		Routes: []route.Route{
			{
				Name: "settle",
				Kind: route.Write,
			},
			{
				Name:      "browse",
				Kind:      route.Read,
				Freshness: route.Session,
			},
			{
				Name:      "audit",
				Kind:      route.Read,
				Freshness: route.Primary,
			},
		},
	}
	d := group.Database{
		Name:    database,
		Service: "swap-ledger",
	}
	for i, name := range centres {
		s.DataCentres = append(s.DataCentres, centre.Centre{
			Name:   name,
			Region: "kr-central",
		})
		d.Instances = append(d.Instances, inst.Instance{
			Name:        string(rune('a' + i)),
			Address:     fmt.Sprintf("10.2.0.%d:5432", i+1),
			DataCentre:  name,
			Slots:       3,
			Connections: 20,
		})
	}
	s.Databases = []group.Database{d}
	for _, name := range []string{"orchid-market", "lotus-salon"} {
		s.Workspaces = append(s.Workspaces, space.Workspace{
			Name:      name,
			Rate:      1000,
			Burst:     2000,
			Weight:    1,
			Databases: []string{database},
			Keys: []keys.Key{{
				ID:   name + "-1",
				Salt: salt,
				Hash: keys.Sum(salt, secretOf(name)),
			}},
		})
	}
	return s
}

// connect opens a connection to the host at index i, for a workspace and a
// route. params are names and values of more start-up parameters, by turns.
func (cl *cluster) connect(ctx context.Context, i int, workspace, routeName string, params ...string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + workspace + ":" + secretOf(workspace) + "@" + cl.CallerAddress(cl.Hosts[i]) + "/" + database + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = cl.net.Dialer(callerIP)
	cfg.LookupFunc = func(_ context.Context, name string) ([]string, error) {
		return []string{name}, nil
	}
	cfg.RuntimeParams["wasabislip.route"] = routeName
	for n := 0; n+1 < len(params); n += 2 {
		cfg.RuntimeParams[params[n]] = params[n+1]
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// query runs one statement on a new connection and returns its text.
func (cl *cluster) query(i int, routeName, statement string) (string, error) {
	ctx, cancel := context.WithTimeout(cl.ctx, 10*time.Second)
	defer cancel()
	conn, err := cl.connect(ctx, i, "orchid-market", routeName)
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	return queryOn(ctx, conn, statement)
}

// queryOn runs one statement with the simple query protocol and returns the
// first column of its rows, joined by commas.
func queryOn(ctx context.Context, conn *pgx.Conn, statement string) (string, error) {
	results, err := conn.PgConn().Exec(ctx, statement).ReadAll()
	if err != nil {
		return "", err
	}
	var texts []string
	for _, row := range results[0].Rows {
		texts = append(texts, string(row[0]))
	}
	return strings.Join(texts, ","), nil
}

// instanceIP returns the IP address of the instance at index i.
func instanceIP(cl *cluster, i int) string {
	ip, _, _ := net.SplitHostPort(cl.Spec.Databases[0].Instances[i].Address)
	return ip
}
