package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// objectiveFraction is the fraction of what is left of a statement's objective
	// after which its caller is told to come back at the latest. A caller that
	// comes back twice and then waits half of its target is still in time. Of the
	// least urgent in a burst at twice the capacity, 0.41 were served in time with
	// 0.25, 0.38 with 0.4, and 0.20 where those without a turn were told up to 0.4
	// of their timeout (trials with one pool).
	objectiveFraction = 0.25
	// timeoutFraction is the same of a statement's timeout, for one whose
	// objective is not known or over.
	timeoutFraction = 0.4
	// minRetryAfter is the least time after which a caller is told to come back:
	// about the time in which a place becomes free.
	minRetryAfter = 10 * time.Millisecond
	// turnEarly and turnLate are how long before and after its turn a caller may
	// come to keep it: callers' timers and the network vary by as much.
	turnEarly = 10 * time.Millisecond
	turnLate  = 150 * time.Millisecond
	// goldenRatio spreads successive times evenly over an interval.
	goldenRatio = 0.6180339887498949
)

// turnKey is who is promised a turn.
type turnKey struct {
	workspace string
	level     int
}

// turns are the moments at which rejected callers were told to come back. They are
// given out as fast as the level is served, so that not all come back at once. Their
// number is bounded by what the pool serves within the timeouts of its statements.
type turns struct {
	promised map[turnKey][]time.Duration
	// order holds the turns of each level, the earliest first.
	order [Levels][]time.Duration
	// last is each level's latest turn, pruned when turns were last forgotten.
	last   [Levels]time.Duration
	pruned time.Duration
	// spread counts the times given out without a turn.
	spread float64
}

// promise returns the time until the caller's turn: after those that wait and those
// that were promised one before. spacing is how often the level is served. Without a
// turn within the horizon, the time is spread over the second half of the horizon.
func (t *turns) promise(now time.Duration, r Request, backlog, spacing, horizon time.Duration) time.Duration {
	turn := max(now+max(backlog, minRetryAfter), t.last[r.Level]+spacing)
	if turn > now+horizon {
		return t.unpromised(horizon)
	}
	t.last[r.Level] = turn
	t.prune(now)
	key := turnKey{
		workspace: r.Workspace,
		level:     r.Level,
	}
	t.promised[key] = append(t.promised[key], turn)
	t.order[r.Level] = append(t.order[r.Level], turn)
	return turn - now
}

// unpromised returns a time at which nothing is promised, other than those before.
func (t *turns) unpromised(within time.Duration) time.Duration {
	t.spread = math.Mod(t.spread+goldenRatio, 1)
	return within/2 + time.Duration(t.spread*float64(within/2))
}

// redeem reports whether a caller comes at a turn that it was promised, and removes
// the turn.
func (t *turns) redeem(now time.Duration, r Request) bool {
	key := turnKey{
		workspace: r.Workspace,
		level:     r.Level,
	}
	list := t.promised[key]
	i := slices.IndexFunc(list, func(turn time.Duration) bool {
		return turn-turnEarly <= now && now <= turn+turnLate
	})
	if i < 0 {
		return false
	}
	if j, ok := slices.BinarySearch(t.order[r.Level], list[i]); ok {
		t.order[r.Level] = slices.Delete(t.order[r.Level], j, j+1)
	}
	t.promised[key] = slices.Delete(list, i, i+1)
	return true
}

// due returns how many callers of a level will come back at their turns before a
// moment.
func (t *turns) due(now, before time.Duration, level int) int {
	from, _ := slices.BinarySearch(t.order[level], now-turnLate)
	to, _ := slices.BinarySearch(t.order[level], before)
	return max(0, to-from)
}

// prune forgets the turns that have passed.
func (t *turns) prune(now time.Duration) {
	if now-t.pruned < turnLate {
		return
	}
	t.pruned = now
	for level, list := range t.order {
		passed, _ := slices.BinarySearch(list, now-turnLate)
		t.order[level] = slices.Delete(list, 0, passed)
	}
	for key, list := range t.promised {
		list = slices.DeleteFunc(list, func(turn time.Duration) bool {
			return turn+turnLate < now
		})
		if len(list) == 0 {
			delete(t.promised, key)
		} else {
			t.promised[key] = list
		}
	}
}
