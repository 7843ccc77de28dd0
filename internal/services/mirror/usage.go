package mirror

import "wasabislip.example/wasabislip/internal/models/tuple"

// UsageKey is the key of the row in Fleet that names the host which reports usage. It
// changes once a window. It is no part of the table's digest and is passed on by itself:
// otherwise each host would fetch the whole table again with each change.
const UsageKey = "usage"

// hashFleet returns the hash of a row of Fleet.
func hashFleet(r tuple.Tuple) uint64 {
	if r.Key == UsageKey {
		return 0
	}
	return hashVersion(r)
}

// Usage returns the row of the host that reports usage; its version is 0 if there is
// none.
func (m *Mirror) Usage() tuple.Tuple {
	t := m.tables[Fleet]
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[UsageKey]
}

// MergeUsage takes the row of the host that reports usage from another host. One that is
// older than the copy's, or of another era, is ignored. The copy may be older than the
// store: who acts on the row has its version checked by the store.
func (m *Mirror) MergeUsage(r tuple.Tuple) {
	t := m.tables[Fleet]
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Key != UsageKey || r.Version <= t.rows[UsageKey].Version || tuple.Era(r.Version) != tuple.Era(t.version) {
		return
	}
	if t.version == 0 {
		return // there is no copy yet
	}
	r.Table = Fleet
	t.rows[UsageKey] = r
	t.sums[UsageKey] = 0
}

// keepSeparate keeps the row that is passed on by itself if it is newer than the one of
// a copy at a version, unless that is of another era. The caller holds the lock.
func (t *table) keepSeparate(known map[string]tuple.Tuple, version uint64) {
	r, ok := known[t.separate]
	if !ok || r.Version <= t.rows[t.separate].Version || tuple.Era(r.Version) != tuple.Era(version) {
		return
	}
	t.rows[t.separate] = r
	t.sums[t.separate] = 0
}
