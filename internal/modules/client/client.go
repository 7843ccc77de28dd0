// Package client holds the RPC clients of other hosts. All calls to a host share
// one HTTP/2 connection.
package client

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
)

const (
	dialTimeout = 2 * time.Second
	// pingInterval is how long a connection receives nothing before a ping checks
	// it. pingTimeout then ends it.
	pingInterval = 5 * time.Second
	pingTimeout  = 2 * time.Second
	idleTimeout  = time.Minute
	// shardCount spreads the clients over several locks.
	shardCount = 16
)

// noCompression turns compression off for runs (transactions and batches of
// statements). Most of their messages are shorter than a frame, and compressing
// them costs more than it saves.
var noCompression = connect.WithAcceptCompression("gzip", nil, nil)

// dialFunc opens a network connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Cache creates the clients of other hosts and keeps them by peer address. It is
// safe for concurrent use.
type Cache struct {
	scheme    string
	http      *http.Client
	transport *http.Transport
	shards    [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	clients map[string]*clients
}

type clients struct {
	coordinator wasabislipv1connect.StewardServiceClient
	peer        wasabislipv1connect.PeerServiceClient
	admin       wasabislipv1connect.AdminServiceClient
}

// New returns a cache whose connections use cfg. When cfg is nil they use HTTP/2
// without TLS, which only loopback addresses may use.
func New(cfg *tls.Config) *Cache {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return NewWithDialer(cfg, dialer.DialContext)
}

// NewWithDialer is New with a function that opens the network connections.
func NewWithDialer(cfg *tls.Config, dial dialFunc) *Cache {
	transport := &http.Transport{
		DialContext:         dial,
		TLSClientConfig:     cfg,
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols(cfg),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingInterval,
			PingTimeout:     pingTimeout,
		},
	}
	c := &Cache{
		scheme:    "https://",
		transport: transport,
		http: &http.Client{
			Transport: transport,
		},
	}
	if cfg == nil {
		c.scheme = "http://"
	}
	return c
}

// protocols allows HTTP/2 only, with TLS when cfg is set.
func protocols(cfg *tls.Config) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP2(cfg != nil)
	p.SetUnencryptedHTTP2(cfg == nil)
	return p
}

// Coordinator returns the client for running callers' transactions and batches on
// the coordinator (steward on the wire) at address.
func (c *Cache) Coordinator(address string) wasabislipv1connect.StewardServiceClient {
	return c.clientsFor(address).coordinator
}

// Peer returns the client for calls between hosts, such as probes and the
// exchange of membership.
func (c *Cache) Peer(address string) wasabislipv1connect.PeerServiceClient {
	return c.clientsFor(address).peer
}

// Admin returns the client for operators' commands.
func (c *Cache) Admin(address string) wasabislipv1connect.AdminServiceClient {
	return c.clientsFor(address).admin
}

// Prune drops the clients of the addresses for which keep is false.
func (c *Cache) Prune(keep func(address string) bool) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for address := range s.clients {
			if !keep(address) {
				delete(s.clients, address)
			}
		}
		s.mu.Unlock()
	}
}

// Close closes the connections that no call uses.
func (c *Cache) Close() {
	c.transport.CloseIdleConnections()
}

// clientsFor returns the clients of the host at address, and creates them at the
// first call.
func (c *Cache) clientsFor(address string) *clients {
	s := &c.shards[xxhash.Sum64String(address)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.clients[address]; ok {
		return found
	}
	if s.clients == nil {
		s.clients = map[string]*clients{}
	}
	created := c.newClients(c.scheme + address)
	s.clients[address] = created
	return created
}

func (c *Cache) newClients(url string) *clients {
	opts := []connect.ClientOption{connect.WithGRPC()}
	return &clients{
		coordinator: wasabislipv1connect.NewStewardServiceClient(c.http, url, append(opts, noCompression)...),
		peer:        wasabislipv1connect.NewPeerServiceClient(c.http, url, opts...),
		admin:       wasabislipv1connect.NewAdminServiceClient(c.http, url, opts...),
	}
}
