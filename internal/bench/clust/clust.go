// Package clust runs the installation of a user in this process, on an in-memory
// network with the user's latencies, and opens callers' connections to its hosts.
package clust

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"wasabislip.example/wasabislip/internal/bench/user"
	"wasabislip.example/wasabislip/internal/models/term"
	"wasabislip.example/wasabislip/internal/modules/access"
	"wasabislip.example/wasabislip/internal/modules/table"
	"wasabislip.example/wasabislip/internal/standin/inject"
	"wasabislip.example/wasabislip/internal/standin/inproc"
	"wasabislip.example/wasabislip/internal/standin/memnet"
)

const (
	platformAddress = "10.0.0.1:80"
	callerIP        = "10.9.0.1"
	// callerCentre is the data centre that callers are in.
	callerCentre = "callers"
	tableName    = "wasabislip"
	// rateParts is the number of parts of a workspace's rate. Each has a home, the
	// host that owns the token bucket of that part.
	rateParts = 3
	// innerLatency is the one-way latency inside a data centre.
	innerLatency = 100 * time.Microsecond
	readyTimeout = 15 * time.Second
	readyPause   = 50 * time.Millisecond
	queryTimeout = 8 * time.Second
	// closeDelay is how long Stop waits after it has closed everything, for the
	// PostgreSQL client to close broken connections.
	closeDelay = time.Minute
)

// Cluster is a running installation of a user.
type Cluster struct {
	*inproc.Cluster
	// User describes the installation.
	User *user.User
	// Network connects callers, hosts, instances and the platform.
	Network *memnet.Network

	ctx context.Context //nolint:containedctx // the context of the whole run
}

// New starts u's installation and waits until every host can write to every
// database. If adjust is not nil, it is called before the start.
func New(ctx context.Context, u *user.User, adjust func(*inproc.Cluster)) (*Cluster, error) {
	c := prepare(ctx, u)
	if adjust != nil {
		adjust(c.Cluster)
	}
	if err := c.Start(ctx); err != nil {
		return nil, err
	}
	return c, c.ready()
}

// NewWithoutHosts starts u's platform and database instances, but no hosts.
func NewWithoutHosts(ctx context.Context, u *user.User) (*Cluster, error) {
	c := prepare(ctx, u)
	c.Hosts = nil
	return c, c.Start(ctx)
}

// prepare returns the cluster of u before its start.
func prepare(ctx context.Context, u *user.User) *Cluster {
	c := &Cluster{
		User:    u,
		Network: memnet.New(u.CentreLatency),
		ctx:     ctx,
	}
	c.Cluster = &inproc.Cluster{
		Network:         c.Network,
		PlatformAddress: platformAddress,
		Spec:            u.Spec,
		Hosts:           u.Hosts,
	}
	c.setLatencies()
	return c
}

// setLatencies assigns all machines to their data centres and sets the latencies
// inside a data centre and to callers.
func (c *Cluster) setLatencies() {
	c.Network.SetDataCentre(callerIP, callerCentre)
	for _, centre := range c.User.Spec.DataCentres {
		c.Network.SetDelay(callerCentre, centre.Name, c.User.CallerLatency)
		c.Network.SetDelay(centre.Name, centre.Name, innerLatency)
	}
	for _, h := range c.User.Hosts {
		c.Network.SetDataCentre(h.Address, h.DataCentre)
	}
	for i := range c.User.Spec.Databases {
		for _, in := range c.User.Spec.Databases[i].Instances {
			c.Network.SetDataCentre(IP(in.Address), in.DataCentre)
		}
	}
}

