package jlog_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/jlog"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return w.written.Write(line)
}

func TestWriter(t *testing.T) {
	t.Run("Write does not block on a blocked output, and dropped lines are counted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			out := &blockedWriter{
				release: make(chan struct{}),
			}
			w := jlog.New(out)
			const lines = 10_000
			for range lines {
				n, err := w.Write([]byte("line\n"))
				is.NoErr(err)
				is.Equal(n, 5)
			}
			is.True(w.Dropped() > 0)
			close(out.release)
			w.Close()
			is.Equal(int64(strings.Count(out.written.String(), "\n"))+w.Dropped(), int64(lines))
		})
	})
	t.Run("lines are JSON, in order", func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		w := jlog.New(&out)
		log := slog.New(slog.NewJSONHandler(w, nil))
		log.Info("first", "request", "a")
		log.Info("second", "request", "b")
		w.Close()
		var messages []string
		for line := range strings.Lines(out.String()) {
			var fields map[string]any
			is.NoErr(json.Unmarshal([]byte(line), &fields))
			messages = append(messages, fields["msg"].(string)+" "+fields["request"].(string))
		}
		is.Equal(messages, []string{"first a", "second b"})
	})
}
