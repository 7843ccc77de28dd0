package exec_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// entry is an entry of an instance's log.
type entry struct {
	term uint64
	text string
}

// fakeInstance is a fake instance. Its fields are guarded by the group's mu.
type fakeInstance struct {
	group   *fakeGroup
	name    string
	fence   uint64
	term    uint64
	role    string
	log     []entry
	applied int

	// unresponsive leaves all calls unanswered, controlUnresponsive only
	// control calls.
	unresponsive, controlUnresponsive bool
	// partitioned stops replication to and from the instance.
	partitioned bool
	// latency delays the answers to control calls.
	latency time.Duration
	// hangStatements runs statements but never answers them.
	hangStatements bool
	// dropStatements closes the connection in place of an answer.
	dropStatements bool
	// repeatAnswers sends each answer twice at once, and delayedRepeat sends the
	// one before again in front of each answer.
	repeatAnswers, delayedRepeat bool
	// lateReads sends the answer to the read before again while a read runs, this
	// long before its answer; zero sends nothing again.
	lateReads time.Duration
	// repeatedReads counts the answers that lateReads sent again.
	repeatedReads int
	// asyncMessages is sent after each answer.
	asyncMessages []byte
	dials         int
}

// fakeGroup is a fake group of instances. It replicates every millisecond; lag is
// how many entries the replicas have received but not applied.
type fakeGroup struct {
	mu        sync.Mutex
	instances []*fakeInstance
	lag       int
}

func newFakeGroup(ctx context.Context) *fakeGroup {
	g := &fakeGroup{}
	for _, name := range []string{"a", "b", "c"} {
		g.instances = append(g.instances, &fakeInstance{
			group: g,
			name:  name,
			role:  status.None,
		})
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Millisecond)
			g.replicate()
		}
	}()
	return g
}

func (g *fakeGroup) replicate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.instances {
		if p.role != status.Primary || p.partitioned || p.fence != p.term {
			continue
		}
		p.applied = len(p.log)
		for _, r := range g.instances {
			if r.role != status.Replica || r.term != p.term || r.fence != r.term || r.partitioned {
				continue
			}
			r.log = append([]entry(nil), p.log...)
			r.applied = max(r.applied, len(r.log)-g.lag)
		}
	}
}

func (g *fakeGroup) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

func (g *fakeGroup) primary() *fakeInstance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryLocked()
}

// primaryLocked returns the primary. The caller holds mu.
func (g *fakeGroup) primaryLocked() *fakeInstance {
	var best *fakeInstance
	for _, n := range g.instances {
		if n.role == status.Primary && (best == nil || n.term > best.term) {
			best = n
		}
	}
	return best
}

// holds reports whether n has an entry with text.
func (g *fakeGroup) holds(n *fakeInstance, text string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range n.log {
		if e.text == text {
			return true
		}
	}
	return false
}

// control starts a control call. On success it returns with mu locked.
func (n *fakeInstance) control(ctx context.Context) error {
	n.group.mu.Lock()
	unresponsive, latency := n.unresponsive || n.controlUnresponsive, n.latency
	n.group.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(latency + 200*time.Microsecond)
	n.group.mu.Lock()
	return nil
}

func (n *fakeInstance) Status(ctx context.Context) (status.Status, error) {
	if err := n.control(ctx); err != nil {
		return status.Status{}, err
	}
	defer n.group.mu.Unlock()
	return n.report(), nil
}

func (n *fakeInstance) report() status.Status {
	s := status.Status{
		Instance: n.name,
		Fence:    n.fence,
		Term:     n.term,
		Role:     n.role,
		Received: n.positionAt(len(n.log)),
		Applied:  n.positionAt(n.applied),
	}
	for i, e := range n.log {
		if i+1 == len(n.log) || n.log[i+1].term != e.term {
			s.TermEnds = append(s.TermEnds, n.positionAt(i+1))
		}
	}
	return s
}

func (n *fakeInstance) positionAt(offset int) logpos.Position {
	if offset == 0 {
		return logpos.Position{}
	}
	return logpos.Position{
		Term:   n.log[offset-1].term,
		Offset: uint64(offset),
	}
}

// fencedError is the answer of an instance that a later term has fenced.
func fencedError() error {
	return fault.New(fault.Superseded, "fenced later", "ask the present steward")
}

func (n *fakeInstance) Fence(ctx context.Context, term uint64) (status.Status, error) {
	if err := n.control(ctx); err != nil {
		return status.Status{}, err
	}
	defer n.group.mu.Unlock()
	if n.fence > term {
		return status.Status{}, fencedError()
	}
	n.fence = term
	return n.report(), nil
}

func (n *fakeInstance) Promote(ctx context.Context, term uint64) error {
	if err := n.control(ctx); err != nil {
		return err
	}
	defer n.group.mu.Unlock()
	if n.fence != term {
		return fencedError()
	}
	n.role = status.Primary
	n.term = term
	n.applied = len(n.log)
	return nil
}

