// Package holder keeps the tokens that a host has drawn from one home.
package holder

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/draw"
	"wasabislip.example/wasabislip/internal/models/grant"
)

// lots is how many grants of different validity are kept apart.
const maxEntries = 2

// Holder has the unused tokens of one part of a workspace's rate. It checks
// their validity, counted from the sending of the request, at every use; so a
// host that was paused spends none that its home counts as expired. It is not
// safe for concurrent use.
type Holder struct {
	entries      [maxEntries]entry
	sequence     uint64
	lastAccepted uint64
	pending      bool
	sentAt       time.Time
	retryAt      time.Time
}

// lot is one grant, or several with the earliest end of their validity.
type entry struct {
	tokens    float64
	expiresAt time.Time
}

// Balance returns the tokens that are valid now.
func (h *Holder) Balance(now time.Time) float64 {
	n := 0.0
	for i := range h.entries {
		if now.Before(h.entries[i].expiresAt) {
			n += h.entries[i].tokens
		}
	}
	return n
}

// Take removes up to n valid tokens, the oldest first, and returns how many.
func (h *Holder) Take(now time.Time, n float64) float64 {
	taken := 0.0
	for i := range h.entries {
		l := &h.entries[i]
		if !now.Before(l.expiresAt) {
			l.tokens = 0
		}
		t := min(l.tokens, n-taken)
		l.tokens -= t
		taken += t
	}
	return taken
}

// Ready reports whether a request may be sent: none is on its way, and the
// home did not ask to stay away.
func (h *Holder) Ready(now time.Time) bool {
	return !h.pending && !now.Before(h.retryAt)
}

// Waiting reports whether a request is on its way.
func (h *Holder) Waiting() bool {
	return h.pending
}

// RetryAt returns when the home may have tokens again.
func (h *Holder) RetryAt() time.Time {
	return h.retryAt
}

// Request returns the next request. From here on only its answer counts.
func (h *Holder) Request(now time.Time, from string, need, wanted float64) draw.Request {
	h.sequence++
	h.pending = true
	h.sentAt = now
	return draw.Request{
		From:     from,
		Sequence: h.sequence,
		Need:     need,
		Wanted:   wanted,
		Held:     h.Balance(now),
		Accepted: h.lastAccepted,
	}
}

// Return returns a request that gives all tokens back.
func (h *Holder) Return(now time.Time, from string) draw.Request {
	n := h.Balance(now)
	h.entries = [maxEntries]entry{}
	r := h.Request(now, from, 0, 0)
	r.Returned = n
	return r
}

// Accept adds the tokens of the answer to the newest request, once.
func (h *Holder) Accept(now time.Time, g grant.Grant) {
	if !h.pending || g.Sequence != h.sequence {
		return
	}
	h.pending = false
	h.lastAccepted = g.Sequence
	if g.RetryAfter > 0 {
		h.retryAt = now.Add(g.RetryAfter)
	}
	until := h.sentAt.Add(g.Valid)
	if g.Tokens <= 0 || !now.Before(until) {
		return
	}
	h.add(now, entry{
		tokens:    g.Tokens,
		expiresAt: until,
	})
}

// Fail gives up the newest request; its answer no longer counts.
func (h *Holder) Fail(now time.Time, retryAfter time.Duration) {
	h.pending = false
	h.retryAt = now.Add(retryAfter)
}

// push adds the newest lot, merging the two before it when both have tokens.
func (h *Holder) add(now time.Time, l entry) {
	h.Take(now, 0)
	last := len(h.entries) - 1
	for i := range last {
		switch older, newer := h.entries[i], h.entries[i+1]; {
		case older.tokens == 0:
			h.entries[i] = newer
		case newer.tokens > 0:
			h.entries[i].tokens += newer.tokens
		}
	}
	h.entries[last] = l
}
