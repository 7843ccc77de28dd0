package pconn_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// script is a connection on which the answers come in a given order. All of an answer's
// bytes come after the statements that were flushed before, in groups: one for each flush.
type script struct {
	link.Link // the other methods are not called

	groups [][]reply.Reply
	sent   []reply.Reply
	kinds  []int
}

func (s *script) Send(q *query.Query, _ logpos.Position) { s.kinds = append(s.kinds, q.Kind) }

func (s *script) Flush() error {
	if len(s.groups) > 0 {
		s.sent = append(s.sent, s.groups[0]...)
		s.groups = s.groups[1:]
	}
	return nil
}

func (s *script) Receive() (reply.Reply, error) {
	if len(s.sent) == 0 {
		return reply.Reply{}, errSilent
	}
	r := s.sent[0]
	s.sent = s.sent[1:]
	return r, nil
}

func (s *script) IsOpen() bool { return len(s.sent) == 0 }

func (s *script) SetReadDeadline(time.Time) error { return nil }

func (s *script) SetWriteDeadline(time.Time) error { return nil }

var (
	control = reply.Reply{
		Signature: "-",
		State:     reply.Idle,
	}
	started = reply.Reply{
		Signature: "-",
		State:     reply.Open,
	}
	busy = reply.Reply{
		Outcome: reply.Busy,
		State:   reply.Idle,
	}
	failed = reply.Reply{
		Outcome: reply.Failed,
		State:   reply.Idle,
	}
)

func signed(signature string) reply.Reply {
	return reply.Reply{
		Signature: signature,
		State:     reply.Idle,
	}
}

// open returns a connection with these groups of answers.
func open(repeats bool, groups ...[]reply.Reply) (*pconn.Conn, *script) {
	s := &script{
		groups: groups,
	}
	return &pconn.Conn{
		Link: s,
		Observer: &observer{
			repeats: repeats,
		},
	}, s
}

// play sends a statement with the session settings of its caller.
func play(c *pconn.Conn, kind int, id string, settings map[string]string) (reply.Reply, error) {
	c.ApplySettings(settings)
	c.Send(&query.Query{
		ID:   id,
		Kind: kind,
	}, logpos.Position{})
	_ = c.Flush(time.Time{})
	return c.Receive(time.Time{})
}

// Guards against the refusal of a write that ran, after the answers to a session statement and
// to a write were repeated on a connection whose instance is not known to repeat answers.
func TestRefusalAfterRepeatedControl(t *testing.T) {
	is := is.New(t)
	c, _ := open(false,
		[]reply.Reply{control, busy},                  // SET zone 1, WRITE one
		[]reply.Reply{busy, control, signed("sig-2")}, // both again, then WRITE two
		[]reply.Reply{control},                        // the marker
	)
	zone := map[string]string{"zone": "1"}
	r, err := play(c, query.Write, "one", zone)
	is.NoErr(err)
	is.Equal(r.Outcome, reply.Busy)
	r, err = play(c, query.Write, "two", zone)
	is.True(err != nil || r.Signature == "sig-2") // it ran: success, or an unknown outcome
}

// Guards against the refusal of a write that ran, after a session statement was refused
// whose predecessor's answer was repeated; the instance is known to repeat answers.
func TestRefusedSessionStatement(t *testing.T) {
	is := is.New(t)
	c, _ := open(true, []reply.Reply{control, control, busy, signed("sig-1")}) // SET, again, SET, WRITE
	r, err := play(c, query.Write, "one", map[string]string{"zone": "1", "tone": "2"})
	is.True(err != nil || r.Signature == "sig-1")
}

// Guards against the answer of another statement, where it was repeated within the time in
// which a repetition is expected, after more statements than a connection remembers.
func TestRepetitionAfterManyStatements(t *testing.T) {
	is := is.New(t)
	c, s := open(true)
	for n := range 300 { // 60 a second for 5 s
		id := string(rune('a'+n/26)) + string(rune('a'+n%26))
		s.groups = [][]reply.Reply{{signed("sig-" + id)}}
		_, err := play(c, query.Read, id, nil)
		is.NoErr(err)
	}
	s.groups = [][]reply.Reply{{signed("sig-aa"), signed("sig-last")}}
	r, err := play(c, query.Read, "last", nil)
	is.True(err != nil || r.Signature == "sig-last")
}

