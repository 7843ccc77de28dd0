package pairs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/pairs"
	"wasabislip.example/wasabislip/internal/models/reply"
)

// step is an answer that arrives while a statement waits.
type step struct {
	kind    int
	id      string
	answer  reply.Reply
	verdict int
}

func signed(signature string) reply.Reply {
	return reply.Reply{
		Signature: signature,
	}
}

func refused(outcome int) reply.Reply {
	return reply.Reply{
		Outcome: outcome,
	}
}

func unsigned(state int) reply.Reply {
	return reply.Reply{
		Signature: "-",
		State:     state,
	}
}

// TestMatch guards against answers that are given to another statement.
func TestMatch(t *testing.T) {
	for name, steps := range map[string][]step{
		"a signature comes again": {
			{kind: pairs.Signed, id: "a", answer: signed("s1"), verdict: pairs.Own},
			{kind: pairs.Signed, id: "b", answer: signed("s1"), verdict: pairs.Repeated},
			{kind: pairs.Signed, id: "b", answer: signed("s2"), verdict: pairs.Own},
			{kind: pairs.Signed, id: "c", answer: signed("s1"), verdict: pairs.Repeated},
		},
		"a read is run again": {
			{kind: pairs.Signed, id: "a", answer: signed("s1"), verdict: pairs.Own},
			{kind: pairs.Signed, id: "a", answer: signed("s1"), verdict: pairs.Own},
		},
		"the answer to the start of the session comes again": {
			{kind: pairs.Signed, id: "a", answer: reply.Reply{}, verdict: pairs.Repeated},
			{kind: pairs.Begin, id: "-", answer: reply.Reply{}, verdict: pairs.Repeated},
			{kind: pairs.Control, id: "-", answer: reply.Reply{}, verdict: pairs.Repeated},
		},
		"an answer to the proxy's own statement comes again": {
			{kind: pairs.Control, id: "-", answer: unsigned(reply.Idle), verdict: pairs.Own},
			{kind: pairs.Signed, id: "a", answer: unsigned(reply.Idle), verdict: pairs.Repeated},
			{kind: pairs.Begin, id: "-", answer: unsigned(reply.Idle), verdict: pairs.Repeated},
			{kind: pairs.Begin, id: "-", answer: unsigned(reply.Open), verdict: pairs.Own},
		},
		"a caller's answer comes late to the proxy's own statement": {
			{kind: pairs.Control, id: "-", answer: signed("s1"), verdict: pairs.Repeated},
			{kind: pairs.Begin, id: "-", answer: signed("s1"), verdict: pairs.Repeated},
		},
		"an error comes again": {
			{kind: pairs.Signed, id: "a", answer: refused(reply.Busy), verdict: pairs.Own},
			{kind: pairs.Signed, id: "b", answer: refused(reply.Lagging), verdict: pairs.Own},
			{kind: pairs.Signed, id: "c", answer: refused(reply.Busy), verdict: pairs.Ambiguous},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var h pairs.History
			for _, s := range steps {
				verdict, reason := h.Match(s.kind, s.id, &s.answer, time.Second, time.Second)
				is.Equal(verdict, s.verdict)
				is.Equal(reason == "", verdict == pairs.Own)
			}
		})
	}
	t.Run("a signature comes again after many others", func(t *testing.T) {
		is := is.New(t)
		var h pairs.History
		for n := range 3000 {
			r := signed(fmt.Sprint(n))
			verdict, _ := h.Match(pairs.Signed, fmt.Sprint(n), &r, 0, 0)
			is.Equal(verdict, pairs.Own)
			r = signed(fmt.Sprint(max(0, n-1000)))
			verdict, _ = h.Match(pairs.Signed, "another", &r, 0, 0)
			is.Equal(verdict, pairs.Repeated)
		}
	})
	t.Run("an error comes once more after the time in which it may be repeated", func(t *testing.T) {
		is := is.New(t)
		var h pairs.History
		r := refused(reply.Busy)
		for n := range 3 {
			verdict, _ := h.Match(pairs.Signed, "a", &r, time.Duration(n)*pairs.MaxDelay, time.Duration(n)*pairs.MaxDelay)
			is.Equal(verdict, pairs.Own)
		}
		verdict, _ := h.Match(pairs.Signed, "a", &r, 3*pairs.MaxDelay-1, 3*pairs.MaxDelay-1)
		is.Equal(verdict, pairs.Ambiguous)
	})
	t.Run("an error comes once more in time and lies unread for longer", func(t *testing.T) {
		is := is.New(t)
		var h pairs.History
		r := refused(reply.Busy)
		_, _ = h.Match(pairs.Signed, "a", &r, 0, 0)
		verdict, _ := h.Match(pairs.Signed, "b", &r, pairs.MaxDelay-1, 2*pairs.MaxDelay)
		is.Equal(verdict, pairs.Ambiguous)
	})
}
