package leave_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/leave"
)

// TestBound guards against work that is assigned to a leaving instance so late that it
// arrives after the bound, and against a bound that is too short to use the instance at all.
func TestBound(t *testing.T) {
	check := func(what string, timeout, age time.Duration, accepts, sends bool) {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			b := leave.Bound{
				Timeout: timeout,
			}
			is.Equal(b.AcceptsWork(age), accepts)
			is.Equal(b.MaySend(age), sends)
		})
	}
	check("just announced", 7*time.Second, 0, true, true)
	check("long before the bound", 7*time.Second, 6*time.Second, true, true)
	check("what waits may still be sent", 7*time.Second, 6700*time.Millisecond, false, true)
	check("at the bound", 7*time.Second, 7*time.Second, false, false)
	check("announced at an unknown time", 7*time.Second, 1<<62, false, false)
	check("a short bound", 800*time.Millisecond, 500*time.Millisecond, true, true)
	check("at the end of a short bound", 800*time.Millisecond, 700*time.Millisecond, false, false)
	check("no bound", 0, time.Hour, true, true)
}
