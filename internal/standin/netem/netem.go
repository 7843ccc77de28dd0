// Package netem is a TCP relay that emulates network faults, as netem in Linux
// does: tests can cut a direction, delay it and heal it again. A cut drops bytes
// silently, without a reset, as a network that drops packets does.
package netem

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/standin/pipe"
)

// Values of cut: which directions drop their bytes.
const (
	CutNone     = ""
	CutBoth     = "both"
	CutToTarget = "to-target"
	CutToClient = "to-client"
)

const dialTimeout = 5 * time.Second

// Relay relays connections to one address. A direction that dropped bytes stays
// silent after Heal, since its stream has a gap; new connections work again.
type Relay struct {
	target string
	ctx    context.Context
	stop   context.CancelFunc
	tasks  conc.WaitGroup
	done   chan struct{}

	mu        sync.Mutex
	closed    bool
	cut       string
	delay     time.Duration
	listeners []net.Listener
	conns     map[net.Conn]struct{}
}

// New returns a relay to target (ip:port) without faults.
func New(target string) *Relay {
	ctx, stop := context.WithCancel(context.Background())
	return &Relay{
		target: target,
		ctx:    ctx,
		stop:   stop,
		done:   make(chan struct{}),
		conns:  map[net.Conn]struct{}{},
	}
}

// Set sets which directions are cut (CutNone, CutBoth, CutToTarget or
// CutToClient) and by how long each direction is delayed.
func (r *Relay) Set(cut string, delay time.Duration) error {
	switch cut {
	case CutNone, CutBoth, CutToTarget, CutToClient:
	default:
		return errors.New("cable: cut " + cut + " is unknown; use both, to-target, to-client or an empty text")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.delay = delay
	return nil
}

// Heal ends the cut and the delay.
func (r *Relay) Heal() {
	_ = r.Set(CutNone, 0)
}

// faultRequest is the body of a control request.
type faultRequest struct {
	Cut   string `json:"cut"`
	Delay string `json:"delay"`
}

// ServeHTTP sets the faults from a posted JSON body with the fields cut, and
// delay as a duration such as 10ms. An empty object heals the network.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		http.Error(w, "post a JSON body", http.StatusMethodNotAllowed)
		return
	}
	var f faultRequest
	var delay time.Duration
	d := json.NewDecoder(req.Body)
	d.DisallowUnknownFields()
	err := d.Decode(&f)
	if err == nil && f.Delay != "" {
		delay, err = time.ParseDuration(f.Delay)
	}
	if err == nil {
		err = r.Set(f.Cut, delay)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Serve relays the connections of l until Close.
func (r *Relay) Serve(l net.Listener) error {
	r.mu.Lock()
	r.listeners = append(r.listeners, l)
	r.mu.Unlock()
	for r.ctx.Err() == nil {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			return err
		}
		r.start(conn)
	}
	return nil
}

// start relays conn in the background, unless the relay is closed.
func (r *Relay) start(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = conn.Close()
		return
	}
	r.conns[conn] = struct{}{}
	r.tasks.Go(func() { r.serveConn(conn) })
}

// serveConn connects to the target and copies both directions until one of them
// ends or the relay is closed.
func (r *Relay) serveConn(client net.Conn) {
	defer r.closeConn(client)
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	target, err := d.DialContext(r.ctx, "tcp", r.target)
	if err != nil || !r.track(target) {
		return
	}
	defer r.closeConn(target)
	toTarget := pipe.New(direction{
		relay: r,
		cut:   CutToTarget,
	})
	toClient := pipe.New(direction{
		relay: r,
		cut:   CutToClient,
	})
	ended := make(chan struct{}, 2)
	var wg conc.WaitGroup
	wg.Go(func() { toTarget.Read(client) })
	wg.Go(func() { toClient.Read(target) })
	wg.Go(func() { writeUntilEnd(toTarget, target, ended) })
	wg.Go(func() { writeUntilEnd(toClient, client, ended) })
	select {
	case <-ended:
	case <-r.ctx.Done():
	}
	toTarget.Stop()
	toClient.Stop()
	_ = client.Close()
	_ = target.Close()
	wg.Wait()
}

// writeUntilEnd writes what p has read to a connection, and reports on ended
// when the stream has ended.
func writeUntilEnd(p *pipe.Pipe, to net.Conn, ended chan<- struct{}) {
	if p.Write(to) {
		ended <- struct{}{}
	}
}

// track registers conn to be closed by Close. It returns false, and closes
// conn, when the relay is closed already.
func (r *Relay) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = conn.Close()
		return false
	}
	r.conns[conn] = struct{}{}
	return true
}

func (r *Relay) closeConn(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// Close closes the listeners and connections, and waits for the background work.
func (r *Relay) Close() {
	r.mu.Lock()
	first := !r.closed
	r.closed = true
	r.stop()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.mu.Unlock()
	if !first {
		<-r.done
		return
	}
	r.tasks.Wait()
	close(r.done)
}

// Done returns a channel that is closed once Close has ended.
func (r *Relay) Done() <-chan struct{} {
	return r.done
}

// direction is one direction of the relay's connections.
type direction struct {
	relay *Relay
	cut   string
}

// Cut reports whether bytes are dropped now.
func (d direction) Cut() bool {
	d.relay.mu.Lock()
	defer d.relay.mu.Unlock()
	return d.relay.cut == CutBoth || d.relay.cut == d.cut
}

// Delay returns by how long bytes are delayed now.
func (d direction) Delay() time.Duration {
	d.relay.mu.Lock()
	defer d.relay.mu.Unlock()
	return d.relay.delay
}
