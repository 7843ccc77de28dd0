package tasks_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/modules/hostpb"
	"wasabislip.example/wasabislip/internal/routers/tasks"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/platform/lines"
)

// wireHost has one instance, which accepts sessions and answers each statement with the next
// of answers; without one it answers nothing.
type wireHost struct {
	*host

	mu      sync.Mutex
	sent    []string
	answers []string
}

func newWireHost() *wireHost {
	h := &wireHost{
		host: newHost(),
	}
	h.pool = conns.New(server.Server{
		ID:      "i-1",
		Service: "orders",
		Slots:   3,
	}, h)
	h.pool.Resize(10, 1)
	return h
}

func (h *wireHost) Dial(context.Context, string) (link.Link, error) {
	near, far := net.Pipe()
	go func() {
		r := bufio.NewReader(far)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(far, h.take(line)) // an error shows at the next read
			if strings.HasPrefix(line, "STARTUP ") {
				_, _ = io.WriteString(far, "READY I -\r\n") // an error shows at the next read
			}
		}
	}()
	return lines.New(near), nil
}

// take records a message and returns its answer.
func (h *wireHost) take(line string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = append(h.sent, line)
	if !strings.HasPrefix(line, "QUERY ") || len(h.answers) == 0 {
		return ""
	}
	answer := h.answers[0]
	h.answers = h.answers[1:]
	return answer
}

// received returns the messages that the instance got after the starts of sessions.
func (h *wireHost) received() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []string
	for _, line := range h.sent {
		if !strings.HasPrefix(line, "STARTUP orders w i-1\r\n") {
			list = append(list, line)
		}
	}
	return list
}

// Guards against tasks of other hosts whose fields would be read as another statement by
// the instance: they are certainly not run.
func TestUnwritableTasks(t *testing.T) {
	const forged = "a\r\nQUERY 77 WRITE forged 1"
	for name, m := range map[string]*wasabislipv1.Errand{
		"statement": {Statement: &wasabislipv1.ErrandQuery{
			Id:   []byte("c1-1"),
			Kind: query.Write,
			Text: []byte("WRITE k " + forged),
		}},
		"id": {Statement: &wasabislipv1.ErrandQuery{
			Id:   []byte("c1-1 c1-2"),
			Kind: query.Write,
			Text: []byte("WRITE k 1"),
		}},
		"workspace": {
			Workspace: "w\r\nQUERY 77 WRITE forged 1",
			Statement: &wasabislipv1.ErrandQuery{
				Id:   []byte("c1-1"),
				Kind: query.Write,
				Text: []byte("WRITE k 1"),
			},
		},
		"prepared statement": {
			Prepared: []byte("WRITE " + forged),
			Statement: &wasabislipv1.ErrandQuery{
				Id:   []byte("c1-1"),
				Kind: query.Execute,
				Name: []byte("s"),
				Args: []byte("k 1"),
			},
		},
		"session values before a transaction": {
			Kind: task.Begin,
			Values: hostpb.ValuesToProto(map[string]string{
				"large": strings.Repeat("x", 10000),
				"note":  forged,
			}),
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newWireHost()
			s := tasks.New(h, h, h)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			go s.Serve(t.Context(), l)
			defer l.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			m.Instance = "i-1"
			if m.Workspace == "" {
				m.Workspace = "w"
			}
			m.TimeoutMs = 500
			_, err = conn.Write(encode(t, m))
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(2 * time.Second)))
			var a wasabislipv1.ErrandAnswer
			is.NoErr(protodelim.UnmarshalFrom(bufio.NewReader(conn), &a))
			is.Equal(a.GetFault(), fault.BadRequest)
			is.True(strings.Contains(string(a.GetReason()), "without CR LF"))
			is.Equal(h.received(), []string(nil))
		})
	}
}

// Guards against a statement that has run and is told to be not run since its answer was too
// large, and against a connection that is used again with the rest of that answer on it.
func TestAnswerTooLarge(t *testing.T) {
	is := is.New(t)
	h := newWireHost()
	h.answers = []string{
		strings.Repeat("DATAROW "+strings.Repeat("x", 512<<10)+"\r\n", 40) + "COMPLETE sig-1\r\nREADY I 1.1\r\n",
		"COMPLETE sig-2\r\nREADY I 1.2\r\n",
	}
	s := tasks.New(h, h, h)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.Serve(t.Context(), l)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	r := bufio.NewReader(conn)
	write := func(id string) *wasabislipv1.ErrandAnswer {
		_, err = conn.Write(encode(t, &wasabislipv1.Errand{
			Instance:  "i-1",
			Workspace: "w",
			Statement: &wasabislipv1.ErrandQuery{
				Id:   []byte(id),
				Kind: query.Write,
				Text: []byte("WRITE k 1"),
			},
			TimeoutMs: 2000,
		}))
		is.NoErr(err)
		var a wasabislipv1.ErrandAnswer
		is.NoErr(protodelim.UnmarshalFrom(r, &a))
		return &a
	}
	a := write("c1-1")
	is.Equal(a.GetFault(), fault.OutcomeUnknown)
	is.True(strings.Contains(string(a.GetReason()), "over 16 MiB"))
	a = write("c1-2")
	is.Equal(a.GetFault(), "")
	is.Equal(string(a.GetSignature()), "sig-2")
}
