// Package bill reports to the platform how many requests each workspace ran. One
// host does so at a time; see docs/design/usage.md for why no two act at once, and
// why the platform never gets two contents of a window.
package bill

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/duty"
	"wasabislip.example/wasabislip/internal/models/sums"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/models/usage"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/counts"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/fault"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// Names of the row of the contents.
const (
	// PendingTable is the store's table with the row PendingKey, the contents that are
	// final and not known to be delivered. They are not in the fleet's table, of which
	// each host has a copy.
	PendingTable = "wasabislip-usage"
	PendingKey   = "pending"
)

const (
	// checkInterval is the time between two decisions.
	checkInterval = 100 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the pause after a failed call of the store or the platform.
	retryPause = time.Second
	// maxPendingBytes bounds the row of the pending contents: a page of the store has
	// at most 1 MB.
	maxPendingBytes = 700_000
)

// clock tells the true time.
type clock interface {
	Now() (time.Time, bool)
	At(reading time.Duration) (time.Time, bool)
}

// directory is this host's copy of the fleet's table.
type directory interface {
	Usage() tuple.Tuple
	Version(name string) uint64
	EraOpen() (open bool, rowVersion uint64)
	EraSince(name string) (era uint64, since time.Duration)
}

// store is the platform's store.
type store interface {
	Read(ctx context.Context, table string) ([]tuple.Tuple, uint64, error)
	Write(ctx context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error)
}

// platform takes the reports; see order.Client.
type platform interface {
	Report(ctx context.Context, window uint64, counts map[string]uint64, holder string, token uint64, until time.Duration) error
}

// fleet is what gossip tells of the other hosts.
type fleet interface {
	Alive() []host.Host
	Rank(duty string) int
	Lead(duty, except string) (host.Host, bool)
}

// forwarder sends counts to another host.
type forwarder interface {
	Forward(ctx context.Context, to host.Host, m *usage.Message) error
}

// Reporter reports while this host is the holder, and takes over from one that does
// not. Its fields are set before Run.
type Reporter struct {
	// Self is this host.
	Self host.Host
	// Params are the deployment's parameters.
	Params usage.Params
	// Clock tells the true time.
	Clock clock
	// Directory is the copy of the fleet's table.
	Directory directory
	// Store holds the record and the pending contents.
	Store store
	// Platform takes the reports.
	Platform platform
	// Hosts are the other hosts.
	Hosts fleet
	// Forwarder sends counts to the next holder.
	Forwarder forwarder

	once    sync.Once
	changed chan struct{}
	// done is closed once a host that stops holds nothing any more.
	done chan struct{}

	mu       sync.Mutex
	sums     *sums.Sums
	stopping bool
	stopped  bool
	stats    Stats
	// messageSize is the size of the last message of another host.
	messageSize int
	// rowEra, rowVersion and rowSince are the version of the record and when this host
	// first saw it.
	rowEra     uint64
	rowVersion uint64
	rowSince   time.Duration
	// started is when the first decision was made. eraVersion is the version of the row
	// that opens the era of the last one.
	started    time.Duration
	eraVersion uint64
	hold       *duty.Hold
	uncertain  bool
	// pausedUntil is until when the store is not called, after a failure.
	pausedUntil time.Duration
	// undelivered are the contents that the store holds as final under hold and that
	// are not known to be delivered, the oldest first.
	undelivered []usage.Content
	sending     bool
	sendAfter   time.Duration
	unknownSend time.Duration
}

// Stats are figures for the metrics.
type Stats struct {
	// Holder says whether this host is the holder.
	Holder bool
	// Finalized, Delivered, Late, Missed and Refused count windows, Takeovers the times
	// that this host became the holder, Dropped the windows' counts that came too late.
	Finalized, Delivered, Late, Missed, Refused, Takeovers, Dropped int
	// MissingHosts is how many live hosts had not told all counts of the last window
	// when it became final.
	MissingHosts int
	// Delay is the time from the end of the window that was delivered last to its
	// delivery.
	Delay time.Duration
}

// init creates what the zero value lacks.
func (r *Reporter) init() {
	r.once.Do(func() {
		r.sums = sums.New()
		r.changed = make(chan struct{}, 1)
		r.done = make(chan struct{})
	})
}

// Stats returns the figures.
func (r *Reporter) Stats() Stats {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Holder = r.hold != nil
	s.Dropped = r.sums.Dropped()
	return s
}

// Add takes the counts of a host. A fault of the kind bad-request names an invalid
// field; the message then has no effect.
func (r *Reporter) Add(m *usage.Message) error {
	r.init()
	now, ok := r.Clock.Now()
	if !ok {
		return fault.New(
			fault.Overloaded,
			"this host does not know the time yet",
			"send the counts again",
		)
	}
	if err := m.Check(r.Params.At(now)); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sums.Add(m)
	if m.From != r.Self.Name {
		r.messageSize = m.Size()
	}
	return nil
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.init()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-r.changed:
		}
		r.step(ctx)
	}
}

