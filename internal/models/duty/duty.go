// Package duty decides which host sends the usage reports, and what it does next. The
// rules that keep two hosts from acting at once are in docs/design/usage.md. A decision
// goes through at most usage.KeptWindows windows, whatever the size of the fleet.
package duty

import (
	"slices"
	"time"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/models/usage"
)

// Actions of a decision.
const (
	// Wait does nothing.
	Wait = "wait"
	// TakeOver writes Record, which makes this host the holder.
	TakeOver = "take-over"
	// Finalize writes Record and the contents of the windows from First to its Final.
	Finalize = "finalize"
	// Renew writes Record, so that this host may send again.
	Renew = "renew"
	// Send sends the oldest content that is not delivered.
	Send = "send"
	// Reread reads the rows from the store: this host does not know what they say.
	Reread = "reread"
	// GiveUp ends this host's hold without a write.
	GiveUp = "give-up"
	// Release writes Record, which lets any other host take over at once.
	Release = "release"
)

// settleMargin is how much longer than their interval a new holder waits for hosts to
// send their counts again: they learn of it by gossip.
const settleMargin = 500 * time.Millisecond

// joinTime is how long after its start a host does not take over: until it has heard of
// the others it takes itself for the first in rank.
const joinTime = 2 * time.Second

// Hold is what a holder knows of its own record.
type Hold struct {
	// Record is the record as it was last written, at this version.
	Record  usage.Record
	Version uint64
	// Written is the start of the last write that succeeded, on the clock of uptime;
	// 0 if none is known.
	Written time.Duration
	// Since is when this host learned that it is the holder.
	Since time.Duration
}

// Input is what a decision depends on.
type Input struct {
	Params usage.Params
	// Host and Incarnation are this process.
	Host        string
	Incarnation uint64
	// Uptime is the time on the clock of uptime, Time the true time, zero if it is not
	// known yet.
	Uptime time.Duration
	Time   time.Time
	// Started is the start of this process on the clock of uptime.
	Started time.Duration
	// First is the first window of which this host has counts.
	First uint64
	// Rank is how many live hosts come before this one.
	Rank int
	// Stopping says that this host shuts down.
	Stopping bool

	// Copied says that this host has a copy of the table. Row is the record in it, at
	// RowVersion, which is 0 without a record, and RowSince is when this host first saw
	// it.
	Copied     bool
	Row        usage.Record
	RowVersion uint64
	RowSince   time.Duration
	// Era is the era of the copy, EraOpen whether it is open, and EraSince the true
	// time at which this host first saw it.
	Era      uint64
	EraOpen  bool
	EraSince time.Time

	// Hold is set while this host takes itself for the holder.
	Hold *Hold
	// Uncertain says that the outcome of a write is not known.
	Uncertain bool
	// Interval is the time between two messages of a host.
	Interval time.Duration
	// Missing is how many live hosts have not told all counts of a window.
	Missing func(window uint64) int
	// Undelivered is the number of contents that are not delivered. The next is sent at
	// SendAfter at the earliest. Sending says that a call is under way.
	Undelivered int
	SendAfter   time.Duration
	Sending     bool
	// UnknownSend is when the last call ended whose outcome is not known; 0 for none.
	UnknownSend time.Duration
}

// Decision is what to do, and why.
type Decision struct {
	Action string
	// Reason is in kebab case.
	Reason string
	// Record is the record to write.
	Record usage.Record
	// First is the first window to finalize.
	First uint64
}

// Decide returns what this host does next.
func Decide(in *Input) Decision {
	switch {
	case !in.Copied:
		return wait("no-copy-of-the-table")
	case in.Hold != nil && tuple.Era(in.Hold.Version) != in.Era:
		return Decision{
			Action: GiveUp,
			Reason: "store-restored",
		}
	case in.Uncertain || in.Hold != nil && in.RowVersion > in.Hold.Version:
		return Decision{
			Action: Reread,
			Reason: "record-unknown",
		}
	case in.Hold != nil:
		return decideAsHolder(in)
	}
	return decideAsOther(in)
}

func wait(reason string) Decision {
	return Decision{
		Action: Wait,
		Reason: reason,
	}
}

// decideAsHolder returns what the holder does next.
func decideAsHolder(in *Input) Decision {
	if in.Stopping {
		return decideAsStopping(in)
	}
	if in.Time.IsZero() {
		return wait("time-unknown")
	}
	record := in.Hold.Record
	record.Former = recentFormer(in)
	if first, last := dueWindows(in); first <= last {
		record.Final = last
		return Decision{
			Action: Finalize,
			Reason: "window-complete",
			Record: record,
			First:  first,
		}
	}
	switch {
	case in.Undelivered == 0:
		return wait("nothing-due")
	case in.Sending || in.Uptime < in.SendAfter:
		return wait("call-under-way")
	case in.Hold.Written == 0 || in.Uptime-in.Hold.Written >= in.Params.SendTime():
		return Decision{
			Action: Renew,
			Reason: "lease-expired",
			Record: record,
		}
	}
	return Decision{
		Action: Send,
		Reason: "content-final",
	}
}

