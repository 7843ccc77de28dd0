package caller

import "sync/atomic"

// drainSignal tells that a drain has begun. A server has a new one after each
// Resume.
type drainSignal struct {
	started atomic.Bool
	done    chan struct{}
}

func newDrainSignal() *drainSignal {
	return &drainSignal{
		done: make(chan struct{}),
	}
}

// Drain refuses new sessions and new transactions, and ends idle sessions, with
// fault.Draining. Open transactions go on. Resume ends the drain.
func (s *Server) Drain() {
	signal := s.drain.Load()
	if signal.started.CompareAndSwap(false, true) {
		close(signal.done)
	}
}

// Resume accepts new sessions and transactions again after Drain.
func (s *Server) Resume() {
	if signal := s.drain.Load(); signal.started.Load() {
		s.drain.CompareAndSwap(signal, newDrainSignal())
	}
}

// isDraining reports whether the server accepts no new work.
func (s *Server) isDraining() bool {
	return s.drain.Load().started.Load()
}
