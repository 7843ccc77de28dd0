// Package forwd chooses the host that runs a statement and forwards the
// statement there. Each workspace's connections to an instance are held by one
// host of the instance's data centre, the holder, so that they are reused
// instead of opened anew. When the holder does not answer, a host uses
// connections of its own.
package forwd

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabislip.example/wasabislip/internal/models/holder"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/modules/count"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/runner"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// minAvoid and maxAvoid bound how long a holder that failed is avoided:
	// from the time of a few statements to that of a restart.
	minAvoid = 300 * time.Millisecond
	maxAvoid = 3 * time.Second
)

// errAvoided is the error of a call to a host that is avoided.
var errAvoided = errors.New("the host did not answer lately; ask again later")

// fleet lists the other hosts that are alive.
type fleet interface {
	Alive() []host.Host
}

// directory looks up instances and the configuration.
type directory interface {
	Server(id string) (server.Server, bool)
	Policy() *policy.Policy
	MaySend(id string) bool
}

// pools holds this host's own connections to instances.
type pools interface {
	Pool(s server.Server) *conns.Pool
}

// dialFunc opens a connection; see net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Forwarder forwards statements to other hosts. It is safe for concurrent use.
type Forwarder struct {
	// Counter counts the requests that this host sends to instances; nil if no usage
	// is reported. It is set before the first use.
	Counter *count.Counter

	self      host.Host
	fleet     fleet
	directory directory
	pools     pools
	dial      dialFunc

	mu sync.Mutex
	// idle are the idle connections to other hosts, by the host's name.
	idle map[string][]*remote
	// avoided are the holders that failed, by name, and those that could not
	// reach an instance, by holder/instance.
	avoided map[string]*avoidance
	// hosts are the live hosts as of the last call, and homes the homes among
	// them by workspace; an entry without a name is this host.
	hosts []host.Host
	homes map[string]host.Host
	// placements are the holders of connections among the live hosts.
	placements map[placementKey]*holder.Placement
}

// placementKey is what a placement depends on beside the live hosts.
type placementKey struct {
	instance   string
	dataCentre string
	limit      int
}

// avoidance is until when a holder is avoided, and the present backoff.
type avoidance struct {
	until   time.Time
	backoff time.Duration
}

// New returns a forwarder for the host self.
func New(self host.Host, f fleet, d directory, p pools, dialer dialFunc) *Forwarder {
	return &Forwarder{
		self:       self,
		fleet:      f,
		directory:  d,
		pools:      p,
		dial:       dialer,
		idle:       map[string][]*remote{},
		avoided:    map[string]*avoidance{},
		homes:      map[string]host.Host{},
		placements: map[placementKey]*holder.Placement{},
	}
}

// Call sends a task that is not for an instance to a host and returns the
// answer. An error says that the host gave no answer.
func (f *Forwarder) Call(ctx context.Context, to host.Host, t *task.Task) (reply.Reply, error) {
	x := &execution{
		forwarder: f,
		holder:    to,
	}
	if f.avoids(to.Name, "", time.Now()) {
		return reply.Reply{}, errAvoided
	}
	err := x.connect(ctx)
	if err != nil {
		f.avoid(to.Name)
		return reply.Reply{}, err
	}
	r, err := x.remote.do(t)
	if err != nil {
		x.discard()
		f.avoid(to.Name)
		return r, err
	}
	x.putBack()
	return r, nil
}

// execution runs one caller's statement or transaction, either on this host's
// own connections (local) or at the holder (remote). One goroutine uses it at a
// time.
type execution struct {
	forwarder *Forwarder
	holder    host.Host
	local     *runner.Runner
	remote    *remote
	// holderFailed tells that the holder, rather than the instance, did not
	// answer.
	holderFailed bool
}

// Open returns an execution at the holder of the workspace's connections to an
// instance. It connects with the first task.
func (f *Forwarder) Open(to server.Server, workspace string) *execution {
	x := &execution{
		forwarder: f,
	}
	holder, ok := f.findHolder(to, workspace)
	if !ok {
		x.local = f.newRunner()
		return x
	}
	x.holder = holder
	return x
}

