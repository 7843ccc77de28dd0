package window_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/window"
)

const most = 10

func TestWindow(t *testing.T) {
	now := time.Unix(100, 0)
	t.Run("without refusals the usual limit holds", func(t *testing.T) {
		is := is.New(t)
		var w window.Window
		w.Served(most)
		is.Equal(w.Limit(most), most)
	})
	t.Run("refusals of one burst count once", func(t *testing.T) {
		is := is.New(t)
		var w window.Window
		for range 20 {
			w.Refused(now, most)
		}
		is.Equal(w.Limit(most), 6)
	})
	t.Run("it never closes", func(t *testing.T) {
		is := is.New(t)
		var w window.Window
		for i := range 50 {
			w.Refused(now.Add(time.Duration(i)*time.Second), most)
		}
		is.Equal(w.Limit(most), 1)
	})
	t.Run("successes open it again", func(t *testing.T) {
		is := is.New(t)
		var w window.Window
		w.Refused(now, most)
		for range 100 {
			w.Served(most)
		}
		is.Equal(w.Limit(most), most)
	})
}
