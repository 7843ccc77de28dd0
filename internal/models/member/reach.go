package member

import (
	"time"

	"wasabislip.example/wasabislip/pkg/model/host"
)

// RecordProbe records that this host probed name, and whether it answered.
func (t *Table) RecordProbe(name string, answered bool) {
	now := time.Now()
	t.probed[name] = now
	if answered {
		t.heard[name] = now
	}
}

// RecordContact records that name reached this host.
func (t *Table) RecordContact(name string) {
	now := time.Now()
	t.heard[name] = now
	t.lastContact = now
}

// CheckReachability takes this host out of service while it reaches others but
// none has reached it for d, as in a one-way partition: others would give it work
// that cannot arrive. It is back in service once another host reaches it.
func (t *Table) CheckReachability(d time.Duration) {
	unreached := t.Size() > 1 && time.Since(t.lastContact) >= d
	self := t.Self()
	switch {
	case unreached && t.Healthy && self.State == host.Alive:
		t.withdrawn = true
		self.State = host.Leaving
	case !unreached && t.withdrawn:
		t.withdrawn = false
		self.State = host.Alive
	default:
		return
	}
	self.Incarnation++
	t.put(self)
}

// ReachesMajority reports whether this host has heard from a majority of the
// known hosts, itself included, within d. If more than sample hosts are known,
// which is more than it can probe within d, only those probed within d count;
// they were picked at random. Dead hosts count as known until they are forgotten,
// unless they left as planned, so that a minority that is cut off does not take
// itself for the whole fleet.
func (t *Table) ReachesMajority(d time.Duration, sample int) bool {
	now := time.Now()
	known, heard := t.count(now, d, func(string) bool { return true })
	if known <= sample {
		return 2*heard > known
	}
	probed, answered := t.count(now, d, func(name string) bool {
		at, ok := t.probed[name]
		return ok && now.Sub(at) < d
	})
	return 2*answered > probed
}

// count returns how many known hosts pass the filter, and how many of those were
// heard from within d. This host counts as both.
func (t *Table) count(now time.Time, d time.Duration, filter func(name string) bool) (known, heard int) {
	for name, e := range t.entries {
		if name == t.self {
			known++
			heard++
			continue
		}
		if e.left || !filter(name) {
			continue
		}
		known++
		if at, ok := t.heard[name]; ok && now.Sub(at) < d {
			heard++
		}
	}
	return known, heard
}
