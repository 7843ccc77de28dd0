// Package dbcfg holds the settings of a stand-in database instance.
package dbcfg

import (
	"context"
	"net"
	"time"
)

const (
	defaultSlots        = 3
	defaultConnections  = 20
	defaultConnectDelay = 10 * time.Millisecond
)

// Config holds the settings of an instance. Zero values stand for the defaults.
type Config struct {
	// Name names the instance in logs.
	Name string
	// Slots is how many statements run at once.
	Slots int
	// Connections is how many connections are accepted.
	Connections int
	// ConnectDelay is how long the start of a connection takes: 0 stands for
	// the default of 10 ms, and a negative value for no delay.
	ConnectDelay time.Duration
	// ShipDelay is how long log entries take from the primary to a replica.
	ShipDelay time.Duration
	// ApplyLag is how long received entries stay invisible to reads.
	ApplyLag time.Duration
	// Password is what clients must send, unless it is empty.
	Password string
	// Dial opens connections to a primary; nil stands for a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// WithDefaults returns c with defaults in place of zero values.
func (c Config) WithDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.Connections <= 0 {
		c.Connections = defaultConnections
	}
	if c.ConnectDelay == 0 {
		c.ConnectDelay = defaultConnectDelay
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	return c
}
