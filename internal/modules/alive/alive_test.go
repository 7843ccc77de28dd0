package alive_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/alive"
)

// connPair returns both ends of a connection over loopback.
func connPair(t *testing.T) (near, far net.Conn) {
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

func TestIsOpen(t *testing.T) {
	t.Run("an open connection", func(t *testing.T) {
		is := is.New(t)
		near, _ := connPair(t)
		is.True(alive.IsOpen(near))
	})
	t.Run("an expired read deadline does not matter", func(t *testing.T) {
		is := is.New(t)
		near, _ := connPair(t)
		is.NoErr(near.SetReadDeadline(time.Now().Add(-time.Second)))
		is.True(alive.IsOpen(near))
	})
	t.Run("a connection that the other side closed", func(t *testing.T) {
		is := is.New(t)
		near, far := connPair(t)
		is.NoErr(far.Close())
		_, err := near.Read(make([]byte, 1)) // waits for the close to arrive
		is.True(err != nil)
		is.True(!alive.IsOpen(near))
	})
	t.Run("a connection that this side closed", func(t *testing.T) {
		is := is.New(t)
		near, _ := connPair(t)
		is.NoErr(near.Close())
		is.True(!alive.IsOpen(near))
	})
}

func TestHasUnread(t *testing.T) {
	is := is.New(t)
	near, far := connPair(t)
	is.True(!alive.HasUnread(near))
	_, err := far.Write([]byte("x"))
	is.NoErr(err)
	for limit := time.Now().Add(5 * time.Second); !alive.HasUnread(near) && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	is.True(alive.HasUnread(near))
	_, err = near.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!alive.HasUnread(near))
	is.NoErr(far.Close())
	_, err = near.Read(make([]byte, 1)) // waits for the close to arrive
	is.True(err != nil)
	is.True(!alive.HasUnread(near))
}

func TestIsClosed(t *testing.T) {
	t.Run("an open connection, also after its read deadline", func(t *testing.T) {
		is := is.New(t)
		near, _ := connPair(t)
		is.True(!alive.IsClosed(near))
		is.NoErr(near.SetReadDeadline(time.Now().Add(-time.Second)))
		is.True(!alive.IsClosed(near))
	})
	t.Run("a connection with more to read", func(t *testing.T) {
		is := is.New(t)
		near, far := connPair(t)
		_, err := far.Write([]byte("ab"))
		is.NoErr(err)
		_, err = near.Read(make([]byte, 1)) // the rest has arrived with it
		is.NoErr(err)
		is.True(!alive.IsClosed(near))
	})
	t.Run("a connection that the other side closed", func(t *testing.T) {
		is := is.New(t)
		near, far := connPair(t)
		is.NoErr(far.Close())
		_, err := near.Read(make([]byte, 1)) // waits for the close to arrive
		is.True(err != nil)
		is.True(alive.IsClosed(near))
	})
	t.Run("a connection that the other side reset", func(t *testing.T) {
		is := is.New(t)
		near, far := connPair(t)
		is.NoErr(far.(*net.TCPConn).SetLinger(0))
		is.NoErr(far.Close())
		for limit := time.Now().Add(time.Second); !alive.IsClosed(near) && time.Now().Before(limit); {
			time.Sleep(time.Millisecond)
		}
		is.True(alive.IsClosed(near))
	})
}
