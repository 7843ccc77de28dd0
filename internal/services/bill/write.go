package bill

import (
	"context"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/duty"
	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/models/usage"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// takeOver makes this host the holder. Contents of an earlier era of the store are
// not taken: a write that was late may have changed them after others were sent.
func (r *Reporter) takeOver(ctx context.Context, in *duty.Input, d duty.Decision) {
	var list []usage.Content
	if in.RowVersion != 0 && leader.Era(in.Row.Token) >= in.Era {
		var err error
		list, err = r.readPending(ctx, in.Era)
		if err != nil {
			klog.InfoS("the pending usage reports can't be read", "err", err.Error())
			r.pause()
			return
		}
	}
	if r.write(ctx, in, d.Record, list) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.undelivered = list
		r.stats.Takeovers++
		klog.InfoS("usage: this host reports", "token", d.Record.Token, "final", d.Record.Final, "undelivered", len(list))
	}
}

// readPending reads the contents that are not known to be delivered.
func (r *Reporter) readPending(ctx context.Context, era uint64) ([]usage.Content, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, version, err := r.Store.Read(call, PendingTable)
	if err != nil {
		return nil, err
	}
	if tuple.Era(version) != era {
		return nil, fault.New(
			fault.Platform,
			"the store was restored meanwhile",
			"decide again",
		)
	}
	for _, row := range rows {
		if row.Key == PendingKey {
			return usage.DecodePending(row.Value)
		}
	}
	return nil, nil
}

// finalize fixes the contents of windows and writes them to the store. They are sent
// only after that.
func (r *Reporter) finalize(ctx context.Context, in *duty.Input, d duty.Decision) {
	missing := in.Missing(d.Record.Final)
	missed := int(d.First - in.Hold.Record.Final - 1)
	list := r.contents()
	r.mu.Lock()
	for window := d.First; window <= d.Record.Final; window++ {
		list = append(list, usage.Content{
			Window: window,
			Counts: r.sums.Total(window),
		})
	}
	r.mu.Unlock()
	list, dropped := trim(list)
	if !r.write(ctx, in, d.Record, list) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.undelivered = list
	r.stats.Finalized += int(d.Record.Final - d.First + 1)
	r.stats.Missed += missed + dropped
	r.stats.MissingHosts = missing
	if missed+dropped > 0 || missing > 0 {
		klog.InfoS("usage: windows are incomplete", "window", d.Record.Final, "hosts-missing", missing, "windows-missed", missed+dropped)
	}
}

// trim drops the oldest contents of a list that is too long to be kept, and returns
// their number.
func trim(list []usage.Content) (kept []usage.Content, dropped int) {
	kept = list
	for len(kept) > 1 {
		value, err := usage.EncodePending(kept)
		if len(kept) <= usage.KeptWindows && err == nil && len(value) <= maxPendingBytes {
			break
		}
		kept = kept[1:]
		dropped++
	}
	return kept, dropped
}

// write writes the record and the pending contents, if the record is still the one that
// the decision was made on. It reports whether that is known to have succeeded.
func (r *Reporter) write(ctx context.Context, in *duty.Input, record usage.Record, list []usage.Content) bool {
	value, err := record.Encode()
	if err != nil {
		klog.ErrorS(err, "usage")
		return false
	}
	contents, err := usage.EncodePending(list)
	if err != nil {
		klog.ErrorS(err, "usage")
		return false
	}
	row := tuple.Tuple{
		Table:   mirror.Fleet,
		Key:     mirror.UsageKey,
		Value:   value,
		Version: in.RowVersion,
	}
	if in.Hold != nil {
		row.Version = in.Hold.Version
	}
	began := uptime.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := r.Store.Write(call, []tuple.Tuple{row, r.eraRow(in.Era)}, []tuple.Tuple{row, {
		Table: PendingTable,
		Key:   PendingKey,
		Value: contents,
	}}, nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.uncertain = true
		klog.InfoS("the record of the usage reports could not be written", "token", record.Token, "final", record.Final, "err", err.Error())
		return false
	}
	hold := &duty.Hold{
		Record:  record,
		Version: version,
		Written: began,
		Since:   uptime.Now(),
	}
	if in.Hold != nil {
		hold.Since = in.Hold.Since
	}
	r.hold = hold
	r.decideAgain()
	return true
}

// decideAgain makes the next decision follow at once: a content that is final is sent
// before its holder may be lost.
func (r *Reporter) decideAgain() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// eraRow returns the row that a write expects so that it fails if it comes late, after
// the store was restored and a later era was opened; see docs/design/restored-store.md.
func (r *Reporter) eraRow(era uint64) tuple.Tuple {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.eraVersion != 0 {
		return tuple.Tuple{
			Table:   mirror.Fleet,
			Key:     mirror.EraKey(era),
			Version: r.eraVersion,
		}
	}
	return tuple.Tuple{
		Table: mirror.Fleet,
		Key:   mirror.EraKey(era + 1),
	}
}

// reread reads the record from the store and finds out whether this host holds it.
// That renews no time to send, since it is not known which write succeeded.
func (r *Reporter) reread(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, version, err := r.Store.Read(call, mirror.Fleet)
	if err != nil {
		klog.InfoS("the record of the usage reports can't be read", "err", err.Error())
		r.pause()
		return
	}
	var record usage.Record
	var rowVersion uint64
	for _, row := range rows {
		if row.Key != mirror.UsageKey {
			continue
		}
		rowVersion = row.Version
		if record, err = usage.DecodeRecord(row.Value); err != nil {
			klog.ErrorS(err, "usage")
		}
	}
	own := record.Holder == r.Self.Name && record.Incarnation == r.Self.Incarnation && leader.Era(record.Token) >= tuple.Era(version)
	r.mu.Lock()
	known := r.hold
	r.mu.Unlock()
	if !own {
		r.giveUp()
		return
	}
	if known != nil && known.Version == rowVersion {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.uncertain = false
		return
	}
	list, err := r.readPending(ctx, tuple.Era(version))
	if err != nil {
		klog.InfoS("the pending usage reports can't be read", "err", err.Error())
		r.pause()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	hold := &duty.Hold{
		Record:  record,
		Version: rowVersion,
		Since:   uptime.Now(),
	}
	if known != nil {
		hold.Since = known.Since
		hold.Written = known.Written
	}
	r.hold = hold
	r.undelivered = list
	r.uncertain = false
}

// giveUp ends the hold.
func (r *Reporter) giveUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hold != nil {
		klog.InfoS("usage: this host does not report any more", "token", r.hold.Record.Token, "final", r.hold.Record.Final, "undelivered", len(r.undelivered))
	}
	r.hold = nil
	r.uncertain = false
	r.undelivered = nil
}

// pause keeps this host from deciding again at once after a failure.
func (r *Reporter) pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausedUntil = uptime.Now() + retryPause
}
