// Package slide counts operations in a sliding window.
package slide

import "time"

// slices is the number of slices of a window. A slice stays in the sum until all of it
// is older than the window, so that the sum is too high by at most one slice's count,
// never too low.
const slices = 50

// Window is a sliding sum. The zero value is empty; its length is set by the first
// call of Add. It holds slices+1 numbers and is not safe for concurrent use.
type Window struct {
	// Length is the time after which a count no longer belongs to the window.
	Length time.Duration

	counts [slices + 1]float64
	sum    float64
	// start is the start of the newest slice, at index newest.
	start  time.Time
	newest int
}

// Add adds n to the sum at a moment; earlier moments than the last one count as that.
func (w *Window) Add(now time.Time, n float64) {
	w.advance(now)
	w.counts[w.newest] += n
	w.sum += n
}

// Sum returns the sum of what was added within Length before a moment.
func (w *Window) Sum(now time.Time) float64 {
	w.advance(now)
	return max(0, w.sum)
}

// Wait returns how long it takes until at least n of the present sum have left the
// window; Length if there are fewer.
func (w *Window) Wait(now time.Time, n float64) time.Duration {
	w.advance(now)
	slice := w.Length / slices
	left := 0.0
	for age := slices; age >= 0; age-- {
		left += w.counts[(w.newest-age+slices+1)%(slices+1)]
		if left >= n {
			end := w.start.Add(-time.Duration(age-1) * slice)
			return max(0, end.Add(w.Length).Sub(now))
		}
	}
	return w.Length
}

// Level returns how many tokens a bucket holds that was full a window ago, from which
// what the windows counted was taken; all of them have the length of the first.
func Level(now time.Time, rate, burst float64, windows ...*Window) float64 {
	level := burst
	slice := windows[0].Length / slices
	taken := 0.0
	for _, w := range windows {
		w.advance(now)
	}
	for age := range slices + 1 {
		for _, w := range windows {
			taken += w.counts[(w.newest-age+slices+1)%(slices+1)]
		}
		// What was taken in a slice may have been taken at its end.
		since := max(0, time.Duration(age-1)*slice)
		level = min(level, burst+rate*since.Seconds()-taken)
	}
	return level
}

// advance removes the slices that have left the window.
func (w *Window) advance(now time.Time) {
	slice := w.Length / slices
	if w.start.IsZero() {
		w.start = now
	}
	passed := now.Sub(w.start) / max(1, slice)
	if passed <= 0 {
		return
	}
	if passed > slices {
		w.counts = [slices + 1]float64{}
		w.sum = 0
		w.start = now
		return
	}
	for range passed {
		w.newest = (w.newest + 1) % (slices + 1)
		w.sum -= w.counts[w.newest]
		w.counts[w.newest] = 0
	}
	w.start = w.start.Add(passed * slice)
}