// ready waits until a write to every database succeeds through every host. One
// host is not enough: a host that has not received the configuration yet refuses
// callers.
func (c *Cluster) ready() error {
	end := time.Now().Add(readyTimeout)
	for h := range c.User.Hosts {
		for i := range c.User.Spec.Databases {
			if err := c.waitWritable(h, i, end); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitWritable repeats a write through the host at index h to the database at
// index b until it succeeds or end has passed.
func (c *Cluster) waitWritable(h, b int, end time.Time) error {
	for {
		_, err := c.QueryOnce(h, b, c.User.Spec.DefaultRoute, "SELECT put('ready','1')")
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no write succeeded within %s through host %s: %w", readyTimeout, c.User.Hosts[h].Name, err)
		}
		time.Sleep(readyPause)
	}
}

// Stop stops everything.
func (c *Cluster) Stop() {
	c.Close()
	time.Sleep(closeDelay)
}

// SetStatementTime sets how long each statement holds a slot of an instance.
func (c *Cluster) SetStatementTime(statementTime time.Duration) error {
	for i := range c.User.Spec.Databases {
		for _, in := range c.User.Spec.Databases[i].Instances {
			if _, err := c.Instance(in.Address).Control(c.ctx, "ledger_fault", []string{inject.StatementDelay, statementTime.String()}, 0); err != nil {
				return err
			}
		}
	}
	return nil
}

// Connect opens a caller's connection through the host at index h to the
// database at index b. The connection uses the given route.
func (c *Cluster) Connect(ctx context.Context, h, b int, workspace, route string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + workspace + ":" + user.Secret(workspace) + "@" + c.CallerAddress(c.User.Hosts[h]) + "/" + c.User.Spec.Databases[b].Name + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = c.Network.Dialer(callerIP)
	cfg.LookupFunc = func(_ context.Context, name string) ([]string, error) {
		return []string{name}, nil
	}
	cfg.RuntimeParams["wasabislip.route"] = route
	return pgx.ConnectConfig(ctx, cfg)
}

// QueryOnce runs one statement of the first workspace on a connection of its own.
func (c *Cluster) QueryOnce(h, b int, route, statement string) (string, error) {
	ctx, cancel := context.WithTimeout(c.ctx, queryTimeout)
	defer cancel()
	conn, err := c.Connect(ctx, h, b, c.User.Spec.Workspaces[0].Name, route)
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	return Query(ctx, conn, statement)
}

// PrimaryIP returns the IP address of the primary of the database at index b, or
// an empty string if there is none.
func (c *Cluster) PrimaryIP(b int) string {
	for _, in := range c.User.Spec.Databases[b].Instances {
		if c.Instance(in.Address).IsPrimary() {
			return IP(in.Address)
		}
	}
	return ""
}

// CoordinatorIP returns the IP address of the coordinator of the database at
// index b, or an empty string if there is none. The coordinator (steward on the
// wire) is the host that holds the database's term and orders its statements.
func (c *Cluster) CoordinatorIP(b int) string {
	name := c.User.Spec.Databases[b].Name
	t, err := term.Parse(name, c.row(term.Class, name))
	if err != nil {
		return ""
	}
	return IP(t.Address)
}

// homeRow holds the field of a home's stored row that names its host.
type homeRow struct {
	Host string `json:"host"`
}

// HomeIP returns the IP address of a host, other than the first one, that is a
// home of the rate of the workspace at index w, or an empty string if there is
// none.
func (c *Cluster) HomeIP(w int) string {
	for part := range rateParts {
		var r homeRow
		_ = json.Unmarshal(c.row("home", fmt.Sprintf("%s/%d", c.User.Spec.Workspaces[w].Name, part)), &r)
		for _, h := range c.User.Hosts[1:] {
			if h.Name == r.Host {
				return h.Address
			}
		}
	}
	return ""
}

// row returns the body of a row of the platform's table, or nil if the row can't
// be read.
func (c *Cluster) row(class, name string) []byte {
	tbl := table.New(access.Access{
		Endpoint: "http://" + platformAddress,
		Client: &http.Client{
			Transport: &http.Transport{
				DialContext:       c.Network.Dialer(callerIP),
				DisableKeepAlives: true,
			},
		},
	}, tableName)
	r, err := tbl.Get(c.ctx, class, name)
	if err != nil {
		return nil
	}
	return r.Body
}

// Query runs a statement with the simple query protocol and returns the values
// of its first column, joined by commas.
func Query(ctx context.Context, conn *pgx.Conn, statement string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	results, err := conn.PgConn().Exec(ctx, statement).ReadAll()
	if err != nil {
		return "", err
	}
	var values []string
	for _, row := range results[0].Rows {
		values = append(values, string(row[0]))
	}
	return strings.Join(values, ","), nil
}

// IP returns the IP address of an address of the form ip:port.
func IP(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}