// newRunner returns a runner on this host's own connections.
func (f *Forwarder) newRunner() *runner.Runner {
	r := runner.New(f.directory, f.pools)
	r.Counter = f.Counter
	return r
}

// findHolder returns the holder of the workspace's connections to an instance; false
// when it is this host or no holder can be asked.
func (f *Forwarder) findHolder(to server.Server, workspace string) (host.Host, bool) {
	now := time.Now()
	h, ok := f.placement(to).For(workspace, func(h host.Host) bool {
		return h.Name == f.self.Name || !f.avoids(h.Name, to.ID, now)
	})
	return h, ok && h.Name != f.self.Name
}

// CountHolders returns how many hosts hold connections to an instance.
func (f *Forwarder) CountHolders(to server.Server) int {
	return len(f.placement(to).Holders)
}

// placement returns the holders of the connections to an instance.
func (f *Forwarder) placement(to server.Server) *holder.Placement {
	limit := 0
	if p := f.directory.Policy(); p != nil {
		limit = p.ConnectionLimit[to.Service]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	alive := f.aliveHosts()
	key := placementKey{
		instance:   to.ID,
		dataCentre: to.DataCentre,
		limit:      limit,
	}
	if p, ok := f.placements[key]; ok {
		return p
	}
	var local []host.Host
	if f.self.DataCentre == to.DataCentre {
		local = append(local, f.self)
	}
	for _, h := range alive {
		if h.DataCentre == to.DataCentre && h.State == host.Alive && h.RunAddress != "" {
			local = append(local, h)
		}
	}
	p := holder.New(to.ID, limit, local)
	f.placements[key] = p
	return p
}

// aliveHosts returns the hosts that are alive. It forgets the homes and placements
// when the list has changed. The caller holds mu.
func (f *Forwarder) aliveHosts() []host.Host {
	list := f.fleet.Alive()
	same := len(list) == len(f.hosts) && (len(list) == 0 || &list[0] == &f.hosts[0])
	if !same {
		f.hosts = list
		clear(f.homes)
		clear(f.placements)
	}
	return list
}

// Home returns the home of a workspace's rate: the host that owns its token
// bucket. It returns false when that is this host. Hosts that see the same other
// hosts as alive choose the same home.
func (f *Forwarder) Home(workspace string) (host.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	alive := f.aliveHosts()
	best, known := f.homes[workspace]
	if known {
		return best, best.Name != ""
	}
	most := rendezvousWeight("rate", workspace, f.self.Name)
	for _, other := range alive {
		if other.State != host.Alive || other.RunAddress == "" {
			continue
		}
		if n := rendezvousWeight("rate", workspace, other.Name); n > most {
			best = other
			most = n
		}
	}
	f.homes[workspace] = best
	return best, best.Name != ""
}

// rendezvousWeight is a host's weight in rendezvous hashing: the host with the
// highest weight for a key is chosen.
func rendezvousWeight(instance, workspace, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{instance, "/", workspace, "/", name} {
		_, _ = d.WriteString(text) // never fails
	}
	return d.Sum64()
}

// avoids reports whether a holder is avoided, altogether or for an instance.
func (f *Forwarder) avoids(holder, instance string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range []string{holder, holder + "/" + instance} {
		if p := f.avoided[key]; p != nil && now.Before(p.until) {
			return true
		}
	}
	return false
}

// avoid has a holder avoided for some time, with a backoff that doubles, and
// closes the idle connections to it. The key is the holder's name, or
// holder/instance when only that instance could not be reached.
func (f *Forwarder) avoid(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.avoided[key]
	if !ok {
		p = &avoidance{}
		f.avoided[key] = p
	}
	p.backoff = min(max(2*p.backoff, minAvoid), maxAvoid)
	p.until = time.Now().Add(p.backoff)
	for _, r := range f.idle[key] {
		r.close()
	}
	delete(f.idle, key)
}

// Do runs one task at the holder. When the holder can't be reached the statement
// was not sent whole, and this host's own connections are used.
func (x *execution) Do(ctx context.Context, t *task.Task) (reply.Reply, error) {
	if x.local != nil {
		return x.local.Do(ctx, t)
	}
	if t.Kind == task.Rollback {
		x.Close()
		return reply.Reply{}, nil
	}
	if x.remote == nil {
		if err := x.connect(ctx); err != nil {
			x.forwarder.avoid(x.holder.Name)
			return x.runLocally(ctx, t)
		}
	}
	r, err := x.remote.do(t)
	if err != nil && fault.As(err) == nil {
		x.discard()
		x.forwarder.avoid(x.holder.Name)
		var unsent *unsentError
		if errors.As(err, &unsent) {
			return x.handleUnsent(ctx, t, err)
		}
		x.holderFailed = true
		return r, fault.New(
			fault.OutcomeUnknown,
			"host "+x.holder.Name+" did not answer",
			"the statement may have run",
		).Wrap(err)
	}
	if fault.IsKind(err, fault.NotRun) && t.Kind != task.InTransaction {
		// The holder can't reach the instance, but this host might.
		x.putBack()
		x.forwarder.avoid(x.holder.Name + "/" + t.Instance)
		return x.runLocally(ctx, t)
	}
	if err != nil || r.State == reply.Idle {
		x.putBack()
	}
	return r, err
}

// handleUnsent handles a task that the holder has not got. A statement of a transaction
// needs the connection that is lost.
func (x *execution) handleUnsent(ctx context.Context, t *task.Task, err error) (reply.Reply, error) {
	if t.Kind != task.InTransaction {
		return x.runLocally(ctx, t)
	}
	x.holderFailed = true
	return reply.Reply{}, fault.New(
		fault.NotRun,
		"host "+x.holder.Name+" could not be reached",
		"start the transaction again",
	).Wrap(err)
}

// runLocally runs a task on this host's own connections.
func (x *execution) runLocally(ctx context.Context, t *task.Task) (reply.Reply, error) {
	x.local = x.forwarder.newRunner()
	return x.local.Do(ctx, t)
}

// HolderFailed reports whether the holder did not answer, so that nothing is
// known of the instance.
func (x *execution) HolderFailed() bool {
	return x.holderFailed
}

// Close rolls an open transaction back and returns the connection.
func (x *execution) Close() {
	if x.local != nil {
		x.local.Close()
		return
	}
	if x.remote == nil {
		return
	}
	if x.remote.rollback() != nil {
		x.discard()
		return
	}
	x.putBack()
}

// connect takes an idle connection to the holder or opens one.
func (x *execution) connect(ctx context.Context) error {
	f := x.forwarder
	for {
		x.remote = f.takeIdle(x.holder.Name)
		if x.remote == nil {
			break
		}
		if x.remote.isOpen() {
			return nil
		}
		x.discard()
	}
	r, err := connect(ctx, f.dial, x.holder)
	x.remote = r
	return err
}

// takeIdle removes and returns the idle connection that was used last; nil
// without one.
func (f *Forwarder) takeIdle(holder string) *remote {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.idle[holder]
	if len(list) == 0 {
		return nil
	}
	r := list[len(list)-1]
	f.idle[holder] = list[:len(list)-1]
	return r
}

// putBack returns a connection on which no task is under way, and ends the
// holder's avoidance.
func (x *execution) putBack() {
	f := x.forwarder
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.avoided, x.holder.Name)
	if list := f.idle[x.holder.Name]; len(list) < maxIdle {
		f.idle[x.holder.Name] = append(list, x.remote)
	} else {
		x.remote.close()
	}
	x.remote = nil
}

// discard closes the connection.
func (x *execution) discard() {
	x.remote.close()
	x.remote = nil
}
