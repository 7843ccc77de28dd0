package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc/pool"
	"k8s.io/klog/v2"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/hostpb"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// unknownAge is the age given to a configuration version that a request names. How
// long the request was in flight can't be told, so that it must confirm nothing.
const unknownAge = 24 * time.Hour

const (
	// refreshConcurrency is the number of hosts that Refresh asks at once.
	refreshConcurrency = 32
	// maxRefreshed is the largest number of hosts that one Refresh asks.
	maxRefreshed = 1000
)

// exchangeAll exchanges with each host of the list in the background.
func (f *Fleet) exchangeAll(ctx context.Context, list []host.Host) {
	for _, h := range list {
		f.rounds.Go(func() { f.probe(ctx, h) })
	}
}

// probe exchanges with h. If that fails, it asks other hosts to reach h; if none
// does, h is recorded as failed.
func (f *Fleet) probe(ctx context.Context, h host.Host) {
	err := f.exchange(ctx, h.Name, h.Address, false)
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	f.table.RecordProbe(h.Name, err == nil)
	f.mu.Unlock()
	if err == nil || !h.Reachable() {
		return
	}
	if f.probeIndirectly(ctx, h) || ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	f.table.RecordFailure(h.Name)
	f.mu.Unlock()
	f.notify()
}

// probeIndirectly asks some other hosts to probe h, and reports whether one of them
// reached it.
func (f *Fleet) probeIndirectly(ctx context.Context, h host.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*f.ProbeTimeout)
	defer cancel()
	list := f.pick(indirectProbes, func(other host.Host) bool {
		return other.Name != h.Name && other.State == host.Alive
	})
	answers := make(chan bool, len(list))
	for _, helper := range list {
		f.rounds.Go(func() { answers <- f.requestProbe(ctx, helper, h) })
	}
	for range list {
		if <-answers {
			return true
		}
	}
	return false
}

// requestProbe asks the host helper to probe h.
func (f *Fleet) requestProbe(ctx context.Context, helper, h host.Host) bool {
	resp, err := f.Dial(helper.Address).Probe(ctx, connect.NewRequest(&wasabislipv1.ProbeRequest{
		Host:    h.Name,
		Address: h.Address,
	}))
	return err == nil && resp.Msg.GetAlive()
}

// exchange sends what this host knows to the host at address and merges the answer:
// recent updates, or everything if full. name is empty for a host that is known by
// its address only.
func (f *Fleet) exchange(ctx context.Context, name, address string, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, f.ProbeTimeout)
	defer cancel()
	sent := time.Now()
	resp, err := f.Dial(address).Exchange(ctx, connect.NewRequest(f.request(name, full)))
	if err != nil {
		return err
	}
	version := resp.Msg.GetConfigVersion()
	f.noteSource(version, address)
	age := time.Duration(resp.Msg.GetPlatformAgeMs()) * time.Millisecond
	f.Config.Observe(version, resp.Msg.GetConfigHash(), age+time.Since(sent))
	list := hostpb.FromProto(resp.Msg.GetHosts())
	f.merge(list)
	if name != "" && (len(list) == 0 || list[0].Name != name) {
		return fault.New(fault.NotRun, "another host answers at "+address, "wait for the host to join again")
	}
	return nil
}

// request returns the message of an exchange with the host named to.
func (f *Fleet) request(to string, full bool) *wasabislipv1.ExchangeRequest {
	version, hash, age := f.Config.Newest()
	f.lock()
	defer f.mu.Unlock()
	list := f.table.Updates(to, maxUpdates)
	if full {
		list = f.table.FullState()
	}
	return &wasabislipv1.ExchangeRequest{
		From:          f.Host.Name,
		Hosts:         hostpb.ToProto(list),
		ConfigVersion: version,
		ConfigHash:    hash,
		PlatformAgeMs: ceilMilliseconds(age),
	}
}

// Exchange answers another host's exchange. A host that is not known yet, or that
// sent more than maxUpdates, gets everything that is known here.
func (f *Fleet) Exchange(r *wasabislipv1.ExchangeRequest) *wasabislipv1.ExchangeResponse {
	list := hostpb.FromProto(r.GetHosts())
	f.lock()
	_, known := f.table.Get(r.GetFrom())
	f.table.RecordContact(r.GetFrom())
	f.mu.Unlock()
	f.merge(list)
	if len(list) > 0 {
		f.noteSource(r.GetConfigVersion(), list[0].Address)
	}
	f.Config.Observe(r.GetConfigVersion(), r.GetConfigHash(), unknownAge)
	return f.response(r.GetFrom(), !known || len(list) > maxUpdates+1)
}

