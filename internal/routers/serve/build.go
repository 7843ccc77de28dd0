package serve

import (
	"context"
	"crypto/tls"
	"net/http"
	"os"
	"strings"

	"connectrpc.com/connect"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/budget"
	"wasabislip.example/wasabislip/internal/models/limits"
	"wasabislip.example/wasabislip/internal/modules/access"
	"wasabislip.example/wasabislip/internal/modules/client"
	"wasabislip.example/wasabislip/internal/modules/meter"
	"wasabislip.example/wasabislip/internal/modules/mtls"
	"wasabislip.example/wasabislip/internal/modules/object"
	"wasabislip.example/wasabislip/internal/modules/roster"
	"wasabislip.example/wasabislip/internal/modules/table"
	"wasabislip.example/wasabislip/internal/routers/caller"
	"wasabislip.example/wasabislip/internal/services/admit"
	"wasabislip.example/wasabislip/internal/services/assign"
	"wasabislip.example/wasabislip/internal/services/build"
	"wasabislip.example/wasabislip/internal/services/config"
	"wasabislip.example/wasabislip/internal/services/dbmgr"
	"wasabislip.example/wasabislip/internal/services/finder"
	"wasabislip.example/wasabislip/internal/services/fleet"
	"wasabislip.example/wasabislip/internal/services/quota"
	"wasabislip.example/wasabislip/internal/services/relay"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// build creates the host's services. Those that begin background work here end it
// with ctx.
func (h *Host) build(ctx context.Context) error {
	peers, err := h.peerTLS(mtls.Files.ClientConfig)
	if err != nil {
		return err
	}
	h.clients = client.NewWithDialer(peers, h.Dial)
	rows, objects, err := h.platform()
	if err != nil {
		return err
	}
	h.config = &config.Manager{
		Table:          rows,
		Objects:        objects,
		MaxAge:         h.Settings.Configuration.MaxAge,
		Interval:       h.Settings.Configuration.Interval,
		ReadsPerSecond: h.Settings.Configuration.ReadsPerSecond,
	}
	h.fleet = &fleet.Fleet{
		Host:           h.self(),
		Seeds:          h.Settings.Seeds,
		Dial:           h.clients.Peer,
		Config:         h.config,
		Directory:      roster.New(objects),
		Interval:       h.Settings.Fleet.Interval,
		ProbeTimeout:   h.Settings.Fleet.ProbeTimeout,
		SuspectTimeout: h.Settings.Fleet.SuspectTimeout,
	}
	h.config.Hosts = h.fleet
	h.assigner = assign.New(h.fleet)
	h.quota = quota.New(ctx, &homes{
		Assigner: h.assigner,
		fleet:    h.fleet,
		name:     h.Settings.Host,
	}, h, rows, meter.New(h.metrics.Registry()))
	password, err := readSecret(h.Settings.Database.PasswordFile)
	if err != nil {
		return err
	}
	h.databases = dbmgr.New(rows, h.assigner, h, &build.Builder{
		Host:        h.Settings.Host,
		Address:     h.Settings.PeerAddress,
		Table:       rows,
		Config:      h.config,
		Meter:       h.metrics,
		User:        h.Settings.Database.User,
		Password:    password,
		QueueWait:   h.Settings.Timeouts.Queue,
		QueueLength: h.Settings.Limits.QueueLength,
		Dial:        h.Dial,
	})
	return h.buildCallers()
}

// buildCallers creates the server of callers.
func (h *Host) buildCallers() error {
	runs := relay.New(finder.New(h.assigner, h.fleet), h.clients, budget.New(), h.config)
	h.callers = caller.New(h.config, admit.New(h.quota, h.Settings.Limits.KeylessRate), runs)
	h.callers.Meter = h.metrics
	h.callers.Host = h.Settings.Host
	h.callers.Version = h.Version
	h.callers.AllowPlaintext = h.Settings.Callers.Plain
	h.callers.Limits = limits.Limits{
		StartUpTimeout:           h.Settings.Timeouts.Login,
		IdleTimeout:              h.Settings.Timeouts.Idle,
		IdleInTransactionTimeout: h.Settings.Timeouts.IdleInTransaction,
		WriteTimeout:             h.Settings.Timeouts.Write,
		StatementTimeout:         h.Settings.Timeouts.Statement,
		MessageBytes:             int(h.Settings.Limits.MessageSize),
		BatchBytes:               int(h.Settings.Limits.BatchSize),
		Connections:              h.Settings.Limits.Connections,
		WorkspaceConnections:     h.Settings.Limits.ConnectionsPerWorkspace,
		PreparedStatements:       h.Settings.Limits.PreparedStatements,
	}
	if h.Settings.Callers.CertFile == "" {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(h.Settings.Callers.CertFile, h.Settings.Callers.KeyFile)
	if err != nil {
		return fault.New(fault.BadRequest, "the callers' certificate can't be read: "+err.Error(), "name a readable pair in callers.cert-file and callers.key-file").Wrap(err)
	}
	h.callers.TLS = &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS12,
	}
	return nil
}

// platform returns the clients of the platform's table and object store.
func (h *Host) platform() (*table.Table, *object.Store, error) {
	p := h.Settings.Platform
	credentials, err := readSecret(p.CredentialsFile)
	if err != nil {
		return nil, nil, err
	}
	id, key, _ := strings.Cut(credentials, "\n")
	endpoint := access.Access{
		Endpoint: p.TableEndpoint,
		Region:   p.Region,
		KeyID:    strings.TrimSpace(id),
		Secret:   strings.TrimSpace(key),
		Timeout:  p.Timeout,
		Client: &http.Client{
			Transport: &http.Transport{
				DialContext:         h.Dial,
				MaxIdleConnsPerHost: 16,
			},
		},
	}
	rows := table.New(endpoint, p.Table)
	endpoint.Endpoint = p.ObjectEndpoint
	return rows, object.New(endpoint, p.Bucket), nil
}

// readSecret returns the text of a file, or "" if name is empty.
func readSecret(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return "", fault.New(fault.BadRequest, "a secret can't be read: "+err.Error(), "name a readable file in the settings").Wrap(err)
	}
	return strings.TrimSpace(string(raw)), nil
}

