package exec_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/instdb"
	"wasabislip.example/wasabislip/internal/services/coord"
	"wasabislip.example/wasabislip/internal/services/exec"
	"wasabislip.example/wasabislip/internal/standin/dbase"
	"wasabislip.example/wasabislip/internal/standin/dbcfg"
	"wasabislip.example/wasabislip/internal/standin/memnet"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/group"
)

const coordinatorIP = "10.0.1.1"

// standinGroup is a coordinator with three instances of the stand-in database.
type standinGroup struct {
	*host
	network *memnet.Network
	table   *fakeTable
}

func instanceIP(i int) string {
	return fmt.Sprintf("10.0.0.%d", i+1)
}

// withStandins runs test in a synctest bubble with a coordinator and three
// instances of the stand-in database.
func withStandins(t *testing.T, test func(is *is.I, g *standinGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Minute)
		g := &standinGroup{
			network: memnet.New(500 * time.Microsecond),
		}
		d := database()
		for i := range d.Instances {
			d.Instances[i].Address = instanceIP(i) + ":5432"
			db := dbase.New(dbcfg.Config{
				Name:         d.Instances[i].Name,
				Slots:        d.Instances[i].Slots,
				Connections:  d.Instances[i].Connections,
				ConnectDelay: 10 * time.Millisecond,
				ApplyLag:     5 * time.Millisecond,
				Dial:         g.network.Dialer(instanceIP(i)),
			})
			listener, err := g.network.Listen(d.Instances[i].Address)
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = db.Serve(listener) }()
			defer func() { <-db.Done() }()
			defer db.Close()
		}
		g.table = &fakeTable{}
		g.host = g.startCoordinator(ctx, d, "h1", coordinatorIP)
		defer func() {
			cancel()
			<-g.coordinator.Done()
		}()
		test(is.New(t), g)
	})
}

// startCoordinator starts a coordinator that connects from ip.
func (g *standinGroup) startCoordinator(ctx context.Context, d group.Database, name, ip string) *host {
	s := coord.New(d, name, ip+":1", g.table, fakePolicy{})
	r := exec.New(s, name, fakePolicy{}, fakePolicy{})
	for i := range d.Instances {
		c := instdb.New(instdb.Client{
			Instance: d.Instances[i],
			Database: d.Name,
			User:     "product",
			DialFunc: g.network.Dialer(ip),
		})
		s.AddInstance(c)
		r.Add(freeSlots{}, c)
	}
	go s.Run(ctx)
	return &host{
		Executor:    r,
		ctx:         ctx,
		coordinator: s,
	}
}

func (g *standinGroup) run(t *testing.T, routeName, text string, minPosition *v1.Position) result {
	t.Helper()
	return g.call(t, &v1.Open{
		Route:  routeName,
		Floor:  minPosition,
		Fenced: minPosition == nil,
	}, query(text), 3*time.Second)
}

func (g *standinGroup) primaryName() string {
	v := g.coordinator.Epoch().View()
	return g.coordinator.Database().Instances[v.Primary].Name
}

// executePrepared encodes a batch that runs a statement which was prepared on
// another connection.
func executePrepared(name string, args ...string) []byte {
	bind := pgproto3.Bind{
		PreparedStatement: name,
	}
	for _, a := range args {
		bind.Parameters = append(bind.Parameters, []byte(a))
	}
	out, _ := bind.Encode(nil)
	out, _ = (&pgproto3.Execute{}).Encode(out)
	out, _ = (&pgproto3.Sync{}).Encode(out)
	return out
}

