// Package uptime is a monotonic clock that also runs while the machine is suspended.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	started          = time.Now()
	suspendedAtStart = suspendedTime()
)

// origin is the reading of the clock at the start of the process. A process learns from
// others of moments before its own start. They have readings above zero, so that zero,
// which stands for never, is not taken for a moment at which something was known.
const origin = 24 * time.Hour

// Now returns a reading of the clock: origin and the time since the process started.
// Unlike the Go runtime's clock it includes the time for which the machine was
// suspended. Otherwise a host that was suspended would take its lease for valid after
// the end of the lease. The clock stands still while a test pauses the time
// (testing/synctest).
func Now() time.Duration {
	return origin + time.Since(started) + suspendedTime() - suspendedAtStart
}

// Before returns the moment that lies age milliseconds before since, as another host
// tells it. It returns zero, which stands for never, for ages beyond origin.
func Before(since time.Duration, age uint64) time.Duration {
	if age >= uint64(max(0, since)/time.Millisecond) {
		return 0
	}
	return since - time.Duration(age)*time.Millisecond
}

// Restart sets the clock back to origin. A simulated environment that runs hosts
// under a fake test clock calls it first, since that clock begins at another time.
func Restart() {
	started = time.Now()
	suspendedAtStart = suspendedTime()
}

// suspendedTime returns how long the machine has been suspended since its boot, or
// 0 if that cannot be read.
func suspendedTime() time.Duration {
	var boottime, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime) != nil {
		return 0
	}
	d := time.Duration(boottime.Nano() - monotonic.Nano())
	return d.Truncate(time.Millisecond)
}
