package relay_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/services/relay"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// fakeFleet has coordinators that follow a script with one step for each run that
// they get. It also is the relay's locator, retry budget and configuration.
type fakeFleet struct {
	mu          sync.Mutex
	coordinator string
	learned     []string
	clients     map[string]wasabislipv1connect.StewardServiceClient
	script      []step
	runs        []string
	opens       []*wasabislipv1.Open
	retriesLeft int
}

// step is what a coordinator does with one run.
type step func(s *connect.BidiStream[wasabislipv1.RunRequest, wasabislipv1.RunResponse]) error

type fakeHost struct {
	wasabislipv1connect.UnimplementedStewardServiceHandler
	fleet *fakeFleet
	name  string
}

func (h *fakeHost) Run(_ context.Context, s *connect.BidiStream[wasabislipv1.RunRequest, wasabislipv1.RunResponse]) error {
	request, err := s.Receive()
	if err != nil {
		return err
	}
	f := h.fleet
	f.mu.Lock()
	f.runs = append(f.runs, h.name)
	f.opens = append(f.opens, request.GetOpen())
	next := f.script[0]
	f.script = f.script[1:]
	f.mu.Unlock()
	return next(s)
}

func (f *fakeFleet) Coordinator(string) (string, string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.coordinator, f.coordinator, f.coordinator != ""
}

func (f *fakeFleet) RecordHint(_, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coordinator = host
	f.learned = append(f.learned, host)
}

func (f *fakeFleet) Allow(string) bool {
	f.retriesLeft--
	return f.retriesLeft >= 0
}

func (f *fakeFleet) RecordSuccess(string) {}

func (f *fakeFleet) Current() (*spec.Spec, uint64) {
	return &spec.Spec{
		Routes: []route.Route{
			{
				Name: "ledger",
				Kind: route.Write,
			},
			{
				Name:       "post",
				Kind:       route.Write,
				Idempotent: true,
			},
			{
				Name: "browse",
				Kind: route.Read,
			},
		},
	}, 1
}

type clients struct {
	fleet *fakeFleet
}

func (c clients) Coordinator(address string) wasabislipv1connect.StewardServiceClient {
	return c.fleet.clients[address]
}

func newFleet(t *testing.T, script ...step) (*fakeFleet, *relay.Relay) {
	t.Helper()
	f := &fakeFleet{
		coordinator: "a",
		script:      script,
		retriesLeft: 10,
		clients:     make(map[string]wasabislipv1connect.StewardServiceClient),
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: &protocols,
	}
	for _, name := range []string{"a", "b"} {
		_, handler := wasabislipv1connect.NewStewardServiceHandler(&fakeHost{
			fleet: f,
			name:  name,
		})
		server := httptest.NewUnstartedServer(handler)
		server.Config.Protocols = &protocols
		server.Start()
		t.Cleanup(server.Close)
		f.clients[name] = wasabislipv1connect.NewStewardServiceClient(&http.Client{
			Transport: transport,
		}, server.URL)
	}
	t.Cleanup(transport.CloseIdleConnections)
	f.clients["down"] = wasabislipv1connect.NewStewardServiceClient(&http.Client{
		Transport: transport,
	}, "http://"+closedAddress(t))
	r := relay.New(f, clients{
		fleet: f,
	}, f, f)
	r.Backoff = time.Millisecond
	return f, r
}

// closedAddress returns a loopback address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// answer returns a step that answers the run.
func answer(text string) step {
	return func(s *connect.BidiStream[wasabislipv1.RunRequest, wasabislipv1.RunResponse]) error {
		return s.Send(&wasabislipv1.RunResponse{
			Messages: []byte(text),
			Ready:    true,
			Status:   "I",
		})
	}
}

// refusal returns a step that refuses the run and may name another coordinator.
func refusal(kind, coordinator string) step {
	return func(s *connect.BidiStream[wasabislipv1.RunRequest, wasabislipv1.RunResponse]) error {
		return s.Send(&wasabislipv1.RunResponse{
			Ready:  true,
			Status: "I",
			Refusal: &wasabislipv1.Refusal{
				Kind:    kind,
				Steward: coordinator,
			},
		})
	}
}

// breakAfter returns a step that sends a part of an answer, which may be empty, and
// breaks the stream.
func breakAfter(part string) step {
	return func(s *connect.BidiStream[wasabislipv1.RunRequest, wasabislipv1.RunResponse]) error {
		if part != "" {
			if err := s.Send(&wasabislipv1.RunResponse{
				Messages: []byte(part),
			}); err != nil {
				return err
			}
		}
		return connect.NewError(connect.CodeUnavailable, errors.New("host died"))
	}
}

// noAnswer is a step that answers nothing until the caller has given up.
func noAnswer(s *connect.BidiStream[wasabislipv1.RunRequest, wasabislipv1.RunResponse]) error {
	_, err := s.Receive()
	return err
}

