// Package clust runs a cluster for measurements. The platform and the database
// instances are in-memory stand-ins in this process. Hosts are processes of
// their own.
package clust

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
	tableName         = "wasabislip"
	readHeaderTimeout = 5 * time.Second
	readyTimeout      = 30 * time.Second
	readyPause        = 100 * time.Millisecond
	noDelay           = -1
	hostPrefix        = "host-"
)

// clusterCount is the number of clusters that this process has started.
var clusterCount atomic.Int64

// Cluster is a running cluster; see New.
type Cluster struct {
	// Operations counts the platform's operations.
	Operations *calls.Counter
	// Spec is the configuration in force.
	Spec *spec.Spec

	number    int
	program   string
	dir       string
	platform  string
	server    *http.Server
	table     *table.Table
	manager   *config.Manager
	cancel    context.CancelFunc
	instances map[string]*dbase.Instance
	hosts     []*hostProcess
	group     conc.WaitGroup
}

// New starts the platform and the given number of databases, applies a
// configuration for them, and starts the hosts as processes of program. It
// returns when every database accepts writes.
func New(ctx context.Context, program string, hosts, databases int) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{
		Operations: &calls.Counter{
			Next: cloud.New(),
		},
		number:    int(clusterCount.Add(1)),
		program:   program,
		cancel:    cancel,
		instances: map[string]*dbase.Instance{},
	}
	err := c.start(ctx, hosts, databases)
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, hosts, databases int) error {
	var err error
	if c.dir, err = os.MkdirTemp("", "slopes-"); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.platform = "http://" + l.Addr().String()
	c.server = &http.Server{
		Handler:           c.Operations,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	c.group.Go(func() { _ = c.server.Serve(l) })
	c.Spec = NewSpec(databases)
	if err := c.startInstances(); err != nil {
		return err
	}
	endpoint := access.Access{
		Endpoint: c.platform,
		Client:   &http.Client{},
	}
	c.table = table.New(endpoint, tableName)
	c.manager = &config.Manager{
		Table:   c.table,
		Objects: object.New(endpoint, tableName),
	}
	if err := c.Apply(ctx); err != nil {
		return err
	}
	for i := range hosts {
		if err := c.startHost(ctx, i); err != nil {
			return err
		}
	}
	return c.waitReady(ctx)
}

// startInstances starts every instance on a free port and writes its address
// into Spec.
func (c *Cluster) startInstances() error {
	for d := range c.Spec.Databases {
		for i := range c.Spec.Databases[d].Instances {
			in := &c.Spec.Databases[d].Instances[i]
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			in.Address = l.Addr().String()
			instance := dbase.New(dbcfg.Config{
				Name:         in.Name,
				Slots:        in.Slots,
				Connections:  in.Connections,
				ConnectDelay: noDelay,
			})
			c.instances[in.Address] = instance
			c.group.Go(func() { _ = instance.Serve(l) })
		}
	}
	return nil
}

// Apply applies Spec as the next configuration.
func (c *Cluster) Apply(ctx context.Context) error {
	body, err := yaml.Marshal(c.Spec)
	if err != nil {
		return err
	}
	_, err = c.manager.Apply(ctx, body, 0, uuid.NewString(), "slopes")
	return err
}

// waitReady waits until every database accepts a write.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range c.Spec.Databases {
		for {
			err := c.writeOnce(ctx, c.Spec.Databases[i].Name)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("the cluster was not ready in time: %w", err)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

func (c *Cluster) writeOnce(ctx context.Context, database string) error {
	conn, err := c.Connect(ctx, 0, database)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "/* wasabislip.route=settle */ SELECT put('ready','1')").ReadAll()
	return err
}

// Connect opens a caller's connection to the host with that index.
func (c *Cluster) Connect(ctx context.Context, host int, database string) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, "postgres://"+workspace+":"+secret+"@"+c.hosts[host].callerAddress+"/"+database+"?sslmode=disable")
}

// ConnectPrimary opens a connection to the primary of the database with that
// index, past the hosts.
func (c *Cluster) ConnectPrimary(ctx context.Context, database int) (*pgconn.PgConn, error) {
	for _, in := range c.Spec.Databases[database].Instances {
		if c.instances[in.Address].IsPrimary() {
			return pgconn.Connect(ctx, "postgres://any@"+in.Address+"/any?sslmode=disable")
		}
	}
	return nil, errors.New("the database has no primary; wait until it has one")
}

// Coordinator returns the index of the host that coordinates the database with
// that index, according to the database's term row.
func (c *Cluster) Coordinator(ctx context.Context, database int) (int, error) {
	name := c.Spec.Databases[database].Name
	row, err := c.table.Get(ctx, term.Class, name)
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

// Close stops everything and removes the files.
func (c *Cluster) Close() {
	for _, h := range c.hosts {
		h.kill()
	}
	for _, in := range c.instances {
		in.Close()
	}
	if c.server != nil {
		_ = c.server.Close()
	}
	c.cancel()
	c.group.Wait()
	_ = os.RemoveAll(c.dir)
}

func (c *Cluster) file(host int, suffix string) string {
	return filepath.Join(c.dir, hostPrefix+strconv.Itoa(host)+suffix)
}
