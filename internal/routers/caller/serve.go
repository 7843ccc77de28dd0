package caller

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"k8s.io/klog/v2"
)

// acceptPause is the pause after a failed accept.
const acceptPause = 50 * time.Millisecond

// keyCheckInterval is how often the keys of connected callers are checked, so that
// the session of a withdrawn key ends even if its caller sends nothing.
const keyCheckInterval = time.Second

// Serve accepts callers on l until Shutdown. It returns once the sessions of these
// callers have ended.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return l.Close()
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(s.watchKeys)
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			klog.ErrorS(err, "accepting a caller failed", "address", l.Addr().String())
			s.sleep(acceptPause)
			continue
		}
		wg.Go(func() {
			s.ServeConn(conn)
		})
	}
}

// ServeConn runs the session of one caller. It closes conn.
func (s *Server) ServeConn(conn net.Conn) {
	defer conn.Close()
	if !s.addConn() {
		s.rejectConn(conn)
		return
	}
	defer s.removeConn()
	var c panics.Catcher
	c.Try(func() {
		s.serveConn(conn)
	})
	if r := c.Recovered(); r != nil {
		s.panics.Add(1)
		klog.ErrorS(r.AsError(), "a session panicked", "host", s.Host)
	}
}

// Shutdown stops accepting callers and ends each session with SQLSTATE 57P01 once
// it is idle and its transaction has ended. If ctx ends first, Shutdown aborts the
// sessions that are left, logs that, and returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	s.stopAccepting()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
	}
	s.abortSessions()
	<-s.done
	return ctx.Err()
}

// addListener records a listener for Shutdown to close. It returns false if the
// server is stopping.
func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.listeners = append(s.listeners, l)
	return true
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	close(s.acceptStopped)
	for _, l := range s.listeners {
		if err := l.Close(); err != nil {
			klog.ErrorS(err, "closing a listener failed", "host", s.Host)
		}
	}
	s.closeDoneIfIdle()
}

// abortSessions ends all sessions at once.
func (s *Server) abortSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	klog.InfoS("the shutdown timeout was reached; aborting sessions", "host", s.Host, "sessions", s.connCount)
	s.cancelSessions()
}

// watchKeys ends the sessions whose key a new configuration withdrew.
func (s *Server) watchKeys() {
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	var seen uint64
	for {
		select {
		case <-s.acceptStopped:
			return
		case <-ticker.C:
		}
		if _, version := s.directory.Current(); version != seen {
			seen = version
			s.sessions.revokeInvalid(s.directory.KeyValid)
		}
	}
}

// sleep waits for d, or until the server stops accepting.
func (s *Server) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.acceptStopped:
	}
}
