// Package audit writes the log lines of decisions that touch requests, at a
// bounded rate.
package audit

import (
	"sync/atomic"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// refusalsPerSecond bounds the lines on requests that did not succeed.
	refusalsPerSecond = 40
	// successesPerSecond bounds the lines on requests that did: a sample.
	successesPerSecond = 1
)

// Audit writes lines within its bounds and counts the others. It is safe for
// concurrent use.
type Audit struct {
	refusals   *rate.Limiter
	successes  *rate.Limiter
	suppressed atomic.Int64
}

// New returns an audit.
func New() *Audit {
	return &Audit{
		refusals:  rate.NewLimiter(refusalsPerSecond, refusalsPerSecond),
		successes: rate.NewLimiter(successesPerSecond, successesPerSecond),
	}
}

// Problem writes a line on a request that did not succeed.
func (a *Audit) Problem(message string, fields ...any) {
	if !a.refusals.Allow() {
		a.suppressed.Add(1)
		return
	}
	if n := a.suppressed.Swap(0); n > 0 {
		fields = append(fields, "suppressed", n)
	}
	klog.InfoSDepth(1, message, fields...)
}

// Sampled reports whether a request that succeeded is to be logged.
func (a *Audit) Sampled() bool {
	return a.successes.Allow()
}

// Success writes a line on a request that succeeded; see Sampled.
func (a *Audit) Success(message string, fields ...any) {
	klog.InfoSDepth(1, message, fields...)
}
