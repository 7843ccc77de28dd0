// Package ports lets a cluster whose configuration names many IP addresses run
// on free ports of the loopback address.
package ports

import (
	"context"
	"net"
	"sync"
)

// PortMap maps the cluster's addresses to loopback ports. Its zero value is ready
// for use.
type PortMap struct {
	mu    sync.Mutex
	ports map[string]string
	dial  net.Dialer
}

// Listen listens on a free loopback port and maps address to it.
func (m *PortMap) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ports == nil {
		m.ports = map[string]string{}
	}
	m.ports[address] = l.Addr().String()
	return l, nil
}

// Resolve returns the loopback ip:port that address is mapped to. It returns
// address itself if nothing listens on it.
func (m *PortMap) Resolve(address string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if port, ok := m.ports[address]; ok {
		return port
	}
	return address
}

// Dialer returns a function that opens connections to mapped addresses. The
// source address is ignored.
func (m *PortMap) Dialer(string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return m.dial.DialContext(ctx, network, m.Resolve(address))
	}
}
