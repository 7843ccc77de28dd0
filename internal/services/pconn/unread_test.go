package pconn_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/pairs"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/pconn"
)

// Guards against the refusal of a write that ran, after an earlier refusal was repeated in time
// and lay unread for longer, on an idle connection with an answer to come or in a transaction.
func TestRefusalUnreadForLong(t *testing.T) {
	run := func(name string, groups [][]reply.Reply, before func(c *pconn.Conn), kind int) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				uptime.Restart()
				is := is.New(t)
				c, _ := open(false, groups...)
				before(c)
				time.Sleep(pairs.MaxDelay + time.Second)
				if !c.InTransaction() && !c.IsOpen() {
					return // the pool closes it
				}
				r, err := play(c, kind, "last", nil)
				t.Logf("the statement that ran: %+v, %v", r, err)
				is.True(err != nil || r.Signature == "sig-last")
			})
		})
	}
	run("after a refused start that was confirmed", [][]reply.Reply{
		{started},
		{signed("sig-1")},
		{busy, control, busy}, // BEGIN, its confirmation, the former again
		{signed("sig-last")},
	}, func(c *pconn.Conn) {
		_, _ = begin(c)
		_, _ = play(c, query.Commit, "one", nil)
		_, _ = begin(c)
	}, query.Write)
	run("before a commit after a pause", [][]reply.Reply{
		{busy},
		{started, busy}, // BEGIN, the refusal again
		{signed("sig-last"), control, control, control},
	}, func(c *pconn.Conn) {
		_, _ = play(c, query.Write, "one", nil)
		_, _ = begin(c)
	}, query.Commit)
}

// Guards against a transaction that counts as started although its start was refused, after
// the answer to an earlier start was repeated in time and lay unread for longer.
func TestStartUnreadForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		uptime.Restart()
		is := is.New(t)
		c, _ := open(false,
			[]reply.Reply{started},
			[]reply.Reply{signed("sig-1")},
			[]reply.Reply{busy, control, started}, // BEGIN, its confirmation, the answer to the first again
			[]reply.Reply{busy, control},          // BEGIN, its confirmation, if there is one
		)
		startAndCommit(t, c, "one")
		_, err := begin(c)
		is.NoErr(err)
		time.Sleep(pairs.MaxDelay + time.Second)
		if !c.IsOpen() {
			return // the pool closes it
		}
		r, err := begin(c)
		is.True(err != nil || r.Outcome != reply.Done) // no transaction is open
	})
}
