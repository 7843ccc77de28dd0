// Package home keeps the token bucket of one part of a workspace's rate.
//
// A workspace's rate applies to all hosts together. It is divided into parts,
// and each part has one home at a time: the host that owns the part's token
// bucket. Hosts request tokens from the home in batches, cache them and admit
// statements against their cache (package tokens).
//
// The bucket counts granted tokens as outstanding until the host that got them
// reports that it no longer has them, or until their validity has passed. The
// available and the outstanding tokens together never exceed the burst. So
// over any interval the hosts admit at most burst + rate * length statements,
// even if messages are lost, delayed or repeated.
package home

import (
	"math"
	"time"

	"wasabislip.example/wasabislip/internal/models/draw"
	"wasabislip.example/wasabislip/internal/models/grant"
)

const (
	// clockDriftShare is the share of a grant's validity by which the home
	// counts its tokens as outstanding for longer: the clock of the host that
	// uses them may run slow.
	clockDriftShare = 1.0 / 50
	// maxAdvanceShare is the largest share of the available tokens that is
	// granted for statements that do not wait yet.
	maxAdvanceShare = 1.0 / 4
	// maxRetryAfter bounds the time for which a host is told to send no request.
	maxRetryAfter = time.Second
	// formerHome names the account of the tokens that a former home granted.
	formerHome = ""
)

// Bucket is the token bucket of one part of a workspace's rate. available
// tokens can be granted; outstanding tokens were granted and may still be
// unused, and accounts holds them by the process that got them. nextExpiry is
// no later than the earliest expiry of an account. Bucket is not safe for
// concurrent use.
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

// account holds the outstanding tokens of one host, the time at which they stop
// counting, and the sequence of its newest request with the grant it got.
type account struct {
	sequence  uint64
	tokens    float64
	expiresAt time.Time
	last      grant.Grant
}

// New returns a bucket with available tokens. A further outstanding tokens
// were granted by a former home and may still be in use. rate is in tokens a
// second; validity bounds the use of a grant.
func New(now time.Time, rate, burst float64, validity time.Duration, available, outstanding float64) *Bucket {
	b := &Bucket{
		rate:       rate,
		burst:      burst,
		validity:   validity,
		available:  available,
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

// SetLimits changes the rate and the burst from now on. Tokens above a lower
// burst are discarded; a higher burst fills at the rate.
func (b *Bucket) SetLimits(now time.Time, rate, burst float64) {
	b.advance(now)
	b.rate = rate
	b.burst = burst
	b.capAvailable()
}

// Draw answers a host's request with a grant of whole tokens. A request that
// arrives again gets the same grant; one that arrives after a later request of
// the same host gets no tokens.
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

// Available returns the number of tokens that can be granted.
func (b *Bucket) Available(now time.Time) float64 {
	b.advance(now)
	return b.available
}

// Outstanding returns the number of granted tokens that may still be unused.
func (b *Bucket) Outstanding(now time.Time) float64 {
	b.advance(now)
	return b.outstanding
}

// reconcile removes from the account the tokens that the host no longer has.
// Tokens that were given back, or whose grant the host did not accept, become
// available again, but never more than the account loses here.
func (b *Bucket) reconcile(a *account, r draw.Request) {
	if a.last.Sequence > r.LastAccepted {
		r.Returned += a.last.Tokens
	}
	gone := a.tokens - min(a.tokens, max(0, r.Held))
	a.tokens -= gone
	b.outstanding -= gone
	b.available += min(gone, max(0, r.Returned))
	b.capAvailable()
}

// grant chooses the size of a grant: the tokens that the host wants, limited to
// the available ones and to the larger of two amounts, the tokens that its
// statements wait for and maxAdvanceShare of the available tokens.
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

// refillTime returns how long the bucket takes to gain tokens at its rate, at
// least a millisecond and at most maxRetryAfter.
func (b *Bucket) refillTime(tokens float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	d := time.Duration(max(0, tokens) / b.rate * float64(time.Second))
	return min(max(d, time.Millisecond), maxRetryAfter)
}

// issue moves available tokens to the account, which then expires no earlier
// than they do.
func (b *Bucket) issue(now time.Time, a *account, tokens float64) {
	a.tokens += tokens
	b.available -= tokens
	b.outstanding += tokens
	if tokens > 0 {
		a.expiresAt = b.expiryOf(now)
	}
}

// openAccount adds an empty account that expires when a grant made now does.
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

// expiryOf returns when the tokens of a grant made now stop counting as
// outstanding.
func (b *Bucket) expiryOf(now time.Time) time.Time {
	return now.Add(b.validity + time.Duration(clockDriftShare*float64(b.validity)))
}

// advance refills the bucket up to now. It stops at each expiry of an account
// on the way, since a closed account makes room in the burst only from its
// expiry on.
func (b *Bucket) advance(now time.Time) {
	for !b.nextExpiry.IsZero() && b.nextExpiry.Before(now) {
		b.refill(b.nextExpiry)
		b.closeExpired(b.nextExpiry)
	}
	b.refill(now)
}

// refill adds the tokens gained since the last refill.
func (b *Bucket) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	b.available += b.rate * now.Sub(b.refilledAt).Seconds()
	b.refilledAt = now
	b.capAvailable()
}

// closeExpired removes the accounts that have expired at now and sets
// nextExpiry for the others.
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

// capAvailable discards available tokens that exceed the burst less the
// outstanding tokens.
func (b *Bucket) capAvailable() {
	b.available = max(0, min(b.available, b.burst-b.outstanding))
}
