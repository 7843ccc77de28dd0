package uptime_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/uptime"
)

func TestBefore(t *testing.T) {
	run := func(name string, check func(is *is.I)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				uptime.Restart()
				check(is.New(t))
			})
		})
	}
	run("a moment before the start of the process is not taken for the start", func(is *is.I) {
		now := uptime.Now()
		is.Equal(uptime.Before(now, 3400), now-3400*time.Millisecond)
		is.True(uptime.Before(now, 3400) > 0)
	})
	run("an impossible age overflows to no moment in the future", func(is *is.I) {
		now := uptime.Now()
		for _, age := range []uint64{math.MaxUint64, math.MaxInt64, math.MaxInt64 / 1_000_000, 1 << 50} {
			is.Equal(uptime.Before(now, age), time.Duration(0))
		}
	})
	run("a moment before never is never", func(is *is.I) {
		is.Equal(uptime.Before(0, 1), time.Duration(0))
	})
}
