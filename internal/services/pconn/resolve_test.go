package pconn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// inState returns an answer with another state of the session.
func inState(r reply.Reply, state int) reply.Reply {
	r.State = state
	return r
}

func begin(c *pconn.Conn) (reply.Reply, error) {
	c.Begin(false, logpos.Position{})
	_ = c.Flush(time.Time{})
	return c.Receive(time.Time{})
}

// Guards against connections that are used again, or statements that are told a wrong
// outcome, after an error that may be the repetition of another one.
func TestResolve(t *testing.T) {
	t.Run("a start that succeeded after a repeated refusal of the one before", func(t *testing.T) {
		is := is.New(t)
		c, _ := open(false,
			[]reply.Reply{busy},
			[]reply.Reply{busy, started},
			[]reply.Reply{started}, // the marker
		)
		_, err := begin(c)
		is.NoErr(err)
		r, err := begin(c)
		is.NoErr(err)
		is.Equal(r, started)
		is.True(c.InTransaction())
	})
	t.Run("a commit that is refused after a repeated refusal from outside of its transaction", func(t *testing.T) {
		is := is.New(t)
		malformed := reply.Reply{
			Outcome: reply.Malformed,
		}
		for _, rollback := range []reply.Reply{control, malformed} {
			c, s := open(false,
				[]reply.Reply{busy},
				[]reply.Reply{started},
				[]reply.Reply{busy, inState(busy, reply.Broken)}, // again, then the commit's
				[]reply.Reply{rollback, control, control},        // as many markers: the start was unsigned
			)
			_, err := play(c, query.Write, "one", nil)
			is.NoErr(err)
			_, err = begin(c)
			is.NoErr(err)
			r, err := play(c, query.Commit, "two", nil)
			is.NoErr(err)
			is.Equal(r.Outcome, reply.Busy)
			is.True(!c.IsUsable())
			is.True(!c.InTransaction())
			is.Equal(s.kinds[len(s.kinds)-3:], []int{query.Rollback, query.Reset, query.Reset})
		}
	})
	t.Run("a commit that ran after a repeated refusal in the transaction before", func(t *testing.T) {
		is := is.New(t)
		failedBusy := inState(busy, reply.Broken)
		c, s := open(false,
			[]reply.Reply{started},
			[]reply.Reply{failedBusy},
			nil,                                      // the rollback
			[]reply.Reply{control, started, started}, // the last answer confirms the start
			[]reply.Reply{failedBusy, signed("sig-2")},
			nil,
		)
		_, err := begin(c)
		is.NoErr(err)
		_, err = play(c, query.Write, "one", nil)
		is.NoErr(err)
		c.Rollback()
		_ = c.Flush(time.Time{})
		_, err = begin(c)
		is.NoErr(err)
		r, err := play(c, query.Commit, "two", nil)
		is.NoErr(err)
		is.Equal(r, signed("sig-2"))
		is.True(!c.IsUsable()) // the markers are not answered yet
		is.Equal(s.kinds[6], query.Rollback)
	})
	t.Run("an unsigned answer from a transaction is not that to a marker", func(t *testing.T) {
		is := is.New(t)
		c, _ := open(false,
			[]reply.Reply{busy},
			[]reply.Reply{busy},
			[]reply.Reply{started, signed("sig-2"), control},
		)
		_, err := play(c, query.Write, "one", nil)
		is.NoErr(err)
		r, err := play(c, query.Write, "two", nil)
		is.NoErr(err)
		is.Equal(r, signed("sig-2"))
	})
	t.Run("the answers to markers may come again, too", func(t *testing.T) {
		is := is.New(t)
		c, s := open(false,
			[]reply.Reply{busy},
			[]reply.Reply{busy},
			[]reply.Reply{control},
			[]reply.Reply{busy, control, signed("sig-3")}, // both again
			[]reply.Reply{control},
		)
		for _, id := range []string{"one", "two"} {
			r, err := play(c, query.Write, id, nil)
			is.NoErr(err)
			is.Equal(r, busy)
		}
		r, err := play(c, query.Write, "three", nil)
		is.NoErr(err)
		is.Equal(r, signed("sig-3"))
		is.Equal(len(s.kinds), 6) // three writes, one marker, then two
	})
	t.Run("an unknown outcome where an instance that repeats answers has sent too many", func(t *testing.T) {
		for _, n := range []int{20, 70} {
			is := is.New(t)
			var first, markers []reply.Reply
			settings := map[string]string{}
			for i := range n {
				first = append(first, control)
				markers = append(markers, control)
				settings[fmt.Sprint(i)] = "1"
			}
			c, _ := open(true, append(first, busy), append(markers, control))
			r, err := play(c, query.Write, "one", settings)
			is.Equal(err == nil, n == 20)
			is.Equal(r.Outcome == reply.Busy, n == 20)
			is.True(!c.IsUsable())
		}
	})
	t.Run("a connection of an instance that repeats answers after an error", func(t *testing.T) {
		is := is.New(t)
		c, _ := open(true,
			[]reply.Reply{control, busy},
			[]reply.Reply{control, control},
		)
		r, err := play(c, query.Write, "one", map[string]string{"zone": "1"})
		is.NoErr(err)
		is.Equal(r, busy)
		is.True(!c.IsUsable())
	})
	t.Run("a connection after a statement that ran outside of its transaction", func(t *testing.T) {
		is := is.New(t)
		c, _ := open(false,
			[]reply.Reply{started},
			[]reply.Reply{signed("sig-1")},
		)
		_, err := begin(c)
		is.NoErr(err)
		r, err := play(c, query.Write, "one", nil)
		is.NoErr(err)
		is.Equal(r.Outcome, reply.InDoubt)
		is.True(!c.IsUsable())
	})
}
