// Package usage reads the resource usage of a process from /proc.
package usage

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	// CPU is the processor time.
	CPU time.Duration
	// In is the number of bytes read from sockets and files.
	In int64
	// Out is the number of bytes written to sockets and files.
	Out int64
	// Memory is the current resident anonymous memory, in bytes.
	Memory int64
}

// Read returns the usage of a process.
func Read(pid int) (Usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	var u Usage
	transfers, err := os.ReadFile(filepath.Join(dir, "io"))
	if err != nil {
		return u, fmt.Errorf("read the counters of process %d: %w", pid, err)
	}
	u.In = field(string(transfers), "rchar:")
	u.Out = field(string(transfers), "wchar:")
	state, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u, fmt.Errorf("read the counters of process %d: %w", pid, err)
	}
	u.Memory = field(string(state), "RssAnon:") << 10
	u.CPU, err = cpuTime(dir)
	return u, err
}

// cpuTime sums the processor time of all threads. Threads that have ended are
// not counted, but the Go runtime seldom ends one.
func cpuTime(dir string) (time.Duration, error) {
	threads, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil {
		return 0, err
	}
	var sum time.Duration
	for _, name := range threads {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		first, _, _ := strings.Cut(string(text), " ")
		n, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", name, err)
		}
		sum += time.Duration(n)
	}
	return sum, nil
}

// field returns the number that follows name in a file of /proc, or 0.
func field(text, name string) int64 {
	for line := range strings.Lines(text) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok {
			continue
		}
		n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		return n
	}
	return 0
}

// Since returns the usage since before. Its Memory is the growth.
func (u Usage) Since(before Usage) Usage {
	return Usage{
		CPU:    u.CPU - before.CPU,
		In:     u.In - before.In,
		Out:    u.Out - before.Out,
		Memory: u.Memory - before.Memory,
	}
}
