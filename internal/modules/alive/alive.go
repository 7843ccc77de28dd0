// Package alive finds out whether an idle connection was closed by its peer, so
// that a statement is not sent into a connection that is known to be gone.
package alive

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Idle reports whether an idle connection still stands and nothing unasked has
// arrived on it. Connections without a descriptor count as standing.
func Idle(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	// A deadline of the last use that has passed since would end the look.
	if c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	standing := false
	var first [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		standing = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && standing
}
