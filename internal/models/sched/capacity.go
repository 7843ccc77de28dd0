package sched

import "time"

const (
	// floorFraction is the part of the capacity that less urgent levels get
	// however much the more urgent ones ask for.
	floorFraction = 0.1
	// floorFairness is how well a level may be served by the floor, compared to the
	// more urgent ones.
	floorFairness = 0.6
	// admissionMargin is by how much the time in which a statement has to start
	// exceeds its expected wait if it gets a place in the queue. At 1, a fourth
	// of those in a full queue wait in vain until their time is over.
	admissionMargin = 1.2
	// evictionSlack divides the time that a statement may wait: it is rejected
	// while it waits once its turn is expected that much too late. Without the
	// slack, errors of the estimate reject statements that would be in time.
	evictionSlack = 4
	// expireInterval is how often the queue is searched for statements that can no
	// longer be served in time: a search is linear in its length.
	expireInterval = 5 * time.Millisecond
	// othersQueue is the part of the most urgent level's target that the queue
	// inside the instance may take before less urgent statements are held back,
	// and urgentQueue the same for the most urgent themselves.
	othersQueue = 0.06
	urgentQueue = 0.15
	// urgentPerSlot is how many of the most urgent statements all pools together
	// send for each slot: one that runs and two that wait.
	urgentPerSlot = 3
	// leastShare is the part of a share below one that a pool keeps to at least
	// while the instance is congested: the shares of all pools together take all
	// slots, and leave none for the most urgent.
	leastShare = 0.5
	// minRoom bounds room from below, so that a pool is never stopped.
	minRoom = 0.05
	// roomIncrease is added to room by a statement that ends undelayed, less if
	// room is below one, and roomDecrease multiplies it at a delay, at most once
	// per service time.
	roomIncrease = 0.2
	roomDecrease = 0.5
	// maxPause bounds the pause between statements.
	maxPause = 500 * time.Millisecond
	// defaultTarget is assumed while no target is known.
	defaultTarget = 250 * time.Millisecond
	// defaultServiceTime is assumed of a level before its first statement ends.
	defaultServiceTime = 15 * time.Millisecond
	// smoothing is the weight of a new service time in the mean.
	smoothing = 1.0 / 8
	// slowSmoothing is the same for the mean whose lowest value is the base: with
	// the weight of the other, the base of times that vary as exponential ones do
	// is half their mean. baseDrift is by how much the base follows upwards.
	slowSmoothing = 1.0 / 32
	baseDrift     = 1.0 / 512
	// loadTime is over how long the average of running statements is taken, and
	// countTime the same of the shares served and rejected.
	loadTime  = 500 * time.Millisecond
	countTime = 10 * time.Second
)

// capacity is how much of the instance this pool uses. The pools that share an instance
// do not know of each other's statements: each follows how much longer statements take
// than when the instance is not busy, as TCP Vegas does.
type capacity struct {
	slots float64
	// urgent bounds the statements of level 0, which may queue inside the instance,
	// and others all further ones.
	urgent  limiter
	others  limiter
	limit   int
	running int
	// delay is how long statements queue inside the instance.
	delay time.Duration
}

// limiter bounds the statements that run at once.
type limiter struct {
	// room is how many may run, from least to most. A room below one is kept by
	// pauses between statements. share is the pool's share of the instance.
	room  float64
	least float64
	most  float64
	share float64
	// paused is until when no statement may start, and decreased when room was
	// last decreased.
	paused    time.Duration
	decreased time.Duration
}

func (v *limiter) resize(share, least, most float64) {
	v.share = share
	v.least = max(least, minRoom)
	v.most = most
	v.room = max(1, v.least)
}

// allows reports whether a statement may start beside those that run.
func (v *limiter) allows(now time.Duration, running int) bool {
	return running < max(1, int(v.room)) && (v.room >= 1 || now >= v.paused)
}

// adapt changes room after a statement that took about the time took, and found the
// instance congested or not.
func (v *limiter) adapt(now, took time.Duration, running int, excess float64) {
	congested := excess > 1
	switch {
	case !congested && (running >= int(v.room) || v.room < 1):
		v.room = min(v.most, v.room+roomIncrease*min(1, v.room))
	case congested && now-v.decreased >= took:
		v.decreased = now
		v.room = max(v.least, v.room*max(1/excess, roomDecrease))
	}
}

// end pauses the limiter after a statement where room is below one.
func (v *limiter) end(now, took time.Duration) {
	if v.room < 1 {
		v.paused = now + min(divide(took, v.room)-took, maxPause)
	}
}

func (s *Scheduler) limiter(level int) *limiter {
	if level == 0 {
		return &s.urgent
	}
	return &s.others
}

// Resize sets the instance's slots and how many pools share them.
func (s *Scheduler) Resize(slots, pools int) {
	all := float64(max(slots, 1))
	share := all / float64(max(pools, 1))
	if all == s.slots && share == s.others.share {
		return
	}
	s.slots = all
	s.urgent.resize(urgentPerSlot*share, urgentPerSlot*share, urgentPerSlot*all)
	least := share
	if share < 1 {
		least *= leastShare
	}
	s.others.resize(share, least, all)
	s.limit = max(s.limit, 1)
}

