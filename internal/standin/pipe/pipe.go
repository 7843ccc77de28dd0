// Package pipe copies one direction of a connection and injects delays and loss.
package pipe

import (
	"io"
	"time"
)

const (
	// chunkBytes is the most that is read at once.
	chunkBytes = 32 << 10
	// queueChunks bounds the chunks that wait for the end of their delay.
	queueChunks = 256
)

// link tells the faults of the direction; it is asked at each chunk.
type link interface {
	// Cut reports whether bytes are dropped now.
	Cut() bool
	// Delay returns how long bytes take now.
	Delay() time.Duration
}

// chunk is a part of the stream and the time at which it is due.
type chunk struct {
	body []byte
	due  time.Time
}

// Pipe copies one direction of a connection. Once it has dropped bytes it drops all
// that follow, since a stream with a gap would be corrupt.
type Pipe struct {
	link  link
	queue chan chunk
	stop  chan struct{}
}

// New returns a pipe with the faults of a link.
func New(l link) *Pipe {
	return &Pipe{
		link:  l,
		queue: make(chan chunk, queueChunks),
		stop:  make(chan struct{}),
	}
}

// Read reads the stream until it ends. The end is not passed on when bytes were
// dropped, as in a network that drops packets.
func (p *Pipe) Read(from io.Reader) {
	dropped := false
	defer func() {
		if !dropped {
			close(p.queue)
		}
	}()
	for {
		body := make([]byte, chunkBytes)
		n, err := from.Read(body)
		dropped = dropped || p.link.Cut()
		if err != nil {
			return
		}
		if dropped {
			continue
		}
		c := chunk{
			body: body[:n],
			due:  time.Now().Add(p.link.Delay()),
		}
		select {
		case p.queue <- c:
		case <-p.stop:
			return
		}
	}
}

// Write writes what Read has read, once it is due. It returns true when the stream
// has ended, and false after Stop.
func (p *Pipe) Write(to io.Writer) bool {
	for {
		select {
		case c, ok := <-p.queue:
			if !ok {
				return true
			}
			time.Sleep(time.Until(c.due))
			if _, err := to.Write(c.body); err != nil {
				return true
			}
		case <-p.stop:
			return false
		}
	}
}

// Stop ends Write at once, and Read once its reader returns.
func (p *Pipe) Stop() {
	close(p.stop)
}
