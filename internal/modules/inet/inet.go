// Package inet opens TCP connections that end soon after the other side has become
// unreachable.
package inet

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to connect; the deadline of the context is
	// usually shorter.
	dialTimeout = 1500 * time.Millisecond
	// userTimeout is how long sent data may stay unacknowledged before the
	// connection ends (TCP_USER_TIMEOUT).
	userTimeout = 2500 * time.Millisecond
	// With keepAliveIdle, keepAliveInterval and keepAliveCount, a connection whose
	// other side is gone without a reset ends after about four seconds.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Network opens ports and connections. It is safe for concurrent use.
type Network struct {
	dialer net.Dialer
	listen net.ListenConfig
}

// New returns the network of this machine.
func New() *Network {
	keepAlive := net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
	return &Network{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: keepAlive,
			Control:         setUserTimeout,
		},
		listen: net.ListenConfig{
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true,
				Idle:   15 * keepAliveInterval,
			},
		},
	}
}

// Listen opens a TCP port.
func (n *Network) Listen(address string) (net.Listener, error) {
	return n.listen.Listen(context.Background(), "tcp", address)
}

// Dial opens a connection.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.dialer.DialContext(ctx, network, address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
