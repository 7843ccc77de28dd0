// Package lease keeps a host's view of its own lease.
package lease

import "time"

// Lease is valid for a duration from the sending of the last write that is
// known to have taken effect. It is not safe for concurrent use.
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

// Take starts a new incarnation by a write sent at sent.
func (l *Lease) Take(sent time.Time, incarnation string) {
	l.incarnation = incarnation
	l.expiresAt = sent.Add(l.duration)
}

// Renew prolongs the lease by a write sent at sent. A lease that has lapsed
// stays lapsed: another host may have counted it out.
func (l *Lease) Renew(sent, now time.Time) bool {
	if !l.Held(now) {
		return false
	}
	l.expiresAt = sent.Add(l.duration)
	return true
}

// Drop ends the lease.
func (l *Lease) Drop() {
	l.incarnation = ""
	l.expiresAt = time.Time{}
}

// Held reports whether the lease is valid now; check at every use.
func (l *Lease) Held(now time.Time) bool {
	return now.Before(l.expiresAt)
}

// Incarnation identifies this holding of the lease.
func (l *Lease) Incarnation() string {
	return l.incarnation
}
