package conns_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/pconn"
	"wasabislip.example/wasabislip/internal/standin/simcon"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// dialer returns the links that a test puts into next.
type dialer struct {
	next chan *simcon.Conn
}

func (d *dialer) Dial(context.Context, string) (link.Link, error) {
	return <-d.next, nil
}

func newDialer(n int) *dialer {
	d := &dialer{
		next: make(chan *simcon.Conn, 100),
	}
	for range n {
		d.next <- &simcon.Conn{}
	}
	return d
}

func newPool(d *dialer, slots, limit int) *conns.Pool {
	p := conns.New(server.Server{
		ID:    "i-1",
		Slots: slots,
	}, d)
	p.Resize(limit, 1)
	return p
}

func get(p *conns.Pool, workspace string, wait time.Duration) (*pconn.Conn, error) {
	return p.Get(context.Background(), workspace, nil, 0, wait)
}

func TestPool(t *testing.T) {
	t.Run("a workspace gets its own connection again", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newDialer(2), 3, 10)
		c, err := get(p, "one", 0)
		is.NoErr(err)
		p.Put(c)
		again, err := get(p, "one", 0)
		is.NoErr(err)
		is.True(again == c)
		other, err := get(p, "two", 0)
		is.NoErr(err)
		is.True(other != c)
	})
	t.Run("a connection that the instance closed is not used", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newDialer(2), 3, 10)
		c, _ := get(p, "one", 0)
		p.Put(c)
		c.Link.(*simcon.Conn).CloseFromPeer()
		again, err := get(p, "one", 0)
		is.NoErr(err)
		is.True(again != c)
		is.True(c.Link.(*simcon.Conn).Closed())
	})
	t.Run("a transaction that is idle makes room for other statements", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newDialer(5), 1, 20) // three run at once
		var inUse []*pconn.Conn
		for range 3 {
			c, err := get(p, "one", 0)
			is.NoErr(err)
			inUse = append(inUse, c)
		}
		_, err := get(p, "one", 0)
		is.True(fault.IsKind(err, fault.Overloaded))
		p.PauseTransaction(inUse[0])
		_, err = get(p, "one", 0)
		is.NoErr(err)
	})
	t.Run("an instance that warms up gets no more than its rate", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newPool(newDialer(1), 3, 20)
			p.SetWarmupRate(10)
			ran := 0
			for range 400 {
				c, err := get(p, "one", 0)
				if err == nil {
					ran++
					p.Put(c)
				}
				time.Sleep(5 * time.Millisecond)
			}
			is.True(ran <= 21) // 2 s at 10/s and the first
			is.True(ran >= 18)
			p.SetWarmupRate(0)
			_, err := get(p, "one", 0)
			is.NoErr(err)
		})
	})
	t.Run("the statement of higher priority goes first", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newPool(newDialer(9), 1, 20)
			var inUse []*pconn.Conn
			for range 3 {
				c, _ := get(p, "one", 0)
				inUse = append(inUse, c)
			}
			order := make(chan int, 2)
			for _, priority := range []int{2, 1} {
				go func() {
					c, err := p.Get(context.Background(), "one", nil, priority, time.Second)
					if err == nil {
						order <- priority
						time.Sleep(10 * time.Millisecond)
						p.Put(c)
					}
				}()
				synctest.Wait()
			}
			p.Put(inUse[0])
			is.Equal(<-order, 1)
			is.Equal(<-order, 2)
			time.Sleep(time.Second) // the callers end
		})
	})
	// The instance has closed the only idle connection when a place is granted
	// to a statement that waits. The pool crashed: it dropped that connection,
	// and then closed the oldest idle one, of which there was none. Found by
	// hunt hanbit-swap trouble-3 --seed 991881264480.
	t.Run("a statement that waits gets a connection although the idle one was closed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newDialer(1)
			p := newPool(d, 0, 20)
			idle, _ := get(p, "one", 0)
			p.Put(idle)
			for range 3 {
				go func() {
					_, _ = get(p, "two", 0) // the dial hangs until the test ends it
				}()
			}
			synctest.Wait()
			served := make(chan error, 1)
			go func() {
				_, err := get(p, "one", time.Second)
				served <- err
			}()
			synctest.Wait()
			idle.Link.(*simcon.Conn).CloseFromPeer()
			d.next <- &simcon.Conn{
				RefuseSessions: true,
			}
			synctest.Wait()
			for range 8 {
				d.next <- &simcon.Conn{}
			}
			is.NoErr(<-served)
			time.Sleep(time.Second) // the callers end
		})
	})
}