// run sends one batch on a route and collects its answer.
func run(t *testing.T, r *relay.Relay, name string, timeout time.Duration) (string, error) {
	t.Helper()
	s, err := r.Open(t.Context(), &wasabislipv1.Open{
		RequestId: "run-1",
		Database:  "swap-1",
		Route:     name,
	})
	if err != nil {
		return "", err
	}
	defer func() {
		_ = s.Close()
	}()
	if err := s.Send(&wasabislipv1.RunRequest{
		TimeoutMs: timeout.Milliseconds(),
	}); err != nil {
		return "", err
	}
	got := ""
	for {
		part, err := s.Receive()
		if err != nil {
			return got, err
		}
		got += string(part.GetMessages())
		if part.GetReady() {
			return got, nil
		}
	}
}

func TestRetry(t *testing.T) {
	for _, c := range []struct {
		name   string
		route  string
		script []step
		runs   int
		kind   string
		got    string
	}{
		{
			name:  "a hint to another host is followed",
			route: "ledger",
			script: []step{
				refusal(fault.NotCoordinator, "b"),
				answer("ok"),
			},
			runs: 2,
			got:  "ok",
		},
		{
			name:  "hints are followed a bounded number of times",
			route: "ledger",
			script: []step{
				refusal(fault.NotCoordinator, "b"),
				refusal(fault.NotCoordinator, "a"),
				refusal(fault.NotCoordinator, "b"),
				refusal(fault.NotCoordinator, "a"),
			},
			runs: relay.DefaultMaxAttempts,
			kind: fault.NotCoordinator,
		},
		{
			name:  "a write that may have run is not sent again",
			route: "ledger",
			script: []step{
				breakAfter(""),
			},
			runs: 1,
			kind: fault.OutcomeUnknown,
		},
		{
			name:  "a repeatable write is sent again",
			route: "post",
			script: []step{
				breakAfter(""),
				answer("ok"),
			},
			runs: 2,
			got:  "ok",
		},
		{
			name:  "a read is sent again if no part was passed on",
			route: "browse",
			script: []step{
				breakAfter(""),
				answer("ok"),
			},
			runs: 2,
			got:  "ok",
		},
		{
			name:  "a read is not sent again once a part was passed on",
			route: "browse",
			script: []step{
				breakAfter("half"),
			},
			runs: 1,
			kind: fault.OutcomeUnknown,
			got:  "half",
		},
		{
			name:  "a refusal after an attempt that may have run leaves the outcome unknown",
			route: "post",
			script: []step{
				breakAfter(""),
				refusal(fault.Overloaded, ""),
			},
			runs: 2,
			kind: fault.OutcomeUnknown,
		},
		{
			name:  "a refusal for the caller is final",
			route: "browse",
			script: []step{
				refusal(fault.BadRequest, ""),
			},
			runs: 1,
			kind: fault.BadRequest,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, r := newFleet(t, c.script...)
			got, err := run(t, r, c.route, time.Minute)
			is := is.New(t)
			is.Equal(got, c.got)
			assertKind(t, err, c.kind)
			is.Equal(len(f.runs), c.runs)
			is.Equal(f.opens[len(f.opens)-1].GetRequestId(), "run-1")
		})
	}
}

// assertKind expects a fault of kind, or none when kind is empty.
func assertKind(t *testing.T, err error, kind string) {
	t.Helper()
	if kind == "" {
		is.New(t).NoErr(err)
		return
	}
	if !fault.IsKind(err, kind) {
		t.Fatalf("got %v, want a fault of kind %s", err, kind)
	}
}

func TestBounds(t *testing.T) {
	t.Run("no retry beyond the budget", func(t *testing.T) {
		f, r := newFleet(t, refusal(fault.NoPrimary, ""))
		f.retriesLeft = 0
		_, err := run(t, r, "ledger", time.Minute)
		assertKind(t, err, fault.NoPrimary)
		is.New(t).Equal(len(f.runs), 1)
	})
	t.Run("no retry past the deadline", func(t *testing.T) {
		f, r := newFleet(t, refusal(fault.NoPrimary, ""))
		r.Backoff = time.Hour
		_, err := run(t, r, "ledger", time.Minute)
		assertKind(t, err, fault.NoPrimary)
		is.New(t).Equal(len(f.runs), 1)
	})
	t.Run("a coordinator without an answer leaves the outcome unknown", func(t *testing.T) {
		_, r := newFleet(t, noAnswer)
		r.Grace = time.Millisecond
		_, err := run(t, r, "ledger", 50*time.Millisecond)
		assertKind(t, err, fault.OutcomeUnknown)
	})
	t.Run("a host that accepts no connection has run nothing", func(t *testing.T) {
		f, r := newFleet(t)
		f.coordinator = "down"
		f.retriesLeft = 1
		_, err := run(t, r, "ledger", time.Minute)
		assertKind(t, err, fault.NotRun)
		is.New(t).Equal(f.retriesLeft, -1)
	})
	t.Run("no coordinator is known", func(t *testing.T) {
		f, r := newFleet(t)
		f.coordinator = ""
		f.retriesLeft = 0
		_, err := run(t, r, "ledger", time.Minute)
		assertKind(t, err, fault.NoPrimary)
	})
}
