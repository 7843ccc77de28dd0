package commit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/commit"
)

func TestTimes(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	times := &commit.Times{}
	_, known := times.At(1)
	is.True(!known)
	times.Record(20, start.Add(2*time.Second))
	times.Record(10, start.Add(time.Second))
	at, known := times.At(11)
	is.True(known)
	is.Equal(at, start.Add(2*time.Second))
	at, _ = times.At(10)
	is.Equal(at, start.Add(time.Second))
	for n := range uint64(5000) {
		times.Record(100+n, start.Add(time.Hour))
	}
	at, _ = times.At(1)
	is.Equal(at, start.Add(time.Hour)) // the oldest are dropped
}
