// Package clust runs the demonstration's cluster in this process: an in-memory
// stand-in for the platform, three instances and three hosts.
package clust

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"wasabislip.example/wasabislip/internal/demo/ports"
	"wasabislip.example/wasabislip/internal/standin/inproc"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	platformAddress = "10.0.0.1:80"
	applyLag        = 5 * time.Millisecond
	opsPort         = "9090"
	// httpTimeout bounds one request to a host's ops port.
	httpTimeout = time.Second
)

// Cluster is the running cluster.
type Cluster struct {
	inner *inproc.Cluster
	ports *ports.PortMap
	web   *http.Client
}

// Start starts the cluster.
func Start(ctx context.Context) (*Cluster, error) {
	portMap := &ports.PortMap{}
	c := &Cluster{
		ports: portMap,
		web: &http.Client{
			Transport: &http.Transport{
				DialContext: portMap.Dialer(""),
			},
			Timeout: httpTimeout,
		},
		inner: &inproc.Cluster{
			Network:         portMap,
			PlatformAddress: platformAddress,
			Spec:            newSpec(),
			Hosts:           hosts(),
			ApplyLag:        applyLag,
		},
	}
	return c, c.inner.Start(ctx)
}

// Close stops the cluster.
func (c *Cluster) Close() {
	c.web.CloseIdleConnections()
	c.inner.Close()
}

// ConnString returns a connection string for a workspace at the first host.
func (c *Cluster) ConnString(workspace string) string {
	return c.connString(workspace, c.inner.Hosts[0])
}

func (c *Cluster) connString(workspace string, h host.Host) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", workspace, Key(workspace), c.ports.Resolve(c.inner.CallerAddress(h)), Database)
}

// Connect opens a connection to a random host that is ready, as a load balancer
// would.
func (c *Cluster) Connect(ctx context.Context, workspace, route, session string) (*pgx.Conn, error) {
	list := c.inner.Hosts
	first := rand.IntN(len(list))
	chosen := list[first]
	for i := range list {
		h := list[(first+i)%len(list)]
		if _, ready := c.get(h, "/readyz"); ready {
			chosen = h
			break
		}
	}
	cfg, err := pgx.ParseConfig(c.connString(workspace, chosen))
	if err != nil {
		return nil, err
	}
	cfg.RuntimeParams["wasabislip.route"] = route
	cfg.RuntimeParams["wasabislip.session"] = session
	return pgx.ConnectConfig(ctx, cfg)
}

// get returns the body of a host's HTTP response, and whether its status is 200.
func (c *Cluster) get(h host.Host, path string) (string, bool) {
	resp, err := c.web.Get("http://" + net.JoinHostPort(h.Address, opsPort) + path)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err == nil && resp.StatusCode == http.StatusOK
}

// ReadCounts returns how many reads ran on replicas, and how many in all,
// according to the hosts' metrics.
func (c *Cluster) ReadCounts() (replica, all float64) {
	for _, h := range c.inner.Hosts {
		text, _ := c.get(h, "/metrics")
		for line := range strings.Lines(text) {
			if !strings.HasPrefix(line, "wasabislip_statements_total{") || !strings.Contains(line, `route_kind="read"`) {
				continue
			}
			fields := strings.Fields(line)
			n, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
			all += n
			if strings.Contains(line, `role="replica"`) {
				replica += n
			}
		}
	}
	return replica, all
}

// KillPrimary stops the primary and returns its index, or -1 if there is no
// primary. The instance loses its data.
func (c *Cluster) KillPrimary() int {
	list := c.inner.Spec.Databases[0].Instances
	for i := range list {
		if instance := c.inner.Instance(list[i].Address); instance.IsPrimary() {
			instance.Close()
			return i
		}
	}
	return -1
}

// RestartInstance starts the instance at index again, without data.
func (c *Cluster) RestartInstance(index int) error {
	return c.inner.StartInstance(c.inner.Spec.Databases[0].Instances[index])
}

// SetDrained takes the data centre at index out of service or back into it. It
// returns the data centre's name.
func (c *Cluster) SetDrained(ctx context.Context, index int, drained bool) (string, error) {
	next := *c.inner.Spec
	next.DataCentres = append(next.DataCentres[:0:0], c.inner.Spec.DataCentres...)
	next.DataCentres[index].Drained = drained
	_, err := c.inner.Apply(ctx, &next)
	return next.DataCentres[index].Name, err
}
