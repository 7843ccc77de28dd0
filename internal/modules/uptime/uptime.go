// Package uptime reads a clock that also runs while the machine is suspended.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	started   = time.Now()
	suspended = gap()
)

// Now returns the time since the process started. Unlike the runtime's clock
// it counts the time that the machine was suspended, so that a lease can't
// outlive its end on a machine that slept. Paused test clocks pause it too.
func Now() time.Duration {
	return time.Since(started) + gap() - suspended
}

// Restart makes the clock start anew. An emulator that plays hosts under a
// paused clock calls it first, since that clock starts elsewhere.
func Restart() {
	started = time.Now()
	suspended = gap()
}

// gap returns how long the machine has been suspended since its boot.
func gap() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	d := time.Duration(boot.Nano() - steady.Nano())
	return d.Truncate(time.Millisecond)
}
