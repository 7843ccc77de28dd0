// Package relay carries callers' runs to the stewards of their databases.
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
	// DefaultAttempts is how often one batch is sent, hints included.
	DefaultAttempts = 4
	// DefaultPause is the wait before the second attempt; it doubles.
	DefaultPause = 20 * time.Millisecond
	// DefaultGrace is how long after a batch's timeout its answer is awaited.
	DefaultGrace = 500 * time.Millisecond
)

// locator knows which host is the steward of a database.
type locator interface {
	// Steward returns the steward's host name and peer address.
	Steward(database string) (host, address string, ok bool)
	// Learn takes in that host may be the steward of database.
	Learn(database, host string)
}

// clients holds the connections to other hosts.
type clients interface {
	// Steward returns the client of the steward service at a peer address.
	Steward(address string) wasabislipv1connect.StewardServiceClient
}

// budget bounds the retries of a workspace.
type budget interface {
	// Allow reports whether one more retry may be made, and counts it.
	Allow(workspace string) bool
	// Succeeded counts a batch that needed no further retry.
	Succeeded(workspace string)
}

// configuration gives the routes.
type configuration interface {
	Current() (*spec.Spec, uint64)
}

// Relay opens runs.
type Relay struct {
	// Attempts bounds how often one batch is sent.
	Attempts int
	// Pause is the wait before the second attempt.
	Pause time.Duration
	// Grace is how long after a batch's timeout its answer is awaited.
	Grace time.Duration

	locator       locator
	clients       clients
	budget        budget
	configuration configuration
}

// New returns a relay with default bounds.
func New(l locator, c clients, b budget, cfg configuration) *Relay {
	return &Relay{
		Attempts:      DefaultAttempts,
		Pause:         DefaultPause,
		Grace:         DefaultGrace,
		locator:       l,
		clients:       c,
		budget:        b,
		configuration: cfg,
	}
}

// Open prepares a run. Nothing is sent before the first Send.
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

// Cancel asks the steward of the database to cancel a run's batch.
func (r *Relay) Cancel(ctx context.Context, request *wasabislipv1.CancelRequest) error {
	_, address, ok := r.locator.Steward(request.GetDatabase())
	if !ok {
		return noCoordinatorFault(request.GetDatabase())
	}
	client := r.clients.Steward(address)
	if client == nil {
		return noCoordinatorFault(request.GetDatabase())
	}
	_, err := client.Cancel(ctx, connect.NewRequest(request))
	return err
}

func noCoordinatorFault(database string) *fault.Fault {
	return fault.New(fault.NoPrimary, "no host serves database \""+database+"\" now", "send the statement again").After(time.Second)
}
