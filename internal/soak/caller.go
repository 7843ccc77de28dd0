package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"wasabislip.example/wasabislip/internal/standin/simcli"
)

const (
	// answerTimeout is how long a caller waits for an answer. It covers the
	// routes' timeout and the longest pause of a host.
	answerTimeout = 6 * time.Second
	// thinkTime is the pause between two steps of a session.
	thinkTime = 30 * time.Millisecond
	// timeOfDay is the format of times in the output.
	timeOfDay = "15:04:05.000"
	// callerStream is the stream of the random numbers of the first caller; the others'
	// follow.
	callerStream = 100
	// maxTransaction is how many statements a transaction has at the most, without its
	// start and its end.
	maxTransaction = 5
)

// caller is one session with a host. It alone writes its two items. One goroutine uses
// it.
type caller struct {
	soak      *Soak
	client    *simcli.Client
	host      *process
	rng       *rand.Rand
	database  string
	workspace string
	item      string
	// count is the number of the last write, over all sessions of the item, and
	// acknowledged that of the newest one of item which the session was told of.
	count        int
	acknowledged int
	// values are the session values, prepared what the prepared names stand for.
	values   map[string]string
	prepared map[string]string
	tx       *transaction
	// hostEnds is how often the host had been made to end when the session began;
	// hostEnded tells that it was still about to.
	hostEnds  int
	hostEnded bool
	// refused tells that the last answer was an error.
	refused bool
}

// runSession plays one caller after the other until ctx is done. When a caller's
// connection ends, the next one goes on at another host, as behind a load balancer.
func (s *Soak) runSession(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(s.Seed, callerStream+uint64(n)))
	count := 0
	for try := n; ctx.Err() == nil; try++ {
		database := []string{"strict", "own"}[n%2]
		workspace := []string{"one", "two"}[n/2%2]
		host := s.hosts[try%len(s.hosts)]
		hostEnds, ending := host.countEnds()
		client, err := dial(host.callerAddress, database, "key-"+workspace)
		if err != nil {
			sleep(ctx, 10*thinkTime)
			continue
		}
		client.Acknowledged = s.group.Acknowledge
		c := &caller{
			soak:      s,
			client:    client,
			host:      host,
			hostEnds:  hostEnds,
			hostEnded: ending,
			rng:       rng,
			database:  database,
			workspace: workspace,
			item:      fmt.Sprintf("item-%d", n),
			count:     count,
			values:    map[string]string{},
			prepared:  map[string]string{},
		}
		c.run(ctx, n)
		client.Close()
		count = c.count
	}
}

// run plays steps until ctx is done or the connection ends.
func (c *caller) run(ctx context.Context, n int) {
	if !c.set("zone", strconv.Itoa(n)) || !c.prepare("s1") || !c.prepare("s2") {
		return
	}
	steps := []func() bool{
		c.writeAndRead,
		c.writeAndRead,
		c.writeAndRead,
		c.executeBoth,
		c.executeBoth,
		func() bool { return c.runTransaction("BEGIN") },
		func() bool { return c.runTransaction("BEGIN") },
		func() bool { return c.runTransaction("BEGIN READ") },
		c.changeState,
	}
	for ctx.Err() == nil && steps[c.rng.IntN(len(steps))]() {
		sleep(ctx, thinkTime)
	}
}

// Each step returns false when the connection has ended.

func (c *caller) writeAndRead() bool {
	return !c.write("WRITE").Lost && !c.read("READ").Lost
}

// executeBoth executes the two prepared statements, one of which reads and one writes.
func (c *caller) executeBoth() bool {
	return !c.execute("s1").Lost && !c.execute("s2").Lost
}

// changeState changes a session value or what a prepared name stands for.
func (c *caller) changeState() bool {
	if c.rng.IntN(2) == 0 {
		return c.set("note", c.nextData())
	}
	a := c.do("DEALLOCATE s2", "")
	if a.OK() {
		delete(c.prepared, "s2")
	}
	return !a.Lost && !c.do("EXECUTE s2 "+c.item+" "+c.nextData(), "").Lost && c.prepare("s2")
}

func (c *caller) set(name, value string) bool {
	a := c.do("SET "+name+" "+value, "")
	if a.OK() {
		c.values[name] = value
	}
	return !a.Lost
}

// prepare prepares a statement of a new shape. Which of the two names reads and which
// writes depends on the session.
func (c *caller) prepare(name string) bool {
	kind := "READ"
	if (name == "s1") == (c.workspace == "one") {
		kind = "WRITE"
	}
	declared := kind + " shape of " + c.item + " " + c.nextData()
	a := c.do("PREPARE "+name+" "+declared, "")
	if a.OK() {
		c.prepared[name] = declared
	}
	return !a.Lost
}

func (c *caller) execute(name string) simcli.Answer {
	if strings.HasPrefix(c.prepared[name], "WRITE ") {
		return c.write("EXECUTE " + name)
	}
	return c.read("EXECUTE " + name)
}

// write writes the session's item, or in a transaction one of its two.
func (c *caller) write(command string) simcli.Answer {
	item := c.item
	if c.tx != nil && c.rng.IntN(2) == 0 {
		item += "-other"
	}
	data := c.nextData()
	a := c.do(command+" "+item+" "+data, item+"="+data)
	if a.OK() && c.tx == nil {
		c.acknowledged = c.count
	}
	return a
}

