// Package wall tells the true time, which the usage reports count in.
package wall

import (
	"math"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/models/clock"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// fleet knows the wall clocks of the other live hosts.
type fleet interface {
	Clocks() []time.Duration
}

// directory knows the hosts that exist.
type directory interface {
	Registered() map[string]host.Host
}

// Wall is the clock on the wall of the fleet. It is safe for concurrent use.
type Wall struct {
	fleet     fleet
	directory directory

	mu    sync.Mutex
	clock clock.Clock
}

// New returns a clock that does not know the time yet.
func New(f fleet, d directory) *Wall {
	return &Wall{
		fleet:     f,
		directory: d,
	}
}

// Now returns the true time; false while it is not known.
func (w *Wall) Now() (time.Time, bool) {
	now := uptime.Now()
	offset, ok := w.offset(now)
	return time.Unix(0, int64(now+offset)), ok
}

// At returns the true time at a reading of the clock of uptime; false while it is not
// known.
func (w *Wall) At(reading time.Duration) (time.Time, bool) {
	offset, ok := w.offset(uptime.Now())
	return time.Unix(0, int64(reading+offset)), ok
}

func (w *Wall) offset(now time.Duration) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	own := time.Duration(time.Now().UnixNano()) - now
	hosts := len(w.directory.Registered())
	if hosts == 0 {
		hosts = math.MaxInt // not known yet
	}
	return w.clock.Offset(now, own, w.fleet.Clocks(), hosts)
}
