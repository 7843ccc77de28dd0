// Package drive runs a user's installation in memory and drives load at it.
package drive

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
	callerCentre    = "callers"
	tableName       = "wasabislip"
	// rateParts is how many homes a workspace's rate has.
	rateParts = 3
	// withinCentre is the latency inside a data centre, one way.
	withinCentre = 100 * time.Microsecond
	readyWithin  = 15 * time.Second
	readyPause   = 50 * time.Millisecond
	askTimeout   = 8 * time.Second
	// cleanUp lets the PostgreSQL client close broken connections.
	cleanUp = time.Minute
)

// Drive is a running installation.
type Drive struct {
	*inproc.Cluster
	// User is whose installation it is.
	User *user.User
	// Network joins all.
	Network *memnet.Network

	ctx context.Context //nolint:containedctx // ends with the run
}

// New runs u's installation until every database takes writes. Adjust may
// change the stage before its start.
func New(ctx context.Context, u *user.User, adjust func(*inproc.Cluster)) (*Drive, error) {
	d := prepare(ctx, u)
	if adjust != nil {
		adjust(d.Cluster)
	}
	if err := d.Start(ctx); err != nil {
		return nil, err
	}
	return d, d.ready()
}

// Instances runs u's database instances without hosts.
func Instances(ctx context.Context, u *user.User) (*Drive, error) {
	d := prepare(ctx, u)
	d.Hosts = nil
	return d, d.Start(ctx)
}

func prepare(ctx context.Context, u *user.User) *Drive {
	d := &Drive{
		User:    u,
		Network: memnet.New(u.Between),
		ctx:     ctx,
	}
	d.Cluster = &inproc.Cluster{
		Network:         d.Network,
		PlatformAddress: platformAddress,
		Spec:            u.Spec,
		Hosts:           u.Hosts,
	}
	d.place()
	return d
}

// place puts all machines into their data centres.
func (d *Drive) place() {
	d.Network.SetDataCentre(callerIP, callerCentre)
	for _, c := range d.User.Spec.DataCentres {
		d.Network.SetDelay(callerCentre, c.Name, d.User.Client)
		d.Network.SetDelay(c.Name, c.Name, withinCentre)
	}
	for _, h := range d.User.Hosts {
		d.Network.SetDataCentre(h.Address, h.DataCentre)
	}
	for i := range d.User.Spec.Databases {
		for _, in := range d.User.Spec.Databases[i].Instances {
			d.Network.SetDataCentre(IP(in.Address), in.DataCentre)
		}
	}
}

// ready waits until every database takes writes by way of every host: a host
// whose configuration comes later than the first one's still refuses callers.
func (d *Drive) ready() error {
	end := time.Now().Add(readyWithin)
	for h := range d.User.Hosts {
		for i := range d.User.Spec.Databases {
			if err := d.await(h, i, end); err != nil {
				return err
			}
		}
	}
	return nil
}

// await repeats a write by way of the host at index h to the database at index
// b until it succeeds.
func (d *Drive) await(h, b int, end time.Time) error {
	for {
		_, err := d.Once(h, b, d.User.Spec.DefaultRoute, "SELECT put('ready','1')")
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no write within %s by way of host %s: %w", readyWithin, d.User.Hosts[h].Name, err)
		}
		time.Sleep(readyPause)
	}
}

// Stop ends everything.
func (d *Drive) Stop() {
	d.Close()
	time.Sleep(cleanUp)
}

// SetWork sets how long each statement holds its slot at an instance.
func (d *Drive) SetWork(work time.Duration) error {
	for i := range d.User.Spec.Databases {
		for _, in := range d.User.Spec.Databases[i].Instances {
			if _, err := d.Instance(in.Address).Control(d.ctx, "ledger_fault", []string{inject.StatementDelay, work.String()}, 0); err != nil {
				return err
			}
		}
	}
	return nil
}

// Connect opens a caller's connection to the host at index h and the database
// at index b.
func (d *Drive) Connect(ctx context.Context, h, b int, workspace, way string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://" + workspace + ":" + user.Secret(workspace) + "@" + d.CallerAddress(d.User.Hosts[h]) + "/" + d.User.Spec.Databases[b].Name + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = d.Network.Dialer(callerIP)
	cfg.LookupFunc = func(_ context.Context, name string) ([]string, error) {
		return []string{name}, nil
	}
	cfg.RuntimeParams["wasabislip.route"] = way
	return pgx.ConnectConfig(ctx, cfg)
}

// Once runs one statement of the first workspace on a connection of its own.
func (d *Drive) Once(h, b int, way, statement string) (string, error) {
	ctx, cancel := context.WithTimeout(d.ctx, askTimeout)
	defer cancel()
	conn, err := d.Connect(ctx, h, b, d.User.Spec.Workspaces[0].Name, way)
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	return Ask(ctx, conn, statement)
}

// Primary returns the IP number of the primary of the database at index b, or
// an empty text.
func (d *Drive) Primary(b int) string {
	for _, in := range d.User.Spec.Databases[b].Instances {
		if d.Instance(in.Address).IsPrimary() {
			return IP(in.Address)
		}
	}
	return ""
}

// Steward returns the IP number of the steward of the database at index b, or
// an empty text.
func (d *Drive) Steward(b int) string {
	name := d.User.Spec.Databases[b].Name
	t, err := term.Parse(name, d.row(term.Class, name))
	if err != nil {
		return ""
	}
	return IP(t.Address)
}

// homeRow is the part of a home's row that names its host.
type homeRow struct {
	Host string `json:"host"`
}

// Home returns the IP number of a home of the rate of the workspace at index
// w, other than the first host, or an empty text.
func (d *Drive) Home(w int) string {
	for part := range rateParts {
		var r homeRow
		_ = json.Unmarshal(d.row("home", fmt.Sprintf("%s/%d", d.User.Spec.Workspaces[w].Name, part)), &r)
		for _, h := range d.User.Hosts[1:] {
			if h.Name == r.Host {
				return h.Address
			}
		}
	}
	return ""
}

// row returns a row's body from the platform's table, nil without one.
func (d *Drive) row(class, name string) []byte {
	rows := table.New(access.Access{
		Endpoint: "http://" + platformAddress,
		Client: &http.Client{
			Transport: &http.Transport{
				DialContext:       d.Network.Dialer(callerIP),
				DisableKeepAlives: true,
			},
		},
	}, tableName)
	r, err := rows.Get(d.ctx, class, name)
	if err != nil {
		return nil
	}
	return r.Body
}

// Ask runs a statement in the simple protocol and returns the first column,
// joined by commas.
func Ask(ctx context.Context, conn *pgx.Conn, statement string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
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

// IP returns the IP number of ip:port.
func IP(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}
