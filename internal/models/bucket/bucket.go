// Package bucket divides the rate of a workspace among the hosts by their demand,
// and enforces one host's part by a token bucket.
package bucket

import (
	"math"
	"time"
)

const (
	// evenFraction is the fraction of an exceeded rate that is divided evenly, so
	// that a host without demand so far can admit some operations at once.
	evenFraction = 0.1
	// demandScale is the number of steps per doubling of a demand in its
	// one-byte encoding.
	demandScale = 8
)

// Bucket is the token bucket that enforces one host's part of one workspace's
// rate. It is not safe for concurrent use.
type Bucket struct {
	rate  float64
	burst float64
	// tokens is negative while future tokens are given out to callers that wait.
	tokens float64
	// filled is when tokens were last added.
	filled time.Time
}

// Init sets the tokens of a new bucket; one in use stays as it is.
func (b *Bucket) Init(now time.Time, tokens float64) {
	if b.filled.IsZero() {
		b.filled = now
		b.tokens = tokens
	}
}

// Initialized reports whether the bucket is in use.
func (b *Bucket) Initialized() bool {
	return !b.filled.IsZero()
}

// SetRate sets the rate in tokens a second and the burst. A new bucket is half
// full: a host that starts may not know how many tokens its former process
// spent.
func (b *Bucket) SetRate(now time.Time, rate, burst float64) {
	if b.filled.IsZero() {
		b.tokens = burst / 2
	}
	b.fill(now)
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

// Take takes one token if reserve others are left after it. A caller that can
// wait may get a future token; it must not proceed before after has passed. If
// there is no token within wait, ok is false and after is when to try again.
func (b *Bucket) Take(now time.Time, wait time.Duration, reserve float64) (ok bool, after time.Duration) {
	b.fill(now)
	reserve = min(reserve, max(0, b.burst-1))
	if b.tokens >= 1+reserve {
		b.tokens--
		return true, 0
	}
	if b.rate <= 0 {
		return false, time.Second
	}
	after = time.Duration((1 + reserve - b.tokens) / b.rate * float64(time.Second))
	if after > wait {
		return false, after
	}
	b.tokens--
	return true, after
}

// fill adds the tokens that are due since the last fill.
func (b *Bucket) fill(now time.Time) {
	if !b.filled.IsZero() && now.After(b.filled) {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.filled).Seconds()*b.rate)
	}
	b.filled = now
}

// HostRate returns one host's part of a rate. own is the demand of that host, all
// the sum of the demands of all hosts, its own included. If all is within the
// rate, each host gets its demand and an even part of the rest, so that it can
// serve what its callers send next. Above the rate each host gets a part in
// proportion to its demand and a small even one. The parts of hosts that know
// the same demands sum up to the rate.
func HostRate(rate, own, all float64, hosts int) float64 {
	n := float64(max(hosts, 1))
	if all <= rate {
		return own + (rate-all)/n
	}
	return rate * (evenFraction/n + (1-evenFraction)*own/all)
}

// EncodeDemand encodes a demand in operations a second into one byte, on a
// logarithmic scale.
func EncodeDemand(demand float64) byte {
	if demand < 1.0/demandScale {
		return 0
	}
	n := math.Round(demandScale * math.Log2(demand*demandScale))
	return byte(min(n+1, math.MaxUint8))
}

// DecodeDemand returns the demand that EncodeDemand encoded, with a relative
// error below 1/12.
func DecodeDemand(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2(float64(b-1)/demandScale) / demandScale
}