// Guards against a wait until the deadline where an instance that answers once refuses a
// session statement for the second time on a connection.
func TestSecondRefusalOfSessionStatement(t *testing.T) {
	is := is.New(t)
	c, s := open(false,
		[]reply.Reply{failed},                  // WRITE one
		[]reply.Reply{failed, signed("sig-2")}, // SET zone 1, WRITE two
	)
	_, err := play(c, query.Write, "one", nil)
	is.NoErr(err)
	_, err = play(c, query.Write, "two", map[string]string{"zone": "1"})
	is.True(!errors.Is(err, errSilent) || len(s.sent) > 0) // the refusal is told at once
}

// Guards against a promise that nothing is kept for a statement that ran outside of its
// transaction, because the start was refused and the answer to an earlier start came again.
func TestStatementOutsideOfTransaction(t *testing.T) {
	is := is.New(t)
	c, _ := open(false,
		[]reply.Reply{started},         // BEGIN
		[]reply.Reply{signed("sig-1")}, // COMMIT
		[]reply.Reply{started, busy},   // the answer to BEGIN again, BEGIN
		[]reply.Reply{signed("sig-2")}, // WRITE two, which commits
	)
	c.Begin(false, logpos.Position{})
	_ = c.Flush(time.Time{})
	_, err := c.Receive(time.Time{})
	is.NoErr(err)
	_, err = play(c, query.Commit, "one", nil)
	is.NoErr(err)
	c.Begin(false, logpos.Position{})
	_ = c.Flush(time.Time{})
	r, err := c.Receive(time.Time{})
	is.NoErr(err)
	if r.Outcome != reply.Done {
		return // the caller is told that the transaction did not start
	}
	r, err = play(c, query.Write, "two", nil)
	t.Logf("the write that committed: %+v, %v", r, err)
	is.True(err == nil && r.Outcome == reply.InDoubt) // sess tells an error as ABORTED
}

// Guards against statements that run outside of their transaction: its start was refused, and
// the answer to an earlier start came again.
func TestRefusedStartAfterRepeatedStart(t *testing.T) {
	is := is.New(t)
	c, _ := open(false,
		[]reply.Reply{started},                // BEGIN
		[]reply.Reply{signed("sig-1")},        // COMMIT
		[]reply.Reply{started, busy, control}, // the answer to BEGIN again, BEGIN, its confirmation
	)
	_, err := begin(c)
	is.NoErr(err)
	_, err = play(c, query.Commit, "one", nil)
	is.NoErr(err)
	r, err := begin(c)
	is.NoErr(err)
	is.Equal(r.Outcome, reply.Busy)
	is.True(!c.InTransaction())
	is.True(!c.IsUsable()) // the answer to the confirmation is still to come
}

// Guards against a transaction that counts as started although the marker of its start shows
// that none is open.
func TestMarkerOutsideOfTransaction(t *testing.T) {
	is := is.New(t)
	c, _ := open(false,
		[]reply.Reply{started},          // BEGIN
		[]reply.Reply{signed("sig-1")},  // COMMIT
		[]reply.Reply{busy, control},    // BEGIN, refused, and its confirmation
		[]reply.Reply{busy, control},    // BEGIN, refused, and its confirmation
		[]reply.Reply{started, control}, // the answer to the first BEGIN again, the marker
	)
	start := func() (reply.Reply, error) {
		c.Begin(false, logpos.Position{})
		_ = c.Flush(time.Time{})
		return c.Receive(time.Time{})
	}
	_, err := start()
	is.NoErr(err)
	_, err = play(c, query.Commit, "one", nil)
	is.NoErr(err)
	_, err = start()
	is.NoErr(err)
	r, err := start()
	is.True(err != nil || r.Outcome != reply.Done) // no transaction is open
}

// Guards against a read that is given the rows of another read: an earlier read was told the
// repetition of a refusal, and the reset that is to find its own answer is answered by the
// repetition of an answer to SET.
func TestReadAfterRepeatedRefusal(t *testing.T) {
	is := is.New(t)
	c, _ := open(false,
		[]reply.Reply{control, busy},                  // SET zone 1, READ one
		[]reply.Reply{busy, control, signed("sig-2")}, // both again, READ two
		[]reply.Reply{control, signed("sig-3")},       // RESET, READ three
	)
	zone := map[string]string{"zone": "1"}
	_, err := play(c, query.Read, "one", zone)
	is.NoErr(err)
	_, err = play(c, query.Read, "two", zone)
	is.NoErr(err)
	if !c.IsUsable() {
		return
	}
	r, err := play(c, query.Read, "three", nil)
	is.True(err != nil || r.Outcome != reply.Done || r.Signature == "sig-3")
}
