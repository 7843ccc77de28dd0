package rates

import "time"

const (
	// maxTurn bounds how far ahead a refused caller's turn may lie: callers of most
	// routes give up after a second or so. Beyond it the turns begin anew.
	maxTurn = time.Second
	// levels is how many levels have turns of their own; the least urgent share the last.
	levels = 3
)

// turns spreads the times at which refused callers are told to come back over the
// moments at which tokens come, so that they do not all come back for the same one. The
// turns of a level do not delay those of a more urgent one.
type turns struct {
	last [levels]time.Time
}

// next returns the retry-after of a caller that finds a token after some time at the
// earliest; rate is the number of tokens a second.
func (t *turns) next(now time.Time, level int, after time.Duration, rate float64) time.Duration {
	last := &t.last[min(max(0, level), levels-1)]
	turn := now.Add(after)
	if rate > 0 {
		if next := last.Add(time.Duration(float64(time.Second) / rate)); next.After(turn) && next.Before(now.Add(max(maxTurn, after))) {
			turn = next
		}
	}
	*last = turn
	return turn.Sub(now)
}
