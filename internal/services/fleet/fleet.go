// Package fleet runs the membership protocol of a host, in the manner of SWIM: the
// host exchanges state with a few random hosts each second, and so learns which
// hosts are alive and which configuration is the newest.
package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/models/member"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	defaultInterval       = time.Second
	defaultProbeTimeout   = 500 * time.Millisecond
	defaultSuspectTimeout = 3 * time.Second
	// fanout is the number of hosts that are probed in one interval.
	fanout = 3
	// pushFanout is the number of hosts that a new configuration is pushed to at
	// once.
	pushFanout = 4
	// indirectProbes is the number of hosts that are asked to probe a host that
	// did not answer.
	indirectProbes = 3
	// maxUpdates bounds the number of hosts in one message that is not full.
	maxUpdates = 48
	// baseHosts is the size of fleet up to which fullInterval and
	// directoryInterval apply; they grow in proportion to larger ones.
	baseHosts = 60
	// fullInterval is the mean time between two exchanges of everything that is
	// known.
	fullInterval = time.Minute
	// majorityIntervals is the number of intervals within which this host must
	// hear from a majority to count as healthy.
	majorityIntervals = 3
	// reachIntervals is the number of intervals after which a host that no other
	// host has reached takes itself out of service.
	reachIntervals = 8
	// directoryInterval is the mean time between two reads of the platform's list
	// of hosts.
	directoryInterval = 10 * time.Second
)

// configSource holds this host's configuration.
type configSource interface {
	Newest() (version uint64, hash string, age time.Duration)
	Observe(version uint64, hash string, age time.Duration)
	CurrentBody() (version uint64, hash string, body []byte)
	NewestBody() (version uint64, hash string, body []byte)
	Changed() <-chan struct{}
	NewestBodyChanged() <-chan struct{}
}

// directory is the platform's list of hosts, which lags behind. It serves to find
// addresses of peers, and never to decide which hosts are alive.
type directory interface {
	// Addresses returns the peer addresses of hosts.
	Addresses(ctx context.Context) ([]string, error)
}

// Fleet is this host's membership in the fleet. Set the exported fields, then call
// Start once.
type Fleet struct {
	// Host is this host.
	Host host.Host
	// Seeds are the peer addresses to contact after the start.
	Seeds []string
	// Dial returns a client of the host at a peer address.
	Dial func(address string) wasabislipv1connect.PeerServiceClient
	// Config holds this host's configuration.
	Config configSource
	// Directory finds more peer addresses; it may be nil.
	Directory directory
	// Interval is the time between two rounds of exchanges.
	Interval time.Duration
	// ProbeTimeout bounds one exchange.
	ProbeTimeout time.Duration
	// SuspectTimeout is how long a suspected host has to refute the suspicion.
	SuspectTimeout time.Duration

	prepared sync.Once

	mu    sync.Mutex
	table *member.Table
	// contacts are the seeds and the addresses of the directory.
	contacts []string
	changed  chan struct{}
	// notifiedVersion is the version of table at the last call of notify.
	notifiedVersion uint64
	// configHost is the address of a host that has a newer configuration.
	configHost string

	rounds conc.WaitGroup
	done   chan struct{}
}

// Start joins the fleet in the background until ctx ends; Done tells when all work
// has ended.
func (f *Fleet) Start(ctx context.Context) {
	f.prepared.Do(f.setDefaults)
	f.done = make(chan struct{})
	go func() {
		defer close(f.done)
		var wg conc.WaitGroup
		wg.Go(func() { guard.Keep(ctx, "fleet-rounds", f.roundLoop) })
		wg.Go(func() { guard.Keep(ctx, "fleet-push", f.pushLoop) })
		wg.Go(func() { guard.Keep(ctx, "fleet-directory", f.directoryLoop) })
		wg.Wait()
		f.rounds.Wait()
	}()
}

