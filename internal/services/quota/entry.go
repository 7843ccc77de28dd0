package quota

import (
	"math"
	"strconv"
	"time"

	"wasabislip.example/wasabislip/internal/models/draw"
	"wasabislip.example/wasabislip/internal/models/home"
	"wasabislip.example/wasabislip/internal/models/tokens"
)

const (
	// splitParts is the number of parts of a divided rate. The loss of a home
	// costs one part until the home's lease has expired.
	splitParts = 9
	// wholePart is the index of the only part of an undivided rate.
	wholePart = splitParts
	partCount = splitParts + 1
	// minSplitBurst is the least burst, in statements, for which the rate is
	// divided.
	minSplitBurst = 18
	// drawAhead is the time for which a host draws tokens in advance, at its
	// present demand.
	drawAhead = time.Second
	// demandWindow is the least length of one sample of demand.
	demandWindow = 100 * time.Millisecond
	// divisionDelay is how long hosts may have different configurations. When
	// the division of a rate changes, the parts that come into use start empty,
	// after this delay.
	divisionDelay = 10 * time.Second
)

// entry is the state of one workspace. The shard's lock guards it.
type entry struct {
	workspace string
	// known tells whether the workspace is in the configuration.
	known bool
	rate  float64
	burst float64
	// first and last are the parts in use.
	first int
	last  int
	parts [partCount]part
	// nextPart is the part to draw from next.
	nextPart int
	demand   demand
	// waiting is the number of tokens that statements wait for.
	waiting float64
	// ended is closed when a draw ends; nil while nobody waits.
	ended chan struct{}
}

// part is one part of a workspace's rate: the tokens that this host holds of it,
// and the bucket if this host is its home.
type part struct {
	tokens tokens.Cache
	// requested is the number of tokens that the newest draw asked for, and
	// sentAt when it was sent.
	requested float64
	sentAt    time.Time
	// home is the host that answered as the home; empty if it is not known.
	home string
	// failures counts the draws since a home last answered.
	failures int
	// bucket is nil unless this host is the home, by its lease of that
	// incarnation.
	bucket      *home.Bucket
	incarnation string
	// owner is the home that the last claim found.
	owner string
	// claimAt is when this host may claim the part again.
	claimAt time.Time
	// startAt is when the part comes into use after a change of the division.
	startAt time.Time
}

// demand is a moving average of the statements asked for a second.
type demand struct {
	count       float64
	sampleStart time.Time
	perSecond   float64
}

// add counts n statements.
func (d *demand) add(now time.Time, n float64) {
	d.count += n
	span := now.Sub(d.sampleStart)
	if span < demandWindow {
		return
	}
	sample := d.count / span.Seconds()
	d.perSecond = (d.perSecond + sample) / 2
	d.count = 0
	d.sampleStart = now
}

// setLimits changes rate and burst. If the division changes, the parts that come
// into use start empty, once all hosts know of the change.
func (e *entry) setLimits(now time.Time, rate, burst float64) {
	first, last := division(burst)
	divisionChanged := e.known && first != e.first
	e.known = true
	e.rate = rate
	e.burst = burst
	e.first = first
	e.last = last
	for i := range e.parts {
		p := &e.parts[i]
		switch {
		case !e.active(i):
			p.setLimits(now, 0, 0)
		case divisionChanged:
			p.startAt = now.Add(divisionDelay)
			if p.bucket != nil {
				p.bucket = e.bucket(now, p, 0, e.share(burst))
			}
		default:
			p.setLimits(now, e.share(rate), e.share(burst))
		}
	}
}

// remove makes the workspace be refused from now on. Its buckets are kept, empty:
// they remember the outstanding tokens in case the workspace comes back.
func (e *entry) remove(now time.Time) {
	e.known = false
	for i := range e.parts {
		e.parts[i].setLimits(now, 0, 0)
	}
}

// setLimits changes rate and burst of the part's bucket, if it is here.
func (p *part) setLimits(now time.Time, rate, burst float64) {
	if p.bucket != nil {
		p.bucket.SetLimits(now, rate, burst)
	}
}

// division returns the first and the last part in use at a burst.
func division(burst float64) (first, last int) {
	if burst < minSplitBurst {
		return wholePart, wholePart
	}
	return 0, splitParts - 1
}

// active reports whether the part is in use.
func (e *entry) active(part int) bool {
	return part >= e.first && part <= e.last
}

