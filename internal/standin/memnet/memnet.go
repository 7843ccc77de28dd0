// Package memnet is an in-memory network: connections with a latency for each
// pair of data centres, and links that tests cut and heal. It uses no sockets,
// so that it runs in a synctest bubble with its fake clock.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// backlog is how many connections may wait to be accepted by a listener.
const backlog = 1024

// link is one direction between two machines or two data centres. In cuts, an
// empty name stands for all machines.
type link struct {
	from string
	to   string
}

func newLink(from, to string) link {
	return link{
		from: from,
		to:   to,
	}
}

// Network connects machines, which are identified by their IP addresses. It is
// safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	dataCentres map[string]string
	delays      map[link]time.Duration
	cuts        map[link]bool
	conns       map[*conn]struct{}
	// breaker decides which writes break their connection; nil without one.
	breaker func(from, to string, data []byte) (keep int, breaks bool)
	// healed is closed and replaced at each Heal.
	healed       chan struct{}
	defaultDelay time.Duration
	// traffic is counted by the port of the side that accepted the connection.
	traffic map[string]*Traffic
}

// Traffic is what passed over connections.
type Traffic struct {
	// Conns is how many were opened.
	Conns int64
	// Bytes is what both ends sent.
	Bytes int64
}

// Traffic returns what has passed so far over all connections to listeners on a port.
func (n *Network) Traffic(port string) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.traffic[port]
	if !ok {
		return Traffic{}
	}
	return Traffic{
		Conns: t.Conns,
		Bytes: atomic.LoadInt64(&t.Bytes),
	}
}

// countConn counts a new connection and returns where its bytes are counted. The caller
// holds the lock.
func (n *Network) countConn(to address) *int64 {
	_, port, _ := net.SplitHostPort(string(to))
	t, ok := n.traffic[port]
	if !ok {
		t = &Traffic{}
		n.traffic[port] = t
	}
	t.Conns++
	return &t.Bytes
}

// New returns a network with a one-way latency of defaultDelay wherever SetDelay
// sets no other.
func New(defaultDelay time.Duration) *Network {
	return &Network{
		listeners:    map[string]*listener{},
		dataCentres:  map[string]string{},
		delays:       map[link]time.Duration{},
		cuts:         map[link]bool{},
		conns:        map[*conn]struct{}{},
		healed:       make(chan struct{}),
		defaultDelay: defaultDelay,
		traffic:      map[string]*Traffic{},
	}
}

// SetDataCentre puts the machine with this IP address into a data centre.
func (n *Network) SetDataCentre(ip, dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dataCentres[ip] = dataCentre
}

// SetDelay sets the one-way latency between two data centres.
func (n *Network) SetDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[newLink(a, b)] = d
	n.delays[newLink(b, a)] = d
}

// Cut holds back everything that the machine from sends to the machine to.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[newLink(from, to)] = true
}

// Heal ends a Cut. What was held back is delivered, as TCP does by
// retransmission.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, newLink(from, to))
	close(n.healed)
	n.healed = make(chan struct{})
}

// Isolate cuts a machine off from all others in both directions.
func (n *Network) Isolate(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[newLink(ip, "")] = true
	n.cuts[newLink("", ip)] = true
}

// Rejoin ends an Isolate.
func (n *Network) Rejoin(ip string) {
	n.Heal(ip, "")
	n.Heal("", ip)
}

// Crash resets every connection of a machine and closes its listeners.
func (n *Network) Crash(ip string) {
	n.mu.Lock()
	var crashed []*conn
	for c := range n.conns {
		if c.local.ip() == ip || c.remote.ip() == ip {
			crashed = append(crashed, c)
		}
	}
	for a, l := range n.listeners {
		if address(a).ip() == ip {
			l.stop()
			delete(n.listeners, a)
		}
	}
	n.mu.Unlock()
	for _, c := range crashed {
		c.reset()
	}
}

// SetBreaker sets a function that is asked about each write: the addresses of both ends,
// ip:port, and the bytes. If it returns true, only the first keep bytes are delivered,
// and then both ends find the connection reset. Nil ends that.
func (n *Network) SetBreaker(breaker func(from, to string, data []byte) (keep int, breaks bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.breaker = breaker
}

// breaks reports whether a write breaks its connection, and how many of its bytes are
// delivered before.
func (n *Network) breaks(c *conn, data []byte) (keep int, breaks bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.breaker == nil {
		return 0, false
	}
	return n.breaker(string(c.local), string(c.remote), data)
}

// Listen opens a listener at ip:port.
func (n *Network) Listen(a string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[a] != nil {
		return nil, fmt.Errorf("memnet: %s: %w", a, syscall.EADDRINUSE)
	}
	l := &listener{
		net:     n,
		address: address(a),
		queue:   make(chan net.Conn, backlog),
		done:    make(chan struct{}),
	}
	n.listeners[a] = l
	return l, nil
}

// Dialer returns the dial function of the machine with this IP address.
func (n *Network) Dialer(ip string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.dial(ctx, ip, address(addr))
	}
}

// dial connects after one round trip. A full backlog refuses the connection.
func (n *Network) dial(ctx context.Context, ip string, to address) (net.Conn, error) {
	if err := n.crossLink(ctx, ip, to.ip()); err != nil {
		return nil, err
	}
	if err := n.crossLink(ctx, to.ip(), ip); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[string(to)]
	if l == nil {
		return nil, fmt.Errorf("memnet: dial %s: %w", to, syscall.ECONNREFUSED)
	}
	local, remote := newConnPair(n, address(ip+":0"), to)
	select {
	case l.queue <- remote:
		sent := n.countConn(to)
		local.sent = sent
		remote.sent = sent
		n.conns[local] = struct{}{}
		n.conns[remote] = struct{}{}
		return local, nil
	default:
		return nil, fmt.Errorf("memnet: dial %s: %w", to, syscall.ECONNREFUSED)
	}
}

// crossLink waits for the one-way latency, and until the link is not cut.
func (n *Network) crossLink(ctx context.Context, from, to string) error {
	timer := time.NewTimer(n.delay(from, to))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		healed, cut := n.isCut(from, to)
		if !cut {
			return nil
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// delay returns the one-way latency between two machines.
func (n *Network) delay(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.delays[newLink(n.dataCentres[from], n.dataCentres[to])]
	if !ok {
		return n.defaultDelay
	}
	return d
}

// isCut reports whether a link is cut. The channel is closed at the next Heal.
func (n *Network) isCut(from, to string) (<-chan struct{}, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cut := n.cuts[newLink(from, to)] || n.cuts[newLink(from, "")] || n.cuts[newLink("", to)]
	if from == to {
		cut = false
	}
	return n.healed, cut
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}
