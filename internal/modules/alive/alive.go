// Package alive checks whether an idle connection is still open, so that no statement
// is sent on a connection that the other side has closed.
package alive

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// IsOpen reports whether an idle connection is open and no unexpected data has arrived
// on it. Connections without a file descriptor count as open unless they tell of data.
func IsOpen(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return !HasUnread(c)
	}
	// A read deadline left from the last use would make the check below fail.
	if c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// IsClosed reports whether the other side has closed a connection, or reset it, and all
// that it sent before has been read. It does not look at deadlines. Connections without
// a file descriptor count as open.
func IsClosed(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	return err == nil && closed
}

// unreader is a connection without a file descriptor that tells whether data has arrived.
type unreader interface {
	HasUnread() bool
}

// HasUnread reports whether data has arrived on a connection that is not read yet. It does
// not look at deadlines.
func HasUnread(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		u, ok := c.(unreader)
		return ok && u.HasUnread()
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	var buf [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return err == nil && unread
}
