package reqlog_test

import (
	"io"
	"testing"

	"wasabislip.example/wasabislip/internal/modules/jlog"
	"wasabislip.example/wasabislip/internal/modules/reqlog"
)

// decision returns the fields of a typical refusal.
func decision() []any {
	return []any{
		"request", "d711e7b856b30b6c",
		"kind", "read",
		"database", "shops-ledger",
		"outcome", "busy",
		"message", "over-rate: the workspace is over its rate: rate 25.0, asked for 34.5 at its home",
		"retry-after", "48ms",
		"session-position", "1/5023",
		"instance", "i-8486b94fa1",
		"floor", "1/5010",
		"tries", 2,
		"lease-age", "412ms",
		"workspace", "shops-sejong",
		"version", uint64(15),
		"took", "1.4ms",
	}
}

// BenchmarkDecision measures what logging costs a request, for a line that is written
// and for one that is over the limit.
func BenchmarkDecision(b *testing.B) {
	w := jlog.New(io.Discard)
	defer w.Close()
	w.Install()
	b.Run("written", func(b *testing.B) {
		a := reqlog.New()
		b.ReportAllocs()
		for b.Loop() {
			a.LogSuccess("statement done", decision()...)
		}
	})
	b.Run("suppressed", func(b *testing.B) {
		a := reqlog.New()
		b.ReportAllocs()
		for b.Loop() {
			a.LogFailure("statement refused or failed", decision()...)
		}
	})
}
