package cfgver_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabislip.example/wasabislip/internal/models/cfgver"
)

// lastRead returns the time of the last read that found version or an earlier
// one.
func lastRead(reads map[uint64]time.Time, version uint64) time.Time {
	var last time.Time
	for v, at := range reads {
		if v <= version && at.After(last) {
			last = at
		}
	}
	return last
}

// TestNeverReverts observes and installs versions in any order. It checks that
// the version in force only grows, is one that was observed, and counts as
// confirmed only by a read that found it or an earlier one.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := cfgver.State{
			MaxStaleness: time.Second,
		}
		start := time.Now()
		reads := map[uint64]time.Time{}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			before := s
			version := rapid.Uint64Range(0, 6).Draw(t, "version")
			if rapid.Bool().Draw(t, "learn") {
				readAt := start.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond)
				s.Observe(version, fmt.Sprint(version), readAt)
				if readAt.After(reads[version]) {
					reads[version] = readAt
				}
			} else if _, ok := reads[version]; ok {
				s.Install(version, fmt.Sprint(version))
			}
			is.True(s.Version >= before.Version)
			is.True(s.Newest >= before.Newest)
			is.True(s.Newest >= s.Version)
			if s.Version > 0 {
				is.Equal(s.Hash, fmt.Sprint(s.Version))
				is.True(!s.ConfirmedAt.After(lastRead(reads, s.Version)))
			}
		}
	})
}
