package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// edgeSettings returns settings with free loopback ports. Nothing listens at the
// store's address.
func edgeSettings(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	var text strings.Builder
	text.WriteString("host: host-1\ndata-centre: a\nseeds: \"\"\ngrace: 2s\nmemory-mb: 284\nfiles: 4200\n")
	text.WriteString("rate-window: 5s\nrate-overage: 0.1\nrate-tolerance: 20\n")
	for _, key := range []string{"caller", "ready", "peer", "run", "metrics", "store", "order"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		fmt.Fprintf(&text, "%s-address: %s\n", key, l.Addr())
		is.NoErr(l.Close())
	}
	return text.String()
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// buildBinary builds the program and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "wasabislip")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func TestEdgeProcess(t *testing.T) {
	t.Run("SIGHUP while the host stops does not kill it", func(t *testing.T) {
		is := is.New(t)
		binary := buildBinary(t)
		var log bytes.Buffer
		cmd := exec.Command(binary, "edge", "--settings", writeSettings(t, edgeSettings(t)))
		cmd.Stdout = &log
		is.NoErr(cmd.Start())
		time.Sleep(300 * time.Millisecond) // until it listens and waits for the store
		is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(100 * time.Millisecond)
		is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
		is.NoErr(cmd.Wait())
		is.True(strings.Contains(log.String(), `"msg":"stopping"`))
		is.True(strings.Contains(log.String(), `"msg":"stop"`))
	})
}

// waitFor polls until done returns true; the test fails after ten seconds.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("timed out: ", what)
		}
	}
}

// waitStopped waits for the end of a process that was told to stop, and checks that it
// ends in time, without an error and without a panic.
func waitStopped(t *testing.T, cmd *exec.Cmd, errorOutput *bytes.Buffer) {
	t.Helper()
	is := is.New(t)
	const grace = 2 * time.Second // as in edgeSettings
	began := time.Now()
	is.NoErr(cmd.Wait())
	is.True(time.Since(began) < grace)
	is.Equal(errorOutput.String(), "")
}

// Guards against hosts that a second stop, or one while they start, kills.
func TestStopSignals(t *testing.T) {
	binary := buildBinary(t)
	t.Run("SIGTERM twice while the settings are read", func(t *testing.T) {
		is := is.New(t)
		// The read of a named pipe waits until the test has written.
		pipe := filepath.Join(t.TempDir(), "settings.yaml")
		is.NoErr(syscall.Mkfifo(pipe, 0o600))
		var errorOutput bytes.Buffer
		cmd := exec.Command(binary, "edge", "--settings", pipe)
		cmd.Stderr = &errorOutput
		is.NoErr(cmd.Start())
		w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // opens once the host reads it
		is.NoErr(err)
		is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(20 * time.Millisecond)
		is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(20 * time.Millisecond)
		_, _ = w.WriteString(edgeSettings(t)) // fails if the host was killed, which Wait tells
		is.NoErr(w.Close())
		waitStopped(t, cmd, &errorOutput)
	})
	for _, after := range []time.Duration{0, 10 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprintf("SIGTERM %v after the host listens, and again and again", after), func(t *testing.T) {
			is := is.New(t)
			text := edgeSettings(t)
			_, rest, _ := strings.Cut(text, "caller-address: ")
			address, _, _ := strings.Cut(rest, "\n")
			var errorOutput bytes.Buffer
			cmd := exec.Command(binary, "edge", "--settings", writeSettings(t, text))
			cmd.Stderr = &errorOutput
			is.NoErr(cmd.Start())
			waitFor(t, "the host listens", func() bool {
				c, err := net.Dial("tcp", address)
				if err != nil {
					return false
				}
				return c.Close() == nil
			})
			time.Sleep(after)
			ended := make(chan struct{})
			signalled := make(chan struct{})
			go func() {
				defer close(signalled)
				for {
					_ = cmd.Process.Signal(syscall.SIGTERM) // it may have ended just now
					select {
					case <-ended:
						return
					case <-time.After(100 * time.Microsecond):
					}
				}
			}()
			waitStopped(t, cmd, &errorOutput)
			close(ended)
			<-signalled
		})
	}
	t.Run("SIGTERM again while the last log lines wait for their reader", func(t *testing.T) {
		is := is.New(t)
		r, w, err := os.Pipe()
		is.NoErr(err)
		defer r.Close()
		// The host finds the pipe full, so that its log lines wait.
		fd := int(w.Fd())
		is.NoErr(syscall.SetNonblock(fd, true))
		for err == nil {
			_, err = syscall.Write(fd, make([]byte, 4096))
		}
		is.NoErr(syscall.SetNonblock(fd, false))
		var errorOutput bytes.Buffer
		cmd := exec.Command(binary, "edge", "--settings", writeSettings(t, edgeSettings(t)))
		cmd.Stdout = w
		cmd.Stderr = &errorOutput
		is.NoErr(cmd.Start())
		is.NoErr(w.Close())
		time.Sleep(300 * time.Millisecond) // until it listens
		is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(1500 * time.Millisecond) // until it has stopped but for its log
		is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(50 * time.Millisecond)
		go func() {
			_, _ = io.Copy(io.Discard, r) // ends with the process
		}()
		waitStopped(t, cmd, &errorOutput)
	})
}

func TestCheckEdge(t *testing.T) {
	check := func(text string) (string, error) {
		var out bytes.Buffer
		app := newApp()
		app.Writer = &out
		err := app.Run(t.Context(), []string{"wasabislip", "check", "--edge", writeSettings(t, text)})
		return out.String(), err
	}
	t.Run("valid settings", func(t *testing.T) {
		is := is.New(t)
		out, err := check(edgeSettings(t))
		is.NoErr(err)
		is.Equal(out, "good: host host-1 in a\n")
	})
	t.Run("an unknown choice of instances is reported with the known ones", func(t *testing.T) {
		is := is.New(t)
		_, err := check(edgeSettings(t) + "instance-choice: random\n")
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "instance-choice"))
		is.True(strings.Contains(err.Error(), "use least-cost or even"))
		_, err = check(edgeSettings(t) + "instance-choice: even\n")
		is.NoErr(err)
	})
	t.Run("all mistakes are reported at once, with hints", func(t *testing.T) {
		is := is.New(t)
		text := strings.Replace(edgeSettings(t), "grace: 2s", "grace: 2ms", 1)
		text = strings.Replace(text, "host: host-1", "host: \"\"", 1)
		text = strings.Replace(text, "files: 4200", "files: 12", 1)
		_, err := check(text)
		is.True(err != nil)
		for _, part := range []string{"grace", "use 1s or more", "host", "use letters", "files", "use 256 or more"} {
			is.True(strings.Contains(err.Error(), part))
		}
	})
}
