package main

import (
	"bytes"
	"fmt"
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

func TestEdgeProcess(t *testing.T) {
	t.Run("SIGHUP while the host stops does not kill it", func(t *testing.T) {
		is := is.New(t)
		binary := filepath.Join(t.TempDir(), "wasabislip")
		out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
		if err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
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
