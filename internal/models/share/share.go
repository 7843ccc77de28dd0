// Package share divides a workspace's rate among hosts by what each is asked
// for.
package share

import (
	"math"
	"time"
)

const (
	// evenPart is the part of a rate that is divided evenly, so that a host
	// which nobody asked yet can admit the first operations at once. The
	// rest follows demand.
	evenPart = 0.3
	// demandScale is the number of steps for each doubling of a demand in
	// its one-byte form.
	demandScale = 8
)

// Share is one host's part of one workspace's rate: a token bucket. It is not
// safe for concurrent use.
type Share struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// Set changes the host's part. A bucket starts with no token and fills up.
func (s *Share) Set(now time.Time, rate, burst float64) {
	s.fill(now)
	s.rate = rate
	s.burst = burst
	s.tokens = min(s.tokens, burst)
}

// Take takes one token; without one it returns when the next is there.
func (s *Share) Take(now time.Time) (ok bool, after time.Duration) {
	s.fill(now)
	if s.tokens >= 1 {
		s.tokens--
		return true, 0
	}
	if s.rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((1 - s.tokens) / s.rate * float64(time.Second))
}

func (s *Share) fill(now time.Time) {
	if !s.last.IsZero() && now.After(s.last) {
		s.tokens = min(s.burst, s.tokens+now.Sub(s.last).Seconds()*s.rate)
	}
	s.last = now
}

// Part returns the part, 0 to 1, of a rate that falls to a host with demand
// own among hosts hosts whose demands sum up to all, its own included. Hosts
// that know the same demands get parts that sum up to 1.
func Part(own, all float64, hosts int) float64 {
	even := 1 / float64(max(hosts, 1))
	if all <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/all
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
