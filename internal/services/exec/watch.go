package exec

import (
	"net"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/services/epoch"
)

// watcher ends a read on a replica that has gone silent, so that it can be run
// elsewhere. The primary's silence ends the term instead.
type silenceWatcher struct {
	epoch *epoch.Epoch
	index int
	net   net.Conn

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	ended   bool
}

// watch begins to look at the instance that runs a, until stop.
func watchSilence(e *epoch.Epoch, a *answer) *silenceWatcher {
	w := &silenceWatcher{
		epoch:   e,
		index:   a.index,
		net:     a.run.conn.Net,
		stopped: a.primary,
	}
	if a.primary {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(epoch.SilentAfter, w.check)
	return w
}

func (w *silenceWatcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case w.epoch.View().Live[w.index]:
		w.timer.Reset(epoch.PollEvery)
	default:
		w.ended = true
		_ = w.net.SetDeadline(time.Unix(1, 0))
	}
}

// stop ends the watch and reports whether it has cut the read.
func (w *silenceWatcher) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.ended
}