// share returns one part's share of v.
func (e *entry) share(v float64) float64 {
	return v / float64(e.last-e.first+1)
}

// bucket returns a bucket for p. If p starts later, the bucket is empty, has the
// whole burst outstanding, and refills from p's start on.
func (e *entry) bucket(now time.Time, p *part, available, outstanding float64) *home.Bucket {
	if p.startAt.After(now) {
		now = p.startAt
		available = 0
		outstanding = e.share(e.burst)
	}
	return home.New(now, e.share(e.rate), e.share(e.burst), tokenValidity, available, outstanding)
}

// take takes n tokens if the parts together hold as many.
func (e *entry) take(now time.Time, n float64) bool {
	if e.balance(now) < n {
		return false
	}
	for i := e.first; i <= e.last && n > 0; i++ {
		n -= e.parts[i].tokens.Take(now, n)
	}
	return true
}

// balance returns the number of valid tokens that this host holds of all parts.
func (e *entry) balance(now time.Time) float64 {
	b := 0.0
	for i := e.first; i <= e.last; i++ {
		b += e.parts[i].tokens.Balance(now)
	}
	return b
}

// canGetTokens reports whether tokens may arrive before the deadline: from a draw
// that can be sent or is in flight, or because a home will soon have refilled the
// number that is waited for.
func (e *entry) canGetTokens(now, deadline time.Time) bool {
	for i := e.first; i <= e.last; i++ {
		t := &e.parts[i].tokens
		if t.CanRequest(now) || t.Pending() {
			return true
		}
	}
	wait := e.retryAfter(now)
	soon := wait < refillWait && now.Add(wait).Before(deadline)
	return soon && e.waiting <= e.rate*refillWait.Seconds()
}

// partToAsk returns the part to draw from now for the waiting statements, in round
// robin. It returns -1 if no part can be asked, or if the draws in flight already
// ask for all that is missing.
func (e *entry) partToAsk(now time.Time) int {
	if e.waiting <= e.balance(now)+e.pending(now) {
		return -1
	}
	n := e.last - e.first + 1
	for i := range n {
		k := e.first + (e.nextPart+i)%n
		if e.parts[k].tokens.CanRequest(now) {
			e.nextPart = (e.nextPart + i) % n
			if e.demand.perSecond > e.share(e.rate) {
				e.nextPart = (e.nextPart + 1) % n
			}
			return k
		}
	}
	return -1
}

// retryAfter returns the time until the first home may have tokens again.
func (e *entry) retryAfter(now time.Time) time.Duration {
	least := time.Duration(math.MaxInt64)
	for i := e.first; i <= e.last; i++ {
		t := &e.parts[i].tokens
		if !t.Pending() {
			least = min(least, t.RetryAt().Sub(now))
		}
	}
	return max(least, time.Millisecond)
}

// request returns the next draw from part k: for the statements that wait now, and
// for those expected within drawAhead.
func (e *entry) request(now time.Time, from string, k int) draw.Request {
	balance := e.balance(now)
	pending := e.pending(now)
	need := math.Ceil(max(0, e.waiting-balance-pending))
	ahead := math.Ceil(e.demand.perSecond*drawAhead.Seconds() - balance - pending)
	e.parts[k].requested = need
	e.parts[k].sentAt = now
	return e.parts[k].tokens.Request(now, from, need, max(need, ahead))
}

// pending returns the number of tokens asked for by the draws in flight, without
// those that are late.
func (e *entry) pending(now time.Time) float64 {
	n := 0.0
	for i := e.first; i <= e.last; i++ {
		if e.parts[i].tokens.Pending() && now.Sub(e.parts[i].sentAt) < hedgeAfter {
			n += e.parts[i].requested
		}
	}
	return n
}

// drawEnded returns a channel that is closed when the next draw ends.
func (e *entry) drawEnded() <-chan struct{} {
	if e.ended == nil {
		e.ended = make(chan struct{})
	}
	return e.ended
}

// wakeWaiters closes the channel of drawEnded.
func (e *entry) wakeWaiters() {
	if e.ended != nil {
		close(e.ended)
		e.ended = nil
	}
}

// row returns the name of the part's row in the platform's table.
func row(workspace string, part int) string {
	if part == wholePart {
		return workspace + "/whole"
	}
	return workspace + "/" + strconv.Itoa(part)
}
