package clock_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/clock"
)

// TestClock guards against windows that move when some hosts' wall clocks jump.
func TestClock(t *testing.T) {
	is := is.New(t)
	const exact = 1000 * time.Hour
	offset := func(c *clock.Clock, now, own time.Duration, hosts int, others ...time.Duration) time.Duration {
		d, ok := c.Offset(now, own, others, hosts)
		if !ok {
			return -1
		}
		return d
	}
	c := &clock.Clock{}
	is.Equal(offset(c, time.Second, exact, 5), time.Duration(-1)) // no other clock yet
	is.Equal(offset(c, 2*time.Second, exact, 5, exact+time.Millisecond, exact+2*time.Millisecond), exact+time.Millisecond)
	jumped := exact + time.Hour
	is.True((offset(c, 3*time.Second, jumped, 5, exact, exact, jumped, exact+time.Millisecond) - exact).Abs() < time.Second)
	is.True((offset(c, 3*time.Second, jumped, 4, exact, exact, jumped) - exact).Abs() < time.Second) // half of them
	is.True((offset(c, 4*time.Second, jumped, 5) - exact).Abs() < time.Second)                       // alone
	alone := &clock.Clock{}
	is.Equal(offset(alone, time.Second, exact, 5), time.Duration(-1))
	is.Equal(offset(alone, 12*time.Second, exact, 5), exact) // the others are gone
	is.Equal(offset(&clock.Clock{}, time.Second, exact, 1), exact)
}
