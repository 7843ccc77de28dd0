package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wasabislip.example/wasabislip/internal/standin/netem"
)

// process is one host as a process of the operating system. Faults end it and
// start it again.
type process struct {
	soak          *Soak
	name          string
	settingsFile  string
	callerAddress string
	storeRelay    *netem.Relay

	mu          sync.Mutex
	cmd         *exec.Cmd
	endExpected bool // it was killed or asked to stop
	ends        int  // how often that was so
	stopped     bool // it is not started again
	// restarting tells that the process is about to be started again.
	restarting bool
	// problem says why the process ended by itself or could not be started.
	problem string
	running sync.WaitGroup
}

// Ports of a host on its own loopback address. claimPort is held by the soak for as
// long as the address is in use.
const (
	claimPort     = 17559
	firstHostPort = 17560
)

// claimAttempts is how many random loopback addresses are tried.
const claimAttempts = 100

// claimIP returns a loopback address that no other run uses, and the listener that
// holds it. A host can then open its ports again after each restart: outgoing
// connections on this machine take their ports on 127.0.0.1.
func claimIP() (string, net.Listener, error) {
	var last error
	for range claimAttempts {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.N(60), rand.N(256), 1+rand.N(254))
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(claimPort)))
		if err == nil {
			return ip, l, nil
		}
		last = err
	}
	return "", nil, fmt.Errorf("no free loopback address for a host: %w", last)
}

// startHost writes a host's settings and starts it. The host reaches the store
// through a relay of its own.
func (s *Soak) startHost(i int) error {
	storeAddress, err := s.startServer(s.store)
	if err != nil {
		return err
	}
	relay, relayAddress, err := s.startRelay(storeAddress)
	if err != nil {
		return err
	}
	p := &process{
		soak:         s,
		name:         fmt.Sprintf("host-%d", i),
		settingsFile: filepath.Join(s.Dir, fmt.Sprintf("host-%d.yaml", i)),
		storeRelay:   relay,
	}
	var text strings.Builder
	fmt.Fprintf(&text, "host: %s\ndata-centre: %s\nseeds: \"\"\ngrace: 3s\nmemory-mb: 284\nfiles: 4200\n", p.name, centreName(i))
	fmt.Fprintf(&text, "rate-window: 5s\nrate-overage: 0.1\nrate-tolerance: 20\nstore-address: %s\norder-address: %s\n", relayAddress, s.promotionAddress)
	fmt.Fprintf(&text, "report-window: 1s\nusage-delay: 3s\nusage-tolerance: 0.05\nlease-duration: %s\n", leaseDuration)
	ip, claim, err := claimIP()
	if err != nil {
		return err
	}
	s.closers = append(s.closers, func() {
		_ = claim.Close()
	})
	for n, key := range []string{"caller", "ready", "peer", "run", "metrics"} {
		address := net.JoinHostPort(ip, strconv.Itoa(firstHostPort+n))
		fmt.Fprintf(&text, "%s-address: %s\n", key, address)
		if key == "caller" {
			p.callerAddress = address
		}
	}
	if err := os.WriteFile(p.settingsFile, []byte(text.String()), 0o600); err != nil {
		return err
	}
	s.hosts = append(s.hosts, p)
	return p.start()
}

func (p *process) start() error {
	log, err := os.OpenFile(strings.TrimSuffix(p.settingsFile, ".yaml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.soak.Binary, "edge", "--settings", p.settingsFile)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	p.mu.Lock()
	p.cmd = cmd
	p.endExpected = false
	p.mu.Unlock()
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		err := cmd.Wait()
		_ = log.Close() // its lines are in the file
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.endExpected && err != nil {
			p.problem = fmt.Sprintf("%s ended by itself: %v", p.name, err)
		}
		p.cmd = nil
	}()
	return nil
}

// signal sends a signal; ends says that the process is expected to end by it.
func (p *process) signal(sig syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if ends {
		p.endExpected = true
		p.ends++
	}
	_ = p.cmd.Process.Signal(sig) // it may have ended just now
}

// restart waits for the process's end and starts it again after the given time,
// unless the run is over. When two faults end the same process, only the first
// restarts it.
func (p *process) restart(after time.Duration) {
	p.mu.Lock()
	already := p.restarting
	p.restarting = true
	p.mu.Unlock()
	if already {
		return
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.restarting = false
	}()
	p.running.Wait()
	time.Sleep(after)
	p.mu.Lock()
	stopped := p.stopped
	p.mu.Unlock()
	if stopped {
		return
	}
	if err := p.start(); err != nil {
		p.mu.Lock()
		p.problem = err.Error()
		p.mu.Unlock()
	}
}

// stop kills the process, which is not restarted after that.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT, false)
	p.signal(syscall.SIGKILL, true)
	p.running.Wait()
}

// countEnds returns how often the process was killed or asked to stop, and whether it is
// about to end.
func (p *process) countEnds() (n int, ending bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends, p.endExpected
}

func (p *process) failure() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.problem
}
