// Package relay forwards callers' runs to the coordinators (stewards on the wire)
// of their databases, and retries them there. A run is one transaction, or one
// batch outside of a transaction.
package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/models/stream"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Defaults of a relay.
const (
	// DefaultMaxAttempts bounds how often one batch is sent, including the
	// times that a host named another one as the coordinator.
	DefaultMaxAttempts = 4
	// DefaultBackoff is the wait before the second attempt; it doubles with each
	// further one.
	DefaultBackoff = 20 * time.Millisecond
	// DefaultGrace is how long after a batch's timeout its answer may arrive.
	DefaultGrace = 500 * time.Millisecond
)

// locator knows which host is the coordinator of a database.
type locator interface {
	// Coordinator returns the coordinator's host name and peer address.
	Coordinator(database string) (host, address string, ok bool)
	// RecordHint records that host may be the coordinator of database.
	RecordHint(database, host string)
}

// clients holds the connections to other hosts.
type clients interface {
	// Coordinator returns the client of the coordinator's service (StewardService
	// on the wire) at a peer address.
	Coordinator(address string) wasabislipv1connect.StewardServiceClient
}

// budget limits the retries of a workspace.
type budget interface {
	// Allow reports whether one more retry is allowed, and counts it.
	Allow(workspace string) bool
	// RecordSuccess records a batch that succeeded.
	RecordSuccess(workspace string)
}

// configuration gives the configuration in force, with the routes.
type configuration interface {
	Current() (*spec.Spec, uint64)
}

// Relay forwards runs to coordinators.
type Relay struct {
	// MaxAttempts bounds how often one batch is sent.
	MaxAttempts int
	// Backoff is the wait before the second attempt; it doubles with each
	// further one.
	Backoff time.Duration
	// Grace is how long after a batch's timeout its answer may arrive.
	Grace time.Duration

	locator       locator
	clients       clients
	budget        budget
	configuration configuration
}

// New returns a relay with the default limits.
func New(l locator, c clients, b budget, cfg configuration) *Relay {
	return &Relay{
		MaxAttempts:   DefaultMaxAttempts,
		Backoff:       DefaultBackoff,
		Grace:         DefaultGrace,
		locator:       l,
		clients:       c,
		budget:        b,
		configuration: cfg,
	}
}

// Open prepares a run. Nothing is sent before its first Send.
func (r *Relay) Open(ctx context.Context, open *wasabislipv1.Open) (stream.Stream, error) {
	run := &run{
		relay: r,
		ctx:   ctx,
		open:  open,
	}
	cfg, _ := r.configuration.Current()
	if d := cfg.Route(open.GetRoute()); d != nil {
		run.route = *d
	}
	return run, nil
}

// Cancel asks the coordinator of the database to cancel the batch that a run has
// sent.
func (r *Relay) Cancel(ctx context.Context, request *wasabislipv1.CancelRequest) error {
	_, address, ok := r.locator.Coordinator(request.GetDatabase())
	if !ok {
		return noCoordinatorFault(request.GetDatabase())
	}
	client := r.clients.Coordinator(address)
	if client == nil {
		return noCoordinatorFault(request.GetDatabase())
	}
	_, err := client.Cancel(ctx, connect.NewRequest(request))
	return err
}

// noCoordinatorFault is the fault for a database whose coordinator is not known.
func noCoordinatorFault(database string) *fault.Fault {
	return fault.New(fault.NoPrimary, "no host serves database \""+database+"\" now", "send the statement again").WithRetryAfter(time.Second)
}