// read reads the session's item and checks that the row is new enough. A transaction
// sees its own newest write.
func (c *caller) read(command string) simcli.Answer {
	committedBefore, termBefore := c.soak.group.CommittedValue(c.item)
	a := c.do(command+" "+c.item, "")
	committedAfter, termAfter := c.soak.group.CommittedValue(c.item)
	own, wrote := c.tx.newest(c.item)
	switch {
	case !a.OK():
	case wrote:
		c.soak.checker.checkOwnWrite(a.ID, a.Row(), own)
	case termAfter == termBefore:
		c.soak.checker.checkRead(c.database+" statement "+a.ID, c.item, a.Row(), committedBefore, committedAfter, c.acknowledged)
	}
	return a
}

// runTransaction runs a transaction and ends it in one of the possible ways.
func (c *caller) runTransaction(begin string) bool {
	if a := c.do(begin, ""); !a.OK() {
		return !a.Lost
	}
	c.tx = &transaction{
		readOnly: begin == "BEGIN READ",
	}
	defer func() {
		c.tx = nil
	}()
	for range 1 + c.rng.IntN(maxTransaction) {
		a := c.runInTransaction()
		if a.Lost {
			return false
		}
		if a.State != "T" {
			break
		}
	}
	switch c.rng.IntN(12) {
	case 0:
		return false // the connection is closed
	case 1:
		c.leaveBehind("WRITE " + c.item + " " + c.nextData())
		return false
	case 2:
		c.leaveBehind("COMMIT")
		return false
	case 3, 4:
		return !c.do("ROLLBACK", "").Lost
	}
	a := c.do("COMMIT", "")
	if own, wrote := c.tx.newest(c.item); a.OK() && wrote {
		c.acknowledged = countOf(own)
	}
	return !a.Lost
}

// runInTransaction runs one statement of a transaction.
func (c *caller) runInTransaction() simcli.Answer {
	reader, writer := "s1", "s2"
	if strings.HasPrefix(c.prepared["s1"], "WRITE ") {
		reader, writer = writer, reader
	}
	kind := c.rng.IntN(5)
	switch {
	case kind == 0:
		return c.execute(reader)
	case kind == 1 || c.tx.readOnly:
		return c.read("READ")
	case kind == 2:
		return c.execute(writer)
	}
	return c.write("WRITE")
}

// leaveBehind sends a statement whose answer the caller does not wait for.
func (c *caller) leaveBehind(text string) {
	c.soak.checker.record(c.client.Send(text), c.newStatement(text, ""))
}

// newStatement returns the record of a statement that is sent now. write is what it
// writes, as item=data.
func (c *caller) newStatement(text, write string) *statement {
	st := &statement{
		text:      text,
		write:     write,
		workspace: c.workspace,
		values:    maps.Clone(c.values),
		tx:        c.tx,
		code:      "unanswered",
	}
	if rest, ok := strings.CutPrefix(text, "EXECUTE "); ok {
		name, _, _ := strings.Cut(rest, " ")
		st.declared = c.prepared[name]
	}
	return st
}

// do sends a statement, checks its answer and records both.
func (c *caller) do(text, write string) simcli.Answer {
	st := c.newStatement(text, write)
	sentAt := time.Now()
	a := c.client.Do(text)
	st.code = a.Code
	if a.Lost {
		st.code = "lost"
		c.checkLost(a.ID, text, time.Since(sentAt))
	}
	c.refused = !a.OK()
	st.noEffect = a.GuaranteesNoEffect()
	c.soak.checker.record(a.ID, st)
	if a.OK() {
		c.soak.checker.checkAnswer(c.soak.group, st, a)
	}
	return a
}

// checkLost checks that a connection that was lost after this time was not closed by a
// host that nobody asked to end. A host that can't use the primary closes it after a
// refusal, so that the caller goes to another one.
func (c *caller) checkLost(id, text string, after time.Duration) {
	ends, _ := c.host.countEnds()
	if after < answerTimeout && !c.refused && !c.hostEnded && ends == c.hostEnds {
		c.soak.checker.addProblem("%s closed the connection at statement %s (%s)", c.host.name, id, short(text))
	}
}

// nextData returns what the next write writes: its number and, in most of them, bytes
// that a message may hold but that readers may take for its end or cut off.
func (c *caller) nextData() string {
	c.count++
	number := strconv.Itoa(c.count)
	if c.rng.IntN(largeEvery) == 0 {
		return number + largeData
	}
	return []string{
		number,
		number + "\nsecond line",
		number + "\r",
		number + "\nQUERY forged-" + number + " WRITE forged 1",
		number + "\n",
		number + "\n\r",
		number + "\rCOMPLETE sig-forged",
		"  " + number,
		number + "  ",
		number + notUTF8,
	}[c.rng.IntN(10)]
}

// notUTF8 is data that is no valid UTF-8.
const notUTF8 = "\xff\xfe\n\x80"

// largeEvery is which write holds largeData, on average; largeData is some 100 KB.
const largeEvery = 150

var largeData = strings.Repeat("\n0123456789abcde", 100<<10/16)

// countOf returns the number of the write that wrote data.
func countOf(data string) int {
	data = strings.TrimLeft(data, " ")
	end := strings.IndexFunc(data, func(r rune) bool {
		return r < '0' || r > '9'
	})
	if end >= 0 {
		data = data[:end]
	}
	count, _ := strconv.Atoi(data) // "-", for no value, is 0
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

// newest returns the data of the transaction's newest acknowledged write of an item.
func (t *transaction) newest(item string) (data string, wrote bool) {
	if t == nil {
		return "", false
	}
	for _, w := range slices.Backward(t.writes) {
		if data, ok := strings.CutPrefix(w, item+"="); ok {
			return data, true
		}
	}
	return "", false
}
