package simenv_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/routers/wire"
	"wasabislip.example/wasabislip/internal/standin/simenv"
	"wasabislip.example/wasabislip/platform/lines"
)

// suspensionTime is for how long a host is suspended before it reads a statement.
const suspensionTime = 3 * time.Second

// suspendedConn is a caller's connection to a host that is suspended before it has read
// a statement with the word late.
type suspendedConn struct {
	wire.Conn

	conn net.Conn
}

func (c suspendedConn) ReadQuery() (query.Query, error) {
	q, err := c.Conn.ReadQuery()
	if strings.Contains(q.Text, "late") {
		time.Sleep(suspensionTime)
	}
	return q, err
}

// IsClosed asks the emulator's connection, which has no file descriptor.
func (c suspendedConn) IsClosed() bool {
	return c.Buffered() == 0 && c.conn.(interface{ IsClosed() bool }).IsClosed()
}

// Guards against a write that its caller has given up, and that a suspended host runs
// after the caller's later writes.
func TestCallerGone(t *testing.T) {
	play := func(what string, gone bool, runs int) {
		t.Run(what, func(t *testing.T) {
			runScript(t, 1, func(is *is.I, env *simenv.Environment) {
				env.NewConn = func(c net.Conn) wire.Conn {
					return suspendedConn{
						Conn: lines.NewCallerConn(c),
						conn: c,
					}
				}
				env.StartHost(1)
				time.Sleep(3 * time.Second)
				c, _, ok := env.OpenSession(1, "strict", "key-one")
				is.True(ok)
				answered := make(chan struct{})
				go func() {
					defer close(answered)
					c.Do("WRITE item late")
				}()
				time.Sleep(simenv.StatementTimeout)
				if gone {
					c.Close()
					// The caller goes on with another host.
					other, _, ok := env.OpenSession(0, "strict", "key-one")
					is.True(ok)
					is.True(other.Do("WRITE item next").OK())
					other.Close()
				}
				<-answered
				time.Sleep(2 * suspensionTime)
				c.Close()
				is.Equal(env.Group.CountCommitted()["item=late"], runs)
			})
		})
	}
	play("a write of a caller that waits runs", false, 1)
	play("a write of a caller that has gone does not run", true, 0)
}
