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
func (p *PortMap) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ports == nil {
		p.ports = map[string]string{}
	}
	p.ports[address] = l.Addr().String()
	return l, nil
}

// Resolve returns the loopback ip:port that address is mapped to. It returns
// address itself if nothing listens on it.
func (p *PortMap) Resolve(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if port, ok := p.ports[address]; ok {
		return port
	}
	return address
}

// Dialer returns a function that opens connections to mapped addresses. The
// source address is ignored.
func (p *PortMap) Dialer(string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return p.dial.DialContext(ctx, network, p.Resolve(address))
	}
}
