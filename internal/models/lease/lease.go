// Package lease holds a host's own lease.
package lease

import "time"

// Lease is valid for a duration that counts from the sending of the last write
// that is known to have taken effect. It is not safe for concurrent use.
type Lease struct {
	duration    time.Duration
	incarnation string
	expiresAt   time.Time
}

// New returns a lease that is not held.
func New(duration time.Duration) *Lease {
	return &Lease{
		duration: duration,
	}
}

// Acquire starts a new incarnation of the lease by a write sent at sent.
func (l *Lease) Acquire(sent time.Time, incarnation string) {
	l.incarnation = incarnation
	l.expiresAt = sent.Add(l.duration)
}

// Renew extends the lease by a write sent at sent. A lease that has expired is
// not renewed, since another host may already rely on its end.
func (l *Lease) Renew(sent, now time.Time) bool {
	if !l.Held(now) {
		return false
	}
	l.expiresAt = sent.Add(l.duration)
	return true
}

// End ends the lease; it is no longer held.
func (l *Lease) End() {
	l.incarnation = ""
	l.expiresAt = time.Time{}
}

// Held reports whether the lease is valid now. Check it at every use.
func (l *Lease) Held(now time.Time) bool {
	return now.Before(l.expiresAt)
}

// Incarnation identifies the lease since it was last acquired; empty if it was
// released.
func (l *Lease) Incarnation() string {
	return l.incarnation
}
