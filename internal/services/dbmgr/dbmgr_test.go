package dbmgr_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/modules/metric"
	"wasabislip.example/wasabislip/internal/services/build"
	"wasabislip.example/wasabislip/internal/services/dbmgr"
	"wasabislip.example/wasabislip/internal/standin/dbase"
	"wasabislip.example/wasabislip/internal/standin/dbcfg"
	"wasabislip.example/wasabislip/internal/standin/memnet"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// table keeps rows in memory.
type table struct {
	mu    sync.Mutex
	rows  map[string]record.Record
	reads int
}

func (t *table) Get(_ context.Context, _, name string) (record.Record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	return t.rows[name], nil
}

func (t *table) Put(_ context.Context, r record.Record, expect uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[r.Name].Version != expect {
		return fault.New(fault.Conflict, "the row was changed", "read it again")
	}
	r.Version = expect + 1
	t.rows[r.Name] = r
	return nil
}

// cluster is what all hosts see: which hosts are alive and which are candidates.
type cluster struct {
	mu       sync.Mutex
	hosts    []string
	dead     map[string]bool
	managers map[string]*testHost
	spec     *spec.Spec
	table    *table
	// start starts the i-th host, or restarts it.
	start func(i int)
}

// testHost is one host's manager, with the placement and the handover that it
// uses.
type testHost struct {
	*dbmgr.Manager
	c      *cluster
	name   string
	cancel context.CancelFunc
}

func (s *testHost) Self() string {
	return s.name
}

func (s *testHost) Candidates(string) []string {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return slices.Clone(s.c.hosts)
}

func (s *testHost) Alive(host string) bool {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	return host != "" && !s.c.dead[host]
}

func (s *testHost) Answers(_ context.Context, host, _ string) bool {
	return s.Alive(host)
}

func (s *testHost) Offer(_ context.Context, database, host string) error {
	s.c.mu.Lock()
	other := s.c.managers[host]
	s.c.mu.Unlock()
	other.TakeOver(database)
	return nil
}

func (c *cluster) Current() (*spec.Spec, uint64) {
	return c.spec, 1
}

func (c *cluster) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// servingHosts returns the hosts that serve the database.
func (c *cluster) servingHosts() []string {
	var names []string
	for name, s := range c.managers {
		if slices.Contains(s.DatabaseNames(), "ledger") {
			names = append(names, name)
		}
	}
	return names
}

// withCluster runs test with three hosts and one database on stand-in instances.
func withCluster(t *testing.T, test func(is *is.I, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		network := memnet.New(500 * time.Microsecond)
		c := &cluster{
			hosts:    []string{"h1", "h2", "h3"},
			dead:     map[string]bool{},
			managers: map[string]*testHost{},
			spec:     &spec.Spec{},
		}
		d := group.Database{
			Name: "ledger",
		}
		for i := range 3 {
			ip := fmt.Sprintf("10.0.0.%d", i+1)
			db := dbase.New(dbcfg.Config{
				Name:        ip,
				Slots:       2,
				Connections: 20,
				Dial:        network.Dialer(ip),
			})
			l, err := network.Listen(ip + ":5432")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = db.Serve(l) }()
			defer db.Close()
			d.Instances = append(d.Instances, inst.Instance{
				Name:        ip,
				Address:     ip + ":5432",
				Slots:       2,
				Connections: 20,
			})
		}
		c.spec.Databases = []group.Database{d}
		rows := &table{
			rows: map[string]record.Record{},
		}
		c.table = rows
		c.start = func(i int) {
			ctx, cancel := context.WithCancel(t.Context())
			name := fmt.Sprintf("h%d", i+1)
			s := &testHost{
				c:      c,
				name:   name,
				cancel: cancel,
			}
			s.Manager = dbmgr.New(rows, s, s, &build.Builder{
				Host:    name,
				Address: fmt.Sprintf("10.0.1.%d:1", i),
				Table:   rows,
				Config:  c,
				Meter:   metric.New(),
				Dial:    network.Dialer(fmt.Sprintf("10.0.1.%d", i)),
			})
			c.change(func() { c.managers[name] = s })
			s.Apply(c.spec)
			go s.Run(ctx)
		}
		for i := range c.hosts {
			c.start(i)
		}
		defer func() {
			for _, s := range c.managers {
				s.cancel()
				<-s.Done()
			}
		}()
		time.Sleep(2 * time.Second)
		test(is.New(t), c)
	})
}

