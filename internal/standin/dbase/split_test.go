package dbase_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/dbase"
	"wasabislip.example/wasabislip/internal/standin/dbcfg"
)

// network is a dialer. While it is cut, it dials no connections and the existing
// ones lose what arrives.
type network struct {
	cluster cluster
	cut     atomic.Bool
}

func (n *network) dial(ctx context.Context, kind, address string) (net.Conn, error) {
	if n.cut.Load() {
		return nil, errors.New("the network is cut")
	}
	conn, err := n.cluster.dial(ctx, kind, address)
	return &lossyConn{
		Conn:    conn,
		network: n,
	}, err
}

// lossyConn is a connection that loses all data from the first read on that
// arrives while its network is cut.
type lossyConn struct {
	net.Conn
	network *network
	lost    bool
}

func (c *lossyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.lost = c.lost || c.network.cut.Load()
		if err != nil || !c.lost {
			return n, err
		}
	}
}

func TestReplicaRecoversFromASilentNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, dbcfg.Config{}, "a")
		n := &network{
			cluster: cl,
		}
		cl["b"] = dbase.New(dbcfg.Config{
			Dial: n.dial,
		})
		t.Cleanup(cl["b"].Close)
		cl.promote(t, 1, "a")
		exec(t, cl.open(t, "a"), "SELECT put('k', '1')")
		time.Sleep(time.Second)
		is.Equal(text(t, cl.open(t, "b"), "SELECT get('k')"), "1")

		n.cut.Store(true)
		exec(t, cl.open(t, "a"), "SELECT put('k', '2')")
		time.Sleep(time.Minute)
		is.Equal(text(t, cl.open(t, "b"), "SELECT get('k')"), "1")
		n.cut.Store(false)
		time.Sleep(time.Second)
		is.Equal(text(t, cl.open(t, "b"), "SELECT get('k')"), "2")
	})
}
