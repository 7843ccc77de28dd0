// Package caller serves the callers' side: the PostgreSQL protocol towards
// applications, one session a connection.
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/limits"
	"wasabislip.example/wasabislip/internal/models/stream"
	"wasabislip.example/wasabislip/internal/models/tally"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// directory knows the configuration in force.
type directory interface {
	// Current returns the newest accepted configuration and its version.
	Current() (*spec.Spec, uint64)
	// Authenticate returns the id of the workspace's key that secret is.
	Authenticate(workspace, secret string) (keyID string, err error)
	// KeyValid reports whether the key is in force.
	KeyValid(workspace, keyID string) bool
	// Fresh returns fault.Unconfirmed when the configuration could not be
	// confirmed in time, so that new work has to be refused.
	CheckConfirmed() error
}

// admitter counts statements against a workspace's rate.
type admitter interface {
	// Admit waits for, or refuses, so many statements at once.
	Admit(ctx context.Context, workspace string, statements int) error
}

// relay carries runs to the stewards.
type relay interface {
	// Open prepares a run; its first Send reaches the steward.
	Open(ctx context.Context, open *wasabislipv1.Open) (stream.Stream, error)
	// Cancel asks the steward to cancel what runs under a request id.
	Cancel(ctx context.Context, r *wasabislipv1.CancelRequest) error
}

// meter counts what callers get.
type meter interface {
	// Callers adds n connected callers.
	Callers(n int)
	// Refused counts a refusal by the kind of its fault.
	Refused(kind string)
	// Batch records how long a batch took on a kind of route.
	Batch(routeKind string, d time.Duration)
}

// unmetered counts nothing.
type unmetered struct{}

func (unmetered) Callers(int) {}

func (unmetered) Refused(string) {}

func (unmetered) Batch(string, time.Duration) {}

// Server serves callers. The exported fields are set before the first call
// of Serve or ServeConn.
type Server struct {
	// TLS is offered to callers; nil refuses TLS.
	TLS *tls.Config
	// AllowPlaintext takes keys on connections without TLS.
	AllowPlaintext bool
	// Limits bounds the sessions; zero fields take their defaults.
	Limits limits.Limits
	// Host names this host in log lines.
	Host string
	// Version is what SHOW wasabislip.version answers.
	Version string
	// Meter counts what callers get; New sets one that counts nothing.
	Meter meter

	directory directory
	admitter  admitter
	relay     relay

	leaving  atomic.Pointer[leaving]
	panics   atomic.Int64
	stop     chan struct{}
	base     context.Context
	kill     context.CancelFunc
	done     chan struct{}
	perSpace *tally.Tally
	sessions *registry

	mu        sync.Mutex
	listeners []net.Listener
	active    int
	stopping  bool
}

// New returns a server that authenticates by d, counts by a and runs by r.
func New(d directory, a admitter, r relay) *Server {
	base, kill := context.WithCancel(context.Background())
	s := &Server{
		Meter:     unmetered{},
		directory: d,
		admitter:  a,
		relay:     r,
		stop:      make(chan struct{}),
		base:      base,
		kill:      kill,
		done:      make(chan struct{}),
		perSpace:  tally.New(),
		sessions:  newRegistry(),
	}
	s.leaving.Store(newLeaving())
	return s
}

// Done is closed once Shutdown was called and every session has ended.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Panics returns how many sessions ended by a panic, each of which is logged.
func (s *Server) Panics() int64 {
	return s.panics.Load()
}

// begin counts a connection in, unless the server is full or stopping.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.active >= s.Limits.WithDefaults().Connections {
		return false
	}
	s.active++
	s.Meter.Callers(1)
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.Meter.Callers(-1)
	s.closeDone()
}

// closeDone closes done when the last session has ended; mu is held.
func (s *Server) closeDone() {
	if s.stopping && s.active == 0 {
		close(s.done)
		s.kill()
	}
}
