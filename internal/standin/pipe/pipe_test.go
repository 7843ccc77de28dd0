package pipe_test

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/pipe"
)

// fakeLink is a link that the test changes while the pipe is idle.
type fakeLink struct {
	cut   bool
	delay time.Duration
}

func (l *fakeLink) Cut() bool {
	return l.cut
}

func (l *fakeLink) Delay() time.Duration {
	return l.delay
}

// run runs both ends of a pipe. It returns the pipe's input, its output and the
// result of Write.
func run(r *pipe.Pipe) (*io.PipeWriter, *bytes.Buffer, <-chan bool) {
	from, in := io.Pipe()
	out := &bytes.Buffer{}
	ended := make(chan bool, 1)
	go r.Read(from)
	go func() { ended <- r.Write(out) }()
	return in, out, ended
}

func send(in *io.PipeWriter, text string) {
	_, _ = io.WriteString(in, text)
	synctest.Wait()
}

func TestPipe(t *testing.T) {
	t.Run("drops all bytes after a cut, and the end of the stream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := &fakeLink{}
			r := pipe.New(l)
			in, out, ended := run(r)
			send(in, "a")
			l.cut = true
			send(in, "b")
			l.cut = false
			send(in, "c")
			is.NoErr(in.Close())
			synctest.Wait()
			is.Equal(out.String(), "a")
			is.Equal(len(ended), 0) // the end is not passed on
			r.Stop()
			is.Equal(<-ended, false)
		})
	})
	t.Run("delays bytes and passes the end of the stream on", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			in, out, ended := run(pipe.New(&fakeLink{
				delay: 10 * time.Millisecond,
			}))
			send(in, "a")
			is.NoErr(in.Close())
			is.True(<-ended)
			is.Equal(time.Since(start), 10*time.Millisecond)
			is.Equal(out.String(), "a")
		})
	})
}
