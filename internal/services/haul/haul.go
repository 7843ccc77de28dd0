// Package haul takes statements to the host that holds the connections for
// them. Each workspace's connections to an instance are held by one host of
// the instance's data centre, so that they are used again instead of opened
// anew; every host can still open its own where that one does not answer.
package haul

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabislip.example/wasabislip/internal/models/errand"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/runner"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// avoidLeast and avoidMost bound how long a holder that failed is passed
	// over: from a few statements to a restart.
	minAvoid = 300 * time.Millisecond
	maxAvoid  = 3 * time.Second
	// aliveFor is how long a list of live hosts is used again.
	hostsMaxAge = 50 * time.Millisecond
)

var errAvoided = errors.New("the host did not answer lately; ask again later")

// fleet is what is known of the other hosts.
type fleet interface {
	Alive() []host.Host
}

// directory tells which instances there are.
type directory interface {
	Server(id string) (server.Server, bool)
}

// pools are this host's own connections to instances.
type pools interface {
	Pool(s server.Server) *conns.Pool
}

type dial func(ctx context.Context, network, address string) (net.Conn, error)

// Haul knows the ways. It is safe for concurrent use.
type Haul struct {
	self      host.Host
	fleet     fleet
	directory directory
	pools     pools
	dial      dial

	mu sync.Mutex
	// idle are the connections by holder.
	idle map[string][]*remote
	// avoided are the holders that failed, and those that could not reach an
	// instance, as holder/instance.
	avoided map[string]*avoidance
	hosts   []host.Host
	hostsAt   time.Time
}

// penalty is until when something is avoided, and for how long it was.
type avoidance struct {
	until   time.Time
	backoff time.Duration
}

// New returns a haul for the host self.
func New(self host.Host, f fleet, d directory, p pools, dialer dial) *Haul {
	return &Haul{
		self:      self,
		fleet:     f,
		directory: d,
		pools:     p,
		dial:      dialer,
		idle:      map[string][]*remote{},
		avoided:   map[string]*avoidance{},
	}
}

// Ask sends one errand that is not for an instance to a host. An error says
// that the host gave no answer.
func (h *Haul) Ask(ctx context.Context, to host.Host, e *errand.Errand) (reply.Reply, error) {
	t := &execution{
		forwarder:   h,
		holder: to,
	}
	if h.avoids(to.Name, "", time.Now()) {
		return reply.Reply{}, errAvoided
	}
	err := t.connect(ctx)
	if err != nil {
		h.avoid(to.Name)
		return reply.Reply{}, err
	}
	r, err := t.remote.do(e)
	if err != nil {
		t.discard()
		h.avoid(to.Name)
		return r, err
	}
	t.putBack()
	return r, nil
}

// trip is one caller's statement or transaction on its way. One goroutine uses
// it at a time.
type execution struct {
	forwarder   *Haul
	holder host.Host
	local  *runner.Runner
	remote *remote
	// holderFailed tells that the holder, not the instance, gave no answer.
	holderFailed bool
}

// Open returns the way to the holder of a workspace's connections to an
// instance.
func (h *Haul) Open(to server.Server, workspace string) *execution {
	t := &execution{
		forwarder: h,
	}
	holder, ok := h.holder(to, workspace)
	if !ok {
		t.local = runner.New(h.directory, h.pools)
		return t
	}
	t.holder = holder
	return t
}

// holder ranks the live hosts of the instance's data centre; false when it is
// this host, or none of them is to be used.
func (h *Haul) holder(to server.Server, workspace string) (host.Host, bool) {
	best := host.Host{}
	var most uint64
	if h.self.DataCentre == to.DataCentre {
		most = rendezvousWeight(to.ID, workspace, h.self.Name)
	}
	now := time.Now()
	for _, other := range h.aliveHosts(now) {
		if other.DataCentre != to.DataCentre || other.State != host.Alive || other.RunAddress == "" {
			continue
		}
		if n := rendezvousWeight(to.ID, workspace, other.Name); n > most && !h.avoids(other.Name, to.ID, now) {
			best = other
			most = n
		}
	}
	return best, best.Name != ""
}

func (h *Haul) aliveHosts(now time.Time) []host.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.hostsAt) > hostsMaxAge {
		h.hosts = h.fleet.Alive()
		h.hostsAt = now
	}
	return h.hosts
}

