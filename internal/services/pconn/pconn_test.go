package pconn_test

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// errSilent is what a read gives once the instance has sent all that it will.
var errSilent = errors.New("no answer in time")

// instance is a connection to an instance that repeats answers from some moment on. Each
// answer is sent again at most once, before or after one that follows.
type instance struct {
	link.Link // the other methods are not called

	t        *rapid.T
	observer *observer
	// repeats is the share of the answers that are repeated, refuses that of the
	// statements that are refused, in percent.
	repeats int
	refuses int
	// single is the number of the only answer that is repeated, known to the observer or not;
	// below 0 there is none.
	single int
	count  int
	state  int
	queued []*query.Query
	// inTransaction says that the caller's next statement belongs to a transaction. outside
	// counts those that ran outside of it.
	inTransaction bool
	outside       int
	sent          []reply.Reply
	// late are repetitions that are still to come, by the number of answers before them.
	late map[int][]reply.Reply
	// signatures are the signatures of the statements that succeeded, by their ids.
	signatures map[string]string
}

func (i *instance) Send(q *query.Query, _ logpos.Position) {
	i.queued = append(i.queued, q)
}

// Flush runs the statements.
func (i *instance) Flush() error {
	for _, q := range i.queued {
		r := i.run(q)
		i.observer.advance()
		if i.count == i.single || i.observer.repeats && rapid.IntRange(0, 99).Draw(i.t, "repeated") < i.repeats {
			at := i.count + rapid.IntRange(0, 3).Draw(i.t, "late")
			i.late[at] = append(i.late[at], r)
		}
		i.sent = append(i.sent, r)
		i.sent = append(i.sent, i.late[i.count]...)
		i.count++
	}
	i.queued = nil
	return nil
}

// run runs a statement and returns its answer.
func (i *instance) run(q *query.Query) reply.Reply {
	switch {
	case q.Kind == query.Rollback:
		i.state = reply.Idle
	case q.ID != "-" || q.Kind == query.Begin:
		if rapid.IntRange(0, 99).Draw(i.t, "refused") < i.refuses {
			if i.state != reply.Idle {
				i.state = reply.Broken
			}
			return reply.Reply{
				Outcome: rapid.SampledFrom([]int{reply.Busy, reply.Lagging, reply.NotPrimary}).Draw(i.t, "error"),
				State:   i.state,
			}
		}
	}
	switch q.Kind {
	case query.Begin:
		i.state = reply.Open
	case query.Commit:
		i.state = reply.Idle
	}
	if q.ID == "-" {
		return reply.Reply{
			Signature: "-",
			State:     i.state,
		}
	}
	if i.inTransaction && q.Kind != query.Commit && i.state == reply.Idle {
		i.outside++
	}
	i.signatures[q.ID] = fmt.Sprintf("signature-%d", len(i.signatures))
	return reply.Reply{
		Signature: i.signatures[q.ID],
		State:     i.state,
	}
}

func (i *instance) Receive() (reply.Reply, error) {
	if len(i.sent) == 0 {
		return reply.Reply{}, errSilent
	}
	r := i.sent[0]
	i.sent = i.sent[1:]
	return r, nil
}

func (i *instance) SetReadDeadline(time.Time) error { return nil }

func (i *instance) SetWriteDeadline(time.Time) error { return nil }

// observer knows from the first repetition on that the instance repeats answers, as after
// one on another connection. That may come in the middle of a transaction.
type observer struct {
	repeats bool
	// statements are how many statements the instance runs before.
	statements int
	mismatches int
}

func (o *observer) advance() {
	o.statements--
	o.repeats = o.repeats || o.statements < 0
}

func (o *observer) RecordMismatch(string, string, string, *reply.Reply) {
	o.repeats = true
	o.mismatches++
}

func (o *observer) RepeatsAnswers() bool { return o.repeats }

// player runs statements over connections to an instance that repeats answers.
type player struct {
	t        *rapid.T
	observer *observer
	instance *instance
	conn     *pconn.Conn
	ids      int
	repeats  int
	refuses  int
	single   int
}

