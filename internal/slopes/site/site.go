// Package site runs an installation for measurements: stand-ins of the
// platform and of databases in this process, hosts as processes of their own.
package site

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/models/term"
	"wasabislip.example/wasabislip/internal/modules/access"
	"wasabislip.example/wasabislip/internal/modules/object"
	"wasabislip.example/wasabislip/internal/modules/table"
	"wasabislip.example/wasabislip/internal/services/config"
	"wasabislip.example/wasabislip/internal/slopes/calls"
	"wasabislip.example/wasabislip/internal/standin/cloud"
	"wasabislip.example/wasabislip/internal/standin/dbase"
	"wasabislip.example/wasabislip/internal/standin/dbcfg"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

const (
	tableName   = "wasabislip"
	readHeaderTimeout = 5 * time.Second
	readyTimeout = 30 * time.Second
	readyPause  = 100 * time.Millisecond
	noDelay     = -1
	hostPrefix  = "host-"
)

// sites counts the installations of this process.
var clusterCount atomic.Int64

// Site is a running installation; see New.
type Site struct {
	// Calls counts the platform's operations.
	Calls *calls.Calls
	// Spec is the configuration in force.
	Spec *spec.Spec

	number    int
	program   string
	dir       string
	platform  string
	server       *http.Server
	table      *table.Table
	manager    *config.Manager
	cancel    context.CancelFunc
	instances map[string]*dbase.Instance
	hosts  []*hostProcess
	group     conc.WaitGroup
}

// New runs the platform and databases of that number, applies a configuration
// of workspaces and keys for them, and runs the hosts by program.
func New(ctx context.Context, program string, hosts, databases int) (*Site, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{
		Calls: &calls.Calls{
			Next: cloud.New(),
		},
		number:    int(clusterCount.Add(1)),
		program:   program,
		cancel:    cancel,
		instances: map[string]*dbase.Instance{},
	}
	err := s.start(ctx, hosts, databases)
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context, hosts, databases int) error {
	var err error
	if s.dir, err = os.MkdirTemp("", "slopes-"); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.platform = "http://" + l.Addr().String()
	s.server = &http.Server{
		Handler:           s.Calls,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	s.group.Go(func() { _ = s.server.Serve(l) })
	s.Spec = Describe(databases)
	if err := s.startInstances(); err != nil {
		return err
	}
	reach := access.Access{
		Endpoint: s.platform,
		Client:   &http.Client{},
	}
	s.table = table.New(reach, tableName)
	s.manager = &config.Manager{
		Table:   s.table,
		Objects: object.New(reach, tableName),
	}
	if err := s.Apply(ctx); err != nil {
		return err
	}
	for i := range hosts {
		if err := s.startHost(ctx, i); err != nil {
			return err
		}
	}
	return s.waitReady(ctx)
}

func (s *Site) startInstances() error {
	for d := range s.Spec.Databases {
		for i := range s.Spec.Databases[d].Instances {
			in := &s.Spec.Databases[d].Instances[i]
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			in.Address = l.Addr().String()
			one := dbase.New(dbcfg.Config{
				Name:         in.Name,
				Slots:        in.Slots,
				Connections:  in.Connections,
				ConnectDelay: noDelay,
			})
			s.instances[in.Address] = one
			s.group.Go(func() { _ = one.Serve(l) })
		}
	}
	return nil
}

// Apply makes Spec the next configuration.
func (s *Site) Apply(ctx context.Context) error {
	body, err := yaml.Marshal(s.Spec)
	if err != nil {
		return err
	}
	_, err = s.manager.Apply(ctx, body, 0, uuid.NewString(), "slopes")
	return err
}

// ready waits until every database answers a write.
func (s *Site) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range s.Spec.Databases {
		for {
			err := s.writeOnce(ctx, s.Spec.Databases[i].Name)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("the installation was not ready: %w", err)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

func (s *Site) writeOnce(ctx context.Context, database string) error {
	c, err := s.Connect(ctx, 0, database)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	_, err = c.Exec(ctx, "/* wasabislip.route=settle */ SELECT put('ready','1')").ReadAll()
	return err
}

// Connect opens a caller's connection to the host of that index.
func (s *Site) Connect(ctx context.Context, host int, database string) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, "postgres://"+workspace+":"+secret+"@"+s.hosts[host].callerAddress+"/"+database+"?sslmode=disable")
}

// Direct opens a connection to the primary of the database of that index.
func (s *Site) Direct(ctx context.Context, database int) (*pgconn.PgConn, error) {
	for _, in := range s.Spec.Databases[database].Instances {
		if s.instances[in.Address].IsPrimary() {
			return pgconn.Connect(ctx, "postgres://any@"+in.Address+"/any?sslmode=disable")
		}
	}
	return nil, errors.New("the database has no primary; wait until it has one")
}

// Steward returns the index of the host that serves the database of that
// index, by the term row.
func (s *Site) Steward(ctx context.Context, database int) (int, error) {
	name := s.Spec.Databases[database].Name
	row, err := s.table.Get(ctx, term.Class, name)
	if err != nil {
		return 0, err
	}
	t, err := term.Parse(name, row.Body)
	if err != nil {
		return 0, err
	}
	n, err := strconv.Atoi(strings.TrimPrefix(t.Coordinator, hostPrefix))
	return n - 1, err
}

// Close ends everything that was started.
func (s *Site) Close() {
	for _, m := range s.hosts {
		m.kill()
	}
	for _, in := range s.instances {
		in.Close()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	s.cancel()
	s.group.Wait()
	_ = os.RemoveAll(s.dir)
}

func (s *Site) file(host int, suffix string) string {
	return filepath.Join(s.dir, hostPrefix+strconv.Itoa(host)+suffix)
}