// requireServedBy checks that only host serves the database and that the others
// redirect to it.
func requireServedBy(is *is.I, c *cluster, host string) {
	is.Helper()
	is.Equal(c.servingHosts(), []string{host})
	_, err := c.managers[host].Executor(context.Background(), "ledger")
	is.NoErr(err)
	for _, name := range c.hosts {
		if name == host {
			continue
		}
		_, err := c.managers[name].Executor(context.Background(), "ledger")
		is.True(fault.IsKind(err, fault.NotCoordinator))
		is.Equal(fault.As(err).Coordinator, host)
	}
}

func TestManager(t *testing.T) {
	t.Run("the first candidate serves the database and the others redirect to it", func(t *testing.T) {
		withCluster(t, func(is *is.I, c *cluster) {
			requireServedBy(is, c, "h1")
		})
	})
	t.Run("another host takes a dead host's database", func(t *testing.T) {
		withCluster(t, func(is *is.I, c *cluster) {
			c.managers["h1"].cancel()
			c.change(func() { c.dead["h1"] = true })
			time.Sleep(3 * time.Second)
			requireServedBy(is, c, "h2")
		})
	})
	t.Run("a host that the others think dead steps down", func(t *testing.T) {
		withCluster(t, func(is *is.I, c *cluster) {
			c.change(func() { c.dead["h1"] = true })
			time.Sleep(3 * time.Second)
			is.Equal(c.servingHosts(), []string{"h2"})
		})
	})
	t.Run("Stop hands the database over", func(t *testing.T) {
		withCluster(t, func(is *is.I, c *cluster) {
			c.managers["h1"].Stop(context.Background())
			time.Sleep(100 * time.Millisecond)
			is.Equal(c.servingHosts(), []string{"h2"})
		})
	})
	t.Run("a drained host hands over and does not take back what a live host serves", func(t *testing.T) {
		withCluster(t, func(is *is.I, c *cluster) {
			c.change(func() { c.hosts = []string{"h2", "h3"} })
			time.Sleep(2 * time.Second)
			requireServedBy(is, c, "h2")
			c.change(func() { c.hosts = []string{"h1", "h2", "h3"} })
			time.Sleep(3 * time.Second)
			requireServedBy(is, c, "h2")
		})
	})
	t.Run("a host that restarts unnoticed takes the database whose row names it", func(t *testing.T) {
		withCluster(t, func(is *is.I, c *cluster) {
			c.change(func() { c.hosts = []string{"h2", "h3"} })
			time.Sleep(2 * time.Second)
			c.change(func() { c.hosts = []string{"h1", "h2", "h3"} })
			time.Sleep(time.Second)
			requireServedBy(is, c, "h2")
			c.managers["h2"].cancel()
			<-c.managers["h2"].Done()
			c.start(1)
			time.Sleep(3 * time.Second)
			requireServedBy(is, c, "h2")
		})
	})
	t.Run("a row whose coordinator is alive is seldom read, and the database is taken at once when it dies", func(t *testing.T) {
		withCluster(t, func(is *is.I, c *cluster) {
			c.change(func() { c.hosts = []string{"h2", "h3"} })
			time.Sleep(2 * time.Second)
			c.change(func() { c.hosts = []string{"h1", "h2", "h3"} })
			time.Sleep(time.Second)
			c.table.mu.Lock()
			before := c.table.reads
			c.table.mu.Unlock()
			time.Sleep(time.Minute)
			c.table.mu.Lock()
			t.Logf("measure: term-row-reads in a minute: %d", c.table.reads-before)
			is.True(c.table.reads-before <= 6)
			c.table.mu.Unlock()
			c.managers["h2"].cancel()
			c.change(func() { c.dead["h2"] = true })
			time.Sleep(2 * time.Second)
			requireServedBy(is, c, "h1")
		})
	})
}
