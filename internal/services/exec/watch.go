package exec

import (
	"net"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/services/epoch"
)

// silenceWatcher ends a read on a replica that no longer answers polls, so that the
// read can run on another instance. It does nothing on the primary, whose silence
// ends the term.
type silenceWatcher struct {
	epoch *epoch.Epoch
	index int
	net   net.Conn

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	ended   bool
}

// watchSilence starts to watch the instance that runs a, until stop.
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
	w.timer = time.AfterFunc(epoch.SilenceTimeout, w.check)
	return w
}

// check ends the read if the replica is no longer live, and otherwise checks again
// after the next poll.
func (w *silenceWatcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case w.epoch.View().Live[w.index]:
		w.timer.Reset(epoch.PollInterval)
	default:
		w.ended = true
		_ = w.net.SetDeadline(time.Unix(1, 0))
	}
}

// stop ends the watch and reports whether it has ended the read.
func (w *silenceWatcher) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.ended
}
