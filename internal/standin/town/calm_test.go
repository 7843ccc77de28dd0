package town_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/town"
)

// play runs a script against hosts that had time to start.
func play(t *testing.T, hosts int, script func(is *is.I, w *town.Town)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := town.New()
		defer w.Close()
		for i := range hosts {
			w.Host(i)
		}
		time.Sleep(5 * time.Second)
		script(is, w)
	})
}

func TestCalm(t *testing.T) {
	t.Run("a session reads its own writes", func(t *testing.T) {
		play(t, 3, func(is *is.I, w *town.Town) {
			c, _, accepted := w.Call(0, "own", "key-one")
			is.True(accepted)
			defer c.Close()
			for i := range 20 {
				a := c.Do(fmt.Sprintf("WRITE item %d", i))
				is.True(a.OK())
				is.Equal(a.Signature, "sig-"+a.ID)
				r := c.Do("READ item")
				is.True(r.OK())
				is.Equal(r.Rows, []string{fmt.Sprint(i)})
			}
		})
	})
	t.Run("a read of a stated age runs on a replica", func(t *testing.T) {
		play(t, 3, func(is *is.I, w *town.Town) {
			c, _, _ := w.Call(1, "bounded", "key-one")
			defer c.Close()
			for range 10 {
				is.True(c.Do("READ item").OK())
				time.Sleep(100 * time.Millisecond)
			}
			for _, r := range w.Group.Runs() {
				is.True(r.Instance != w.Group.Primary())
			}
		})
	})
	t.Run("a transaction stays on one connection and can be undone", func(t *testing.T) {
		play(t, 3, func(is *is.I, w *town.Town) {
			c, _, _ := w.Call(2, "strict", "key-one")
			defer c.Close()
			is.Equal(c.Do("BEGIN").State, "T")
			is.True(c.Do("WRITE item one").OK())
			is.Equal(c.Do("READ item").Rows, []string{"one"})
			is.Equal(c.Do("ROLLBACK").State, "I")
			is.Equal(c.Do("READ item").Rows, []string{"-"})
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("WRITE item two").OK())
			a := c.Do("COMMIT")
			is.True(a.OK())
			is.Equal(a.Signature, "sig-"+a.ID)
			is.Equal(c.Do("READ item").Rows, []string{"two"})
		})
	})
	t.Run("values and prepared names follow the session", func(t *testing.T) {
		play(t, 3, func(is *is.I, w *town.Town) {
			one, _, _ := w.Call(0, "strict", "key-one")
			two, _, _ := w.Call(0, "strict", "key-one")
			defer one.Close()
			defer two.Close()
			is.True(one.Do("SET zone east").OK())
			is.True(two.Do("SET tone low").OK())
			is.True(one.Do("PREPARE s READ q1").OK())
			is.True(two.Do("PREPARE s WRITE q2").OK())
			for range 5 {
				a := one.Do("EXECUTE s item")
				b := two.Do("EXECUTE s item x")
				is.True(a.OK())
				is.True(b.OK())
				wantValues(is, w, a.ID, map[string]string{"zone": "east"})
				wantValues(is, w, b.ID, map[string]string{"tone": "low"})
			}
			is.True(one.Do("DEALLOCATE s").OK())
			is.Equal(one.Do("EXECUTE s item").Code, "NOSUCHSTMT")
		})
	})
	t.Run("values set in a transaction that is undone stay", func(t *testing.T) {
		play(t, 3, func(is *is.I, w *town.Town) {
			c, _, _ := w.Call(0, "strict", "key-one")
			defer c.Close()
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("READ item").OK())
			is.True(c.Do("SET zone west").OK())
			is.True(c.Do("ROLLBACK").OK())
			a := c.Do("READ item")
			is.True(a.OK())
			wantValues(is, w, a.ID, map[string]string{"zone": "west"})
		})
	})
}

// wantValues checks under which session values a statement ran.
func wantValues(is *is.I, w *town.Town, id string, want map[string]string) {
	is.Helper()
	for _, r := range w.Group.Runs() {
		if r.ID == id {
			is.Equal(r.Values, want)
			return
		}
	}
	is.Fail() // the statement did not run
}

func TestRefusals(t *testing.T) {
	t.Run("an unknown database and an unknown key", func(t *testing.T) {
		play(t, 3, func(is *is.I, w *town.Town) {
			_, a, _ := w.Call(0, "none", "key-one")
			is.Equal(a, "NOSUCHDB")
			_, b, _ := w.Call(0, "strict", "nobody")
			is.Equal(b, "UNAUTH")
		})
	})
	t.Run("a withdrawn key ends open sessions' work within the bound", func(t *testing.T) {
		play(t, 3, func(is *is.I, w *town.Town) {
			c, _, _ := w.Call(2, "strict", "key-one")
			defer c.Close()
			is.True(c.Do("READ item").OK())
			w.Configure(func(config map[string]any) {
				config["tenants"] = []any{town.Workspace("one", 1000, "spare-one")}
			})
			time.Sleep(2 * time.Second)
			is.Equal(c.Do("READ item").Code, "UNAUTH")
		})
	})
	t.Run("a statement that is not understood", func(t *testing.T) {
		play(t, 3, func(is *is.I, w *town.Town) {
			c, _, _ := w.Call(0, "strict", "key-one")
			defer c.Close()
			for _, text := range []string{"SELECT 1", "READ", "BEGIN WRITE", "PREPARE s", "COMMIT", "ROLLBACK"} {
				is.Equal(c.Do(text).Code, "MALFORMED")
			}
			is.True(c.Do("READ item").OK())
		})
	})
	t.Run("a resting transaction is rolled back and its caller told", func(t *testing.T) {
		play(t, 3, func(is *is.I, w *town.Town) {
			c, _, _ := w.Call(0, "strict", "key-one")
			defer c.Close()
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("WRITE item x").OK())
			time.Sleep(5 * time.Second)
			a := c.Do("COMMIT")
			is.Equal(a.Code, "ABORTED")
			is.Equal(a.State, "I")
			is.Equal(c.Do("READ item").Rows, []string{"-"})
		})
	})
	t.Run("no more than the rate and the burst over all hosts", func(t *testing.T) {
		play(t, 3, func(is *is.I, w *town.Town) {
			w.Configure(func(config map[string]any) {
				config["tenants"] = []any{town.Workspace("one", 20, "key-one")}
			})
			time.Sleep(3 * time.Second)
			for i := range 3 {
				c, _, _ := w.Call(i, "bounded", "key-one")
				defer c.Close()
				for range 200 {
					if a := c.Do("READ item"); !a.OK() {
						is.Equal(a.Code, "BUSY")
						time.Sleep(5 * time.Millisecond)
					}
				}
			}
			is.True(mostRuns(w, 5*time.Second) <= 152) // 20/s x 5 s + 20, a tenth more, and 20
		})
	})
}

// mostRuns returns how many statements ran in the busiest window.
func mostRuns(w *town.Town, window time.Duration) int {
	runs := w.Group.Runs()
	most, first := 0, 0
	for i, r := range runs {
		for r.At.Sub(runs[first].At) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
