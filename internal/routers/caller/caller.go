// Package caller serves applications (callers) over the PostgreSQL protocol.
// Each connection is one session. Transactions and batches run on the
// coordinator of their database; see package relay.
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

// directory gives the configuration in force.
type directory interface {
	// Current returns the newest accepted configuration and its version.
	Current() (*spec.Spec, uint64)
	// Authenticate returns the id of the key whose secret this is. It fails
	// unless the workspace has such a key in force.
	Authenticate(workspace, secret string) (keyID string, err error)
	// KeyValid reports whether the key is in force.
	KeyValid(workspace, keyID string) bool
	// CheckConfirmed returns fault.Unconfirmed if the configuration could not be
	// confirmed in time. New transactions and sessions have to be refused then.
	CheckConfirmed() error
}

// admitter is the rate limiter.
type admitter interface {
	// Admit counts statements against the workspace's rate. It waits until they
	// may run, or refuses all of them.
	Admit(ctx context.Context, workspace string, statements int) error
}

// relay forwards runs to the coordinators (stewards on the wire) of databases.
type relay interface {
	// Open prepares a run. Nothing is sent to the coordinator before the first
	// Send.
	Open(ctx context.Context, open *wasabislipv1.Open) (stream.Stream, error)
	// Cancel asks the coordinator to cancel the batch that runs under a request
	// id.
	Cancel(ctx context.Context, r *wasabislipv1.CancelRequest) error
}

// meter records the metrics of callers' sessions.
type meter interface {
	// AddCallers adds n, which may be negative, to the number of connected callers.
	AddCallers(n int)
	// RecordRefusal counts a refused batch or connection by the kind of its fault.
	RecordRefusal(kind string)
	// RecordBatch records the duration of a batch by the kind of its route.
	RecordBatch(routeKind string, d time.Duration)
}

// noopMeter discards the metrics.
type noopMeter struct{}

func (noopMeter) AddCallers(int) {}

func (noopMeter) RecordRefusal(string) {}

func (noopMeter) RecordBatch(string, time.Duration) {}

// Server accepts callers and runs their sessions. The exported fields are set
// before the first call of Serve or ServeConn.
type Server struct {
	// TLS is the TLS configuration for callers; nil declines TLS.
	TLS *tls.Config
	// AllowPlaintext accepts keys on connections without TLS.
	AllowPlaintext bool
	// Limits bounds the sessions; fields that are zero have their defaults.
	Limits limits.Limits
	// Host is this host's name in log lines.
	Host string
	// Version is the answer to SHOW wasabislip.version.
	Version string
	// Meter records metrics; New sets one that discards them.
	Meter meter

	directory directory
	admitter  admitter
	relay     relay

	// drain is the signal of the present drain, or of the next one.
	drain         atomic.Pointer[drainSignal]
	panics        atomic.Int64
	acceptStopped chan struct{}
	// baseCtx is the parent of the sessions' contexts; cancelSessions ends it.
	baseCtx        context.Context
	cancelSessions context.CancelFunc
	done           chan struct{}
	// workspaceConns counts the connections of each workspace.
	workspaceConns *tally.Tally
	sessions       *registry

	mu        sync.Mutex
	listeners []net.Listener
	connCount int
	stopping  bool
}

// New returns a server. It authenticates callers with d, admits their statements
// with a, and runs them with r.
func New(d directory, a admitter, r relay) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		Meter:          noopMeter{},
		directory:      d,
		admitter:       a,
		relay:          r,
		acceptStopped:  make(chan struct{}),
		baseCtx:        ctx,
		cancelSessions: cancel,
		done:           make(chan struct{}),
		workspaceConns: tally.New(),
		sessions:       newRegistry(),
	}
	s.drain.Store(newDrainSignal())
	return s
}

// Done returns a channel that is closed once Shutdown was called and every
// session has ended.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Panics returns how many sessions ended by a panic. Each panic is logged.
func (s *Server) Panics() int64 {
	return s.panics.Load()
}

// addConn counts a new connection. It returns false if the server has its
// maximum of connections or is stopping.
func (s *Server) addConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || s.connCount >= s.Limits.WithDefaults().Connections {
		return false
	}
	s.connCount++
	s.Meter.AddCallers(1)
	return true
}

// removeConn counts a connection that has ended.
func (s *Server) removeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connCount--
	s.Meter.AddCallers(-1)
	s.closeDoneIfIdle()
}

// closeDoneIfIdle closes done if the server is stopping and no connection is
// left. The caller holds mu.
func (s *Server) closeDoneIfIdle() {
	if s.stopping && s.connCount == 0 {
		close(s.done)
		s.cancelSessions()
	}
}
