// Package sched decides which statements of one pool run, wait or are rejected when
// callers of several priorities compete for an instance. Levels are ranks of
// priorities; 0 is served first.
//
// It answers a load of up to some 2,000 waiting statements at one pool, of eight levels,
// 6,000 a second, at an instance that 1 to some 70 pools share without knowing of each
// other's statements. The queue is searched as a whole at most once in 5 ms.
package sched

import (
	"slices"
	"sort"
	"time"
)

// Actions of a decision.
const (
	// Run lets the statement run now.
	Run = iota
	// Wait gives it a place in the queue.
	Wait
	// Reject refuses it; it did not run.
	Reject
)

// Reasons of rejections.
const (
	// Full says that the statement must not wait and there is no room for it.
	Full = "no place is free"
	// Late says that its turn would come too late.
	Late = "its turn would come too late"
	// Expired says that its time ended while it waited.
	Expired = "its time to wait is over"
)

// Levels is how many levels are counted separately; the last one stands for all
// further ones.
const Levels = 8

// Request is a statement that arrives.
type Request struct {
	// Workspace is the workspace that it runs for.
	Workspace string
	// Level is the rank of its priority.
	Level int
	// Objective is what is left of its target latency; 0 if it is not known.
	Objective time.Duration
	// Wait bounds the time for which it may wait; 0 if it must not wait.
	Wait time.Duration
	// Timeout is what is left of its timeout.
	Timeout time.Duration
}

// Waiter is a statement in the queue.
type Waiter struct {
	// Request is the statement.
	Request Request
	// Arrived is when it arrived, and Latest when it has to start at the latest.
	Arrived time.Duration
	Latest  time.Duration
	// deadline is when its objective ends, by which waiters are ordered.
	deadline time.Duration
	// returning says that its caller came back at the turn that it was told.
	returning bool
}

// Decision is what becomes of a statement, and why.
type Decision struct {
	// Action is Run, Wait or Reject.
	Action int
	// Waiter is the place in the queue of a statement that waits.
	Waiter *Waiter
	// RetryAfter is when the caller of a rejected statement is to come back.
	RetryAfter time.Duration
	// Reason says why the statement is rejected.
	Reason string
	// Ahead is how many statements wait before a rejected one.
	Ahead int
}

// Scheduler orders the statements of one pool. Moments are readings of a clock that
// also runs while the machine is suspended. It is not safe for concurrent use.
type Scheduler struct {
	capacity
	levels [Levels]level
	queue  []*Waiter // the next one first
	turns  turns
	// expired is when Expire last looked at the queue.
	expired time.Duration
}

// New returns a scheduler for an instance of one slot that no other pool uses.
func New() *Scheduler {
	s := &Scheduler{
		turns: turns{
			promised: map[turnKey][]time.Duration{},
		},
	}
	s.Resize(1, 1)
	return s
}

// Arrive decides on a statement. ready tells that the pool has a connection for it.
func (s *Scheduler) Arrive(now time.Duration, r Request, ready bool) Decision {
	r.Level = min(max(r.Level, 0), Levels-1)
	s.levels[r.Level].observe(r)
	if ready && s.hasRoom(now, r.Level) && (len(s.queue) == 0 || s.queue[0].Request.Level > r.Level) {
		s.turns.redeem(now, r)
		s.start(now, r.Level, 0)
		return Decision{
			Action: Run,
		}
	}
	if r.Wait <= 0 {
		return s.refuseAtOnce(r) // a promised turn stays
	}
	w := &Waiter{
		Request:   r,
		Arrived:   now,
		Latest:    s.latest(now, r),
		deadline:  now + max(r.Objective, r.Wait), // the objective may not be known
		returning: s.turns.redeem(now, r),
	}
	i := s.position(w)
	if s.expectedWait(s.ahead(now, w, i), r.Level, s.available(r.Level)) > divide(w.Latest-now, admissionMargin) {
		return s.reject(now, w, Late, i)
	}
	s.queue = slices.Insert(s.queue, i, w)
	s.levels[r.Level].waiting++
	return Decision{
		Action: Wait,
		Waiter: w,
	}
}

// refuseAtOnce rejects a statement that must not wait: a read that is tried at another
// instance next. It takes no turn here.
func (s *Scheduler) refuseAtOnce(r Request) Decision {
	return Decision{
		Action:     Reject,
		RetryAfter: s.turns.unpromised(s.horizon(r)),
		Reason:     Full,
		Ahead:      len(s.queue),
	}
}

// latest returns when a statement has to start to be done within its objective. The
// time that it takes varies, so that a quarter of it is added.
func (s *Scheduler) latest(now time.Duration, r Request) time.Duration {
	latest := now + r.Wait
	if r.Objective > 0 {
		latest = min(latest, now+r.Objective-s.levels[r.Level].serviceTime()*5/4)
	}
	return latest
}

// position returns where in the queue a statement belongs: by level, then those who
// come back at their turn, then by deadline.
func (s *Scheduler) position(w *Waiter) int {
	return sort.Search(len(s.queue), func(i int) bool {
		return before(w, s.queue[i])
	})
}

func before(a, b *Waiter) bool {
	switch {
	case a.Request.Level != b.Request.Level:
		return a.Request.Level < b.Request.Level
	case a.returning != b.returning:
		return a.returning
	}
	return a.deadline < b.deadline
}