// Stop lets another host take over, and waits for that until ctx ends.
func (r *Reporter) Stop(ctx context.Context) {
	r.init()
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// step decides once and acts.
func (r *Reporter) step(ctx context.Context) {
	in, ok := r.input()
	if !ok {
		return
	}
	d := duty.Decide(in)
	r.log(in, d)
	switch d.Action {
	case duty.TakeOver:
		r.takeOver(ctx, in, d)
	case duty.Finalize:
		r.finalize(ctx, in, d)
	case duty.Renew:
		r.write(ctx, in, d.Record, r.contents())
	case duty.Release:
		if r.write(ctx, in, d.Record, r.contents()) {
			r.giveUp()
			r.passOn(ctx)
		}
		r.endStop(true)
	case duty.GiveUp:
		r.giveUp()
	case duty.Reread:
		r.reread(ctx)
	case duty.Send:
		r.send(ctx, in)
	}
	r.endStop(false)
}

// endStop ends the wait of Stop: if this host holds nothing, or could not release it.
func (r *Reporter) endStop(failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopping || r.stopped || !failed && (r.hold != nil || r.uncertain) {
		return
	}
	r.stopped = true
	close(r.done)
}

// input returns what the decision depends on; false while there is nothing to decide.
func (r *Reporter) input() (*duty.Input, bool) {
	row := r.Directory.Usage()
	era, eraSince := r.Directory.EraSince(mirror.Fleet)
	open, eraRow := r.Directory.EraOpen()
	if row.Version != 0 && tuple.Era(row.Version) != era || open && era > 0 && tuple.Era(eraRow) != era {
		return nil, false // the copy is being replaced
	}
	in := &duty.Input{
		Params:      r.Params,
		Host:        r.Self.Name,
		Incarnation: r.Self.Incarnation,
		Rank:        r.Hosts.Rank(counts.Duty),
		Copied:      r.Directory.Version(mirror.Fleet) != 0,
		RowVersion:  row.Version,
		Era:         era,
		EraOpen:     open,
	}
	alive := r.Hosts.Alive()
	if now, ok := r.Clock.Now(); ok {
		in.Time = now
		in.EraSince, _ = r.Clock.At(eraSince)
	}
	if row.Version != 0 {
		record, err := usage.DecodeRecord(row.Value)
		if err != nil {
			klog.ErrorS(err, "no usage is reported until the row is valid again; its token must be above all earlier ones", "table", mirror.Fleet, "key", mirror.UsageKey, "version", row.Version)
			return nil, false
		}
		in.Row = record
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	in.Uptime = uptime.Now()
	if r.rowSince == 0 || r.rowEra != era || r.rowVersion != row.Version {
		r.rowEra = era
		r.rowVersion = row.Version
		r.rowSince = in.Uptime
	}
	in.RowSince = r.rowSince
	r.eraVersion = eraRow
	if r.started == 0 {
		r.started = in.Uptime
	}
	in.Started = r.started
	if !in.Time.IsZero() {
		in.First = r.Params.At(in.Time.Add(r.started - in.Uptime))
	}
	if first, ok := r.sums.First(); ok {
		in.First = min(in.First, first)
	}
	in.Interval = counts.Interval(len(alive)+1, r.messageSize)
	in.Stopping = r.stopping
	in.Hold = r.hold
	in.Uncertain = r.uncertain
	in.Undelivered = len(r.undelivered)
	in.Sending = r.sending
	in.SendAfter = r.sendAfter
	in.UnknownSend = r.unknownSend
	in.Missing = func(window uint64) int {
		return r.missing(alive, window)
	}
	r.forget(in)
	return in, !r.stopped && in.Uptime >= r.pausedUntil
}

// forget drops the counts that are not needed any more. The caller holds mu.
func (r *Reporter) forget(in *duty.Input) {
	if in.Time.IsZero() {
		return
	}
	final := in.Row.Final
	if r.hold != nil {
		final = r.hold.Record.Final
	}
	r.sums.Forget(final, r.Params.At(in.Time))
}

// missing returns how many live hosts have not told all counts of a window.
func (r *Reporter) missing(alive []host.Host, window uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, h := range append([]host.Host{r.Self}, alive...) {
		if !r.sums.HasAll(h.Name, h.Incarnation, window) {
			n++
		}
	}
	return n
}

// contents returns the contents that are not known to be delivered.
func (r *Reporter) contents() []usage.Content {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]usage.Content(nil), r.undelivered...)
}

// log writes a line for each decision that changes something.
func (r *Reporter) log(in *duty.Input, d duty.Decision) {
	if d.Action == duty.Wait || d.Action == duty.Send {
		return
	}
	klog.InfoS(
		"usage",
		"action", d.Action,
		"reason", d.Reason,
		"holder", in.Row.Holder,
		"token", max(in.Row.Token, d.Record.Token),
		"final", max(in.Row.Final, d.Record.Final),
		"rank", in.Rank,
		"undelivered", in.Undelivered,
		"unchanged", (in.Uptime - in.RowSince).String(),
	)
}
