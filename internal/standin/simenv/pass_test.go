package simenv_test

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"wasabislip.example/wasabislip/internal/standin/simcli"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// copyLoopAddress is where the copy loop listens.
const copyLoopAddress = "10.1.0.200:1"

// copyLoop starts a proxy that copies bytes between callers and an instance
// without parsing them, until the network closes.
func copyLoop(b *testing.B, env *simenv.Environment, instance string) {
	b.Helper()
	l, err := env.Net.Listen(copyLoopAddress)
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			to, err := env.Net.Dialer("10.1.0.200")(context.Background(), "tcp", instance)
			if err != nil {
				_ = from.Close()
				return
			}
			go func() { _, _ = io.Copy(to, from) }() // returns when the connection ends
			go func() { _, _ = io.Copy(from, to) }()
		}
	}()
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkReads sends reads on one session and reports the processor time of each
// read: that of caller, proxy and instance together.
func benchmarkReads(b *testing.B, c *simcli.Client) {
	b.Helper()
	for range 100 {
		c.Do("READ item") // warms up: opens the connections
	}
	before := processorTime(b)
	for b.Loop() {
		if a := c.Do("READ item"); !a.OK() {
			b.Fatal(a.Code, a.Text)
		}
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// BenchmarkHostRead compares the processor time of a read through a host with
// that of the same messages through a loop that only copies bytes.
func BenchmarkHostRead(b *testing.B) {
	env := simenv.New()
	defer env.Close()
	env.Group.StatementTime = 0
	env.Configure(func(config map[string]any) {
		config["tenants"] = []any{simenv.WorkspaceConfig("one", 1e9, "key-one")}
	})
	env.StartHost(0)
	time.Sleep(2 * time.Second)
	_, ip := simenv.Instance(0)
	copyLoop(b, env, ip+":8080")
	b.Run("copy loop", func(b *testing.B) {
		conn, err := env.Net.Dialer("10.9.0.1")(b.Context(), "tcp", copyLoopAddress)
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		c, a := simcli.Open(conn, "ledger", "one", 0)
		if !a.OK() {
			b.Fatal(a.Code, a.Text)
		}
		benchmarkReads(b, c)
	})
	b.Run("host", func(b *testing.B) {
		c, code, ok := env.OpenSession(0, "bounded", "key-one")
		if !ok {
			b.Fatal(code)
		}
		defer c.Close()
		benchmarkReads(b, c)
	})
}