func TestOnStandins(t *testing.T) {
	t.Run("writes, reads and prepared statements", func(t *testing.T) {
		withStandins(t, func(is *is.I, g *standinGroup) {
			insert := &v1.Statement{
				Name:  "s1",
				Query: "SELECT put($1, $2)",
			}
			for i := range 5 {
				w := g.call(t, &v1.Open{
					Route: "write",
				}, executePrepared("s1", fmt.Sprint(i), "m"), time.Second, insert)
				acknowledged(is, w)
				for _, routeName := range []string{"session", "bounded", "primary"} {
					r := g.run(t, routeName, "SELECT get('"+fmt.Sprint(i)+"')", w.position)
					acknowledged(is, r)
					is.Equal(r.count, "m")
				}
			}
			is.Equal(g.run(t, "session", "SELECT put('x', 'y')", nil).code, "25006")
		})
	})
	t.Run("acknowledged writes survive the isolation of the primary", func(t *testing.T) {
		withStandins(t, func(is *is.I, g *standinGroup) {
			for round := range 3 {
				id := fmt.Sprint(round)
				acknowledged(is, g.run(t, "write", "SELECT put('"+id+"', 'm')", nil))
				old := g.coordinator.Epoch().View().Primary
				g.network.Isolate(instanceIP(old))
				start := time.Now()
				for !g.run(t, "write", "SELECT put('"+id+"', 'n')", nil).done {
					time.Sleep(time.Millisecond)
				}
				gap := time.Since(start)
				t.Logf("gap %s", gap)
				is.True(gap < 5*time.Second)
				is.True(g.coordinator.Epoch().View().Primary != old)
				is.Equal(g.run(t, "session", "SELECT get('"+id+"')", nil).count, "n")
				g.network.Rejoin(instanceIP(old))
				time.Sleep(10 * time.Second)
				is.True(g.coordinator.Epoch().View().Live[old])
			}
		})
	})
	t.Run("planned failover fails no write", func(t *testing.T) {
		withStandins(t, func(is *is.I, g *standinGroup) {
			acknowledged(is, g.run(t, "write", "SELECT put('a', 'm')", nil))
			old := g.primaryName()
			g.coordinator.SetDrained([]string{old})
			start := time.Now()
			longest := time.Duration(0)
			for i := 0; time.Since(start) < 2*time.Second; i++ {
				began := time.Now()
				acknowledged(is, g.run(t, "write", fmt.Sprintf("SELECT put('%d', 'm')", i), nil))
				longest = max(longest, time.Since(began))
			}
			t.Logf("longest write %s", longest)
			is.True(g.primaryName() != old)
		})
	})
	t.Run("read waits for a replica while the primary is busy", func(t *testing.T) {
		withStandins(t, func(is *is.I, g *standinGroup) {
			for range 20 {
				acknowledged(is, g.run(t, "write", "SELECT sleep(100)", nil))
			}
			w := g.run(t, "write", "SELECT put('k', 'v')", nil)
			acknowledged(is, w)
			var wg conc.WaitGroup
			for range 4 {
				wg.Go(func() { g.run(t, "write", "SELECT sleep(100)", nil) })
			}
			synctest.Wait()
			w = g.run(t, "write", "SELECT put('k', 'w')", nil)
			acknowledged(is, w)
			start := time.Now()
			is.Equal(g.run(t, "session", "SELECT get('k')", w.position).count, "w")
			is.True(time.Since(start) < exec.ReplicaWaitLimit)
			wg.Wait()
		})
	})
	t.Run("hanging cancel request does not delay other runs", func(t *testing.T) {
		withStandins(t, func(is *is.I, g *standinGroup) {
			w := g.run(t, "write", "SELECT put('k', 'v')", nil)
			acknowledged(is, w)
			time.Sleep(time.Second)
			var wg conc.WaitGroup
			wg.Go(func() {
				g.call(t, &v1.Open{
					Route:     "write",
					RequestId: "slow",
				}, query("SELECT sleep(500)"), time.Second)
			})
			time.Sleep(100 * time.Millisecond)
			g.network.Isolate(instanceIP(g.coordinator.Epoch().View().Primary))
			wg.Go(func() { _ = g.Cancel(g.ctx, "slow") })
			synctest.Wait()
			start := time.Now()
			acknowledged(is, g.run(t, "session", "SELECT get('k')", w.position))
			is.True(time.Since(start) < 100*time.Millisecond)
			wg.Wait()
		})
	})
	t.Run("superseded coordinator next to its primary answers no read", func(t *testing.T) {
		withStandins(t, func(is *is.I, g *standinGroup) {
			acknowledged(is, g.run(t, "write", "SELECT put('k', 'old')", nil))
			old := g.coordinator.Epoch().View().Primary
			for i := range 3 {
				if i != old {
					g.network.Cut(coordinatorIP, instanceIP(i))
					g.network.Cut(instanceIP(i), coordinatorIP)
					g.network.Cut(instanceIP(old), instanceIP(i))
					g.network.Cut(instanceIP(i), instanceIP(old))
				}
			}
			g.network.Cut("10.0.1.2", instanceIP(old))
			next := &standinGroup{
				host: g.startCoordinator(g.ctx, *g.coordinator.Database(), "h2", "10.0.1.2"),
			}
			acknowledged(is, next.run(t, "write", "SELECT put('k', 'new')", nil))
			for _, routeName := range []string{"session", "bounded", "primary", "write"} {
				r := g.run(t, routeName, "SELECT get('k')", nil)
				is.True(r.kind != "")
				is.True(!r.done)
			}
			unacknowledged(is, g.run(t, "write", "SELECT put('k', 'lost')", nil), fault.OutcomeUnknown)
			is.Equal(next.run(t, "primary", "SELECT get('k')", nil).count, "new")
		})
	})
}
