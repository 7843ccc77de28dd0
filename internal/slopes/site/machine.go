package site

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

// machine is one host's process.
type hostProcess struct {
	cmd *exec.Cmd
	callerAddress string
	peerAddress   string
	opsAddress     string
}

// Loopback networks 127.x.y that hosts listen in: x by this process, y by
// installation.
const (
	firstSubnet = 20
	subnetCount     = 200
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

func (s *Site) startHost(ctx context.Context, i int) error {
	ip := fmt.Sprintf("127.%d.%d.%d", firstSubnet+os.Getpid()%subnetCount, s.number%subnetCount, i+1)
	m := &hostProcess{
		callerAddress: net.JoinHostPort(ip, "5432"),
		peerAddress:   net.JoinHostPort(ip, "7000"),
		opsAddress:     net.JoinHostPort(ip, "9090"),
	}
	seed := m.peerAddress
	if len(s.hosts) > 0 {
		seed = s.hosts[0].peerAddress
	}
	text := fmt.Sprintf(settingsTemplate, i+1, dataCentres[i%len(dataCentres)], m.callerAddress, m.peerAddress, m.opsAddress, `"`+seed+`"`, s.platform, s.platform)
	if err := os.WriteFile(s.file(i, ".yaml"), []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(s.file(i, ".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.cmd = exec.CommandContext(ctx, s.program, "serve", "--settings", s.file(i, ".yaml"))
	m.cmd.Stderr = log
	out, err := m.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	s.hosts = append(s.hosts, m)
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "ready") {
		text, _ := os.ReadFile(s.file(i, ".log"))
		return errors.New("a host did not start: " + string(text))
	}
	return nil
}

func (m *hostProcess) kill() {
	if m.cmd == nil || m.cmd.Process == nil {
		return
	}
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
}

// Usage returns what the host of that index has used.
func (s *Site) Usage(host int) (usage.Usage, error) {
	return usage.Read(s.hosts[host].cmd.Process.Pid)
}

// Usages returns what every host has used.
func (s *Site) Usages() ([]usage.Usage, error) {
	var all []usage.Usage
	for i := range s.hosts {
		u, err := s.Usage(i)
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// Kill ends the host of that index as a power cut does.
func (s *Site) Kill(host int) {
	s.hosts[host].kill()
}

// Refusals returns how often the host's rate refused a statement, by reason.
func (s *Site) Refusals(host int) []string {
	resp, err := http.Get("http://" + s.hosts[host].opsAddress + "/metrics")
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
