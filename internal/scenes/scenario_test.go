package scenes_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"

	"wasabislip.example/wasabislip/internal/standin/netem"
)

const (
	// readyTimeout bounds a program's start.
	readyTimeout = 20 * time.Second
	// stopTimeout bounds a graceful stop. It is longer than the time after
	// which the product itself gives up on a graceful stop.
	stopTimeout = 40 * time.Second
)

type scenarioKeyType struct{}

// scenarioKey is the key of the scenario in testscript's environment.
var scenarioKey scenarioKeyType

// process is one program that the scenario started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// scenario holds what one script has started: processes, caller connections,
// background jobs, relays and loads, each by its name in the script.
type scenario struct {
	dir       string
	mu        sync.Mutex
	processes map[string]*process
	conns     map[string]*pgx.Conn
	jobs      map[string]chan error
	relays    map[string]*netem.Relay
	loads     map[string]*load
}

func newScenario(dir string) *scenario {
	return &scenario{
		dir:       dir,
		processes: map[string]*process{},
		conns:     map[string]*pgx.Conn{},
		jobs:      map[string]chan error{},
		relays:    map[string]*netem.Relay{},
		loads:     map[string]*load{},
	}
}

// start runs a program and waits until it prints a line that starts with "ready".
func (sc *scenario) start(name, program string, args []string) error {
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Dir = sc.dir
	logFile, err := os.OpenFile(filepath.Join(sc.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stderr = logFile
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{
		cmd:    cmd,
		exited: make(chan struct{}),
	}
	sc.mu.Lock()
	sc.processes[name] = p
	sc.mu.Unlock()
	ready := make(chan struct{})
	go monitor(p, stdout, logFile, ready)
	select {
	case <-ready:
		return nil
	case <-p.exited:
		return fmt.Errorf("%s ended before it was ready: %w", name, p.err)
	case <-time.After(readyTimeout):
		return fmt.Errorf("%s was not ready within %s", name, readyTimeout)
	}
}

// monitor copies a program's output to its log, closes ready at its ready line,
// and waits for its end.
func monitor(p *process, stdout io.Reader, logFile *os.File, ready chan struct{}) {
	defer logFile.Close()
	readySeen := false
	scanner := bufio.NewScanner(stdout)
	for scanner.Scan() {
		fmt.Fprintln(logFile, scanner.Text())
		if !readySeen && strings.HasPrefix(scanner.Text(), "ready") {
			readySeen = true
			close(ready)
		}
	}
	p.err = p.cmd.Wait()
	close(p.exited)
}

func (sc *scenario) process(name string) (*process, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.processes[name]
	if p == nil {
		return nil, fmt.Errorf("no program named %s", name)
	}
	return p, nil
}

// signal sends a signal to one program.
func (sc *scenario) signal(name string, sig syscall.Signal) error {
	p, err := sc.process(name)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(sig)
}

// wait waits for a program's end and returns its error.
func (sc *scenario) wait(name string) error {
	p, err := sc.process(name)
	if err != nil {
		return err
	}
	select {
	case <-p.exited:
		return p.err
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not end within %s", name, stopTimeout)
	}
}

// conn returns the named caller connection.
func (sc *scenario) conn(name string) (*pgx.Conn, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	conn := sc.conns[name]
	if conn == nil {
		return nil, fmt.Errorf("no connection named %s", name)
	}
	return conn, nil
}

// close ends every load, connection, process and relay of the scenario.
func (sc *scenario) close() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, l := range sc.loads {
		l.stop()
	}
	for _, conn := range sc.conns {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = conn.Close(ctx)
		cancel()
	}
	for _, p := range sc.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	for _, relay := range sc.relays {
		relay.Close()
	}
}

// port is below the ephemeral ports, which the system gives to outgoing
// connections.
const port = "20700"

// addressCount counts the loopback addresses that were given out.
var addressCount atomic.Uint32

// freeAddress returns a loopback address on which nothing listens. Each has its own
// IP address, so that no other scenario can take it before it is used.
func freeAddress() (string, error) {
	n := addressCount.Add(1)
	pid := os.Getpid()
	ip := net.IPv4(127, byte(1+pid%250), byte(n/250+uint32(pid/250%16)*16), byte(1+n%250))
	address := net.JoinHostPort(ip.String(), port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	return address, l.Close()
}
