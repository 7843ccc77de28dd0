package pconn_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/services/pconn"
)

// startAndCommit runs an empty transaction.
func startAndCommit(t *testing.T, c *pconn.Conn, id string) {
	t.Helper()
	r, err := begin(c)
	if err != nil || r.Outcome != reply.Done {
		t.Fatalf("the transaction did not start: %+v, %v", r, err)
	}
	if _, err := play(c, query.Commit, id, nil); err != nil {
		t.Fatal(err)
	}
}

// Guards against a promise that nothing is kept for a write that ran outside of its
// transaction: the answers to an earlier start and to its confirmation came again, and the
// refusal of the start is like one that came before.
func TestRefusedStartAfterRepeatedConfirmation(t *testing.T) {
	is := is.New(t)
	c, _ := open(false,
		[]reply.Reply{busy}, // WRITE zero
		[]reply.Reply{started},
		[]reply.Reply{signed("sig-1")},
		[]reply.Reply{started, started}, // BEGIN, its confirmation
		[]reply.Reply{signed("sig-2")},
		[]reply.Reply{started, started, busy, control},             // both again, BEGIN, its confirmation
		[]reply.Reply{signed("sig-3")},                             // WRITE three, which commits
		[]reply.Reply{control, control, control, control, control}, // ROLLBACK and the markers
	)
	_, err := play(c, query.Write, "zero", nil)
	is.NoErr(err)
	startAndCommit(t, c, "one")
	startAndCommit(t, c, "two")
	r, err := begin(c)
	if err != nil || r.Outcome != reply.Done {
		return // the caller is told that the transaction did not start
	}
	r, err = play(c, query.Write, "three", nil)
	t.Logf("the write that committed: %+v, %v", r, err)
	is.True(err == nil && r.Outcome == reply.InDoubt) // sess tells an error as ABORTED
}

// Guards against an instance that answers once and counts as one that repeats answers, since
// it lost the lead between the start of a transaction and its confirmation.
func TestRefusedConfirmation(t *testing.T) {
	is := is.New(t)
	c, _ := open(false,
		[]reply.Reply{started},
		[]reply.Reply{signed("sig-1")},
		[]reply.Reply{
			started,
			{
				Outcome: reply.NotPrimary,
				State:   reply.Broken,
			},
		},
	)
	startAndCommit(t, c, "one")
	r, err := begin(c)
	is.NoErr(err)
	is.Equal(r.Outcome, reply.NotPrimary)
	is.True(!c.IsUsable() || r.State != reply.Idle)
	is.Equal(c.Observer.(*observer).mismatches, 0)
}

// Guards against a wait until the deadline for a start that was refused like one before, after
// which the answer to an earlier start came again.
func TestRefusedStartBeforeRepeatedStart(t *testing.T) {
	is := is.New(t)
	c, _ := open(false,
		[]reply.Reply{started},
		[]reply.Reply{signed("sig-1")},
		[]reply.Reply{busy, control},                      // BEGIN, its confirmation
		[]reply.Reply{busy, started, control},             // BEGIN, an earlier answer again, the confirmation
		[]reply.Reply{control, control, control, control}, // more than the markers
	)
	startAndCommit(t, c, "one")
	_, err := begin(c)
	is.NoErr(err)
	r, err := begin(c)
	is.True(!errors.Is(err, errSilent))
	is.True(err != nil || r.Outcome == reply.Busy)
}

// Guards against a transaction that counts as started although its start was refused: the
// answers to confirmations may come again, too, and are to be counted among those to markers.
func TestMarkersAfterRepeatedConfirmations(t *testing.T) {
	is := is.New(t)
	groups := [][]reply.Reply{
		{busy}, // WRITE zero
		{started},
		{signed("sig-0")},
	}
	again := []reply.Reply{busy, started}
	for _, signature := range []string{"sig-1", "sig-2", "sig-3"} {
		groups = append(groups, []reply.Reply{started, started}, []reply.Reply{signed(signature)})
		again = append(again, started, started)
	}
	groups = append(groups,
		append(again, busy, control), // all unsigned answers again, BEGIN, its confirmation
		[]reply.Reply{control, control, control, control, control, control, control, control},
	)
	c, _ := open(false, groups...)
	_, err := play(c, query.Write, "zero", nil)
	is.NoErr(err)
	for _, id := range []string{"zero", "one", "two", "three"} {
		startAndCommit(t, c, id)
	}
	r, err := begin(c)
	is.True(err != nil || r.Outcome != reply.Done) // no transaction is open
}
