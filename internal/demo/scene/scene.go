// Package scene is the installation of the demonstration: the platform's
// stand-in, three instances and three hosts in this process.
package scene

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

	"wasabislip.example/wasabislip/internal/demo/wires"
	"wasabislip.example/wasabislip/internal/standin/stage"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	platformAddress = "10.0.0.1:80"
	applyLag = 5 * time.Millisecond
	opsPort  = "9090"
	// pageTimeout bounds the reading of one page of a host.
	httpTimeout = time.Second
)

// Scene is the running installation.
type Scene struct {
	inner *stage.Stage
	ports *wires.Wires
	web   *http.Client
}

// Start runs the installation.
func Start(ctx context.Context) (*Scene, error) {
	w := &wires.Wires{}
	s := &Scene{
		ports: w,
		web: &http.Client{
			Transport: &http.Transport{
				DialContext: w.Dialer(""),
			},
			Timeout: httpTimeout,
		},
		inner: &stage.Stage{
			Network:  w,
			Platform: platformAddress,
			Spec:     newSpec(),
			Hosts:    hosts(),
			ApplyLag: applyLag,
		},
	}
	return s, s.inner.Start(ctx)
}

// Close ends the installation.
func (s *Scene) Close() {
	s.web.CloseIdleConnections()
	s.inner.Close()
}

// Address returns a connection string for a workspace at the first host.
func (s *Scene) Address(workspace string) string {
	return s.connString(workspace, s.inner.Hosts[0])
}

func (s *Scene) connString(workspace string, h host.Host) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", workspace, Key(workspace), s.ports.Port(s.inner.Callers(h)), Database)
}

// Connect connects a caller's session to a host that is ready, as a balancer would.
func (s *Scene) Connect(ctx context.Context, workspace, route, session string) (*pgx.Conn, error) {
	list := s.inner.Hosts
	first := rand.IntN(len(list))
	chosen := list[first]
	for i := range list {
		h := list[(first+i)%len(list)]
		if _, ready := s.get(h, "/readyz"); ready {
			chosen = h
			break
		}
	}
	cfg, err := pgx.ParseConfig(s.connString(workspace, chosen))
	if err != nil {
		return nil, err
	}
	cfg.RuntimeParams["wasabislip.route"] = route
	cfg.RuntimeParams["wasabislip.session"] = session
	return pgx.ConnectConfig(ctx, cfg)
}

// page returns a page of a host, and whether it was answered with 200.
func (s *Scene) get(h host.Host, path string) (string, bool) {
	resp, err := s.web.Get("http://" + net.JoinHostPort(h.Address, opsPort) + path)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err == nil && resp.StatusCode == http.StatusOK
}

// Reads returns how many reads ran on replicas, and how many in all.
func (s *Scene) Reads() (replica, all float64) {
	for _, h := range s.inner.Hosts {
		text, _ := s.get(h, "/metrics")
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

// Kill ends the primary's process and returns its index, or -1 without one.
func (s *Scene) Kill() int {
	list := s.inner.Spec.Databases[0].Instances
	for i := range list {
		if one := s.inner.Instance(list[i].Address); one.IsPrimary() {
			one.Close()
			return i
		}
	}
	return -1
}

// Revive starts the instance at index again, empty.
func (s *Scene) Revive(index int) error {
	return s.inner.StartInstance(s.inner.Spec.Databases[0].Instances[index])
}

// Drain takes the data centre at index out of service, or back into it.
func (s *Scene) Drain(ctx context.Context, index int, on bool) (string, error) {
	next := *s.inner.Spec
	next.DataCentres = append(next.DataCentres[:0:0], s.inner.Spec.DataCentres...)
	next.DataCentres[index].Drained = on
	_, err := s.inner.Apply(ctx, &next)
	return next.DataCentres[index].Name, err
}
