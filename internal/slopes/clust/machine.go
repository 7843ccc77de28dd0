package clust

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"

	"wasabislip.example/wasabislip/internal/slopes/usage"
)

// hostProcess is the process of one host.
type hostProcess struct {
	cmd           *exec.Cmd
	callerAddress string
	peerAddress   string
	opsAddress    string
}

// Hosts listen in the loopback subnets 127.x.y, where x depends on this process
// and y on the cluster, so that several can run on one machine at a time.
const (
	firstSubnet = 20
	subnetCount = 200
)

const settingsTemplate = `host: host-%d
data-centre: %s
caller-address: %s
peer-address: %s
ops-address: %s
seeds: [%s]
platform: {table-endpoint: "%s", object-endpoint: "%s"}
callers: {plain: true}
peers: {plain: true}
`

// startHost starts a host's process and waits until it prints that it is ready.
// The first host is the seed of the others.
func (c *Cluster) startHost(ctx context.Context, i int) error {
	ip := fmt.Sprintf("127.%d.%d.%d", firstSubnet+os.Getpid()%subnetCount, c.number%subnetCount, i+1)
	h := &hostProcess{
		callerAddress: net.JoinHostPort(ip, "5432"),
		peerAddress:   net.JoinHostPort(ip, "7000"),
		opsAddress:    net.JoinHostPort(ip, "9090"),
	}
	seed := h.peerAddress
	if len(c.hosts) > 0 {
		seed = c.hosts[0].peerAddress
	}
	text := fmt.Sprintf(settingsTemplate, i+1, dataCentres[i%len(dataCentres)], h.callerAddress, h.peerAddress, h.opsAddress, `"`+seed+`"`, c.platform, c.platform)
	if err := os.WriteFile(c.file(i, ".yaml"), []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(c.file(i, ".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.CommandContext(ctx, c.program, "serve", "--settings", c.file(i, ".yaml"))
	h.cmd.Stderr = log
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	c.hosts = append(c.hosts, h)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "ready") {
		text, _ := os.ReadFile(c.file(i, ".log"))
		return errors.New("a host did not start: " + string(text))
	}
	return nil
}

func (h *hostProcess) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	_ = h.cmd.Wait()
}

// Usage returns the resource usage of the host with that index.
func (c *Cluster) Usage(host int) (usage.Usage, error) {
	return usage.Read(c.hosts[host].cmd.Process.Pid)
}

// Usages returns the resource usage of every host.
func (c *Cluster) Usages() ([]usage.Usage, error) {
	var all []usage.Usage
	for i := range c.hosts {
		u, err := c.Usage(i)
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// KillHost kills the host with that index without warning, as a power failure
// would.
func (c *Cluster) KillHost(host int) {
	c.hosts[host].kill()
}

// RateMetrics returns the lines of a host's metrics about its rate limiter, among
// them how many statements it refused, by reason.
func (c *Cluster) RateMetrics(host int) []string {
	resp, err := http.Get("http://" + c.hosts[host].opsAddress + "/metrics")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out []string
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "wasabislip_rate_") && !strings.Contains(lines.Text(), "_bucket") {
			out = append(out, lines.Text())
		}
	}
	return out
}
