package budget_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/budget"
)

func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := budget.New()
		is.Equal(spend(b, "shop"), budget.DefaultMaxRetries)
		is.Equal(spend(b, "salon"), budget.DefaultMaxRetries) // each workspace has its own budget
		for range 25 {
			b.RecordSuccess("shop")
		}
		is.Equal(spend(b, "shop"), 2)
		time.Sleep(3 * time.Second)
		is.Equal(spend(b, "shop"), 3*budget.DefaultMinRetriesPerSecond)
	})
}

// spend retries until the budget is used up and returns the number of retries.
func spend(b *budget.Budget, workspace string) int {
	n := 0
	for b.Allow(workspace) {
		n++
	}
	return n
}

// TestRetryStorm sends batches that all fail and are retried as often as the
// budget allows, up to the attempts of a relay. The budget, not the number of
// batches, must bound the retries.
func TestRetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			batches  = 3000
			pause    = 10 * time.Millisecond
			attempts = 4
		)
		is := is.New(t)
		b := budget.New()
		retries := 0
		for range batches {
			for n := 1; n < attempts && b.Allow("shop"); n++ {
				retries++
			}
			time.Sleep(pause)
		}
		elapsed := batches * pause
		is.True(retries <= budget.DefaultMaxRetries+budget.DefaultMinRetriesPerSecond*int(elapsed.Seconds()))
		is.True(retries < batches/20)
	})
}
