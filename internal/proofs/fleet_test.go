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
	readyWithin     = 12 * time.Second
)

// centres are Hanbit's data centres.
var centres = []string{"daejeon-a", "sejong-b", "cheongju-c"}

// world is a whole installation in memory.
type world struct {
	*inproc.Cluster
	net *memnet.Network
	ctx context.Context //nolint:containedctx // a test's context, for its helpers
}

// secretOf returns a workspace's key.
func secretOf(workspace string) string {
	return workspace + "-secret"
}

// newWorld runs one database of three instances and n hosts, each in the next
// data centre, and waits until a write through each host succeeds.
func newWorld(t *testing.T, n int, adjust func(*inproc.Cluster)) *world {
	t.Helper()
	w := startWorld(t, n, adjust)
	end := time.Now().Add(readyWithin)
	for i := range w.Hosts {
		w.awaitHost(t, i, end)
	}
	return w
}

// startWorld is newWorld without the wait.
func startWorld(t *testing.T, n int, adjust func(*inproc.Cluster)) *world {
	t.Helper()
	is := is.New(t)
	net := memnet.New(500 * time.Microsecond)
	w := &world{
		net: net,
		ctx: t.Context(),
		Cluster: &inproc.Cluster{
			Network:         net,
			PlatformAddress: platformAddress,
			Spec:            hanbit(),
			Hosts:           hosts(n),
		},
	}
	if adjust != nil {
		adjust(w.Cluster)
	}
	is.NoErr(w.Start(w.ctx))
	t.Cleanup(func() {
		w.Close()
		// The PostgreSQL client closes broken connections beside its callers.
		time.Sleep(time.Minute)
	})
	return w
}

// awaitHost waits until a write through the host at index i succeeds: hosts
// learn of the configuration one after the other.
func (w *world) awaitHost(t *testing.T, i int, end time.Time) {
	t.Helper()
	for {
		_, err := w.ask(i, "settle", "SELECT put('ready','1')")
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("no write through host %d within %s: %v", i, readyWithin, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func hosts(n int) []host.Host {
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

// hanbit returns a configuration of one database at Hanbit's sizes.
func hanbit() *spec.Spec {
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

// connect opens a caller's connection to the host at index i.
func (w *world) connect(ctx context.Context, i int, workspace, way string, more ...string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + workspace + ":" + secretOf(workspace) + "@" + w.CallerAddress(w.Hosts[i]) + "/" + database + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = w.net.Dialer(callerIP)
	cfg.LookupFunc = func(_ context.Context, name string) ([]string, error) {
		return []string{name}, nil
	}
	cfg.RuntimeParams["wasabislip.route"] = way
	for n := 0; n+1 < len(more); n += 2 {
		cfg.RuntimeParams[more[n]] = more[n+1]
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// ask runs one statement on a connection of its own and returns its text.
func (w *world) ask(i int, way, statement string) (string, error) {
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	conn, err := w.connect(ctx, i, "orchid-market", way)
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	return askOn(ctx, conn, statement)
}

// askOn runs one statement in the simple protocol and returns its rows' first
// column, joined by commas.
func askOn(ctx context.Context, conn *pgx.Conn, statement string) (string, error) {
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

// addressOf returns the IP number of the instance at index i.
func addressOf(w *world, i int) string {
	ip, _, _ := net.SplitHostPort(w.Spec.Databases[0].Instances[i].Address)
	return ip
}
