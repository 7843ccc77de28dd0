package conns_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/internal/standin/simcon"
)

// Guards against connections that are used again although an answer may come on them that
// can't be told from others.
func TestRepeatingInstance(t *testing.T) {
	play := func(name string, repeats, reused bool, change func(p *conns.Pool, c *pconn.Conn)) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(newDialer(2), 3, 10)
			c, err := get(p, "one", 0)
			is.NoErr(err)
			change(p, c)
			p.Put(c)
			next, err := get(p, "one", 0)
			is.NoErr(err)
			is.Equal(next == c, reused)
			is.Equal(c.Link.(*simcon.Conn).Closed(), !reused)
			is.Equal(p.RepeatsAnswers(), repeats)
		})
	}
	play("an answer to no statement has arrived", true, false, func(_ *conns.Pool, c *pconn.Conn) {
		c.Link.(*simcon.Conn).SendUnasked()
	})
	play("the instance has closed the connection", false, false, func(_ *conns.Pool, c *pconn.Conn) {
		c.Link.(*simcon.Conn).CloseFromPeer()
	})
	play("an answer is pending", false, true, func(_ *conns.Pool, c *pconn.Conn) {
		c.Rollback()
	})
	play("an answer of an instance that repeats them is pending", true, false, func(p *conns.Pool, c *pconn.Conn) {
		p.RecordMismatch("i-1", "id", "repeated-signature", &reply.Reply{})
		c.Rollback()
	})
	play("no answer of an instance that repeats them is pending", true, true, func(p *conns.Pool, _ *pconn.Conn) {
		p.RecordMismatch("i-1", "id", "repeated-signature", &reply.Reply{})
	})
}
