// Package guard keeps a panic in one part of the process from ending the others: it
// is logged with its stack and counted.
package guard

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// restartPause is the pause before a part runs again after a panic, so that a lasting
// fault does not fill the log.
const restartPause = time.Second

var panics atomic.Int64

// Panics returns how many panics were recovered since the start.
func Panics() int64 {
	return panics.Load()
}

// Run runs f. It reports whether f returned; if f panicked, the panic is logged.
func Run(part string, f func()) (returned bool) {
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		panics.Add(1)
		klog.ErrorS(fmt.Errorf("panic: %v", r), "a part of the process failed; the others go on", "part", part, "stack", string(debug.Stack()))
	}()
	f()
	return true
}

// Keep runs f, and again after a panic, until f returns or ctx ends.
func Keep(ctx context.Context, part string, f func(ctx context.Context)) {
	for !Run(part, func() { f(ctx) }) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(restartPause):
		}
	}
}
