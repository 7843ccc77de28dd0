package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a stand-in instance: how long a new connection and a statement take.
const (
	connectTime   = 12 * time.Millisecond
	statementTime = 3 * time.Millisecond
)

// run is a statement that an instance ran.
type run struct {
	instance string
	id       string
	text     string
	// values are the session values on the connection.
	values map[string]string
}

// group is the stand-in of one service: a primary and its replicas, which apply each
// commit at once. It follows PROTOCOL.md: messages end with CR LF, and the last field
// extends to that end. Like PostgreSQL, it undoes the session values that were set in a
// transaction when the transaction is rolled back.
type group struct {
	service string
	record  *record

	mu     sync.Mutex
	data   map[string]string
	number int
	runs   []run
	// fails reports whether an instance fails a client's statement that it ran; nil
	// while none fails.
	fails func(instance, id, text string) bool
}

// instance is one instance of a group.
type instance struct {
	group   *group
	id      string
	primary bool
}

// session is one connection to an instance.
type session struct {
	instance *instance
	conn     net.Conn
	r        *bufio.Reader
	values   map[string]string
	prepared map[string]string
	// before are the session values at the start of the open transaction; nil outside
	// of one.
	before map[string]string
	failed bool
	writes map[string]string
}

// serve accepts connections until the listener is closed.
func (i *instance) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s := &session{
			instance: i,
			conn:     conn,
			r:        bufio.NewReader(conn),
			values:   map[string]string{},
			prepared: map[string]string{},
		}
		go s.serve()
	}
}

// readMessage reads one message up to CR LF.
func readMessage(r *bufio.Reader) (string, error) {
	var message strings.Builder
	for {
		part, err := r.ReadString('\n')
		message.WriteString(part)
		if err != nil {
			return "", err
		}
		if text, ok := strings.CutSuffix(message.String(), "\r\n"); ok {
			return text, nil
		}
	}
}

func (s *session) serve() {
	defer s.conn.Close()
	startup, err := readMessage(s.r)
	if err != nil {
		return
	}
	fields := strings.SplitN(startup, " ", 4)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != s.instance.group.service || len(fields) > 3 && fields[3] != s.instance.id {
		s.send("ERROR WRONGNODE " + s.instance.id)
		return
	}
	time.Sleep(connectTime)
	s.send(s.ready())
	for {
		message, err := readMessage(s.r)
		if err != nil {
			return
		}
		fields := strings.SplitN(message, " ", 3)
		if fields[0] != "QUERY" || len(fields) < 3 {
			return
		}
		s.handle(fields[1], fields[2])
	}
}

func (s *session) send(lines ...string) {
	_, _ = fmt.Fprint(s.conn, strings.Join(lines, "\r\n")+"\r\n") // the host may be gone
}

func (s *session) ready() string {
	g := s.instance.group
	g.mu.Lock()
	defer g.mu.Unlock()
	state := "I"
	if s.before != nil {
		state = "T"
	}
	if s.failed {
		state = "E"
	}
	return fmt.Sprintf("READY %s 1.%d", state, g.number)
}

func (s *session) complete(id string, rows ...string) {
	lines := make([]string, 0, len(rows)+2)
	for _, row := range rows {
		lines = append(lines, "DATAROW "+row)
	}
	signature := "-"
	if id != "-" {
		signature = signatureOf(id)
	}
	s.send(append(lines, "COMPLETE "+signature, s.ready())...)
}

func signatureOf(id string) string {
	return "sig." + id
}

// fail answers with an error. An open transaction fails.
func (s *session) fail(code string) {
	s.failed = s.before != nil
	s.send("ERROR "+code+" "+s.instance.id, s.ready())
}

// rollBack ends the open transaction and undoes what was set in it.
func (s *session) rollBack() {
	if s.before != nil {
		s.values = s.before
	}
	s.endTransaction()
}

func (s *session) endTransaction() {
	s.before = nil
	s.failed = false
	s.writes = nil
}

func (s *session) handle(id, text string) {
	if rest, ok := strings.CutPrefix(text, "MINLSN "); ok {
		_, text, _ = strings.Cut(rest, " ") // nothing lags here
	}
	command, rest, _ := strings.Cut(text, " ")
	if s.failed && command != "ROLLBACK" && command != "COMMIT" {
		s.fail("MALFORMED")
		return
	}
	switch command {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.complete(id)
	case "PREPARE":
		name, declared, _ := strings.Cut(rest, " ")
		s.prepared[name] = declared
		s.complete(id)
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		s.complete(id)
	case "BEGIN":
		if rest != "READ" && !s.instance.primary {
			s.fail("READONLY")
			return
		}
		s.before = maps.Clone(s.values)
		s.writes = map[string]string{}
		s.complete(id)
	case "ROLLBACK":
		s.rollBack()
		s.complete(id)
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		s.status()
	default:
		s.run(id, text, command, rest)
	}
}

func (s *session) status() {
	g := s.instance.group
	role := "replica"
	if s.instance.primary {
		role = "primary"
	}
	g.mu.Lock()
	row := fmt.Sprintf("%s 1 1.%d 0 0 0 1", role, g.number)
	g.mu.Unlock()
	s.complete("-", row)
}

// run runs a read, a write or a commit of a client.
func (s *session) run(id, text, command, rest string) {
	g := s.instance.group
	if command == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		declared, ok := s.prepared[name]
		if !ok {
			s.fail("NOSUCHSTMT")
			return
		}
		command, _, _ = strings.Cut(declared, " ")
		rest = arguments
	}
	item, data, _ := strings.Cut(rest, " ")
	if command == "WRITE" && !s.instance.primary {
		s.fail("READONLY")
		return
	}
	time.Sleep(statementTime)
	s.note(id, text)
	g.mu.Lock()
	fails := g.fails != nil && g.fails(s.instance.id, id, text)
	g.mu.Unlock()
	switch {
	case fails && command == "COMMIT":
		s.rollBack()
		s.fail("FAILED")
	case fails:
		s.fail("FAILED")
	case command == "COMMIT" && s.failed:
		s.rollBack()
		s.fail("ABORTED")
	case command == "COMMIT":
		g.commit(s.writes)
		s.endTransaction()
		s.complete(id)
	case command == "WRITE" && s.before != nil:
		s.writes[item] = data
		s.complete(id)
	case command == "WRITE":
		g.commit(map[string]string{item: data})
		s.complete(id)
	case command == "READ":
		s.complete(id, s.read(item))
	default:
		s.fail("MALFORMED")
	}
}

func (s *session) read(item string) string {
	if data, ok := s.writes[item]; ok {
		return data
	}
	g := s.instance.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if data, ok := g.data[item]; ok {
		return data
	}
	return "-"
}

func (g *group) commit(writes map[string]string) {
	if len(writes) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.Copy(g.data, writes)
	g.number++
}

// note records that the instance ran a statement.
func (s *session) note(id, text string) {
	g := s.instance.group
	values := maps.Clone(s.values)
	g.record.log("run at %s: id %s, text %.300s, session values %v", s.instance.id, id, strconv.Quote(text), values)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs = append(g.runs, run{
		instance: s.instance.id,
		id:       id,
		text:     text,
		values:   values,
	})
}

func (g *group) listRuns() []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.runs...)
}

// setFails sets which statements fail.
func (g *group) setFails(fails func(instance, id, text string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fails = fails
}