// setDefaults sets the fields that were left empty, and creates the member table.
func (f *Fleet) setDefaults() {
	if f.Interval <= 0 {
		f.Interval = defaultInterval
	}
	if f.ProbeTimeout <= 0 {
		f.ProbeTimeout = defaultProbeTimeout
	}
	if f.SuspectTimeout <= 0 {
		f.SuspectTimeout = defaultSuspectTimeout
	}
	if f.Host.Started.IsZero() {
		f.Host.Started = time.Now()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = member.New(f.Host, f.SuspectTimeout)
	f.contacts = slices.Clone(f.Seeds)
	f.changed = make(chan struct{})
}

// lock takes the lock for a method that other parts of the host may call before Start.
func (f *Fleet) lock() {
	f.prepared.Do(f.setDefaults)
	f.mu.Lock()
}

// Done is closed once the fleet's work has ended.
func (f *Fleet) Done() <-chan struct{} {
	return f.done
}

// Self returns this host.
func (f *Fleet) Self() host.Host {
	f.lock()
	defer f.mu.Unlock()
	return f.table.Self()
}

// Hosts returns every known host by name, dead ones included.
func (f *Fleet) Hosts() []host.Host {
	f.lock()
	defer f.mu.Unlock()
	return f.table.Hosts()
}

// Alive reports whether the host of that name accepts new work.
func (f *Fleet) Alive(name string) bool {
	h, ok := f.Lookup(name)
	return ok && h.AcceptsWork()
}

// suspectProbeDivisor shortens the timeout of a probe of a suspected host, whose
// probes have already failed.
const suspectProbeDivisor = 2

// Answers reports whether the host of that name is believed to answer; a leaving
// host does until its process has ended. A suspected host is probed. A host that is
// not known is probed at its address, since this host may be the one that has just
// joined.
func (f *Fleet) Answers(ctx context.Context, name, address string) bool {
	h, ok := f.Lookup(name)
	if ok && h.State != host.Suspect {
		return h.Reachable()
	}
	ctx, cancel := context.WithTimeout(ctx, f.ProbeTimeout/suspectProbeDivisor)
	defer cancel()
	return f.Probe(ctx, name, address)
}

// Lookup returns the host of that name.
func (f *Fleet) Lookup(name string) (host.Host, bool) {
	f.lock()
	defer f.mu.Unlock()
	return f.table.Get(name)
}

// Size returns how many hosts are known and not dead.
func (f *Fleet) Size() int {
	f.lock()
	defer f.mu.Unlock()
	return f.table.Size()
}

// ReachesMajority reports whether a majority of the known hosts was heard within d.
func (f *Fleet) ReachesMajority(d time.Duration) bool {
	f.lock()
	defer f.mu.Unlock()
	return f.reachesMajority(d)
}

// reachesMajority is ReachesMajority for a caller that holds the lock.
func (f *Fleet) reachesMajority(d time.Duration) bool {
	return f.table.ReachesMajority(d, fanout*int(d/f.Interval))
}

// Changed is closed at the next change of a host's state.
func (f *Fleet) Changed() <-chan struct{} {
	f.lock()
	defer f.mu.Unlock()
	return f.changed
}

// Leave declares that this host takes no new work, and announces that to some hosts.
func (f *Fleet) Leave(ctx context.Context) {
	f.lock()
	f.table.Leave()
	f.mu.Unlock()
	f.announce(ctx)
}

// Rejoin declares that this host takes new work again after Leave, and announces
// that to some hosts.
func (f *Fleet) Rejoin(ctx context.Context) {
	f.lock()
	f.table.Rejoin()
	f.mu.Unlock()
	f.announce(ctx)
}

// announce exchanges with some hosts after a change of this host's state.
func (f *Fleet) announce(ctx context.Context) {
	f.notify()
	var wg conc.WaitGroup
	for _, h := range f.pick(pushFanout, host.Host.AcceptsWork) {
		wg.Go(func() { f.probe(ctx, h) })
	}
	wg.Wait()
}

// Superseded reports whether a newer process uses this host's name.
func (f *Fleet) Superseded() bool {
	f.lock()
	defer f.mu.Unlock()
	return f.table.Superseded
}

// notify closes the channel of Changed if the member table has changed.
func (f *Fleet) notify() {
	f.lock()
	defer f.mu.Unlock()
	if f.table.Version == f.notifiedVersion {
		return
	}
	f.notifiedVersion = f.table.Version
	close(f.changed)
	f.changed = make(chan struct{})
}

// scaled returns the interval of transfers whose size grows with the fleet. It is d
// up to baseHosts, and grows with larger fleets so that the bytes a second don't.
func (f *Fleet) scaled(d time.Duration) time.Duration {
	return d * time.Duration(max(f.Size(), baseHosts)) / baseHosts
}

// roundLoop exchanges with random hosts and contacts in each interval.
func (f *Fleet) roundLoop(ctx context.Context) {
	ticker := time.NewTicker(f.Interval)
	defer ticker.Stop()
	for {
		f.tick()
		f.exchangeAll(ctx, f.pick(fanout, anyHost))
		f.exchangeWithContact(ctx)
		// Random, so that hosts that start together don't do it at the same time.
		if rand.N(f.scaled(fullInterval)) < f.Interval {
			f.exchangeFull(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick updates the member table, and logs the hosts whose suspicion has become a
// death.
func (f *Fleet) tick() {
	version, _, _ := f.Config.CurrentBody()
	f.mu.Lock()
	f.table.SetConfig(version)
	f.table.Healthy = f.reachesMajority(majorityIntervals * f.Interval)
	died := f.table.Tick()
	f.table.CheckReachability(reachIntervals * f.Interval)
	f.mu.Unlock()
	for _, h := range died {
		declog.Decision{
			Decision:   "host-dead",
			Reason:     "suspicion-not-refuted",
			Host:       h.Name,
			DataCentre: h.DataCentre,
		}.Log()
	}
	f.notify()
}

// pushLoop exchanges with some hosts at once when this host gets the body of a new
// configuration, and again when the configuration is in force here.
func (f *Fleet) pushLoop(ctx context.Context) {
	for {
		newestChanged := f.Config.NewestBodyChanged()
		changed := f.Config.Changed()
		version, _, _ := f.Config.CurrentBody()
		f.mu.Lock()
		f.table.SetConfig(version)
		f.mu.Unlock()
		if newest, _, _ := f.Config.NewestBody(); newest > 0 {
			f.exchangeAll(ctx, f.pick(pushFanout, host.Host.Reachable))
		}
		select {
		case <-ctx.Done():
			return
		case <-newestChanged:
		case <-changed:
		}
	}
}

func anyHost(host.Host) bool {
	return true
}

// pick returns up to n random hosts that pass the filter, without this one.
func (f *Fleet) pick(n int, filter func(h host.Host) bool) []host.Host {
	f.lock()
	list := f.table.Hosts()
	self := f.table.Self().Name
	f.mu.Unlock()
	list = slices.DeleteFunc(list, func(h host.Host) bool {
		return h.Name == self || !filter(h)
	})
	rand.Shuffle(len(list), func(i, j int) {
		list[i], list[j] = list[j], list[i]
	})
	return list[:min(n, len(list))]
}
