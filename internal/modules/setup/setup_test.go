package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/setup"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// plain is a valid file without TLS.
const plain = `host: entry-1
data-centre: daejeon-a
caller-address: 127.0.0.1:5432
peer-address: 127.0.0.1:7000
ops-address: 127.0.0.1:9090
seeds: ["127.0.0.1:7001"]
platform:
  table-endpoint: http://127.0.0.1:8000
  object-endpoint: http://127.0.0.1:8001
callers: {plain: true}
peers: {plain: true}
limits:
  message-size: 2MiB
timeouts:
  drain: 45s
`

// wantRefused fails the test unless reading text fails with all parts in the error.
func wantRefused(t *testing.T, text string, parts ...string) {
	t.Helper()
	_, err := setup.Read("settings.yaml", []byte(text))
	if !fault.IsKind(err, fault.BadRequest) {
		t.Fatalf("got %v, want a refusal", err)
	}
	for _, part := range parts {
		if !strings.Contains(err.Error(), part) {
			t.Fatalf("want %q in\n%v", part, err)
		}
	}
}

func TestRead(t *testing.T) {
	t.Run("a file overrides defaults", func(t *testing.T) {
		is := is.New(t)
		name := filepath.Join(t.TempDir(), "settings.yaml")
		is.NoErr(os.WriteFile(name, []byte(plain), 0o600))
		s, err := setup.Load(name)
		is.NoErr(err)
		is.Equal(s.Limits.MessageSize, int64(2<<20))
		is.Equal(s.Timeouts.Drain, 45*time.Second)
		is.Equal(s.Configuration.MaxAge, 6*time.Second)
	})
	t.Run("all mistakes are reported at once, with line and remedy", func(t *testing.T) {
		text := strings.Replace(plain, "host: entry-1", "hosst: entry-1", 1)
		text = strings.Replace(text, "2MiB", "2 MB", 1)
		text = strings.Replace(text, "45s", "45", 1)
		text = strings.Replace(text, "127.0.0.1:7000", "entry:7000", 1)
		wantRefused(
			t, text,
			`settings.yaml:1: unknown field "hosst"`,
			"settings.yaml:4: peer-address",
			"settings.yaml:13: limits.message-size",
			"write a size with its unit",
			"settings.yaml:15: timeouts.drain",
			"write a time with its unit",
		)
	})
	t.Run("ports without TLS are allowed on loopback addresses only", func(t *testing.T) {
		text := strings.ReplaceAll(plain, "127.0.0.1:", "10.0.0.1:")
		wantRefused(t, text, "callers.plain", "peers.plain")
	})
	t.Run("ports with TLS need their files", func(t *testing.T) {
		text := strings.Replace(plain, "peers: {plain: true}", "peers: {cert-file: /nowhere.pem}", 1)
		wantRefused(t, text, "peers.cert-file", "peers.key-file", "peers.ca-file")
	})
}