func (f *Fleet) response(to string, full bool) *wasabislipv1.ExchangeResponse {
	r := f.request(to, full)
	return &wasabislipv1.ExchangeResponse{
		Hosts:         r.GetHosts(),
		ConfigVersion: r.GetConfigVersion(),
		ConfigHash:    r.GetConfigHash(),
		PlatformAgeMs: r.GetPlatformAgeMs(),
	}
}

// Probe exchanges with the host at address on behalf of another host, which could
// not reach it.
func (f *Fleet) Probe(ctx context.Context, name, address string) bool {
	return f.exchange(ctx, name, address, false) == nil
}

// merge takes what another host knows of hosts.
func (f *Fleet) merge(list []host.Host) {
	f.lock()
	f.table.Merge(list)
	f.mu.Unlock()
	f.notify()
}

// noteSource remembers the address of a host that has a newer configuration.
func (f *Fleet) noteSource(version uint64, address string) {
	known, _, _ := f.Config.Newest()
	if version <= known {
		return
	}
	f.mu.Lock()
	f.configHost = address
	f.mu.Unlock()
}

// Fetch returns the body of a version: from the host that announced it, or from
// another host that has it in force.
func (f *Fleet) Fetch(ctx context.Context, version uint64) ([]byte, error) {
	f.mu.Lock()
	addresses := []string{f.configHost}
	f.mu.Unlock()
	for _, h := range f.pick(indirectProbes, func(h host.Host) bool { return h.Reachable() && h.ConfigVersion >= version }) {
		addresses = append(addresses, h.Address)
	}
	for _, address := range addresses {
		if address == "" {
			continue
		}
		body, err := f.fetchFrom(ctx, address, version)
		if err == nil {
			return body, nil
		}
		klog.V(1).InfoS("configuration not fetched from host", "address", address, "err", err)
	}
	return nil, fault.New(fault.NotRun, "no host gave the configuration", "ask the object store")
}

func (f *Fleet) fetchFrom(ctx context.Context, address string, version uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*f.ProbeTimeout)
	defer cancel()
	resp, err := f.Dial(address).Fetch(ctx, connect.NewRequest(&wasabislipv1.FetchRequest{
		Version: version,
	}))
	if err != nil {
		return nil, err
	}
	if resp.Msg.GetVersion() != version {
		return nil, fault.New(fault.NotRun, "the host has another version in force", "ask another")
	}
	return resp.Msg.GetBody(), nil
}

// exchangeWithContact exchanges in the background with a random contact address at
// which no reachable host is known.
func (f *Fleet) exchangeWithContact(ctx context.Context) {
	f.mu.Lock()
	known := map[string]bool{}
	for _, h := range f.table.Hosts() {
		known[h.Address] = h.Reachable()
	}
	var unknown []string
	for _, address := range f.contacts {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	f.mu.Unlock()
	if len(unknown) == 0 {
		return
	}
	address := unknown[rand.IntN(len(unknown))]
	f.rounds.Go(func() {
		if err := f.exchange(ctx, "", address, true); err != nil {
			klog.V(1).InfoS("contact did not answer", "address", address, "err", err)
		}
	})
}

// Refresh exchanges with the hosts that are not known to have version in force, so
// that an operator who waits for all of them does not wait for gossip.
func (f *Fleet) Refresh(ctx context.Context, version uint64) {
	wg := pool.New().WithMaxGoroutines(refreshConcurrency)
	behind := func(h host.Host) bool {
		return h.Reachable() && h.ConfigVersion < version
	}
	for _, h := range f.pick(maxRefreshed, behind) {
		wg.Go(func() { f.probe(ctx, h) })
	}
	wg.Wait()
}

// exchangeFull exchanges everything that is known with one random host.
func (f *Fleet) exchangeFull(ctx context.Context) {
	for _, h := range f.pick(1, host.Host.Reachable) {
		f.rounds.Go(func() {
			if err := f.exchange(ctx, h.Name, h.Address, true); err != nil {
				klog.V(1).InfoS("full exchange failed", "host", h.Name, "err", err)
			}
		})
	}
}

// directoryLoop reads the platform's list of hosts, whose addresses become contacts.
func (f *Fleet) directoryLoop(ctx context.Context) {
	if f.Directory == nil {
		return
	}
	for {
		addresses, err := f.Directory.Addresses(ctx)
		if err == nil {
			f.mu.Lock()
			f.contacts = slices.Concat(f.Seeds, addresses)
			f.mu.Unlock()
		}
		pause := f.scaled(directoryInterval)
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// ceilMilliseconds returns d in milliseconds, rounded up so that an age never
// shrinks.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
