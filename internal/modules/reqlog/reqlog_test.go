package reqlog_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/jlog"
	"wasabislip.example/wasabislip/internal/modules/reqlog"
)

// logged returns the log lines that f writes.
func logged(f func()) string {
	var out bytes.Buffer
	w := jlog.New(&out)
	w.Install()
	f()
	w.Close()
	return out.String()
}

func TestLogger(t *testing.T) {
	t.Run("many refusals write a bounded number of lines and the count of the others", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			text := logged(func() {
				a := reqlog.New()
				for range 5 {
					for range 1000 {
						a.LogFailure("statement refused or failed", "request", "r")
					}
					time.Sleep(time.Second)
				}
			})
			lines := strings.Count(text, "\n")
			is.True(lines <= 5*40+40)
			is.True(lines >= 5*40)
			is.True(strings.Contains(text, `"suppressed":960`))
		})
	})
	t.Run("every failed request below the limit is logged", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			text := logged(func() {
				a := reqlog.New()
				for range 10 {
					a.LogFailure("statement refused or failed", "request", "r")
					time.Sleep(100 * time.Millisecond)
				}
			})
			is.Equal(strings.Count(text, "\n"), 10)
			is.True(!strings.Contains(text, "suppressed"))
		})
	})
}
