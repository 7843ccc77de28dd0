// Package share divides a workspace's rate among hosts by what each is asked
// for.
package share

import (
	"math"
	"time"
)

const (
	// evenPart is the part of an exceeded rate that is divided evenly, so that
	// a host which nobody asked yet can admit some operations at once.
	evenPart = 0.1
	// demandScale is the number of steps for each doubling of a demand in
	// its one-byte form.
	demandScale = 8
)

// Share is one host's part of one workspace's rate: a token bucket. It is not
// safe for concurrent use.
type Share struct {
	rate  float64
	burst float64
	// tokens is below zero while tokens to come are given out.
	tokens float64
	last   time.Time
}

// Begin makes a new bucket hold this many tokens.
func (s *Share) Begin(now time.Time, tokens float64) {
	if s.last.IsZero() {
		s.last = now
		s.tokens = tokens
	}
}

// Begun reports whether the bucket is in use.
func (s *Share) Begun() bool {
	return !s.last.IsZero()
}

// Set changes the host's part. A new bucket is half full: a host that starts
// may not know what its former process spent.
func (s *Share) Set(now time.Time, rate, burst float64) {
	if s.last.IsZero() {
		s.tokens = burst / 2
	}
	s.fill(now)
	s.rate = rate
	s.burst = burst
	s.tokens = min(s.tokens, burst)
}

// Take takes one token and leaves so many others. A caller that can wait gets
// one of those to come, and after tells when: it must not go on earlier. Without
// a token in time, after is when one would be there.
func (s *Share) Take(now time.Time, wait time.Duration, leave float64) (ok bool, after time.Duration) {
	s.fill(now)
	leave = min(leave, max(0, s.burst-1))
	if s.tokens >= 1+leave {
		s.tokens--
		return true, 0
	}
	if s.rate <= 0 {
		return false, time.Second
	}
	after = time.Duration((1 + leave - s.tokens) / s.rate * float64(time.Second))
	if after > wait {
		return false, after
	}
	s.tokens--
	return true, after
}

func (s *Share) fill(now time.Time) {
	if !s.last.IsZero() && now.After(s.last) {
		s.tokens = min(s.burst, s.tokens+now.Sub(s.last).Seconds()*s.rate)
	}
	s.last = now
}

// Part returns a host's part of a rate, where the host's demand is own and
// those of all hosts, its own included, sum up to all. Below the rate each host
// gets its demand and an even part of what is spare, so that it can take what
// its callers send next; above the rate it gets a part by its demand. Hosts
// that know the same demands get parts that sum up to the rate.
func Part(rate, own, all float64, hosts int) float64 {
	n := float64(max(hosts, 1))
	if all <= rate {
		return own + (rate-all)/n
	}
	return rate * (evenPart/n + (1-evenPart)*own/all)
}

// Pack puts a demand, in operations a second, into one byte.
func Pack(demand float64) byte {
	if demand < 1.0/demandScale {
		return 0
	}
	n := math.Round(demandScale * math.Log2(demand*demandScale))
	return byte(min(n+1, math.MaxUint8))
}

// Unpack returns the demand that Pack put into b, within a twelfth.
func Unpack(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2(float64(b-1)/demandScale) / demandScale
}
