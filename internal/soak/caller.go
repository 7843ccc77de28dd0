package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wasabislip.example/wasabislip/internal/standin/mimic"
)

const (
	// answerLimit is how long a caller waits for an answer: the routes' timeout
	// and a paused host.
	answerLimit = 6 * time.Second
	// thinkTime is the pause between two statements of a session.
	thinkTime = 30 * time.Millisecond
)

// session is one caller that writes a counter and reads it, again and again.
// Its host may be replaced by another at any time, as by a balancer.
func (s *Soak) session(ctx context.Context, n int) {
	item := fmt.Sprintf("item-%d", n)
	database := []string{"strict", "own"}[n%2]
	workspace := []string{"one", "two"}[n/2%2]
	for count := 0; ctx.Err() == nil; {
		host := s.hosts[(n+count)%len(s.hosts)]
		c, err := dial(host.callers, database, "key-"+workspace)
		if err != nil {
			wait(ctx, 10*thinkTime)
			count++
			continue
		}
		acknowledged := 0
		zone := strconv.Itoa(n)
		if a := c.do("SET zone " + zone); a.code != "" {
			c.close()
			continue
		}
		for ctx.Err() == nil {
			count++
			if !s.turn(c, database, workspace, zone, item, count, &acknowledged) {
				break
			}
			wait(ctx, thinkTime)
		}
		c.close()
	}
}

// turn writes once and reads once; false when the session is over.
func (s *Soak) turn(c *caller, database, workspace, zone, item string, count int, acknowledged *int) bool {
	a := c.do(fmt.Sprintf("WRITE %s %d", item, count))
	s.check.write(item, count, a, workspace, zone)
	if a.lost {
		return false
	}
	if a.code == "" {
		*acknowledged = count
	}
	truth, before := s.group.Truth(item)
	r := c.do("READ " + item)
	if r.lost {
		return false
	}
	after, term := s.group.Truth(item)
	if r.code == "" && term == before {
		s.check.read(database, item, r, truth, after, *acknowledged)
	}
	return true
}

// caller is one connection to a host.
type caller struct {
	net net.Conn
	r   *bufio.Reader
	id  int64
	n   int
}

// sessions numbers the connections, so that no two statements share an id.
var sessions atomic.Int64

// answer is what a caller got.
type answer struct {
	id   string
	code string
	row  string
	lost bool
}

var errRefused = errors.New("the host refused the session")

func dial(address, database, key string) (*caller, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	x := &caller{
		id:  sessions.Add(1),
		net: c,
		r:   bufio.NewReader(c),
	}
	_, _ = fmt.Fprintf(c, "STARTUP %s %s\r\n", database, key) // a failure shows at the read
	if a := x.read(""); a.lost || a.code != "" {
		return nil, errors.Join(errRefused, c.Close())
	}
	return x, nil
}

func (c *caller) close() {
	_ = c.net.Close()
}

func (c *caller) do(text string) answer {
	c.n++
	id := fmt.Sprintf("c%d-%d", c.id, c.n)
	_, _ = fmt.Fprintf(c.net, "QUERY %s %s\r\n", id, text) // a failure shows at the read
	return c.read(id)
}

func (c *caller) read(id string) answer {
	a := answer{
		id: id,
	}
	_ = c.net.SetReadDeadline(time.Now().Add(answerLimit)) // a failure shows at the read
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			a.lost = true
			return a
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.row = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return a
		}
	}
}

// checker keeps the promises' account. It is safe for concurrent use.
type checker struct {
	mu       sync.Mutex
	problems []string
	counts   map[string]int
	promised map[string]bool // writes that were answered as not kept
	expected map[string][2]string
}

func newChecker() *checker {
	return &checker{
		counts:   map[string]int{},
		promised: map[string]bool{},
		expected: map[string][2]string{},
	}
}

func (k *checker) broken(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.problems = append(k.problems, fmt.Sprintf(format, args...))
}

// promises are the answers that say that nothing is kept.
var promises = map[string]bool{
	"BUSY":     true,
	"ABORTED":  true,
	"LAGGING":  true,
	"READONLY": true,
}

func (k *checker) write(item string, count int, a answer, workspace, zone string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	code := a.code
	if a.lost {
		code = "lost"
	}
	k.counts["write "+code]++
	k.expected[a.id] = [2]string{workspace, zone}
	if promises[a.code] {
		k.promised[fmt.Sprintf("%s=%d", item, count)] = true
	}
}

// read checks that a read saw what was acknowledged to the session, or on the
// primary's route to anybody, and still stands in the log.
func (k *checker) read(database, item string, a answer, truth, after string, acknowledged int) {
	k.mu.Lock()
	k.counts["read "+a.code]++
	k.mu.Unlock()
	got, _ := strconv.Atoi(a.row)
	standing, _ := strconv.Atoi(truth)
	later, _ := strconv.Atoi(after)
	need := min(acknowledged, standing, later)
	if got < need {
		k.broken("%s read %s: got %d, %d was acknowledged and stands", database, item, got, need)
	}
}

// finish checks what the instances ran.
func (k *checker) finish(g *mimic.Group) {
	for value, n := range g.Committed() {
		if n > 1 {
			k.broken("%s was committed %d times", value, n)
		}
		if k.promised[value] {
			k.broken("%s was committed after a promise that it is not kept", value)
		}
	}
	for _, r := range g.Runs() {
		want, ok := k.expected[r.ID]
		if !ok {
			continue
		}
		if r.Workspace != want[0] || r.Values["zone"] != want[1] {
			k.broken("statement %s ran for %s with %v, not for %s with zone %s", r.ID, r.Workspace, r.Values, want[0], want[1])
		}
	}
}

func (k *checker) summary() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return fmt.Sprint(k.counts)
}

func (k *checker) err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(k.problems[:min(len(k.problems), 20)], "; "))
}
