package netem_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/netem"
)

// echo starts a server that sends each four bytes back. It returns its address
// and a channel of what arrived.
func echo(t *testing.T) (string, <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	arrived := make(chan string, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 4)
				for {
					if _, err := io.ReadFull(conn, b); err != nil {
						return
					}
					arrived <- string(b)
					_, _ = conn.Write(b)
				}
			}()
		}
	}()
	return l.Addr().String(), arrived
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// receive reads four bytes.
func receive(t *testing.T, conn net.Conn) string {
	t.Helper()
	b := make([]byte, 4)
	if _, err := io.ReadFull(conn, b); err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestRelay(t *testing.T) {
	is := is.New(t)
	target, arrived := echo(t)
	r := netem.New(target)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = r.Serve(l) }()
	defer r.Close()

	first := dial(t, l.Addr().String())
	send(t, first, "aaaa")
	is.Equal(receive(t, first), "aaaa")
	is.Equal(<-arrived, "aaaa")

	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(`{"cut": "to-client"}`)))
	is.Equal(w.Code, 204)
	send(t, first, "bbbb")
	is.Equal(<-arrived, "bbbb") // the direction to the target is not cut

	is.True(r.Set("sideways", 0) != nil)

	r.Heal()
	second := dial(t, l.Addr().String())
	send(t, second, "cccc")
	is.Equal(receive(t, second), "cccc")
	is.Equal(<-arrived, "cccc")
}
