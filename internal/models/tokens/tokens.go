// Package tokens caches the rate tokens that a host has drawn from a home.
package tokens

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/draw"
	"wasabislip.example/wasabislip/internal/models/grant"
)

// maxEntries is how many grants with different expiry a cache keeps apart.
const maxEntries = 2

// Cache holds this host's unused tokens of one part of a workspace's rate and
// makes the requests for more. A grant's validity counts from the sending of
// the request and is checked at every use. So a host that was paused spends no
// token that the home already counts as expired. Cache is not safe for
// concurrent use.
type Cache struct {
	entries      [maxEntries]entry
	sequence     uint64
	lastAccepted uint64
	pending      bool
	sentAt       time.Time
	retryAt      time.Time
}

// entry holds the tokens of one grant, or of several merged ones with the
// earliest of their expiries.
type entry struct {
	tokens    float64
	expiresAt time.Time
}

// Balance returns the number of tokens that are valid now.
func (c *Cache) Balance(now time.Time) float64 {
	n := 0.0
	for i := range c.entries {
		if now.Before(c.entries[i].expiresAt) {
			n += c.entries[i].tokens
		}
	}
	return n
}

// Take removes up to n valid tokens, the oldest first, and returns how many it
// removed. It also discards expired tokens.
func (c *Cache) Take(now time.Time, n float64) float64 {
	taken := 0.0
	for i := range c.entries {
		e := &c.entries[i]
		if !now.Before(e.expiresAt) {
			e.tokens = 0
		}
		t := min(e.tokens, n-taken)
		e.tokens -= t
		taken += t
	}
	return taken
}

// CanRequest reports whether a request may be sent now: no other is pending,
// and the time at which the home asked to retry has come.
func (c *Cache) CanRequest(now time.Time) bool {
	return !c.pending && !now.Before(c.retryAt)
}

// Pending reports whether a request is waiting for its answer.
func (c *Cache) Pending() bool {
	return c.pending
}

// RetryAt returns the earliest time of the next request.
func (c *Cache) RetryAt() time.Time {
	return c.retryAt
}

// Request returns the next request and marks it as pending. From now on only
// its answer is accepted. need is the number of tokens that statements wait
// for, wanted the number that this host can use soon.
func (c *Cache) Request(now time.Time, from string, need, wanted float64) draw.Request {
	c.sequence++
	c.pending = true
	c.sentAt = now
	return draw.Request{
		From:         from,
		Sequence:     c.sequence,
		Need:         need,
		Wanted:       wanted,
		Held:         c.Balance(now),
		LastAccepted: c.lastAccepted,
	}
}

// Return returns a request that gives all valid tokens back to the home.
func (c *Cache) Return(now time.Time, from string) draw.Request {
	n := c.Balance(now)
	c.entries = [maxEntries]entry{}
	r := c.Request(now, from, 0, 0)
	r.Returned = n
	return r
}

// Accept adds the tokens of a grant. It ignores a grant that does not answer
// the pending request, and tokens that have already expired.
func (c *Cache) Accept(now time.Time, g grant.Grant) {
	if !c.pending || g.Sequence != c.sequence {
		return
	}
	c.pending = false
	c.lastAccepted = g.Sequence
	if g.RetryAfter > 0 {
		c.retryAt = now.Add(g.RetryAfter)
	}
	expiresAt := c.sentAt.Add(g.Valid)
	if g.Tokens <= 0 || !now.Before(expiresAt) {
		return
	}
	c.add(now, entry{
		tokens:    g.Tokens,
		expiresAt: expiresAt,
	})
}

// Fail gives up the pending request, whose answer is no longer accepted. The
// next may be sent after retryAfter.
func (c *Cache) Fail(now time.Time, retryAfter time.Duration) {
	c.pending = false
	c.retryAt = now.Add(retryAfter)
}

// add appends e as the newest entry. If all entries hold tokens, the two oldest
// are merged.
func (c *Cache) add(now time.Time, e entry) {
	c.Take(now, 0)
	last := len(c.entries) - 1
	for i := range last {
		switch older, newer := c.entries[i], c.entries[i+1]; {
		case older.tokens == 0:
			c.entries[i] = newer
		case newer.tokens > 0:
			c.entries[i].tokens += newer.tokens
		}
	}
	c.entries[last] = e
}
