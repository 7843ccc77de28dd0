package linedb

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/standin/crlf"
)

// startupTime is how long the start of a new connection holds a slot.
const startupTime = 10 * time.Millisecond

// session is one connection to an instance.
type session struct {
	conn      net.Conn
	r         *bufio.Reader
	instance  *instance
	workspace string
	values    map[string]string
	prepared  map[string]string
	tx        *tx
	// writeMu keeps the pieces of two answers apart.
	writeMu sync.Mutex
}

// tx is an open transaction block.
type tx struct {
	number   int
	readOnly bool
	failed   bool
	writes   []commit
}

// Serve accepts connections to an instance until the listener closes. A
// crashed instance closes them at once.
func (g *Group) Serve(id string, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		g.mu.Lock()
		inst := g.instances[id]
		down := inst.down
		g.mu.Unlock()
		if down {
			_ = c.Close()
			continue
		}
		s := &session{
			conn:     c,
			r:        bufio.NewReader(c),
			instance: inst,
			values:   map[string]string{},
			prepared: map[string]string{},
		}
		go s.serve()
	}
}

func (s *session) serve() {
	defer s.conn.Close()
	line, err := s.readLine()
	if err != nil {
		return
	}
	if !s.startup(strings.Fields(line)) {
		return
	}
	defer s.unregister()
	for {
		line, err := s.readLine()
		if err != nil {
			return
		}
		fields := strings.SplitN(line, " ", 3)
		if fields[0] != "QUERY" || len(fields) < 3 {
			return
		}
		s.query(fields[1], fields[2])
	}
}

// readLine reads one message, up to CR LF. A line feed alone is data.
func (s *session) readLine() (string, error) {
	return crlf.Read(s.r)
}

func (s *session) write(format string, args ...any) {
	_, _ = fmt.Fprintf(s.conn, format+"\r\n", args...) // the host may be gone
}

// answer sends a whole answer, as the instance's disturbance says. It is sent once more
// between two other answers.
func (s *session) answer(text string) {
	text += "\r\n"
	d := s.instance.plan(text)
	s.send(d.pieces, d.pause)
	if d.breaksOff {
		_ = s.conn.Close() // the next read ends the session
		return
	}
	for _, after := range d.repeats {
		time.AfterFunc(after, func() {
			s.send([]string{text}, 0)
		})
	}
}

// send writes the pieces of one answer with pauses between them.
func (s *session) send(pieces []string, pause time.Duration) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		_, _ = io.WriteString(s.conn, piece) // the host may be gone
	}
}

// startup checks the fields of the STARTUP line and takes a place among the
// instance's connections.
func (s *session) startup(fields []string) bool {
	g := s.instance.group
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != g.Service || len(fields) > 3 && fields[3] != s.instance.id {
		s.write("ERROR WRONGNODE %s", s.instance.id)
		return false
	}
	g.mu.Lock()
	full := s.instance.connections >= g.Connections
	if !full {
		s.instance.connections++
		s.instance.sessions[s] = struct{}{}
	}
	g.mu.Unlock()
	if full {
		s.write("ERROR CONNLIMIT %s", s.instance.id)
		return false
	}
	s.workspace = fields[2]
	s.occupySlot(startupTime)
	s.write("READY I %s", s.appliedPosition())
	return true
}

// unregister gives the session's place back.
func (s *session) unregister() {
	g := s.instance.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s.instance.connections--
	delete(s.instance.sessions, s)
}

// occupySlot waits for a free slot and holds it for d.
func (s *session) occupySlot(d time.Duration) {
	s.instance.slots <- struct{}{}
	time.Sleep(d)
	<-s.instance.slots
}

// appliedPosition returns the position of the last entry that reads see.
func (s *session) appliedPosition() string {
	g := s.instance.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.instance.position(s.instance.applied)
}

