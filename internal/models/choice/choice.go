// Package choice decides in which order instances are asked to run a read, from load
// reports that are up to two seconds old.
//
// It answers a load of 9 to 590 hosts that choose among 3 to 24 instances at the same
// moment, each knowing only what an instance held some time ago. Hosts that take the
// least loaded instance all take the same one. Here they divide their reads evenly, and
// move only so many from a loaded instance to others as correct the difference within
// a few times the age of the reports. See docs/design/balancing.md.
package choice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wasabislip.example/wasabislip/internal/models/load"
)

// Reasons for an order.
const (
	// Sole is the reason when there are fewer than two candidates.
	Sole = "sole"
	// Uninformed is the reason when no candidate's load is known.
	Uninformed = "no-load-known"
	// Preferred is the reason when the first one is preferred for its data centre and
	// its role.
	Preferred = "preferred"
	// Overflow is the reason when another one goes first, since the queues of the
	// preferred ones cost more than it does.
	Overflow = "overflow"
)

const (
	// maxAge is the age from which a report does not count.
	maxAge = 2 * time.Second
	// gain is the part of a difference in backlog that is corrected within the age of
	// the reports. At 2 the load swings: hosts correct again what is corrected already.
	gain = 0.3
	// overflowGain is the same for what goes beyond the preferred instances. It is
	// larger, since they get no relief before a queue has built up. In the simulation 1
	// and 3 give the same queues at 200 ms, 3 shorter ones at 1 s.
	overflowGain = 3
	// settleTime is added to the age of a report: a statement that is sent now takes
	// about half of its own service time until it shows in the next one.
	settleTime = 10 * time.Millisecond
	// defaultService is the service time of an instance as long as none is known.
	defaultService = 20 * time.Millisecond
	// remoteCost is the cost of an instance in another data centre: a round trip of 2
	// to 2.8 ms, and as much again for the price of its bytes.
	remoteCost = 6 * time.Millisecond
	// primaryCost is the cost of the primary, since writes need its slots: about the
	// time for which one read takes up a slot.
	primaryCost = 20 * time.Millisecond
	// errorCost is the cost of an answer that is an error: a caller that tries again
	// does so after some 50 to 300 ms.
	errorCost = 200 * time.Millisecond
	// failingErrors is the share of errors of an instance that did not answer lately. It
	// leaves it some reads, so that its return is seen.
	failingErrors = 0.5
	// unprovenShare is the part of an even share for an instance that fails or has just
	// started. It is small enough for one that is half as fast as the others.
	unprovenShare = 0.5
	// slowness is how many times as long as the fastest instance one may take before its
	// share falls. Averages of some ten answers differ by less without a cause. minSpeed
	// bounds how far it falls, so that the instance is still measured.
	slowness = 1.5
	minSpeed = 0.1
	// maxCredit bounds the reads that an instance is due. One that answers slowly or
	// not at all is then passed over while this host's statements pile up at it.
	maxCredit = 1
	// maxCredits bounds the instances whose credits are kept.
	maxCredits = 64
)

// Report is a load report as it counts now.
type Report struct {
	load.Report
	// Age is the time since the request was sent whose answer brought the report.
	Age time.Duration
}

// Candidate is an instance that is fresh enough for a read.
type Candidate struct {
	// ID names the instance.
	ID string
	// Slots is how many statements it runs concurrently.
	Slots int
	// Local says that it is in this host's data centre, Primary that it is the
	// primary.
	Local   bool
	Primary bool
	// Failing says that it did not answer lately, Cold that it is slow since it has
	// just started.
	Failing bool
	Cold    bool
	// Errors is the share of errors among its latest answers to this host, 0 to 1.
	Errors float64
	// StartedMs is the Unix millisecond of its start; 0 if unknown.
	StartedMs int64
	// InFlight is how many statements this host has at it now.
	InFlight int
	// Latency is this host's moving average of its answers, LatencyAge the age of the
	// last one.
	Latency    time.Duration
	LatencyAge time.Duration
	// Hosts is how many hosts hold connections to it; 0 if unknown.
	Hosts int
	// Reports are the latest load reports of different hosts.
	Reports []Report
}

// Chooser orders the instances of one service. It remembers what it has dealt to each,
// so that their shares are exact. One goroutine uses it at a time.
type Chooser struct {
	// Random returns random numbers from 0 to 1.
	Random func() float64

	// credits are the reads that each instance is due: its shares so far less the
	// reads that it got.
	credits map[string]float64
}

// Order returns the indices of the candidates in the order in which they are to be
// asked, and the reason why the first one goes first.
func (c *Chooser) Order(list []Candidate) (order []int, reason string) {
	order = make([]int, len(list))
	for i := range list {
		order[i] = i
	}
	if len(list) < 2 {
		return order, Sole
	}
	e := newEstimates(list)
	shares := e.shares()
	first := c.deal(list, shares)
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(rank(a, first), rank(b, first)), cmp.Compare(e.expected(a), e.expected(b)))
	})
	switch {
	case !e.informed:
		return order, Uninformed
	case e.preferred(first):
		return order, Preferred
	}
	return order, Overflow
}

// rank returns 0 for the first candidate and 1 for all others.
func rank(i, first int) int {
	if i == first {
		return 0
	}
	return 1
}

// deal returns the candidate that is due a read: the one that has the fewest of this
// host's statements and got the fewest reads so far, by its share.
func (c *Chooser) deal(list []Candidate, shares []float64) int {
	if c.credits == nil || len(c.credits) > maxCredits {
		c.credits = map[string]float64{}
	}
	inFlight := 1
	for i, share := range shares {
		if share > 0 {
			inFlight += list[i].InFlight
		}
	}
	first, most := 0, math.Inf(-1)
	for i, share := range shares {
		id := list[i].ID
		credit, ok := c.credits[id]
		if !ok {
			credit = c.Random() - 0.5 // so that hosts don't start with the same instance
		}
		credit += share
		c.credits[id] = credit
		due := credit + share*float64(inFlight) - float64(list[i].InFlight)
		if share > 0 && due > most {
			first = i
			most = due
		}
	}
	c.credits[list[first].ID]--
	c.limit(list, shares)
	return first
}

// limit passes what exceeds the bound of an instance's credit on to the others, by
// their shares.
func (c *Chooser) limit(list []Candidate, shares []float64) {
	for i := range list {
		over := c.credits[list[i].ID] - maxCredit
		if over <= 0 || shares[i] >= 1 {
			continue
		}
		c.credits[list[i].ID] = maxCredit
		for j := range list {
			if j != i {
				c.credits[list[j].ID] += over * shares[j] / (1 - shares[i])
			}
		}
	}
}