func (n *fakeInstance) Follow(ctx context.Context, term uint64, _ string) error {
	if err := n.control(ctx); err != nil {
		return err
	}
	defer n.group.mu.Unlock()
	if n.fence > term {
		return fencedError()
	}
	n.fence = term
	n.role = status.Replica
	n.term = term
	for _, p := range n.group.instances {
		if p.role != status.Primary || p.term != term {
			continue
		}
		same := 0
		for same < min(len(p.log), len(n.log)) && p.log[same] == n.log[same] {
			same++
		}
		n.log = n.log[:same]
		n.applied = min(n.applied, same)
	}
	return nil
}

func (n *fakeInstance) Dial(ctx context.Context, term uint64, readOnly bool) (*dbconn.Conn, error) {
	n.group.mu.Lock()
	unresponsive := n.unresponsive
	n.dials++
	n.group.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	s := &fakeSession{
		node:     n,
		conn:     server,
		term:     term,
		readOnly: readOnly,
		prepared: map[string]string{},
	}
	s.backend = pgproto3.NewBackend(server, s)
	go s.serve(server)
	return &dbconn.Conn{
		Net:      client,
		Frontend: pgproto3.NewFrontend(client, client),
		Term:     term,
		ReadOnly: readOnly,
	}, nil
}

// fakeSession serves one statement connection of an instance.
type fakeSession struct {
	node          *fakeInstance
	conn          net.Conn
	term          uint64
	readOnly      bool
	backend       *pgproto3.Backend
	prepared      map[string]string
	bound         string
	inTransaction bool
	pending       []string
	failed        bool
	lastAnswer    []byte
	// readAnswer is the answer to the last read, and reading tells that a read runs.
	readAnswer []byte
	reading    bool
}

// Write sends an answer, and what the instance is set to send with it.
func (s *fakeSession) Write(p []byte) (int, error) {
	n := s.node
	n.group.mu.Lock()
	var out []byte
	if n.delayedRepeat {
		out = append(out, s.lastAnswer...)
	}
	out = append(out, p...)
	if n.repeatAnswers {
		out = append(out, p...)
	}
	out = append(out, n.asyncMessages...)
	late := n.lateReads
	if s.reading && late > 0 {
		n.repeatedReads++
	}
	n.group.mu.Unlock()
	s.lastAnswer = append([]byte(nil), p...)
	if s.reading {
		s.reading = false
		if late > 0 {
			if _, err := s.conn.Write(s.readAnswer); err != nil {
				return 0, err
			}
			time.Sleep(late)
		}
		s.readAnswer = s.lastAnswer
	}
	if _, err := s.conn.Write(out); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (s *fakeSession) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.Query:
			s.run(m.String)
			s.ready()
		case *pgproto3.Sync:
			s.ready()
		default:
			if !s.failed {
				s.extended(m)
			}
			continue // the answer is sent as a whole, as PostgreSQL does
		}
		if err := s.backend.Flush(); err != nil {
			return
		}
	}
}

func (s *fakeSession) extended(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Parse:
		if _, ok := s.prepared[m.Name]; ok && m.Name != "" {
			s.fail("42P05")
			return
		}
		s.prepared[m.Name] = m.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		text, ok := s.prepared[m.PreparedStatement]
		if !ok {
			s.fail("26000")
			return
		}
		s.bound = text
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		s.run(s.bound)
	}
}

func (s *fakeSession) fail(code string) {
	s.failed = true
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity: "ERROR",
		Code:     code,
		Message:  code,
	})
}

// run runs one of the statements write TEXT, read, sleep DURATION, begin and
// commit.
func (s *fakeSession) run(text string) {
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "sleep" {
		d, _ := time.ParseDuration(rest)
		time.Sleep(d)
	}
	n := s.node
	n.group.mu.Lock()
	defer n.group.mu.Unlock()
	if n.fence > s.term {
		s.fail("LT001")
		s.inTransaction = false
		return
	}
	switch verb {
	case "write":
		if s.readOnly || n.role != status.Primary {
			s.fail("25006")
			return
		}
		s.pending = append(s.pending, rest)
	case "read":
		s.reading = true
		s.backend.Send(&pgproto3.DataRow{
			Values: [][]byte{[]byte(n.name), fmt.Append(nil, n.applied)},
		})
	case "begin":
		s.inTransaction = true
	case "commit":
		s.inTransaction = false
	}
	s.backend.Send(&pgproto3.CommandComplete{
		CommandTag: []byte(strings.ToUpper(verb)),
	})
}

// ready commits what was written outside of a transaction and ends the batch.
func (s *fakeSession) ready() {
	n := s.node
	n.group.mu.Lock()
	wrote := len(s.pending) > 0 && !s.inTransaction && !s.failed
	if wrote {
		for _, text := range s.pending {
			n.log = append(n.log, entry{
				term: n.term,
				text: text,
			})
		}
		n.applied = len(n.log)
		s.pending = nil
		s.backend.Send(&pgproto3.ParameterStatus{
			Name:  "ledger.position",
			Value: n.positionAt(len(n.log)).String(),
		})
	}
	hang, drop := n.hangStatements || n.unresponsive, n.dropStatements
	n.group.mu.Unlock()
	if drop {
		s.conn.Close()
		return
	}
	if hang {
		time.Sleep(time.Hour)
	}
	s.failed = false
	z := pgproto3.ReadyForQuery{
		TxStatus: 'I',
	}
	if s.inTransaction {
		z.TxStatus = 'T'
	}
	s.backend.Send(&z)
}
