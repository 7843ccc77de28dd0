package choice

import (
	"math"
	"time"
)

// estimate is what the reports tell of one candidate.
type estimate struct {
	// load is how many statements run and wait at it; trust, 0 to 1, is how much of
	// that is known.
	load  float64
	trust float64
	// age is the age of the reports.
	age time.Duration
	// answer is the time that it takes for an answer, service the part of it for which a
	// statement takes up a slot; both are 0 if unknown.
	answer  time.Duration
	service time.Duration
	// errors is the share of errors among its answers.
	errors float64
	// unproven says that it may look idle without being able to take load.
	unproven bool
	// cost is what it costs beyond the time that it takes.
	cost time.Duration
}

// estimates are the estimates of all candidates.
type estimates struct {
	list []Candidate
	each []estimate
	// informed says that the load of one of them is known.
	informed bool
	// service is the mean service time, lowest the lowest cost, fewest the fewest
	// errors, quickest the lowest latency of this host, fastest the shortest answer time.
	service  time.Duration
	fastest  time.Duration
	lowest   time.Duration
	fewest   float64
	quickest time.Duration
}

func newEstimates(list []Candidate) *estimates {
	e := &estimates{
		list:     list,
		each:     make([]estimate, len(list)),
		service:  defaultService,
		lowest:   remoteCost + primaryCost,
		fewest:   1,
		quickest: maxAge,
		fastest:  math.MaxInt64,
	}
	var sum time.Duration
	var known int
	for i := range list {
		x := &e.each[i]
		x.read(&list[i])
		if x.service > 0 {
			sum += x.service
			known++
			e.fastest = min(e.fastest, x.answer)
		}
		e.informed = e.informed || x.trust > 0
		e.lowest = min(e.lowest, x.cost)
		e.fewest = min(e.fewest, x.errors)
		if list[i].Latency > 0 && list[i].LatencyAge < maxAge {
			e.quickest = min(e.quickest, list[i].Latency)
		}
	}
	if known > 0 {
		e.service = sum / time.Duration(known)
	}
	e.fill()
	return e
}

// read sets the estimate from a candidate's own reports.
func (x *estimate) read(c *Candidate) {
	if !c.Local {
		x.cost += remoteCost
	}
	if c.Primary {
		x.cost += primaryCost
	}
	x.errors = c.Errors
	if c.Failing {
		x.errors = max(x.errors, failingErrors)
	}
	started := c.StartedMs
	for _, r := range c.Reports {
		started = max(started, r.StartedMs)
	}
	x.unproven = c.Cold || c.Failing || c.StartedMs > 0 && started > c.StartedMs
	var heard int
	var total, running, weights, ages, services float64
	for _, r := range c.Reports {
		if r.Age >= maxAge || r.Age < 0 || r.StartedMs > 0 && r.StartedMs < started {
			continue
		}
		weight := 1 - r.Age.Seconds()/maxAge.Seconds()
		heard++
		total += weight * float64(r.Total())
		running += weight * float64(r.Running)
		weights += weight
		ages += weight * float64(r.Age)
		services += weight * float64(r.Service)
	}
	if weights == 0 {
		return
	}
	hosts := float64(max(c.Hosts, heard))
	slots := float64(max(c.Slots, 1))
	// Hosts that were not heard put as much load on it as those that were.
	x.load = total / weights * hosts
	x.trust = weights / hosts
	x.age = time.Duration(ages / weights)
	// An answer from an instance with more statements than slots includes a wait.
	x.answer = time.Duration(services / weights)
	x.service = time.Duration(float64(x.answer) * slots / max(slots, running/weights*hosts))
}

// fill replaces what is not known of a candidate's load by the mean of the others. An
// unproven one counts as loaded at least as the mean.
func (e *estimates) fill() {
	var sum, weights float64
	for i, x := range e.each {
		sum += x.trust * x.load / e.slots(i)
		weights += x.trust
	}
	mean := 0.0
	if weights > 0 {
		mean = sum / weights
	}
	for i := range e.each {
		x := &e.each[i]
		usual := mean * e.slots(i)
		x.load = usual + x.trust*(x.load-usual)
		if x.unproven {
			x.load = max(x.load, usual)
		}
	}
}

func (e *estimates) slots(i int) float64 {
	return float64(max(e.list[i].Slots, 1))
}

// preferred reports whether a candidate has the lowest cost.
func (e *estimates) preferred(i int) bool {
	return e.each[i].cost == e.lowest
}

// backlog is the time that an instance needs for the statements that it has.
func (e *estimates) backlog(i int) time.Duration {
	return time.Duration(e.each[i].load / e.slots(i) * float64(e.service))
}

// wait is the time for which one more statement is expected to wait for a slot. Where no
// report tells, it is the time by which the instance answers this host later than
// another does. Errors beyond those of the others count as the time of another try.
func (e *estimates) wait(i int) time.Duration {
	c := &e.list[i]
	x := &e.each[i]
	retry := time.Duration((x.errors - e.fewest) * float64(errorCost))
	if x.trust == 0 && c.Latency > 0 && c.LatencyAge < maxAge {
		age := 1 - c.LatencyAge.Seconds()/maxAge.Seconds()
		return retry + time.Duration(age*float64(c.Latency-e.quickest))
	}
	queued := max(0, x.load+1-e.slots(i))
	return retry + time.Duration(queued/e.slots(i)*float64(e.service))
}

// expected is the cost of one more statement, by which the candidates after the first
// one are ordered.
func (e *estimates) expected(i int) time.Duration {
	t := e.wait(i) + e.each[i].cost
	if e.each[i].unproven {
		t += maxAge
	}
	return t
}

// capacity is the part of a candidate's slots that it can be given.
func (e *estimates) capacity(i int) float64 {
	n := e.slots(i) * (1 - (e.each[i].errors - e.fewest))
	if e.each[i].unproven {
		n *= unprovenShare
	}
	if answer := e.each[i].answer; answer > 0 {
		n *= max(minSpeed, min(1, slowness*e.fastest.Seconds()/answer.Seconds()))
	}
	return n
}

// shares returns the share of the reads that each candidate is to get, whose sum is 1.
//
// The preferred candidates share by their capacity, less what corrects a backlog above
// their mean within the age of the reports. Others get what corrects the difference
// between the shortest wait of a preferred one and their own, beyond their extra cost.
func (e *estimates) shares() []float64 {
	var capacity, backlog float64
	shortest := time.Duration(-1)
	for i := range e.list {
		if !e.preferred(i) {
			continue
		}
		n := e.capacity(i)
		capacity += n
		backlog += n * e.backlog(i).Seconds()
		if wait := e.wait(i); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	shares := make([]float64, len(e.list))
	var sum float64
	for i := range e.list {
		horizon := (e.each[i].age + settleTime).Seconds()
		if !e.preferred(i) {
			saved := (shortest - e.wait(i) - e.each[i].cost + e.lowest).Seconds()
			shares[i] = e.capacity(i) * max(0, overflowGain*saved/horizon)
		} else if capacity > 0 {
			excess := e.backlog(i).Seconds() - backlog/capacity
			shares[i] = e.capacity(i) * max(0, 1-gain*excess/horizon)
		}
		sum += shares[i]
	}
	for i := range shares {
		if sum > 0 {
			shares[i] /= sum
		} else {
			shares[i] = 1 / float64(len(shares))
		}
	}
	return shares
}
