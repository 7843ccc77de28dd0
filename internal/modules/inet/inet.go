// Package inet is the machine's network, with connections that notice a peer
// which went dark.
package inet

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a connect; contexts usually bound it closer.
	dialTimeout = 1500 * time.Millisecond
	// unansweredLimit is how long sent bytes may stay unacknowledged before a
	// connection ends.
	unansweredLimit = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections
	// that went silent without a reset in about four seconds.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Network listens and dials.
type Network struct {
	dialer net.Dialer
	listen net.ListenConfig
}

// New returns the machine's network.
func New() *Network {
	alive := net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
	return &Network{
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: alive,
			Control:         limitUnanswered,
		},
		listen: net.ListenConfig{
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true,
				Idle:   15 * keepAliveInterval,
			},
		},
	}
}

// Listen opens a port.
func (n *Network) Listen(address string) (net.Listener, error) {
	return n.listen.Listen(context.Background(), "tcp", address)
}

// Dial opens a connection.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.dialer.DialContext(ctx, network, address)
}

func limitUnanswered(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unansweredLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
