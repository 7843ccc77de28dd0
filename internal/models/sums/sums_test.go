package sums_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/sums"
	"wasabislip.example/wasabislip/internal/models/usage"
)

func message(from string, incarnation, window, n uint64) *usage.Message {
	return &usage.Message{
		From:        from,
		Incarnation: incarnation,
		Windows: []usage.Content{{
			Window: window,
			Counts: map[string]uint64{"one": n},
		}},
	}
}

// TestSums guards against counts that are added twice, or lost with a restart.
func TestSums(t *testing.T) {
	is := is.New(t)
	s := sums.New()
	for range 2 { // repeated, and out of order
		s.Add(message("a", 1, 10, 7))
		s.Add(message("a", 1, 10, 5))
		s.Add(message("a", 2, 10, 1))
		s.Add(message("b", 1, 10, 2))
	}
	is.Equal(s.Total(10), map[string]uint64{"one": 10})
	is.True(!s.HasAll("a", 1, 10))
	s.Add(message("a", 1, 11, 1))
	is.True(s.HasAll("a", 1, 10))
	is.Equal(len(s.Messages(func(host string, _ uint64) bool { return host == "a" })), 1)
	s.Forget(10, 12)
	s.Add(message("b", 1, 10, 9))
	is.Equal(len(s.Total(10)), 0)
	is.Equal(s.Dropped(), 1)
}

// TestMalformed guards against a message from another host that spoils a report.
func TestMalformed(t *testing.T) {
	is := is.New(t)
	is.NoErr(message("a", 1, 10, 7).Check(10))
	long := message("a", 1, 10, 7)
	for range 20 {
		long.Windows = append(long.Windows, long.Windows[0])
	}
	for _, m := range []*usage.Message{message("", 1, 10, 7), message("a", 0, 10, 7), message("a", 1, 12, 7), message("a", 1, 10, 1<<63), long} {
		is.True(m.Check(10) != nil)
	}
}