// connect opens a connection if the last one must not be used again.
func (p *player) connect() {
	doubtful := p.conn != nil && p.observer.repeats && p.conn.MayGetRepeatedAnswer() // the pool closes it
	if p.conn != nil && p.conn.IsUsable() && !doubtful {
		return
	}
	p.instance = &instance{
		t:          p.t,
		observer:   p.observer,
		repeats:    p.repeats,
		refuses:    p.refuses,
		single:     p.single,
		late:       map[int][]reply.Reply{},
		signatures: map[string]string{},
	}
	p.conn = &pconn.Conn{
		Link:     p.instance,
		Observer: p.observer,
	}
}

func (p *player) receive() (reply.Reply, error) {
	if err := p.conn.Flush(time.Time{}); err != nil {
		p.t.Fatal(err)
	}
	r, err := p.conn.Receive(time.Time{})
	if err != nil {
		p.conn = nil // the runner closes it
	}
	if p.repeats == 0 && p.single < 0 && !p.observer.repeats && err != nil {
		p.t.Fatalf("an answer was not accepted, although none was repeated: %v", err)
	}
	if p.repeats == 0 && p.single < 0 && p.observer.mismatches > 0 {
		p.t.Fatal("an answer was passed over, although none was repeated")
	}
	return r, err
}

// do runs a caller's statement and checks that its answer belongs to it. It returns false if
// the transaction it is in has ended.
func (p *player) do(kind int, inTransaction bool) bool {
	p.ids++
	id := fmt.Sprintf("id-%d", p.ids)
	conn, instance := p.conn, p.instance
	instance.inTransaction = inTransaction
	conn.Send(&query.Query{
		ID:   id,
		Kind: kind,
	}, logpos.Position{})
	r, err := p.receive()
	if err != nil {
		return false
	}
	signature, ran := instance.signatures[id]
	if r.Outcome == reply.Done && r.Signature != signature {
		p.t.Fatalf("statement %s was given the answer %q, not %q", id, r.Signature, signature)
	}
	harmless := kind == query.Read || inTransaction && kind != query.Commit // it is rolled back
	if r.Outcome != reply.Done && ran && !harmless {
		p.t.Fatalf("statement %s ran, but was told to be refused", id)
	}
	if !conn.IsUsable() {
		p.conn = nil
		return false
	}
	return r.State == reply.Open
}

func (p *player) transaction() {
	p.conn.Begin(false, logpos.Position{})
	r, err := p.receive()
	if err != nil || r.Outcome != reply.Done {
		return
	}
	for range rapid.IntRange(0, 3).Draw(p.t, "statements") {
		if !p.do(query.Write, true) {
			p.end()
			return
		}
	}
	if rapid.Bool().Draw(p.t, "commit") {
		p.do(query.Commit, true)
	}
	p.end()
}

// end rolls the transaction back as the runner does.
func (p *player) end() {
	if p.conn == nil || !p.conn.InTransaction() {
		return
	}
	p.conn.Rollback()
	p.conn.MarkRolledBack()
	if err := p.conn.Flush(time.Time{}); err != nil {
		p.t.Fatal(err)
	}
}

// Guards against an answer that belongs to another statement, and against a refusal of a
// statement that ran, while an instance repeats answers.
func TestRepeatedAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &player{
			t: t,
			observer: &observer{
				statements: rapid.IntRange(0, 100).Draw(t, "statements before"),
			},
			repeats: rapid.SampledFrom([]int{0, 3, 30, 100}).Draw(t, "repeats"),
			refuses: rapid.SampledFrom([]int{0, 3, 30}).Draw(t, "refuses"),
			single:  -1,
		}
		for range rapid.IntRange(1, 60).Draw(t, "operations") {
			p.connect()
			if rapid.Bool().Draw(t, "transaction") {
				p.transaction()
				continue
			}
			p.conn.ApplySettings(map[string]string{"zone": fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "zone"))})
			p.do(rapid.SampledFrom([]int{query.Read, query.Write}).Draw(t, "kind"), false)
		}
	})
}

// Guards against statements that run outside of their transaction: its start was refused, and
// the answer to an earlier start came again before the instance was known to repeat answers.
func TestStartAfterRepeatedStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &player{
			t: t,
			observer: &observer{
				statements: math.MaxInt,
			},
			refuses: 40,
			single:  rapid.IntRange(0, 8).Draw(t, "the answer that is repeated"),
		}
		for range 10 {
			p.connect()
			instance := p.instance
			p.transaction()
			if instance.outside > 0 {
				t.Fatal("a statement ran outside of its transaction")
			}
		}
	})
}
