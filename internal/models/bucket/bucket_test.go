package bucket_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/bucket"
)

func TestHostRate(t *testing.T) {
	cases := map[string][]float64{
		"below the rate": {5, 10, 0, 20},
		"at the rate":    {50, 50, 0},
		"above the rate": {400, 10, 0, 90},
		"no demand":      {0, 0, 0},
	}
	for name, demands := range cases {
		t.Run(name+": parts sum up to the rate", func(t *testing.T) {
			is := is.New(t)
			all := 0.0
			for _, d := range demands {
				all += d
			}
			sum := 0.0
			for _, d := range demands {
				sum += bucket.HostRate(100, d, all, len(demands))
			}
			is.True(math.Abs(sum-100) < 0.001)
		})
	}
	t.Run("below the rate each host gets a part of the rest", func(t *testing.T) {
		is := is.New(t)
		is.True(bucket.HostRate(100, 0, 50, 10) >= 5)
		is.True(bucket.HostRate(100, 10, 50, 10) >= 15)
	})
}

func TestEncodeDemand(t *testing.T) {
	is := is.New(t)
	is.Equal(bucket.DecodeDemand(bucket.EncodeDemand(0)), 0.0)
	for d := 0.2; d < 50_000; d *= 1.07 {
		got := bucket.DecodeDemand(bucket.EncodeDemand(d))
		is.True(math.Abs(got-d)/d < 1.0/12)
	}
}

func TestTake(t *testing.T) {
	start := time.Unix(100, 0)
	t.Run("never more than the rate and the burst", func(t *testing.T) {
		is := is.New(t)
		var b bucket.Bucket
		b.SetRate(start, 10, 5)
		taken := 0
		for i := range 2000 {
			if ok, _ := b.Take(start.Add(time.Duration(i)*time.Millisecond), 0, 0); ok {
				taken++
			}
		}
		is.True(taken <= 25)
		is.True(taken >= 20)
	})
	t.Run("a refusal says when the next token is due", func(t *testing.T) {
		is := is.New(t)
		var b bucket.Bucket
		b.SetRate(start, 10, 2)
		ok, _ := b.Take(start, 0, 0)
		is.True(ok)
		ok, after := b.Take(start, 0, 0)
		is.True(!ok)
		is.Equal(after, 100*time.Millisecond)
		ok, _ = b.Take(start.Add(after), 0, 0)
		is.True(ok)
	})
	t.Run("callers that wait are paced at the rate", func(t *testing.T) {
		is := is.New(t)
		var b bucket.Bucket
		b.SetRate(start, 100, 2)
		b.Take(start, 0, 0)
		last := time.Duration(0)
		for range 5 {
			ok, after := b.Take(start, 50*time.Millisecond, 0)
			is.True(ok)
			is.True(last == 0 || after-last == 10*time.Millisecond)
			last = after
		}
		ok, after := b.Take(start, 50*time.Millisecond, 0)
		is.True(!ok)
		is.True(after > 50*time.Millisecond)
	})
	t.Run("a caller that leaves a reserve gets no token when only the reserve is left", func(t *testing.T) {
		is := is.New(t)
		var b bucket.Bucket
		b.SetRate(start, 10, 4) // half full
		ok, _ := b.Take(start, 0, 1)
		is.True(ok)
		ok, after := b.Take(start, 0, 1)
		is.True(!ok)
		is.Equal(after, 100*time.Millisecond)
		ok, _ = b.Take(start, 0, 0)
		is.True(ok)
	})
}
