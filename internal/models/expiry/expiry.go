// Package expiry tells when another host's lease has expired. It uses only this
// host's clock, so that the clocks of two hosts need not agree.
package expiry

import "time"

// Tracker tracks how long one lease row has not been renewed.
type Tracker struct {
	version uint64
	// since is when the version was first seen.
	since time.Time
}

// Observe records a read of the row that was sent at sent and answered at now. It
// returns for how long the row is known to have had the same version.
func (t *Tracker) Observe(sent, now time.Time, version uint64) time.Duration {
	if t.since.IsZero() || version != t.version {
		t.version = version
		t.since = now
		return 0
	}
	return sent.Sub(t.since)
}
