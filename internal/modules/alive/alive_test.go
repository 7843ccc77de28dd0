package alive_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/alive"
)

// pair returns both ends of a connection over loopback.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	near, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	far, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func TestIdle(t *testing.T) {
	t.Run("a connection that stands", func(t *testing.T) {
		is := is.New(t)
		near, _ := pair(t)
		is.True(alive.Idle(near))
	})
	t.Run("a deadline that has passed says nothing", func(t *testing.T) {
		is := is.New(t)
		near, _ := pair(t)
		is.NoErr(near.SetReadDeadline(time.Now().Add(-time.Second)))
		is.True(alive.Idle(near))
	})
	t.Run("a connection that the peer closed", func(t *testing.T) {
		is := is.New(t)
		near, far := pair(t)
		is.NoErr(far.Close())
		_, err := near.Read(make([]byte, 1)) // waits for the close to arrive
		is.True(err != nil)
		is.True(!alive.Idle(near))
	})
	t.Run("a connection that was closed here", func(t *testing.T) {
		is := is.New(t)
		near, _ := pair(t)
		is.NoErr(near.Close())
		is.True(!alive.Idle(near))
	})
}
