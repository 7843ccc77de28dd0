package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"wasabislip.example/wasabislip/internal/standin/netem"
)

// process is one host: a process that is started again when it ends.
type process struct {
	soak    *Soak
	name    string
	file    string
	callers string
	store   *netem.Relay

	mu       sync.Mutex
	cmd      *exec.Cmd
	expected bool // an end is expected: it was killed or asked to stop
	ended    bool
	// restarting tells that the process is about to be started again.
	restarting bool
	why        string
	running    sync.WaitGroup
}

func (s *Soak) host(i int) error {
	storeAddress, err := s.serve(s.store)
	if err != nil {
		return err
	}
	c, way, err := s.cable(storeAddress)
	if err != nil {
		return err
	}
	p := &process{
		soak:  s,
		name:  fmt.Sprintf("host-%d", i),
		file:  filepath.Join(s.Dir, fmt.Sprintf("host-%d.yaml", i)),
		store: c,
	}
	var text strings.Builder
	fmt.Fprintf(&text, "host: %s\ndata-centre: %s\nseeds: \"\"\ngrace: 3s\nmemory-mb: 284\nfiles: 4200\n", p.name, centre(i))
	fmt.Fprintf(&text, "rate-window: 5s\nrate-overage: 0.1\nrate-tolerance: 20\nstore-address: %s\norder-address: %s\n", way, s.order)
	for _, key := range []string{"caller", "ready", "peer", "run", "metrics"} {
		l, err := listen()
		if err != nil {
			return err
		}
		fmt.Fprintf(&text, "%s-address: %s\n", key, l.Addr())
		if key == "caller" {
			p.callers = l.Addr().String()
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	if err := os.WriteFile(p.file, []byte(text.String()), 0o600); err != nil {
		return err
	}
	s.hosts = append(s.hosts, p)
	return p.start()
}

func (p *process) start() error {
	log, err := os.OpenFile(strings.TrimSuffix(p.file, ".yaml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.soak.Binary, "edge", "--settings", p.file)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	p.mu.Lock()
	p.cmd = cmd
	p.expected = false
	p.mu.Unlock()
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		err := cmd.Wait()
		_ = log.Close() // its lines are in the file
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.expected && err != nil {
			p.why = fmt.Sprintf("%s ended by itself: %v", p.name, err)
		}
		p.cmd = nil
	}()
	return nil
}

// signal sends a signal; ends tells that the process is expected to end.
func (p *process) signal(sig syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.expected = p.expected || ends
	_ = p.cmd.Process.Signal(sig) // it may have ended just now
}

// restart starts the process again once it has ended, unless the run is over.
// Faults that end one process twice start it once.
func (p *process) restart(after time.Duration) {
	p.mu.Lock()
	again := p.restarting
	p.restarting = true
	p.mu.Unlock()
	if again {
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
	over := p.ended
	p.mu.Unlock()
	if over {
		return
	}
	if err := p.start(); err != nil {
		p.mu.Lock()
		p.why = err.Error()
		p.mu.Unlock()
	}
}

// finish ends the process for good.
func (p *process) finish() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT, false)
	p.signal(syscall.SIGKILL, true)
	p.running.Wait()
}

func (p *process) failure() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.why
}