// SetLimit sets how many statements the pool may send to the instance at once.
func (s *Scheduler) SetLimit(n int) {
	s.limit = n
}

// hasRoom reports whether one more statement of a level may run.
func (s *Scheduler) hasRoom(now time.Duration, level int) bool {
	running := s.running
	if level == 0 {
		running = s.levels[0].running // a long statement of others must not block them
	}
	return s.running < s.limit && s.limiter(level).allows(now, running)
}

// Wake returns when the next statement may start although no other ends; 0 if none
// waits for that.
func (s *Scheduler) Wake(now time.Duration) time.Duration {
	if len(s.queue) == 0 || s.running > 0 {
		return 0
	}
	if v := s.limiter(s.queue[0].Request.Level); v.room < 1 && now < v.paused {
		return v.paused
	}
	return 0
}

// start counts a statement as running.
func (s *Scheduler) start(now time.Duration, n int, waited time.Duration) {
	l := &s.levels[n]
	l.average(now)
	l.Started++
	l.Waited += waited
	l.running++
	s.running++
	for i := n + 1; i < Levels; i++ {
		if less := &s.levels[i]; less.starves(now) {
			less.floor += time.Duration(floorFraction / (1 - floorFraction) * float64(l.serviceTime()))
			less.floor = min(less.floor, 2*less.serviceTime())
		}
	}
}

// Resume counts the next statement of an open transaction as running. It never waits,
// since others may wait for locks that the transaction holds.
func (s *Scheduler) Resume(now time.Duration, n int) {
	l := &s.levels[min(max(n, 0), Levels-1)]
	l.average(now)
	l.running++
	s.running++
}

// End counts a statement as ended.
func (s *Scheduler) End(now time.Duration, n int) {
	n = min(max(n, 0), Levels-1)
	l := &s.levels[n]
	l.average(now)
	l.running--
	s.running--
	s.limiter(n).end(now, l.serviceTime())
	if s.running == 0 && len(s.queue) == 0 {
		s.others.room = min(s.others.room, max(1, s.others.least))
	}
}

// Learn records how long the instance took for a statement that ran, and whether it
// was done within its objective. Call it before End.
func (s *Scheduler) Learn(now time.Duration, n int, took time.Duration, inTime bool) {
	l := &s.levels[min(max(n, 0), Levels-1)]
	l.learn(now, took)
	if inTime {
		l.count(now, &l.served)
	} else {
		l.count(now, &l.missed)
	}
	s.delay += time.Duration(smoothing * float64(took-l.base-s.delay))
	target := float64(s.urgentTarget())
	// The most urgent are held back only where they are most of the load.
	urgentExcess := float64(s.delay) / (urgentQueue * target)
	if 2*s.levels[0].work < s.work() {
		urgentExcess = 0
	}
	s.urgent.adapt(now, l.mean, s.levels[0].running, urgentExcess)
	s.others.adapt(now, l.mean, s.running, float64(s.delay)/(othersQueue*target))
}

// work returns the work done lately.
func (s *Scheduler) work() float64 {
	sum := 0.0
	for i := range s.levels {
		sum += s.levels[i].work
	}
	return sum
}

// urgentTarget returns the target latency of the most urgent level in use.
func (s *Scheduler) urgentTarget() time.Duration {
	for i := range s.levels {
		if o := s.levels[i].objective; o > 0 {
			return o
		}
	}
	return defaultTarget
}

// available returns how many statements of level n run at once on average: what the
// more urgent ones leave, at least the floor.
func (s *Scheduler) available(n int) float64 {
	if n == 0 {
		return min(s.urgent.room, float64(s.limit))
	}
	free := s.others.room
	for i := range s.levels[:n] {
		free -= s.levels[i].load
	}
	return max(free, floorFraction*s.others.room)
}

// floorTurn returns the place in the queue of the less urgent statement whose turn it
// is by the floor; -1 if there is none. No level gets a turn that is nearly as well
// served as a more urgent one.
func (s *Scheduler) floorTurn(now time.Duration) int {
	places := s.limit
	if s.queue[0].Request.Level > 0 {
		places = max(1, places-1) // the last one is left for the most urgent
	}
	if s.running >= places {
		return -1
	}
	best := -1
	chosen := 1.0
	for i, w := range s.queue {
		n := w.Request.Level
		l := &s.levels[n]
		if n == 0 || i > 0 && n == s.queue[i-1].Request.Level || i == 0 && s.hasRoom(now, n) || l.floor < l.serviceTime() {
			continue
		}
		if f := l.fraction(); f <= floorFairness*s.lowestFraction(n) && (best < 0 || f < chosen) {
			best = i
			chosen = f
		}
	}
	if best >= 0 {
		l := &s.levels[s.queue[best].Request.Level]
		l.floor -= l.serviceTime()
	}
	return best
}

// lowestFraction returns the lowest fraction of statements served of the levels that
// are more urgent than n.
func (s *Scheduler) lowestFraction(n int) float64 {
	lowest := 1.0
	for i := range s.levels[:n] {
		lowest = min(lowest, s.levels[i].fraction())
	}
	return lowest
}

// divide returns d divided by n.
func divide(d time.Duration, n float64) time.Duration {
	return time.Duration(float64(d) / n)
}
