package count_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/count"
)

// TestCounter guards against requests that are counted twice, or in another window than
// that in which they began.
func TestCounter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := count.New(5 * time.Second)
		c.Begin("one").Ran() // before the time is known
		c.SetTime(time.Unix(99, 0))
		slow := c.Begin("one")
		refused := c.Begin("one")
		time.Sleep(2 * time.Second)
		c.Begin("one").Ran()
		is.Equal(c.Window(19, false)["one"], uint64(0))
		is.Equal(c.Window(19, true)["one"], uint64(2))
		refused.Refused()
		slow.Ran()
		is.Equal(c.Window(19, false)["one"], uint64(1))
		is.Equal(c.Window(20, false)["one"], uint64(1))
		c.SetTime(time.Unix(5*(20+16), 0)) // the place of window 20
		c.Begin("two").Ran()
		is.Equal(len(c.Window(20, true)), 0)
		is.Equal(c.Window(36, true), map[string]uint64{"two": 1})
	})
}

// TestConcurrentCounts guards against counts that exceed what ran while they are read.
func TestConcurrentCounts(t *testing.T) {
	is := is.New(t)
	c := count.New(time.Hour)
	c.SetTime(time.Unix(0, 0))
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for range 2000 {
				c.Begin("one").Ran()
			}
		})
	}
	for range 200 {
		is.True(c.Window(0, true)["one"] <= 8000)
	}
	all.Wait()
	is.Equal(c.Window(0, true)["one"], uint64(8000))
}

// BenchmarkCounter measures what counting adds to a statement.
func BenchmarkCounter(b *testing.B) {
	c := count.New(5 * time.Second)
	c.SetTime(time.Now())
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Begin("one").Ran()
		}
	})
}
