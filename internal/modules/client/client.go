// Package client holds the connections to other hosts: one HTTP/2 connection
// a host, shared by all calls.
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
	readIdle    = 5 * time.Second
	pingTimeout = 2 * time.Second
	idleTimeout = time.Minute
	shardCount  = 16
)

// uncompressed leaves runs' messages as they are: most are shorter than a
// frame, and compressing them costs more than it saves.
var uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// dialFunc opens a network connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Cache makes and keeps the clients of other hosts, by peer address.
type Cache struct {
	base   string
	http   *http.Client
	wire   *http.Transport
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	clients map[string]*clients
}

type clients struct {
	steward wasabislipv1connect.StewardServiceClient
	peer    wasabislipv1connect.PeerServiceClient
	admin   wasabislipv1connect.AdminServiceClient
}

// New returns a cache whose connections use cfg; nil stands for plain HTTP/2,
// which only loopback addresses may use.
func New(cfg *tls.Config) *Cache {
	plain := &net.Dialer{
		Timeout: dialTimeout,
	}
	return NewDialing(cfg, plain.DialContext)
}

// NewDialing is New with a function that opens the network connections.
func NewDialing(cfg *tls.Config, dial dialFunc) *Cache {
	wire := &http.Transport{
		DialContext:         dial,
		TLSClientConfig:     cfg,
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols(cfg),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: readIdle,
			PingTimeout:     pingTimeout,
		},
	}
	c := &Cache{
		base: "https://",
		wire: wire,
		http: &http.Client{
			Transport: wire,
		},
	}
	if cfg == nil {
		c.base = "http://"
	}
	return c
}

func protocols(cfg *tls.Config) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP2(cfg != nil)
	p.SetUnencryptedHTTP2(cfg == nil)
	return p
}

// Coordinator returns the client for callers' runs on the host at address.
func (c *Cache) Coordinator(address string) wasabislipv1connect.StewardServiceClient {
	return c.of(address).steward
}

// Peer returns the client for the exchange between hosts.
func (c *Cache) Peer(address string) wasabislipv1connect.PeerServiceClient {
	return c.of(address).peer
}

// Admin returns the client for the operators' commands.
func (c *Cache) Admin(address string) wasabislipv1connect.AdminServiceClient {
	return c.of(address).admin
}

// Forget drops the clients of hosts that keep does not name.
func (c *Cache) Forget(keep func(address string) bool) {
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

// Close ends the connections that no call uses.
func (c *Cache) Close() {
	c.wire.CloseIdleConnections()
}

func (c *Cache) of(address string) *clients {
	s := &c.shards[xxhash.Sum64String(address)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.clients[address]; ok {
		return found
	}
	if s.clients == nil {
		s.clients = map[string]*clients{}
	}
	made := c.make(c.base + address)
	s.clients[address] = made
	return made
}

func (c *Cache) make(url string) *clients {
	opts := []connect.ClientOption{connect.WithGRPC()}
	return &clients{
		steward: wasabislipv1connect.NewStewardServiceClient(c.http, url, append(opts, uncompressed)...),
		peer:    wasabislipv1connect.NewPeerServiceClient(c.http, url, opts...),
		admin:   wasabislipv1connect.NewAdminServiceClient(c.http, url, opts...),
	}
}
