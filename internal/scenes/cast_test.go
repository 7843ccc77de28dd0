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
	// stopTimeout bounds a graceful stop: the product's own hard limit
	// comes first.
	stopTimeout = 40 * time.Second
)

type castKeyType struct{}

// castKey finds a scenario's cast in its environment.
var castKey castKeyType

// actor is one running program.
type actor struct {
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// cast holds a scenario's programs and caller connections.
type cast struct {
	dir    string
	mu     sync.Mutex
	actors map[string]*actor
	conns  map[string]*pgx.Conn
	jobs   map[string]chan error
	cables map[string]*netem.Relay
	loads  map[string]*load
}

func newCast(dir string) *cast {
	return &cast{
		dir:    dir,
		actors: map[string]*actor{},
		conns:  map[string]*pgx.Conn{},
		jobs:   map[string]chan error{},
		cables: map[string]*netem.Relay{},
		loads:  map[string]*load{},
	}
}

// start runs a program and waits for its line "ready ...".
func (c *cast) start(name, program string, args []string) error {
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Dir = c.dir
	logFile, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
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
	a := &actor{
		cmd:    cmd,
		exited: make(chan struct{}),
	}
	c.mu.Lock()
	c.actors[name] = a
	c.mu.Unlock()
	ready := make(chan struct{})
	go watch(a, stdout, logFile, ready)
	select {
	case <-ready:
		return nil
	case <-a.exited:
		return fmt.Errorf("%s ended before it was ready: %w", name, a.err)
	case <-time.After(readyTimeout):
		return fmt.Errorf("%s was not ready within %s", name, readyTimeout)
	}
}

// watch copies a program's output to its log, tells of its ready line and
// waits for its end.
func watch(a *actor, stdout io.Reader, logFile *os.File, ready chan struct{}) {
	defer logFile.Close()
	told := false
	scan := bufio.NewScanner(stdout)
	for scan.Scan() {
		fmt.Fprintln(logFile, scan.Text())
		if !told && strings.HasPrefix(scan.Text(), "ready") {
			told = true
			close(ready)
		}
	}
	a.err = a.cmd.Wait()
	close(a.exited)
}

func (c *cast) actor(name string) (*actor, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.actors[name]
	if a == nil {
		return nil, fmt.Errorf("no program named %s", name)
	}
	return a, nil
}

// signal sends a signal to one program.
func (c *cast) signal(name string, sig syscall.Signal) error {
	a, err := c.actor(name)
	if err != nil {
		return err
	}
	return a.cmd.Process.Signal(sig)
}

// wait waits for a program's end.
func (c *cast) wait(name string) error {
	a, err := c.actor(name)
	if err != nil {
		return err
	}
	select {
	case <-a.exited:
		return a.err
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not end within %s", name, stopTimeout)
	}
}

// conn returns the named caller connection.
func (c *cast) conn(name string) (*pgx.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[name]
	if conn == nil {
		return nil, fmt.Errorf("no connection named %s", name)
	}
	return conn, nil
}

// close ends every connection and program of the scenario.
func (c *cast) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.loads {
		l.stop()
	}
	for _, conn := range c.conns {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = conn.Close(ctx)
		cancel()
	}
	for _, a := range c.actors {
		_ = a.cmd.Process.Signal(syscall.SIGCONT)
		_ = a.cmd.Process.Kill()
		<-a.exited
	}
	for _, line := range c.cables {
		line.Close()
	}
}

// port is below those that the system takes for outgoing connections.
const port = "20700"

// addresses counts the loopback addresses that were given out.
var addresses atomic.Uint32

// freeAddress returns a loopback address on which nothing listens. Each has an
// IP number of its own, so that no other scenario takes it before it is used.
func freeAddress() (string, error) {
	n := addresses.Add(1)
	pid := os.Getpid()
	ip := net.IPv4(127, byte(1+pid%250), byte(n/250+uint32(pid/250%16)*16), byte(1+n%250))
	address := net.JoinHostPort(ip.String(), port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	return address, l.Close()
}
