package bureau_test

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
	"wasabislip.example/wasabislip/internal/services/bureau"
	"wasabislip.example/wasabislip/internal/services/maker"
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

// world is what all hosts see: who lives, and who are candidates.
type world struct {
	mu    sync.Mutex
	hosts []string
	dead  map[string]bool
	seats map[string]*seat
	spec  *spec.Spec
	table *table
	// start starts the i-th host, also again.
	start func(i int)
}

// seat is one host's bureau.
type seat struct {
	*bureau.Bureau
	w      *world
	name   string
	cancel context.CancelFunc
}

func (s *seat) Self() string {
	return s.name
}

func (s *seat) Candidates(string) []string {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	return slices.Clone(s.w.hosts)
}

func (s *seat) Alive(host string) bool {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	return host != "" && !s.w.dead[host]
}

func (s *seat) Answers(_ context.Context, host, _ string) bool {
	return s.Alive(host)
}

func (s *seat) Offer(_ context.Context, database, host string) error {
	s.w.mu.Lock()
	other := s.w.seats[host]
	s.w.mu.Unlock()
	other.Take(database)
	return nil
}

func (w *world) Current() (*spec.Spec, uint64) {
	return w.spec, 1
}

func (w *world) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// holders returns the hosts that serve the database.
func (w *world) holders() []string {
	var names []string
	for name, s := range w.seats {
		if slices.Contains(s.Stewards(), "ledger") {
			names = append(names, name)
		}
	}
	return names
}

// scene runs test with one database of the stand-in and three hosts.
func scene(t *testing.T, test func(is *is.I, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		network := memnet.New(500 * time.Microsecond)
		w := &world{
			hosts: []string{"h1", "h2", "h3"},
			dead:  map[string]bool{},
			seats: map[string]*seat{},
			spec:  &spec.Spec{},
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
		w.spec.Databases = []group.Database{d}
		rows := &table{
			rows: map[string]record.Record{},
		}
		w.table = rows
		w.start = func(i int) {
			ctx, cancel := context.WithCancel(t.Context())
			name := fmt.Sprintf("h%d", i+1)
			s := &seat{
				w:      w,
				name:   name,
				cancel: cancel,
			}
			s.Bureau = bureau.New(rows, s, s, &maker.Maker{
				Host:    name,
				Address: fmt.Sprintf("10.0.1.%d:1", i),
				Table:   rows,
				Config:  w,
				Meter:   metric.New(),
				Dial:    network.Dialer(fmt.Sprintf("10.0.1.%d", i)),
			})
			w.change(func() { w.seats[name] = s })
			s.Apply(w.spec)
			go s.Run(ctx)
		}
		for i := range w.hosts {
			w.start(i)
		}
		defer func() {
			for _, s := range w.seats {
				s.cancel()
				<-s.Done()
			}
		}()
		time.Sleep(2 * time.Second)
		test(is.New(t), w)
	})
}

func served(is *is.I, w *world, host string) {
	is.Helper()
	is.Equal(w.holders(), []string{host})
	_, err := w.seats[host].Runner(context.Background(), "ledger")
	is.NoErr(err)
	for _, name := range w.hosts {
		if name == host {
			continue
		}
		_, err := w.seats[name].Runner(context.Background(), "ledger")
		is.True(fault.IsKind(err, fault.NotSteward))
		is.Equal(fault.As(err).Steward, host)
	}
}

func TestBureau(t *testing.T) {
	t.Run("the first candidate serves and others name it", func(t *testing.T) {
		scene(t, func(is *is.I, w *world) {
			served(is, w, "h1")
		})
	})
	t.Run("a dead host's database is taken", func(t *testing.T) {
		scene(t, func(is *is.I, w *world) {
			w.seats["h1"].cancel()
			w.change(func() { w.dead["h1"] = true })
			time.Sleep(3 * time.Second)
			served(is, w, "h2")
		})
	})
	t.Run("a host thought dead steps down", func(t *testing.T) {
		scene(t, func(is *is.I, w *world) {
			w.change(func() { w.dead["h1"] = true })
			time.Sleep(3 * time.Second)
			is.Equal(w.holders(), []string{"h2"})
		})
	})
	t.Run("a stop hands over", func(t *testing.T) {
		scene(t, func(is *is.I, w *world) {
			w.seats["h1"].Stop(context.Background())
			time.Sleep(100 * time.Millisecond)
			is.Equal(w.holders(), []string{"h2"})
		})
	})
	t.Run("a drained host hands over and takes back nothing that lives", func(t *testing.T) {
		scene(t, func(is *is.I, w *world) {
			w.change(func() { w.hosts = []string{"h2", "h3"} })
			time.Sleep(2 * time.Second)
			served(is, w, "h2")
			w.change(func() { w.hosts = []string{"h1", "h2", "h3"} })
			time.Sleep(3 * time.Second)
			served(is, w, "h2")
		})
	})
	t.Run("a host that restarts unnoticed takes what its row names", func(t *testing.T) {
		scene(t, func(is *is.I, w *world) {
			w.change(func() { w.hosts = []string{"h2", "h3"} })
			time.Sleep(2 * time.Second)
			w.change(func() { w.hosts = []string{"h1", "h2", "h3"} })
			time.Sleep(time.Second)
			served(is, w, "h2")
			w.seats["h2"].cancel()
			<-w.seats["h2"].Done()
			w.start(1)
			time.Sleep(3 * time.Second)
			served(is, w, "h2")
		})
	})
	t.Run("a row whose steward lives is seldom read, and taken at once when it dies", func(t *testing.T) {
		scene(t, func(is *is.I, w *world) {
			w.change(func() { w.hosts = []string{"h2", "h3"} })
			time.Sleep(2 * time.Second)
			w.change(func() { w.hosts = []string{"h1", "h2", "h3"} })
			time.Sleep(time.Second)
			w.table.mu.Lock()
			before := w.table.reads
			w.table.mu.Unlock()
			time.Sleep(time.Minute)
			w.table.mu.Lock()
			t.Logf("measure: term-row-reads in a minute: %d", w.table.reads-before)
			is.True(w.table.reads-before <= 6)
			w.table.mu.Unlock()
			w.seats["h2"].cancel()
			w.change(func() { w.dead["h2"] = true })
			time.Sleep(2 * time.Second)
			served(is, w, "h1")
		})
	})
}