// peerTLS returns the client's or the server's TLS configuration for connections
// between hosts. It returns nil if the settings turn TLS off.
func (h *Host) peerTLS(side func(mtls.Files) (*tls.Config, error)) (*tls.Config, error) {
	p := h.Settings.Peers
	if p.Plain {
		return nil, nil
	}
	return side(mtls.Files{
		Cert: p.CertFile,
		Key:  p.KeyFile,
		CA:   p.CAFile,
	})
}

// Draw asks a host for tokens of a workspace's rate.
func (h *Host) Draw(ctx context.Context, name string, r *wasabislipv1.DrawRequest) (*wasabislipv1.DrawResponse, error) {
	peer, ok := h.fleet.Lookup(name)
	if !ok {
		return nil, unknownHostError(name)
	}
	answer, err := h.clients.Peer(peer.Address).Draw(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// Offer tells a host that this one gave up a database, so that it takes the database
// over.
func (h *Host) Offer(ctx context.Context, database, name string) error {
	peer, ok := h.fleet.Lookup(name)
	if !ok {
		return unknownHostError(name)
	}
	_, err := h.clients.Coordinator(peer.Address).Offer(ctx, connect.NewRequest(&wasabislipv1.OfferRequest{
		Database: database,
	}))
	return err
}

// unknownHostError returns the error of a call to a host that is not in the fleet.
func unknownHostError(name string) error {
	return fault.New(fault.NotRun, "host "+name+" is not known", "wait until the host has joined")
}

// homes ranks the hosts that may be the home of a workspace's rate, which owns the
// rate's token bucket. The embedded Assigner's Candidates ranks hosts for databases.
type homes struct {
	*assign.Assigner
	fleet *fleet.Fleet
	name  string
}

// Alive reports whether the host is thought to answer. A host that is leaving grants
// tokens until its lease has ended.
func (h *homes) Alive(name string) bool {
	known, ok := h.fleet.Lookup(name)
	return ok && known.Reachable()
}

// Self returns this host's name. The fleet gives the name only once it has started.
func (h *homes) Self() string {
	return h.name
}

// Candidates returns the hosts that may be the home of workspace's rate.
func (h *homes) Candidates(workspace string) []string {
	return h.Homes(workspace)
}
