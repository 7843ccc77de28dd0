package rates_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/permit"
)

// TestRetryAfter guards against callers that are all told to come back at the same
// moment, of whom one gets the token: retries of 24,192 rejections came together.
func TestRetryAfter(t *testing.T) {
	t.Run("refused callers get turns a token apart", func(t *testing.T) {
		withFullHome(t, func(is *is.I, refuse func(level int) time.Duration) {
			last := refuse(0)
			for range 5 {
				next := refuse(0)
				is.True(next-last >= 99*time.Millisecond)
				is.True(next <= time.Second)
				last = next
			}
		})
	})
	t.Run("the less urgent do not delay the urgent", func(t *testing.T) {
		withFullHome(t, func(is *is.I, refuse func(level int) time.Duration) {
			for range 5 {
				refuse(1)
			}
			is.True(refuse(0) <= 200*time.Millisecond)
		})
	})
	t.Run("turns stay within a second", func(t *testing.T) {
		withFullHome(t, func(is *is.I, refuse func(level int) time.Duration) {
			for range 50 {
				is.True(refuse(0) <= time.Second)
			}
		})
	})
}

// TestReason guards against refusals whose cause can't be told: the limit that decided,
// what was granted in the window and what is allowed.
func TestReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(10, 10)
		home := f.hosts[0]
		home.Homes = &placement{
			here: true,
		}
		m := &meter{}
		home.Meter = m
		f.gossip()
		var why string
		for ok := true; ok; {
			ok, _, why = home.Grant("w", permit.Request{})
		}
		for _, figure := range []string{"rate 10.0", "bucket", "in 5s granted", "allowed 82"} {
			is.True(strings.Contains(why, figure))
		}
		is.Equal(m.limit, "bucket")
		is.True(m.used > 0 && m.used < 1)
	})
}

// meter records the last refusal.
type meter struct {
	limit string
	used  float64
}

func (m *meter) RecordRateRefusal(limit string, used float64) {
	m.limit = limit
	m.used = used
}

// withFullHome runs a check on a home of rate 10 that has no tokens left. refuse asks
// once more and returns the retry-after.
func withFullHome(t *testing.T, check func(is *is.I, refuse func(level int) time.Duration)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(10, 10)
		home := f.hosts[0]
		home.Homes = &placement{
			here: true,
		}
		f.gossip()
		for ok := true; ok; {
			ok, _, _ = home.Grant("w", permit.Request{})
		}
		check(is, func(level int) time.Duration {
			ok, after, _ := home.Grant("w", permit.Request{
				Level: level,
			})
			is.True(!ok)
			return after
		})
	})
}
