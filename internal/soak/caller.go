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
	// answerTimeout is how long a caller waits for an answer. It covers the
	// routes' timeout and the longest pause of a host.
	answerTimeout = 6 * time.Second
	// thinkTime is the pause between two statements of a session.
	thinkTime = 30 * time.Millisecond
	// timeOfDay is the format of times in the output.
	timeOfDay = "15:04:05.000"
)

// runSession is one caller that writes a counter and reads it back until ctx is
// done. When its connection fails, it goes on at another host, as behind a load
// balancer.
func (s *Soak) runSession(ctx context.Context, n int) {
	item := fmt.Sprintf("item-%d", n)
	database := []string{"strict", "own"}[n%2]
	workspace := []string{"one", "two"}[n/2%2]
	for count := 0; ctx.Err() == nil; {
		host := s.hosts[(n+count)%len(s.hosts)]
		c, err := dial(host.callerAddress, database, "key-"+workspace)
		if err != nil {
			sleep(ctx, 10*thinkTime)
			count++
			continue
		}
		c.Acknowledged = s.group.Acknowledge
		acknowledged := 0
		zone := strconv.Itoa(n)
		if a := c.Do("SET zone " + zone); !a.OK() {
			c.Close()
			continue
		}
		for ctx.Err() == nil {
			count++
			if !s.writeAndRead(c, database, workspace, zone, item, count, &acknowledged) {
				break
			}
			sleep(ctx, thinkTime)
		}
		c.Close()
	}
}

// writeAndRead writes once and reads once. It returns false when the connection
// is lost.
func (s *Soak) writeAndRead(c *simcli.Client, database, workspace, zone, item string, count int, acknowledged *int) bool {
	data := noteFor(count)
	a := c.Do("WRITE " + item + " " + data)
	code := a.Code
	if a.Lost {
		code = "lost"
	}
	s.checker.recordWrite(item, data, a.ID, code, a.GuaranteesNoEffect(), workspace, zone)
	if a.Lost {
		return false
	}
	if a.OK() {
		*acknowledged = count
		s.checker.checkSignature("write", a.ID, a.Signature)
	}
	committedBefore, termBefore := s.group.CommittedValue(item)
	r := c.Do("READ " + item)
	s.checker.recordText(r.ID, "READ "+item)
	committedAfter, termAfter := s.group.CommittedValue(item)
	if r.OK() {
		s.checker.checkSignature("read", r.ID, r.Signature)
		s.checker.checkRows(s.group, r.ID, r.Rows)
	}
	if r.OK() && termAfter == termBefore {
		s.checker.checkRead(database+" statement "+r.ID, item, r.Row(), committedBefore, committedAfter, *acknowledged)
	}
	return !r.Lost
}

// noteFor returns what the write with this number writes: the number and, in most of
// them, further lines, one in the form of a message. A line feed or a carriage return
// alone does not end a message.
func noteFor(count int) string {
	return strconv.Itoa(count) + []string{"", "\nsecond line", "\r", "\nQUERY forged-" + strconv.Itoa(count) + " WRITE forged 1", "\n"}[count%5]
}

// countOf returns the number of the write that wrote data.
func countOf(data string) int {
	digits, _, _ := strings.Cut(strings.ReplaceAll(data, "\r", "\n"), "\n")
	count, _ := strconv.Atoi(digits)
	return count
}

var errRefused = errors.New("the host refused the session")

// dial opens a session at a host.
func dial(address, database, key string) (*simcli.Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	client, a := simcli.Open(conn, database, key, answerTimeout)
	if !a.OK() {
		client.Close()
		return nil, errRefused
	}
	return client, nil
}

// checker records what callers were told and compares it with what the
// instances ran. It is safe for concurrent use.
type checker struct {
	mu       sync.Mutex
	problems []string
	counts   map[string]int
	// withoutEffect holds the writes, as item=value, whose error code rules out
	// any effect.
	withoutEffect map[string]bool
	// expected is the workspace and the zone of each statement, by its ID.
	expected map[string][2]string
	// texts are the texts of the statements that callers sent, by their IDs.
	texts map[string]string
}

func newChecker() *checker {
	return &checker{
		counts:        map[string]int{},
		withoutEffect: map[string]bool{},
		expected:      map[string][2]string{},
		texts:         map[string]string{},
	}
}

func (k *checker) addProblem(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.problems = append(k.problems, fmt.Sprintf(format, args...))
}

// Kinds of problems that the summary counts: answers that a caller was given although they
// belong to other statements, and statements that ran although no caller sent them so.
const (
	otherAnswers      = "answers of other statements"
	changedStatements = "statements that no caller sent"
)

func (k *checker) count(kind string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[kind]++
}

// recordWrite records the answer to a write; code is the error code, or lost when
// no answer came.
func (k *checker) recordWrite(item, data, id, code string, guaranteesNoEffect bool, workspace, zone string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts["write "+code]++
	k.expected[id] = [2]string{workspace, zone}
	k.texts[id] = "WRITE " + item + " " + data
	if guaranteesNoEffect {
		k.withoutEffect[item+"="+data] = true
	}
}

// checkRead checks that a read is no older than what was acknowledged to the
// session and was committed both before and after the read. Each item has one
// writer, so on the primary's route this holds for every caller.
func (k *checker) checkRead(statement, item, row, committedBefore, committedAfter string, acknowledged int) {
	k.mu.Lock()
	k.counts["read"]++
	k.mu.Unlock()
	got, before, after := countOf(row), countOf(committedBefore), countOf(committedAfter)
	need := min(acknowledged, before, after)
	if got < need {
		k.addProblem("%s at %s, read %s: got %d, but %d was acknowledged and is committed", statement, time.Now().UTC().Format(timeOfDay), item, got, need)
	}
}

// recordText records the text that a caller sent under an id.
func (k *checker) recordText(id, text string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.texts[id] = text
}

// checkRows checks that a read returned the rows that an instance sent in answer to it.
func (k *checker) checkRows(g *linedb.Group, id string, rows []string) {
	if !g.HasSent(id, rows) {
		k.count(otherAnswers)
		k.addProblem("read %s was given the rows %q, which no instance sent in answer to it", id, rows)
	}
}

// checkSignature checks that an answer is that to its statement, and not to another
// one on the same connection.
func (k *checker) checkSignature(kind, id, signature string) {
	if signature != "sig-"+id {
		k.count(otherAnswers)
		k.addProblem("%s %s was given the answer %q", kind, id, signature)
	}
}

// checkExecutions checks that no write was committed twice or against its error
// code, and that each statement ran with its caller's workspace and zone.
func (k *checker) checkExecutions(g *linedb.Group) {
	for value, n := range g.CountCommitted() {
		if n > 1 {
			k.addProblem("%s was committed %d times", value, n)
		}
		if k.withoutEffect[value] {
			k.addProblem("%s was committed, although its error code ruled out any effect", value)
		}
	}
	for _, r := range g.Executions() {
		if text, ok := k.texts[r.ID]; !ok || text != r.Text {
			k.count(changedStatements)
			k.addProblem("%s ran statement %s as %q, but callers sent %q", r.Instance, r.ID, r.Text, text)
		}
		want, ok := k.expected[r.ID]
		if !ok {
			continue
		}
		if r.Workspace != want[0] || r.SessionValues["zone"] != want[1] {
			k.addProblem("statement %s ran for %s with %v, not for %s with zone %s", r.ID, r.Workspace, r.SessionValues, want[0], want[1])
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
