package sched

import (
	"math"
	"time"
)

// Counts are the counts of one level since the start.
type Counts struct {
	// Started is how many statements began to run, Rejected how many were
	// rejected other than at once.
	Started  int64
	Rejected int64
	// Waited is how long all of them waited together.
	Waited time.Duration
}

// Add adds the counts of another pool.
func (c *Counts) Add(other Counts) {
	c.Started += other.Started
	c.Rejected += other.Rejected
	c.Waited += other.Waited
}

// level is what is known of the statements of one level.
type level struct {
	Counts
	running int
	waiting int
	// floor is the slot time that the level is owed, as more urgent statements
	// ran while its own waited or were rejected.
	floor time.Duration
	// load is the average of running, as of averaged.
	load     float64
	averaged time.Duration
	// learned counts the statements whose time is known. mean is the mean time that a statement takes, slow the same over more
	// statements, and base the lowest value of slow lately: the time at an
	// instance that is not busy.
	learned int
	mean    time.Duration
	slow    time.Duration
	base    time.Duration
	// work is the work done lately, in times at an instance that is not busy.
	work   float64
	worked time.Duration
	// objective is the target latency, as far as it was left on arrival.
	objective time.Duration
	// served are the statements lately that were served within their objective,
	// missed those that were served later or rejected.
	served  float64
	missed  float64
	counted time.Duration
}

func (l *level) serviceTime() time.Duration {
	if l.mean == 0 {
		return defaultServiceTime
	}
	return l.mean
}

// observe keeps the largest of the objectives lately.
func (l *level) observe(r Request) {
	if r.Objective >= l.objective {
		l.objective = r.Objective
		return
	}
	l.objective -= (l.objective - r.Objective) / 256
}

// learn records how long a statement took.
func (l *level) learn(now, took time.Duration) {
	l.learned++
	weight := 1 / float64(l.learned)
	l.mean += time.Duration(max(smoothing, weight) * float64(took-l.mean))
	l.slow += time.Duration(max(slowSmoothing, weight) * float64(took-l.slow))
	if weight >= slowSmoothing {
		l.base = l.slow
	} else {
		l.base = min(l.slow, l.base+time.Duration(baseDrift*float64(l.slow-l.base)))
	}
	l.work *= math.Exp(-float64(now-l.worked) / float64(loadTime))
	l.worked = now
	l.work += l.base.Seconds()
}

// average brings load up to date.
func (l *level) average(now time.Duration) {
	l.load += (float64(l.running) - l.load) * (1 - math.Exp(-float64(now-l.averaged)/float64(loadTime)))
	l.averaged = now
}

// count adds one to a count of what happened lately.
func (l *level) count(now time.Duration, n *float64) {
	keep := math.Exp(-float64(now-l.counted) / float64(countTime))
	l.counted = now
	l.served *= keep
	l.missed *= keep
	*n++
}

// starves reports whether statements of the level wait or missed their objective lately.
func (l *level) starves(now time.Duration) bool {
	return l.waiting > 0 || l.missed >= 1 && now-l.counted < countTime
}

// fraction returns the part of the statements lately that was served in time.
func (l *level) fraction() float64 {
	if l.served+l.missed == 0 {
		return 1
	}
	return l.served / (l.served + l.missed)
}

// Counts returns the counts of a level, and how many of its statements wait now.
func (s *Scheduler) Counts(n int) (c Counts, waiting int) {
	return s.levels[n].Counts, s.levels[n].waiting
}
