// Package home keeps the token bucket of one part of a workspace's rate on
// the host that is its home.
//
// The bucket counts granted tokens as outstanding until the holder reports
// that it no longer has them, or until their validity has passed. Its level
// and the outstanding tokens together never exceed the burst; so over any
// interval the holders admit at most burst + rate * length, whichever
// messages are lost, late or repeated.
package home

import (
	"math"
	"time"

	"wasabislip.example/wasabislip/internal/models/draw"
	"wasabislip.example/wasabislip/internal/models/grant"
)

const (
	// driftShare lengthens the home's count of a validity, for a holder whose
	// clock runs slow.
	clockDriftShare = 1.0 / 50
	// levelShare is the largest share of the level granted for future use.
	maxAdvanceShare = 1.0 / 4
	// maxRetryAfter bounds the time a holder is told to stay away.
	maxRetryAfter = time.Second
	// former is the account of tokens that an earlier home granted.
	formerHome = ""
)

// Bucket holds the tokens that are not granted and the accounts of those that
// are. It is not safe for concurrent use.
type Bucket struct {
	rate        float64
	burst       float64
	validity    time.Duration
	available   float64
	outstanding float64
	refilledAt  time.Time
	nextExpiry  time.Time
	accounts    map[string]*account
}

// account is what one holder may still have.
type account struct {
	sequence  uint64
	tokens    float64
	expiresAt time.Time
	last      grant.Grant
}

// New returns a bucket with level tokens, of which outstanding more may still
// be with holders of a former home. rate is in tokens a second; valid bounds
// the use of a grant.
func New(now time.Time, rate, burst float64, valid time.Duration, level, outstanding float64) *Bucket {
	b := &Bucket{
		rate:       rate,
		burst:      burst,
		validity:   valid,
		available:  level,
		refilledAt: now,
		accounts:   make(map[string]*account),
	}
	if outstanding > 0 {
		b.openAccount(now, formerHome).tokens = outstanding
		b.outstanding = outstanding
	}
	b.capAvailable()
	return b
}

// SetLimits changes the rate and burst from now on. Tokens above a lower burst
// are destroyed; a higher burst fills at the rate.
func (b *Bucket) SetLimits(now time.Time, rate, burst float64) {
	b.advance(now)
	b.rate = rate
	b.burst = burst
	b.capAvailable()
}

// Draw grants whole tokens to a holder. A repeated request gets the same
// grant again; one that a later request overtook gets none.
func (b *Bucket) Draw(now time.Time, r draw.Request) grant.Grant {
	b.advance(now)
	a := b.accounts[r.From]
	if a != nil && r.Sequence == a.sequence {
		return a.last
	}
	if a != nil && r.Sequence < a.sequence {
		return grant.Grant{
			Sequence: r.Sequence,
		}
	}
	if a == nil {
		a = b.openAccount(now, r.From)
	}
	a.sequence = r.Sequence
	b.reconcile(a, r)
	a.last = b.grant(r)
	b.issue(now, a, a.last.Tokens)
	return a.last
}

// Level returns the tokens that can be granted.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.available
}

// Outstanding returns the tokens that holders may still have.
func (b *Bucket) Outstanding(now time.Time) float64 {
	b.advance(now)
	return b.outstanding
}

// settle takes off the account what the holder no longer has. Tokens given
// back, or whose grant did not reach the holder, return to the level as far as
// this bucket granted them.
func (b *Bucket) reconcile(a *account, r draw.Request) {
	if a.last.Sequence > r.Accepted {
		r.Returned += a.last.Tokens
	}
	gone := a.tokens - min(a.tokens, max(0, r.Held))
	a.tokens -= gone
	b.outstanding -= gone
	b.available += min(gone, max(0, r.Returned))
	b.capAvailable()
}

// grant picks the size of a grant: what statements wait for, and a share of
// the level for later ones.
func (b *Bucket) grant(r draw.Request) grant.Grant {
	n := min(r.Wanted, max(r.Need, b.available*maxAdvanceShare), b.available)
	n = max(0, math.Floor(n))
	g := grant.Grant{
		Sequence: r.Sequence,
		Tokens:   n,
		Valid:    b.validity,
	}
	if n < r.Need {
		g.RetryAfter = b.refillTime(1 - (b.available - n))
	}
	return g
}

// refillTime returns how long the rate takes to give tokens.
func (b *Bucket) refillTime(tokens float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	d := time.Duration(max(0, tokens) / b.rate * float64(time.Second))
	return min(max(d, time.Millisecond), maxRetryAfter)
}

// add moves tokens from the level to the account.
func (b *Bucket) issue(now time.Time, a *account, tokens float64) {
	a.tokens += tokens
	b.available -= tokens
	b.outstanding += tokens
	if tokens > 0 {
		a.expiresAt = b.expiryOf(now)
	}
}

// account opens an account whose tokens count until the validity has passed.
func (b *Bucket) openAccount(now time.Time, from string) *account {
	a := &account{
		expiresAt: b.expiryOf(now),
	}
	b.accounts[from] = a
	if b.nextExpiry.IsZero() || a.expiresAt.Before(b.nextExpiry) {
		b.nextExpiry = a.expiresAt
	}
	return a
}

func (b *Bucket) expiryOf(now time.Time) time.Time {
	return now.Add(b.validity + time.Duration(clockDriftShare*float64(b.validity)))
}

// advance refills the bucket up to now, closing accounts as they expire, so
// that each stretch refills under the burst that was free in it.
func (b *Bucket) advance(now time.Time) {
	for !b.nextExpiry.IsZero() && b.nextExpiry.Before(now) {
		b.refill(b.nextExpiry)
		b.closeExpired(b.nextExpiry)
	}
	b.refill(now)
}

func (b *Bucket) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	b.available += b.rate * now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.capAvailable()
}

// expire closes the accounts whose validity ends at now and finds the next.
func (b *Bucket) closeExpired(now time.Time) {
	b.nextExpiry = time.Time{}
	for from, a := range b.accounts {
		if !a.expiresAt.After(now) {
			b.outstanding -= a.tokens
			delete(b.accounts, from)
			continue
		}
		if b.nextExpiry.IsZero() || a.expiresAt.Before(b.nextExpiry) {
			b.nextExpiry = a.expiresAt
		}
	}
	if len(b.accounts) == 0 {
		b.outstanding = 0
	}
}

// cap destroys tokens above the part of the burst that is not outstanding.
func (b *Bucket) capAvailable() {
	b.available = max(0, min(b.available, b.burst-b.outstanding))
}
