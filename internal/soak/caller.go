package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/standin/linedb"
	"wasabislip.example/wasabislip/internal/standin/simcli"
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
		if a := c.Do("SET zone " + zone); !a.OK() {
			c.Close()
			continue
		}
		for ctx.Err() == nil {
			count++
			if !s.turn(c, database, workspace, zone, item, count, &acknowledged) {
				break
			}
			wait(ctx, thinkTime)
		}
		c.Close()
	}
}

// turn writes once and reads once; false when the session is over.
func (s *Soak) turn(c *simcli.Client, database, workspace, zone, item string, count int, acknowledged *int) bool {
	a := c.Do(fmt.Sprintf("WRITE %s %d", item, count))
	code := a.Code
	if a.Lost {
		code = "lost"
	}
	s.check.write(item, count, a.ID, code, a.GuaranteesNoEffect(), workspace, zone)
	if a.Lost {
		return false
	}
	if a.OK() {
		*acknowledged = count
	}
	truth, before := s.group.CommittedValue(item)
	r := c.Do("READ " + item)
	after, term := s.group.CommittedValue(item)
	if r.OK() && term == before {
		s.check.read(database, item, r.Row(), truth, after, *acknowledged)
	}
	return !r.Lost
}

var errRefused = errors.New("the host refused the session")

func dial(address, database, key string) (*simcli.Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	p, a := simcli.Open(c, database, key, answerLimit)
	if !a.OK() {
		p.Close()
		return nil, errRefused
	}
	return p, nil
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

// write notes a write's answer; code is the error's word, lost for none.
func (k *checker) write(item string, count int, id, code string, promises bool, workspace, zone string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts["write "+code]++
	k.expected[id] = [2]string{workspace, zone}
	if promises {
		k.promised[fmt.Sprintf("%s=%d", item, count)] = true
	}
}

// read checks that a read saw what was acknowledged to the session, or on the
// primary's route to anybody, and still stands in the log.
func (k *checker) read(database, item, row, truth, after string, acknowledged int) {
	k.mu.Lock()
	k.counts["read"]++
	k.mu.Unlock()
	got, _ := strconv.Atoi(row)
	standing, _ := strconv.Atoi(truth)
	later, _ := strconv.Atoi(after)
	need := min(acknowledged, standing, later)
	if got < need {
		k.broken("%s read %s: got %d, %d was acknowledged and stands", database, item, got, need)
	}
}

// finish checks what the instances ran.
func (k *checker) finish(g *linedb.Group) {
	for value, n := range g.CountCommitted() {
		if n > 1 {
			k.broken("%s was committed %d times", value, n)
		}
		if k.promised[value] {
			k.broken("%s was committed after a promise that it is not kept", value)
		}
	}
	for _, r := range g.Executions() {
		want, ok := k.expected[r.ID]
		if !ok {
			continue
		}
		if r.Workspace != want[0] || r.SessionValues["zone"] != want[1] {
			k.broken("statement %s ran for %s with %v, not for %s with zone %s", r.ID, r.Workspace, r.SessionValues, want[0], want[1])
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