// complete answers a statement with rows, unless the instance loses answers.
// Control statements have the id - and are always answered.
func (s *session) complete(id string, rows ...string) {
	g := s.instance.group
	g.mu.Lock()
	lost := s.instance.loseAnswers && id != "-"
	if id != "-" && len(rows) > 0 {
		g.recordRows(id, rows)
	}
	g.mu.Unlock()
	if lost {
		return
	}
	signature := "-"
	if id != "-" {
		signature = "sig-" + id
	}
	var text strings.Builder
	for _, r := range rows {
		fmt.Fprintf(&text, "DATAROW %s\r\n", r)
	}
	fmt.Fprintf(&text, "COMPLETE %s\r\nREADY %s %s", signature, s.txStatus(), s.appliedPosition())
	s.answer(text.String())
}

// fail answers a statement with an error code. An open transaction block fails.
func (s *session) fail(code string) {
	if s.tx != nil {
		s.tx.failed = true
	}
	s.answer(fmt.Sprintf("ERROR %s %s\r\nREADY %s %s", code, s.instance.id, s.txStatus(), s.appliedPosition()))
}

// txStatus returns I outside of a transaction block, T inside one and E
// inside a failed one.
func (s *session) txStatus() string {
	switch {
	case s.tx == nil:
		return "I"
	case s.tx.failed:
		return "E"
	}
	return "T"
}

// query runs one statement. MINLSN in front of it is the minimum position that
// its reads must see.
func (s *session) query(id, text string) {
	minPosition := ""
	if rest, ok := strings.CutPrefix(text, "MINLSN "); ok {
		minPosition, text, _ = strings.Cut(rest, " ")
	}
	keyword, rest, _ := strings.Cut(text, " ")
	if s.tx != nil && s.tx.failed && keyword != "ROLLBACK" && keyword != "COMMIT" {
		s.fail("MALFORMED")
		return
	}
	switch keyword {
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		s.complete(id)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.complete(id)
	case "PREPARE":
		name, declared, _ := strings.Cut(rest, " ")
		s.prepared[name] = declared
		s.complete(id)
	case "BEGIN":
		s.begin(id, rest, minPosition)
	case "ROLLBACK":
		s.tx = nil
		s.complete(id)
	case "COMMIT":
		s.commit(id, text)
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		s.control(keyword, rest)
	default:
		s.statement(id, text, keyword, rest, minPosition)
	}
}

func (s *session) begin(id, mode, minPosition string) {
	g := s.instance.group
	g.mu.Lock()
	primary := s.instance.primary
	g.mu.Unlock()
	switch {
	case s.isBehind(minPosition):
		s.fail("LAGGING")
	case mode != "READ" && !primary:
		s.fail("READONLY")
	case s.instance.refusesBegin():
		s.fail("BUSY")
	default:
		s.tx = &tx{
			number:   g.nextTransaction(),
			readOnly: mode == "READ",
		}
		s.complete(id)
	}
}

