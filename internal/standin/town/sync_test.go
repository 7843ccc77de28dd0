package town_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/town"
)

// synchronous makes commits wait for one replica, and declares it.
func synchronous(w *town.Town) {
	w.Group.Synchronize(1)
	w.Configure(func(config map[string]any) {
		config["services"].([]any)[0].(map[string]any)["sync_replicas"] = 1
	})
	time.Sleep(time.Second)
}

// TestAcknowledged plays what an acknowledged write is worth when its primary is
// replaced.
func TestAcknowledged(t *testing.T) {
	t.Run("with a synchronous replica no acknowledged write is lost", func(t *testing.T) {
		play(t, 6, func(is *is.I, w *town.Town) {
			synchronous(w)
			l := startLoad(w, 6)
			time.Sleep(time.Second)
			w.Group.Deafen("i-2", true)
			time.Sleep(time.Second)
			w.Crash("i-1")
			time.Sleep(3 * time.Second)
			w.Group.Deafen("i-2", false)
			time.Sleep(3 * time.Second)
			l.end()
			is.Equal(w.Group.Primary(), "i-3")
			is.True(len(l.kept) > 0)
			is.Equal(l.lost(w), 0)
		})
	})
	t.Run("a replica that may lack acknowledged writes does not lead", func(t *testing.T) {
		play(t, 6, func(is *is.I, w *town.Town) {
			synchronous(w)
			w.Group.Deafen("i-2", true)
			time.Sleep(time.Second)
			is.True(writeUntil(is, w, 0, time.Second) < time.Second)
			w.Crash("i-3")
			w.Crash("i-1")
			time.Sleep(2500 * time.Millisecond)
			is.Equal(len(w.Group.Orders()), 0)
			w.Start("i-3")
			w.Group.Deafen("i-2", false)
			is.True(writeUntil(is, w, 0, 12*time.Second) < 12*time.Second)
			is.Equal(w.Group.Primary(), "i-3")
		})
	})
	t.Run("without one a planned change loses nothing either", func(t *testing.T) {
		play(t, 6, func(is *is.I, w *town.Town) {
			l := startLoad(w, 6)
			time.Sleep(time.Second)
			w.Drain("i-1")
			time.Sleep(6 * time.Second)
			l.end()
			is.True(w.Group.Primary() != "i-1")
			is.True(len(l.kept) > 0)
			is.Equal(l.lost(w), 0)
		})
	})
	t.Run("while no replica receives, nothing is acknowledged that asks for one", func(t *testing.T) {
		play(t, 6, func(is *is.I, w *town.Town) {
			synchronous(w)
			w.Group.Deafen("i-2", true)
			w.Group.Deafen("i-3", true)
			c, _, ok := w.Call(0, "strict", "key-one")
			is.True(ok)
			a := c.Do("WRITE item x")
			is.True(!a.OK())
			is.True(!a.Promises())
		})
	})
}
