package town_test

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"wasabislip.example/wasabislip/internal/standin/patron"
	"wasabislip.example/wasabislip/internal/standin/town"
)

// loopAddress is where the bare copy loop listens.
const loopAddress = "10.1.0.200:1"

// copyLoop passes bytes between a caller and an instance without looking at
// them, until the network closes.
func copyLoop(b *testing.B, w *town.Town, instance string) {
	b.Helper()
	l, err := w.Net.Listen(loopAddress)
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := w.Net.Dialer("10.1.0.200")(context.Background(), "tcp", instance)
			if err != nil {
				_ = from.Close()
				return
			}
			go func() { _, _ = io.Copy(to, from) }() // ends with the connection
			go func() { _, _ = io.Copy(from, to) }()
		}
	}()
}

// processorTime returns the processor time of this process so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// reads sends reads on one session and reports the processor time of each, of
// caller, way and instance together.
func reads(b *testing.B, c *patron.Patron) {
	b.Helper()
	for range 100 {
		c.Do("READ item") // connections are opened
	}
	before := processorTime(b)
	for b.Loop() {
		if a := c.Do("READ item"); !a.OK() {
			b.Fatal(a.Code, a.Text)
		}
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// BenchmarkPassed compares the processor time of a read through a host with
// that of the same messages through a bare copy loop.
func BenchmarkPassed(b *testing.B) {
	w := town.New()
	defer w.Close()
	w.Group.Work = 0
	w.Configure(func(config map[string]any) {
		config["tenants"] = []any{town.Workspace("one", 1e9, "key-one")}
	})
	w.Host(0)
	time.Sleep(2 * time.Second)
	_, ip := town.Instance(0)
	copyLoop(b, w, ip+":8080")
	b.Run("copy loop", func(b *testing.B) {
		conn, err := w.Net.Dialer("10.9.0.1")(b.Context(), "tcp", loopAddress)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		c, a := patron.Open(conn, "ledger", "one", 0)
		if !a.OK() {
			b.Fatal(a.Code, a.Text)
		}
		reads(b, c)
	})
	b.Run("host", func(b *testing.B) {
		c, code, ok := w.Call(0, "bounded", "key-one")
		if !ok {
			b.Fatal(code)
		}
		defer c.Close()
		reads(b, c)
	})
}