// ahead returns the work before a statement that has i others before it.
func (s *Scheduler) ahead(now time.Duration, w *Waiter, i int) *work {
	k := &work{}
	n := w.Request.Level
	for j := range n {
		k.add(j, time.Duration(s.levels[j].waiting)*s.levels[j].serviceTime())
		i -= s.levels[j].waiting
	}
	k.add(n, time.Duration(i)*s.levels[n].serviceTime())
	if w.returning {
		return k
	}
	for j := range n + 1 {
		k.add(j, time.Duration(s.turns.due(now, w.Latest, j))*s.levels[j].serviceTime())
	}
	return k
}

// work is how long the statements before one take, in all and of each level.
type work struct {
	all    time.Duration
	levels [Levels]time.Duration
}

func (k *work) add(level int, d time.Duration) {
	k.all += d
	k.levels[level] += d
}

// expectedWait returns how long a statement of a level waits after the work ahead, or
// as one of the few that are served out of order for the floor.
func (s *Scheduler) expectedWait(ahead *work, n int, available float64) time.Duration {
	wait := divide(ahead.all, available)
	if l := &s.levels[n]; n > 0 {
		owed := max(0, ahead.levels[n]+l.serviceTime()-l.floor)
		wait = min(wait, divide(owed, floorFraction*s.others.room))
	}
	return wait
}

// Next returns the waiting statement that runs now; nil if none may. It counts it as
// running. Call Expire first.
func (s *Scheduler) Next(now time.Duration) *Waiter {
	if len(s.queue) == 0 {
		return nil
	}
	i := 0
	if f := s.floorTurn(now); f >= 0 {
		i = f
	} else if !s.hasRoom(now, s.queue[0].Request.Level) {
		return nil
	}
	w := s.queue[i]
	s.removeAt(i)
	s.start(now, w.Request.Level, now-w.Arrived)
	return w
}

// Expire removes the waiting statements that can no longer be served in time and
// returns them with their decisions. It looks at the queue once in expireInterval.
func (s *Scheduler) Expire(now time.Duration) map[*Waiter]Decision {
	if now-s.expired < expireInterval {
		return nil
	}
	s.expired = now
	var available [Levels]float64
	for n := range available {
		available[n] = s.available(n)
	}
	var rejected map[*Waiter]Decision
	var ahead work
	for i := 0; i < len(s.queue); {
		w := s.queue[i]
		n := w.Request.Level
		reason := ""
		switch {
		case now >= w.Latest:
			reason = Expired
		case now+s.expectedWait(&ahead, n, available[n]) > w.Latest+(w.Latest-w.Arrived)/evictionSlack:
			reason = Late
		}
		if reason == "" {
			ahead.add(n, s.levels[n].serviceTime())
			i++
			continue
		}
		s.removeAt(i)
		if rejected == nil {
			rejected = map[*Waiter]Decision{}
		}
		rejected[w] = s.reject(now, w, reason, i)
	}
	return rejected
}

// Refuse rejects a statement that does not wait here, or waits no longer, because the
// pool can't serve it.
func (s *Scheduler) Refuse(now time.Duration, r Request, arrived time.Duration) Decision {
	r.Level = min(max(r.Level, 0), Levels-1)
	if r.Wait <= 0 {
		return s.refuseAtOnce(r)
	}
	return s.reject(now, &Waiter{
		Request: r,
		Arrived: arrived,
	}, Expired, len(s.queue))
}

// Remove removes a waiting statement whose caller has gone. It returns false if the
// statement no longer waits.
func (s *Scheduler) Remove(w *Waiter) bool {
	i := slices.Index(s.queue, w)
	if i < 0 {
		return false
	}
	s.removeAt(i)
	return true
}

func (s *Scheduler) removeAt(i int) {
	s.levels[s.queue[i].Request.Level].waiting--
	s.queue = slices.Delete(s.queue, i, i+1)
}

// reject counts a rejection and chooses when the caller is to come back.
func (s *Scheduler) reject(now time.Duration, w *Waiter, reason string, ahead int) Decision {
	r := w.Request
	l := &s.levels[r.Level]
	l.count(now, &l.missed)
	l.Rejected++
	l.Waited += now - w.Arrived
	left := r
	left.Objective = max(0, r.Objective-(now-w.Arrived))
	left.Timeout = max(0, r.Timeout-(now-w.Arrived))
	var backlog time.Duration
	for j := range r.Level + 1 {
		backlog += time.Duration(s.levels[j].waiting) * s.levels[j].serviceTime()
	}
	return Decision{
		Action:     Reject,
		RetryAfter: s.turns.promise(now, left, divide(backlog, s.available(r.Level)), divide(l.serviceTime(), s.available(r.Level)), s.horizon(left)),
		Reason:     reason,
		Ahead:      ahead,
	}
}

// horizon is within how long a rejected caller is told to come back: such that it can
// come back twice and still be served within its objective, or else within its
// timeout.
func (s *Scheduler) horizon(r Request) time.Duration {
	service := s.levels[r.Level].serviceTime()
	within := time.Duration(timeoutFraction * float64(r.Timeout))
	if r.Objective > service {
		within = min(within, time.Duration(objectiveFraction*float64(r.Objective)))
	}
	return max(within, service, minRetryAfter)
}
