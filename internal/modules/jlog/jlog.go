// Package jlog writes log lines as JSON and never blocks the goroutine that logs.
package jlog

import (
	"io"
	"log/slog"
	"sync/atomic"

	"k8s.io/klog/v2"
)

const (
	// queueLength is how many lines may wait for the output, about 200 kB.
	queueLength = 512
)

// Writer queues lines and writes them to an output that may be slow. While the queue
// is full, lines are dropped and counted.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// New starts a writer to out. Close stops it.
func New(out io.Writer) *Writer {
	w := &Writer{
		lines: make(chan []byte, queueLength),
		done:  make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Install makes klog write JSON lines through w.
func (w *Writer) Install() {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{})
	klog.SetSlogLogger(slog.New(handler))
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the queued lines and stops the writer. Write must not be called after
// it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

// run writes the queued lines to out until the queue is closed.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		// There is nowhere to report that the log output fails.
		_, _ = out.Write(line)
	}
}