// decideAsStopping returns what the holder does when it shuts down. While a call may
// still arrive, the record is not released: the successor then waits for the lease.
func decideAsStopping(in *Input) Decision {
	if in.Sending {
		return wait("call-under-way")
	}
	if in.UnknownSend != 0 && in.Uptime-in.UnknownSend < in.Params.Lease {
		return Decision{
			Action: GiveUp,
			Reason: "call-without-answer",
		}
	}
	record := in.Hold.Record
	record.Former = append(recentFormer(in), in.Host)
	record.Holder = ""
	record.Incarnation = 0
	return Decision{
		Action: Release,
		Reason: "stopping",
		Record: record,
	}
}

// recentFormer returns the earlier holders that may have acted within the lease.
func recentFormer(in *Input) []string {
	if in.Uptime-in.Hold.Since >= in.Params.Lease {
		return nil
	}
	return slices.Clone(in.Hold.Record.Former)
}

// dueWindows returns the windows whose content is due to become final; none if first is
// above last. They become final in order. Those whose counts are not kept any more are
// skipped, and those that ended before any host that lives now began to count: after the
// loss of all hosts a report would say that nothing ran in them.
func dueWindows(in *Input) (first, last uint64) {
	current := in.Params.At(in.Time)
	first = max(in.Hold.Record.Final+1, in.First)
	if current > usage.KeptWindows {
		first = max(first, current-usage.KeptWindows)
	}
	last = first - 1
	for last+1 < current && isDue(in, last+1) {
		last++
	}
	return first, last
}

// isDue reports whether the content of a window is due to become final.
func isDue(in *Input, window uint64) bool {
	late := in.Time.Sub(in.Params.End(window))
	if late < in.Params.CollectDelay() {
		return false
	}
	if in.Missing(window) == 0 {
		return true
	}
	return late >= in.Params.MaxCollectDelay() && in.Uptime-in.Hold.Since >= in.Interval+settleMargin
}

// decideAsOther returns whether a host that is not the holder takes over.
func decideAsOther(in *Input) Decision {
	switch {
	case in.Stopping:
		return wait("stopping")
	case !in.EraOpen:
		return wait("era-not-open")
	case in.Time.IsZero():
		return wait("time-unknown")
	case in.Uptime-in.Started < joinTime:
		return wait("joining")
	}
	unchanged := in.Uptime - in.RowSince
	delay := time.Duration(in.Rank) * in.Params.RankDelay()
	restored := in.Era > 0 && leader.Era(in.Row.Token) < in.Era
	final := lastFinal(in, restored)
	next := usage.Record{
		Token:       leader.NextToken(in.Row.Token, in.Era),
		Holder:      in.Host,
		Incarnation: in.Incarnation,
		Former:      formerOf(in.Row, in.Host),
		Final:       final,
	}
	vacant := in.Row.Holder == ""
	if (!vacant || restored || in.Row.WasHolder(in.Host)) && unchanged < in.Params.Silence() {
		return wait("lease-may-be-held")
	}
	if vacant {
		if unchanged < delay {
			return wait("later-in-rank")
		}
		return Decision{
			Action: TakeOver,
			Reason: "no-holder",
			Record: next,
		}
	}
	if in.Time.Sub(in.Params.End(final+1)) < in.Params.TakeoverDelay()+delay {
		return wait("no-window-missing")
	}
	return Decision{
		Action: TakeOver,
		Reason: "window-missing",
		Record: next,
	}
}

// lastFinal returns the last window that must not be finalized by a new holder. What
// ended before the restore of the store may have been sent, without the store's
// knowledge.
func lastFinal(in *Input, restored bool) uint64 {
	final := in.Row.Final
	if in.RowVersion == 0 {
		final = max(in.First, 1) - 1
	}
	if restored {
		final = max(final, max(in.Params.At(in.EraSince), 1)-1)
	}
	return final
}

// formerOf returns the holders that may have acted within the lease when next takes
// over the record.
func formerOf(r usage.Record, next string) []string {
	list := slices.Clone(r.Former)
	if r.Holder != "" && !slices.Contains(list, r.Holder) {
		list = append(list, r.Holder)
	}
	return slices.DeleteFunc(list, func(name string) bool {
		return name == next
	})
}