// Home returns the host that counts a workspace's operations; false when it is
// this one. It is the same for all hosts that hear the same others.
func (h *Haul) Home(workspace string) (host.Host, bool) {
	best := host.Host{}
	most := rendezvousWeight("rate", workspace, h.self.Name)
	for _, other := range h.aliveHosts(time.Now()) {
		if other.State != host.Alive || other.RunAddress == "" {
			continue
		}
		if n := rendezvousWeight("rate", workspace, other.Name); n > most {
			best = other
			most = n
		}
	}
	return best, best.Name != ""
}

func rendezvousWeight(instance, workspace, name string) uint64 {
	return xxhash.Sum64String(instance + "/" + workspace + "/" + name)
}

func (h *Haul) avoids(holder, instance string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, key := range []string{holder, holder + "/" + instance} {
		if p := h.avoided[key]; p != nil && now.Before(p.until) {
			return true
		}
	}
	return false
}

// avoid passes over a holder that failed, or one for an instance that it can't
// reach.
func (h *Haul) avoid(key string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.avoided[key]
	if !ok {
		p = &avoidance{}
		h.avoided[key] = p
	}
	p.backoff = min(max(2*p.backoff, minAvoid), maxAvoid)
	p.until = time.Now().Add(p.backoff)
	for _, r := range h.idle[key] {
		r.close()
	}
	delete(h.idle, key)
}

// Do runs one errand at the holder. When it can't be reached, the statement
// was not sent, and this host's own connections are used.
func (t *execution) Do(ctx context.Context, e *errand.Errand) (reply.Reply, error) {
	if t.local != nil {
		return t.local.Do(ctx, e)
	}
	if e.Kind == errand.Abandon {
		t.Close()
		return reply.Reply{}, nil
	}
	if t.remote == nil {
		if err := t.connect(ctx); err != nil {
			t.forwarder.avoid(t.holder.Name)
			return t.runLocally(ctx, e)
		}
	}
	r, err := t.remote.do(e)
	if err != nil && fault.As(err) == nil {
		t.discard()
		t.forwarder.avoid(t.holder.Name)
		t.holderFailed = true
		return r, fault.New(
			fault.OutcomeUnknown,
			"host "+t.holder.Name+" did not answer",
			"the statement may have run",
		).Wrap(err)
	}
	if fault.IsKind(err, fault.NotRun) && e.Kind != errand.Inside {
		// The holder can't reach the instance; this host may.
		t.putBack()
		t.forwarder.avoid(t.holder.Name + "/" + e.Instance)
		return t.runLocally(ctx, e)
	}
	if err != nil || r.State == reply.Idle {
		t.putBack()
	}
	return r, err
}

// direct uses this host's own connections.
func (t *execution) runLocally(ctx context.Context, e *errand.Errand) (reply.Reply, error) {
	t.local = runner.New(t.forwarder.directory, t.forwarder.pools)
	return t.local.Do(ctx, e)
}

// HolderFailed reports whether the holder gave no answer, so that nothing is
// known of the instance.
func (t *execution) HolderFailed() bool {
	return t.holderFailed
}

// Close rolls an open transaction back and gives the connection back.
func (t *execution) Close() {
	if t.local != nil {
		t.local.Close()
		return
	}
	if t.remote == nil {
		return
	}
	if t.remote.rollback() != nil {
		t.discard()
		return
	}
	t.putBack()
}

// connect takes an idle connection to the holder or opens one.
func (t *execution) connect(ctx context.Context) error {
	h := t.forwarder
	for {
		t.remote = h.takeIdle(t.holder.Name)
		if t.remote == nil {
			break
		}
		if t.remote.isOpen() {
			return nil
		}
		t.discard()
	}
	r, err := connect(ctx, h.dial, t.holder.RunAddress)
	t.remote = r
	return err
}

func (h *Haul) takeIdle(holder string) *remote {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.idle[holder]
	if len(list) == 0 {
		return nil
	}
	r := list[len(list)-1]
	h.idle[holder] = list[:len(list)-1]
	return r
}

// put gives the connection back. It is at the start of an errand again.
func (t *execution) putBack() {
	h := t.forwarder
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.avoided, t.holder.Name)
	if list := h.idle[t.holder.Name]; len(list) < maxIdle {
		h.idle[t.holder.Name] = append(list, t.remote)
	} else {
		t.remote.close()
	}
	t.remote = nil
}

func (t *execution) discard() {
	t.remote.close()
	t.remote = nil
}
