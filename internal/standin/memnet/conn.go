package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxBufferedBytes is how many bytes a stream buffers before a write blocks.
const maxBufferedBytes = 256 << 10

// address is a net.Addr in the form ip:port.
type address string

// Network returns the transport's name.
func (a address) Network() string { return "tcp" }

// String returns ip:port.
func (a address) String() string { return string(a) }

func (a address) ip() string {
	host, _, err := net.SplitHostPort(string(a))
	if err != nil {
		return string(a)
	}
	return host
}

// segment holds bytes in transit, which arrive at the time at.
type segment struct {
	at   time.Time
	data []byte
}

// stream is one direction of a connection.
type stream struct {
	net      *Network
	from     string
	to       string
	mu       sync.Mutex
	segments []segment
	buffered int
	closed   bool
	reset    bool
	// broken says that reads fail once they have read what was written.
	broken  bool
	changed chan struct{}
}

func newStream(n *Network, from, to string) *stream {
	return &stream{
		net:     n,
		from:    from,
		to:      to,
		changed: make(chan struct{}),
	}
}

// signal wakes the waiting readers and writers. The caller holds mu.
func (s *stream) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write appends as many bytes of p as fit and returns their number. When none
// fit, it returns a channel that is closed at the next change.
func (s *stream) write(p []byte) (int, <-chan struct{}, error) {
	delay := s.net.delay(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reset || s.broken {
		return 0, nil, syscall.ECONNRESET
	}
	if s.closed {
		return 0, nil, syscall.EPIPE
	}
	free := maxBufferedBytes - s.buffered
	if free <= 0 {
		return 0, s.changed, nil
	}
	p = p[:min(len(p), free)]
	s.segments = append(s.segments, segment{
		at:   time.Now().Add(delay),
		data: append([]byte(nil), p...),
	})
	s.buffered += len(p)
	s.signal()
	return len(p), nil, nil
}

// read copies bytes that have arrived to p. When there are none, it returns how
// long to wait until the next ones arrive (0 when none are in transit or the link
// is cut), and a channel that is closed when it is worth trying again.
func (s *stream) read(p []byte) (int, time.Duration, <-chan struct{}, error) {
	healed, cut := s.net.isCut(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reset {
		return 0, 0, nil, syscall.ECONNRESET
	}
	if len(s.segments) == 0 {
		if s.broken {
			return 0, 0, nil, syscall.ECONNRESET
		}
		if s.closed {
			return 0, 0, nil, io.EOF
		}
		return 0, 0, s.changed, nil
	}
	if cut {
		return 0, 0, healed, nil
	}
	first := &s.segments[0]
	if wait := time.Until(first.at); wait > 0 {
		return 0, wait, s.changed, nil
	}
	n := copy(p, first.data)
	first.data = first.data[n:]
	s.buffered -= n
	if len(first.data) == 0 {
		s.segments = s.segments[1:]
	}
	s.signal()
	return n, 0, nil, nil
}

// close ends the stream; what was written is still read. With reset, reads and
// writes fail at once.
func (s *stream) close(reset bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.reset = s.reset || reset
	s.signal()
}

// breakOff makes writes fail, and reads once they have read what was written.
func (s *stream) breakOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
	s.signal()
}

// deadline is a point in time that can be changed while reads or writes wait
// for it.
type deadline struct {
	mu      sync.Mutex
	at      time.Time
	changed chan struct{}
}

func newDeadline() *deadline {
	return &deadline{
		changed: make(chan struct{}),
	}
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = t
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *deadline) get() (time.Time, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at, d.changed
}

// conn is one end of a connection.
type conn struct {
	net           *Network
	local         address
	remote        address
	in            *stream
	out           *stream
	readDeadline  *deadline
	writeDeadline *deadline
	// sent counts the bytes that both ends send.
	sent *int64
}

func newConnPair(n *Network, a, b address) (*conn, *conn) {
	aToB := newStream(n, a.ip(), b.ip())
	bToA := newStream(n, b.ip(), a.ip())
	return newConn(n, a, b, bToA, aToB), newConn(n, b, a, aToB, bToA)
}

func newConn(n *Network, local, remote address, in, out *stream) *conn {
	return &conn{
		net:           n,
		local:         local,
		remote:        remote,
		in:            in,
		out:           out,
		readDeadline:  newDeadline(),
		writeDeadline: newDeadline(),
	}
}

// Read waits for bytes, the read deadline or the connection's end.
func (c *conn) Read(p []byte) (int, error) {
	for {
		at, deadlineChanged := c.readDeadline.get()
		if !at.IsZero() && !time.Now().Before(at) {
			return 0, os.ErrDeadlineExceeded
		}
		n, wait, changed, err := c.in.read(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		waitForChange(at, wait, changed, deadlineChanged)
	}
}

// Write waits for space in the buffer, the write deadline or the connection's end.
func (c *conn) Write(p []byte) (int, error) {
	keep, breaks := c.net.breaks(c, p)
	if !breaks {
		return c.write(p)
	}
	n, err := c.write(p[:keep])
	c.out.breakOff()
	c.in.close(true)
	if err == nil && keep < len(p) {
		err = syscall.ECONNRESET
	}
	return n, err
}

func (c *conn) write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		at, deadlineChanged := c.writeDeadline.get()
		if !at.IsZero() && !time.Now().Before(at) {
			return sent, os.ErrDeadlineExceeded
		}
		n, changed, err := c.out.write(p[sent:])
		if err != nil {
			return sent, err
		}
		sent += n
		atomic.AddInt64(c.sent, int64(n))
		if changed != nil {
			waitForChange(at, 0, changed, deadlineChanged)
		}
	}
	return sent, nil
}

// waitForChange returns when one of the channels is closed, after wait unless
// it is 0, or at the deadline, unless it is zero.
func waitForChange(deadline time.Time, wait time.Duration, changed, deadlineChanged <-chan struct{}) {
	if !deadline.IsZero() {
		left := time.Until(deadline)
		if wait == 0 || left < wait {
			wait = left
		}
	}
	var expired <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
	case <-deadlineChanged:
	case <-expired:
	}
}

// Close ends both directions. Bytes in transit still arrive at the peer.
func (c *conn) Close() error {
	c.in.close(false)
	c.out.close(false)
	c.readDeadline.set(time.Unix(0, 1))
	c.writeDeadline.set(time.Unix(0, 1))
	c.net.removeConn(c)
	return nil
}

// IsClosed reports whether the peer has closed the connection and all that it sent has
// been read.
func (c *conn) IsClosed() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.segments) == 0 && (c.in.closed || c.in.reset || c.in.broken)
}

// HasUnread reports whether bytes have arrived that are not read yet.
func (c *conn) HasUnread() bool {
	if _, cut := c.net.isCut(c.in.from, c.in.to); cut {
		return false
	}
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.segments) > 0 && !time.Now().Before(c.in.segments[0].at)
}

// reset makes reads and writes of both ends fail, as a TCP reset does.
func (c *conn) reset() {
	c.in.close(true)
	c.out.close(true)
	c.net.removeConn(c)
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the peer.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline sets the time after which Read fails.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline sets the time after which Write fails.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// listener accepts connections at one address.
type listener struct {
	net     *Network
	address address
	queue   chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	l.net.mu.Lock()
	if l.net.listeners[string(l.address)] == l {
		delete(l.net.listeners, string(l.address))
	}
	l.net.mu.Unlock()
	l.stop()
	return nil
}

func (l *listener) stop() {
	l.once.Do(func() { close(l.done) })
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.address }
