// Package jlog writes structured log lines without ever blocking who logs.
package jlog

import (
	"io"
	"log/slog"
	"sync/atomic"

	"k8s.io/klog/v2"
)

const (
	// queueLength bounds the lines that wait for the output: about 200 kB.
	queueLength = 512
)

// Writer passes lines on to an output that may be slow. Lines that find the
// queue full are dropped and counted.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// New starts a writer to out. Close ends it.
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

// Close writes what is queued and ends the writer. Nothing may be written
// after it.
func (w *Writer) Close() {
	close(w.lines)
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		// An output that fails leaves nowhere to report it.
		_, _ = out.Write(line)
	}
}
