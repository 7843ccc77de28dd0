package memnet_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/memnet"
)

const (
	clientIP      = "10.0.0.1"
	serverIP      = "10.0.0.2"
	serverAddress = serverIP + ":80"
)

// connect returns a network with a one-way latency of 5 ms and both ends of a
// connection over it.
func connect(is *is.I) (*memnet.Network, net.Conn, net.Conn) {
	n := memnet.New(5 * time.Millisecond)
	l, err := n.Listen(serverAddress)
	is.NoErr(err)
	a, err := n.Dialer(clientIP)(context.Background(), "tcp", serverAddress)
	is.NoErr(err)
	b, err := l.Accept()
	is.NoErr(err)
	return n, a, b
}

func readLine(is *is.I, c net.Conn) string {
	s, err := bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	return s
}

func TestConn(t *testing.T) {
	t.Run("bytes take the link's latency", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			_, a, b := connect(is)
			begin := time.Now()
			_, err := a.Write([]byte("hold\n"))
			is.NoErr(err)
			is.Equal(readLine(is, b), "hold\n")
			is.Equal(time.Since(begin), 5*time.Millisecond)
		})
	})
	t.Run("a cut holds bytes until it is healed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n, a, b := connect(is)
			n.Cut(clientIP, serverIP)
			begin := time.Now()
			_, err := a.Write([]byte("hold\n"))
			is.NoErr(err)
			time.AfterFunc(3*time.Second, func() { n.Heal(clientIP, serverIP) })
			is.Equal(readLine(is, b), "hold\n")
			is.Equal(time.Since(begin), 3*time.Second)
		})
	})
	t.Run("a read ends at its deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			_, a, _ := connect(is)
			is.NoErr(a.SetReadDeadline(time.Now().Add(time.Second)))
			_, err := a.Read(make([]byte, 1))
			is.Equal(err, os.ErrDeadlineExceeded)
		})
	})
	t.Run("a crash resets the peer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n, a, _ := connect(is)
			n.Crash(serverIP)
			_, err := a.Read(make([]byte, 1))
			is.True(err != nil)
		})
	})
}

func TestHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := memnet.New(time.Millisecond)
		l, err := n.Listen(serverAddress)
		is.NoErr(err)
		s := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		}
		go func() { _ = s.Serve(l) }()
		transport := &http.Transport{
			DialContext: n.Dialer(clientIP),
		}
		client := &http.Client{
			Transport: transport,
		}
		r, err := client.Get("http://" + serverAddress)
		is.NoErr(err)
		is.Equal(r.StatusCode, http.StatusNoContent)
		is.NoErr(r.Body.Close())
		transport.CloseIdleConnections()
		is.NoErr(s.Close())
	})
}
