package slide_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabislip.example/wasabislip/internal/models/slide"
)

const length = 5 * time.Second

// TestWindow guards against a sum below what was added within the window, which would
// let a home exceed a workspace's bound.
func TestWindow(t *testing.T) {
	t.Run("never below the exact count, and above it by one slice at most", rapid.MakeCheck(func(t *rapid.T) {
		w := slide.Window{
			Length: length,
		}
		now := time.Unix(1000, 0)
		var added []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "add") {
				w.Add(now, 1)
				added = append(added, now)
			}
			exact, withSlice := 0.0, 0.0
			for _, at := range added {
				if now.Sub(at) < length {
					exact++
				}
				if now.Sub(at) <= length+length/50 {
					withSlice++
				}
			}
			if got := w.Sum(now); got < exact || got > withSlice {
				t.Fatalf("sum %v, want %v to %v", got, exact, withSlice)
			}
		}
	}))
	t.Run("the wait ends when so many have left", func(t *testing.T) {
		is := is.New(t)
		w := slide.Window{
			Length: length,
		}
		now := time.Unix(1000, 0)
		w.Add(now, 3)
		w.Add(now.Add(time.Second), 2)
		now = now.Add(2 * time.Second)
		for n, left := range map[float64]float64{1: 2, 3: 2, 4: 0} {
			wait := w.Wait(now, n)
			is.True(w.Sum(now) == 5)
			later := w
			is.Equal(later.Sum(now.Add(wait)), left)
		}
		is.Equal(w.Wait(now, 6), length)
	})
}

// TestLevel guards against a level with which a home exceeds the allowance of a window,
// or a successor that grants the rate from then on.
func TestLevel(t *testing.T) {
	t.Run("no window above burst and rate, also if the rate is granted from then on", rapid.MakeCheck(func(t *rapid.T) {
		const rate, burst = 20.0, 30.0
		w := slide.Window{
			Length: length,
		}
		now := time.Unix(1000, 0)
		var taken []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			for n := slide.Level(now, rate, burst, &w); n >= 1; n-- {
				w.Add(now, 1)
				taken = append(taken, now)
			}
			past := 0.0
			for i := len(taken) - 1; i >= 0 && now.Sub(taken[i]) < length; i-- {
				past++
				if allowed := burst + rate*now.Sub(taken[i]).Seconds(); past > allowed {
					t.Fatalf("%v taken in %v, allowed %v", past, now.Sub(taken[i]), allowed)
				}
			}
		}
	}))
	t.Run("full again after a window", func(t *testing.T) {
		is := is.New(t)
		w := slide.Window{
			Length: length,
		}
		now := time.Unix(1000, 0)
		w.Add(now, 30)
		is.Equal(slide.Level(now, 20, 30, &w), 0.0)
		is.Equal(slide.Level(now.Add(length+length/50), 20, 30, &w), 30.0)
	})
}
