package ramp_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/ramp"
)

const most = 10

// refusals counts how often a pool with open connections, which always wants one more,
// is refused in some time.
func refusals(open int, length time.Duration) int {
	var r ramp.Ramp
	n := 0
	for now := time.Duration(0); now < length; now += time.Millisecond {
		if open < r.Limit(now, most) {
			r.RecordRefused(now, now, open)
			n++
		}
	}
	return n
}

func TestRamp(t *testing.T) {
	t.Run("without a refusal the own limit applies", func(t *testing.T) {
		is := is.New(t)
		var r ramp.Ramp
		is.Equal(r.Limit(0, most), most)
		is.Equal(r.Wake(0), time.Duration(0))
	})
	// Guards against storms: 12,283 connections were refused on one day.
	t.Run("at the instance's limit it asks once a second", func(t *testing.T) {
		is := is.New(t)
		is.True(refusals(4, time.Minute) <= 62)
	})
	t.Run("without a connection it asks four times a second", func(t *testing.T) {
		is := is.New(t)
		n := refusals(0, time.Minute)
		is.True(n >= 235 && n <= 245)
	})
	t.Run("it opens again step by step", func(t *testing.T) {
		is := is.New(t)
		var r ramp.Ramp
		r.RecordRefused(1, 0, 2)
		r.RecordRefused(2, 0, 1) // was under way as well
		is.Equal(r.Limit(0, most), 1)
		now := r.Wake(0)
		is.True(now > 0)
		for open := 1; open < most; {
			next := r.Limit(now, most)
			is.True(next > open && next <= 2*open+1)
			for open < next {
				open++
				r.RecordOpened(open, most)
			}
		}
		is.Equal(r.Limit(now, 2*most), 2*most) // no longer limited
	})
}
