package town_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/shelf"
	"wasabislip.example/wasabislip/internal/standin/town"
)

func TestReady(t *testing.T) {
	t.Run("a host that is cut off sends callers elsewhere until it is back", func(t *testing.T) {
		play(t, 6, func(is *is.I, w *town.Town) {
			is.True(w.Ready(0))
			away := []string{town.IP(0)}
			cut(w, away)
			// Its lease has not run out yet, but callers that come now are served
			// later than that.
			time.Sleep(2 * time.Second)
			is.True(!w.Ready(0))
			time.Sleep(3 * time.Second)
			is.True(!w.Ready(0))
			is.True(w.Ready(1))
			mend(w, away)
			time.Sleep(4 * time.Second)
			is.True(w.Ready(0))
		})
	})
	t.Run("an outage of the store leaves all hosts ready", func(t *testing.T) {
		play(t, 6, func(is *is.I, w *town.Town) {
			w.Store.SetFault(func(string, bool) string {
				return shelf.Busy
			})
			time.Sleep(6 * time.Second)
			for i := range 6 {
				is.True(w.Ready(i))
			}
		})
	})
}