// isBehind reports whether the applied log ends before minPosition.
func (s *session) isBehind(minPosition string) bool {
	if minPosition == "" {
		return false
	}
	term, number, _ := strings.Cut(minPosition, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.Atoi(number)
	g := s.instance.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return t > s.instance.term || n > s.instance.applied
}

func (s *session) commit(id, text string) {
	g := s.instance.group
	if s.tx == nil || s.tx.failed {
		s.tx = nil
		s.fail("ABORTED")
		return
	}
	if s.instance.refuses() {
		s.fail("BUSY")
		return
	}
	s.occupySlot(g.statementTime())
	writes := s.tx.writes
	s.record(id, text, "")
	s.tx = nil
	if !s.commitWrites(id, writes) {
		s.fail("READONLY")
		return
	}
	s.complete(id)
}

// commitWrites appends the writes of the statement id to the primary's log and waits
// for the synchronous replicas. It returns false when the instance is no primary any
// more. When the replicas don't confirm in time, the connection is closed.
func (s *session) commitWrites(id string, writes []commit) bool {
	if len(writes) == 0 {
		return true
	}
	g := s.instance.group
	g.mu.Lock()
	if !s.instance.primary {
		g.mu.Unlock()
		return false
	}
	s.instance.appendLog(id, writes)
	to := len(s.instance.log)
	g.mu.Unlock()
	for limit := time.Now().Add(syncTimeout); time.Now().Before(limit); time.Sleep(replicationTime) {
		enough, gone := s.instance.replicated(to)
		if enough {
			return true
		}
		if gone {
			break
		}
	}
	_ = s.conn.Close() // the outcome of the commit is unknown
	return true
}

// record adds the statement to the group's executions. declared is what the prepared
// name of an EXECUTE stands for.
func (s *session) record(id, text, declared string) {
	g := s.instance.group
	g.mu.Lock()
	defer g.mu.Unlock()
	e := Execution{
		At:            time.Now(),
		ID:            id,
		Text:          text,
		Instance:      s.instance.id,
		Workspace:     s.workspace,
		SessionValues: maps.Clone(s.values),
		Declared:      declared,
	}
	if s.tx != nil {
		e.InTransaction = true
		e.Transaction = s.tx.number
		e.ReadOnly = s.tx.readOnly
	}
	g.executions = append(g.executions, e)
}

// statement runs a read or a write, given directly or as EXECUTE of a prepared
// statement.
func (s *session) statement(id, text, keyword, rest, minPosition string) {
	g := s.instance.group
	kind, args, declared := keyword, rest, ""
	if keyword == "EXECUTE" {
		name, params, _ := strings.Cut(rest, " ")
		var ok bool
		if declared, ok = s.prepared[name]; !ok {
			s.fail("NOSUCHSTMT")
			return
		}
		kind, _, _ = strings.Cut(declared, " ")
		args = params
	}
	item, data, _ := strings.Cut(args, " ")
	g.mu.Lock()
	primary := s.instance.primary
	g.mu.Unlock()
	inReadWriteTx := s.tx != nil && !s.tx.readOnly
	switch {
	case s.isBehind(minPosition):
		s.fail("LAGGING")
		return
	case s.instance.refuses():
		s.fail("BUSY")
		return
	case (kind == "WRITE" || inReadWriteTx) && !primary:
		s.fail("READONLY")
		return
	}
	s.occupySlot(g.statementTime())
	s.record(id, text, declared)
	if kind == "READ" {
		s.complete(id, s.rows(item)...)
		return
	}
	w := commit{
		item: item,
		data: data,
	}
	if s.tx != nil {
		s.tx.writes = append(s.tx.writes, w)
	} else if !s.commitWrites(id, []commit{w}) {
		s.fail("READONLY")
		return
	}
	s.complete(id)
}

// rows returns the rows of a read.
func (s *session) rows(item string) []string {
	g := s.instance.group
	g.mu.Lock()
	n := max(1, g.rowsPerRead)
	g.mu.Unlock()
	return slices.Repeat([]string{s.value(item)}, n)
}

// value returns the value of an item as the session sees it: its own uncommitted
// writes hide what the applied log holds.
func (s *session) value(item string) string {
	g := s.instance.group
	g.mu.Lock()
	defer g.mu.Unlock()
	value := "-"
	for _, c := range s.instance.log[:s.instance.applied] {
		if c.item == item {
			value = c.data
		}
	}
	if s.tx != nil {
		for _, c := range s.tx.writes {
			if c.item == item {
				value = c.data
			}
		}
	}
	return value
}

// control runs STATUS, PAUSE, RESUME and STEPDOWN, and answers with the
// instance's status. PAUSE with a term above the newest stops replication;
// STEPDOWN with a later term ends the primary's role.
func (s *session) control(keyword, rest string) {
	g := s.instance.group
	term, _ := strconv.ParseUint(rest, 10, 64)
	g.mu.Lock()
	inst := s.instance
	if keyword == "STATUS" {
		g.statusQueries++
	}
	if inst.busy {
		g.mu.Unlock()
		s.fail("BUSY")
		return
	}
	switch {
	case keyword == "PAUSE" && term > g.newestTerm() && !inst.primary:
		inst.pausedTerm = term
	case keyword == "RESUME":
		inst.pausedTerm = 0
		g.resync(inst)
	case keyword == "STEPDOWN" && term > inst.term && inst.primary:
		inst.primary = false
		inst.steppedDown = true
	}
	role := "replica"
	if inst.primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d %d %d %d", role, inst.term, inst.position(len(inst.log)), inst.pausedTerm, g.ApplyLag.Milliseconds(), len(inst.slots), inst.connections)
	g.mu.Unlock()
	s.complete("-", row)
}
