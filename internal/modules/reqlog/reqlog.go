// Package reqlog writes the log lines of requests, at a bounded rate.
package reqlog

import (
	"sync/atomic"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// refusalsPerSecond limits the lines of requests that did not succeed.
	refusalsPerSecond = 40
	// successesPerSecond limits the lines of requests that succeeded, so that only
	// a sample of them is logged.
	successesPerSecond = 1
)

// Logger writes lines up to its limits and counts the failures that it leaves out.
// It is safe for concurrent use.
type Logger struct {
	refusals   *rate.Limiter
	successes  *rate.Limiter
	suppressed atomic.Int64
}

// New returns a logger.
func New() *Logger {
	return &Logger{
		refusals:  rate.NewLimiter(refusalsPerSecond, refusalsPerSecond),
		successes: rate.NewLimiter(successesPerSecond, successesPerSecond),
	}
}

// LogFailure writes the line of a request that did not succeed. The first line after
// a gap says how many were left out.
func (l *Logger) LogFailure(message string, fields ...any) {
	if !l.refusals.Allow() {
		l.suppressed.Add(1)
		return
	}
	if n := l.suppressed.Swap(0); n > 0 {
		fields = append(fields, "suppressed", n)
	}
	klog.InfoSDepth(1, message, fields...)
}

// SampleSuccess reports whether to log a request that succeeded. Call it once a
// request, because each call that returns true counts against the limit.
func (l *Logger) SampleSuccess() bool {
	return l.successes.Allow()
}

// LogSuccess writes the line of a request that succeeded. Callers ask SampleSuccess
// first.
func (l *Logger) LogSuccess(message string, fields ...any) {
	klog.InfoSDepth(1, message, fields...)
}
