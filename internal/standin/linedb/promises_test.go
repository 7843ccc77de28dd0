package linedb_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/linedb"
	"wasabislip.example/wasabislip/internal/standin/memnet"
	"wasabislip.example/wasabislip/internal/standin/simcli"
)

// settleTime is longer than a promotion and than replication.
const settleTime = time.Second

// bench is a service of three instances, of which i-1 is the primary, with a client
// at each.
type bench struct {
	group   *linedb.Group
	clients map[string]*simcli.Client
}

// run runs a script with clients that are told of every success.
func run(t *testing.T, what string, script func(is *is.I, b *bench)) {
	t.Run(what, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := &bench{
				group: &linedb.Group{
					Service:     "ledger",
					Slots:       1,
					Connections: 4,
				},
				clients: map[string]*simcli.Client{},
			}
			network := memnet.New(time.Millisecond)
			var listeners []net.Listener
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				b.group.Add(id)
				l, err := network.Listen(id + ":1")
				is.NoErr(err)
				listeners = append(listeners, l)
				go b.group.Serve(id, l)
				conn, err := network.Dialer("caller")(context.Background(), "tcp", id+":1")
				is.NoErr(err)
				c, a := simcli.Open(conn, "ledger", "one", 0)
				is.True(a.OK())
				c.Acknowledged = b.group.Acknowledge
				b.clients[id] = c
			}
			script(is, b)
			for _, c := range b.clients {
				c.Close()
			}
			for _, l := range listeners {
				_ = l.Close()
			}
			time.Sleep(settleTime) // timers and connections end
		})
	})
}

// promoteSecond promotes i-2 and waits until it leads.
func (b *bench) promoteSecond(is *is.I) {
	is.Helper()
	is.True(b.group.Promote("i-2"))
	time.Sleep(settleTime)
	is.True(b.group.IsPrimary("i-2"))
}

// check compares the numbers of superseded and lost writes.
func (b *bench) check(is *is.I, superseded, lost int) {
	is.Helper()
	is.Equal(len(b.group.SupersededWrites()), superseded)
	is.Equal(len(b.group.LostWrites()), lost)
}

// TestPromises checks that broken promises are found, and no others. If they were
// missed, the scripts of simenv would pass with two primaries.
func TestPromises(t *testing.T) {
	run(t, "writes before and after a change of the primary are in order", func(is *is.I, b *bench) {
		is.True(b.clients["i-1"].Do("WRITE a 1").OK())
		time.Sleep(settleTime)
		b.promoteSecond(is)
		is.True(b.clients["i-2"].Do("WRITE a 2").OK())
		b.check(is, 0, 0)
	})
	run(t, "a write on a replaced primary is found", func(is *is.I, b *bench) {
		b.promoteSecond(is)
		is.True(b.clients["i-1"].Do("WRITE a 1").OK())
		b.check(is, 1, 0)
	})
	run(t, "a transaction on a replaced primary is found", func(is *is.I, b *bench) {
		is.True(b.clients["i-1"].Do("BEGIN").OK())
		is.True(b.clients["i-1"].Do("WRITE a 1").OK())
		b.promoteSecond(is)
		is.True(b.clients["i-1"].Do("COMMIT").OK())
		b.check(is, 1, 0)
	})
	run(t, "a write on a replaced primary whose answer is lost is not found", func(is *is.I, b *bench) {
		b.promoteSecond(is)
		b.group.LoseAnswers("i-1", true)
		b.clients["i-1"].AnswerTimeout = settleTime
		is.True(b.clients["i-1"].Do("WRITE a 1").Lost)
		b.check(is, 0, 0)
	})
	run(t, "a write that no replica had received may be lost with a crash", func(is *is.I, b *bench) {
		b.group.BlockReplication("i-2", true)
		b.group.BlockReplication("i-3", true)
		is.True(b.clients["i-1"].Do("WRITE a 1").OK())
		b.group.Crash("i-1")
		b.promoteSecond(is)
		b.check(is, 0, 0)
	})
	run(t, "a write that a replica had received must not be lost", func(is *is.I, b *bench) {
		b.group.BlockReplication("i-2", true)
		is.True(b.clients["i-1"].Do("WRITE a 1").OK())
		time.Sleep(settleTime)
		b.group.Crash("i-1")
		b.promoteSecond(is)
		b.check(is, 0, 1)
	})
	run(t, "a primary that steps down must lose nothing", func(is *is.I, b *bench) {
		b.group.BlockReplication("i-2", true)
		b.group.BlockReplication("i-3", true)
		is.True(b.clients["i-1"].Do("WRITE a 1").OK())
		b.clients["i-1"].Do("STEPDOWN 2")
		b.promoteSecond(is)
		b.check(is, 0, 1)
	})
	run(t, "what a synchronous replica holds must not be lost while it is down", func(is *is.I, b *bench) {
		b.group.SetSyncReplicas(1)
		b.group.BlockReplication("i-2", true)
		is.True(b.clients["i-1"].Do("WRITE a 1").OK())
		b.group.Crash("i-3")
		b.group.Crash("i-1")
		b.promoteSecond(is)
		b.check(is, 0, 1)
	})
	run(t, "a success without a commit is found", func(is *is.I, b *bench) {
		b.group.Acknowledge("c0-0", true)
		b.check(is, 0, 1)
	})
}
