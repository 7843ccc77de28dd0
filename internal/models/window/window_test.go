package window_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/window"
)

const maxInFlight = 10

func TestWindow(t *testing.T) {
	now := time.Unix(100, 0)
	t.Run("without refusals the configured maximum applies", func(t *testing.T) {
		is := is.New(t)
		var w window.Window
		w.RecordSuccess(maxInFlight)
		is.Equal(w.Limit(maxInFlight), maxInFlight)
	})
	t.Run("refusals of one burst count once", func(t *testing.T) {
		is := is.New(t)
		var w window.Window
		for range 20 {
			w.RecordRefusal(now, maxInFlight)
		}
		is.Equal(w.Limit(maxInFlight), 6)
	})
	t.Run("the limit never falls below one", func(t *testing.T) {
		is := is.New(t)
		var w window.Window
		for i := range 50 {
			w.RecordRefusal(now.Add(time.Duration(i)*time.Second), maxInFlight)
		}
		is.Equal(w.Limit(maxInFlight), 1)
	})
	t.Run("successes raise the limit to the maximum again", func(t *testing.T) {
		is := is.New(t)
		var w window.Window
		w.RecordRefusal(now, maxInFlight)
		for range 100 {
			w.RecordSuccess(maxInFlight)
		}
		is.Equal(w.Limit(maxInFlight), maxInFlight)
	})
}
