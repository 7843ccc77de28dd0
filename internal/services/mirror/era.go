package mirror

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
)

// A store that is restored from an older copy loses its newest changes and gives
// their versions out again; its era rises. What a host knows of lost changes stays
// in force until it is written again; see docs/design/restored-store.md.

// rewriteTime is how long after a restore the rows of operators and instances may be
// older than what this host knew: both write them again within a few seconds.
const rewriteTime = 10 * time.Second

// eraPrefix starts the key of the row in Fleet that opens an era.
const eraPrefix = "era-"

// EraKey returns the key of the row in Fleet that opens an era of the store: from
// then on the records of primaries in the table are complete.
func EraKey(era uint64) string {
	return eraPrefix + strconv.FormatUint(era, 10)
}

// EraSince returns the era of the copy of a table, and when this host first saw it.
func (m *Mirror) EraSince(name string) (era uint64, since time.Duration) {
	t := m.tables[name]
	t.mu.Lock()
	defer t.mu.Unlock()
	return tuple.Era(t.version), t.eraSince
}

// isOpen reports whether the copy holds the row that opens its era. The caller holds
// the lock.
func (t *table) isOpen() bool {
	era := tuple.Era(t.version)
	_, ok := t.rows[EraKey(era)]
	return ok || era == 0
}

// beingRewritten reports whether a table was restored so lately that its rows may be
// older than what this host knew.
func (m *Mirror) beingRewritten(name string) bool {
	era, since := m.EraSince(name)
	return era > 0 && uptime.Now()-since < rewriteTime
}

// EraOpen reports whether the records of primaries in the copy of Fleet are complete,
// and the version of the row that says so, which is 0 in era 0.
func (m *Mirror) EraOpen() (open bool, rowVersion uint64) {
	s := m.current.Load()
	return s.eraOpen, s.eraRowVersion
}

// EraRows returns the rows in Fleet that opened earlier eras.
func (m *Mirror) EraRows() []tuple.Tuple {
	rows, version, _ := m.Copy(Fleet)
	current := EraKey(tuple.Era(version))
	var list []tuple.Tuple
	for _, r := range rows {
		if strings.HasPrefix(r.Key, eraPrefix) && r.Key != current {
			r.Table = Fleet
			list = append(list, r)
		}
	}
	return list
}

// LeasesAsOf returns the last time at which the copy of Fleet is known to have been
// the newest state and its records of primaries complete. Leases count from it.
func (m *Mirror) LeasesAsOf() time.Duration {
	if open, _ := m.EraOpen(); open {
		return m.AsOf(Fleet)
	}
	t := m.tables[Fleet]
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openAsOf
}

// LostLeaders returns the records of primaries that this host knows and the restored
// store lacks, by service.
func (m *Mirror) LostLeaders() map[string]leader.Leader {
	return m.current.Load().lostLeaders
}

// Unrestored returns the rows that this host knows and the restored store lacks: the
// configuration in force and records of primaries. Other hosts take them by
// MergeUnrestored.
func (m *Mirror) Unrestored() []tuple.Tuple {
	s := m.current.Load()
	var list []tuple.Tuple
	if s.policyLost {
		r := s.policyRow
		r.Table = Operators
		list = append(list, r)
	}
	for service, l := range s.lostLeaders {
		value, err := json.Marshal(l)
		if err != nil {
			klog.ErrorS(err, "the record of a primary can't be encoded", "service", service)
			continue
		}
		list = append(list, tuple.Tuple{
			Table: Fleet,
			Key:   LeaderPrefix + service,
			Value: value,
		})
	}
	return list
}

// MergeUnrestored takes rows that another host knows and the restored store lacks.
// They have an order of their own, the configuration's version and the records'
// tokens, so that late ones do no harm.
func (m *Mirror) MergeUnrestored(rows []tuple.Tuple) {
	if len(rows) == 0 {
		return
	}
	m.mu.Lock()
	for _, r := range rows {
		m.passedOn[rowID{
			table: r.Table,
			key:   r.Key,
		}] = r
	}
	m.mu.Unlock()
	m.rebuild()
	m.mu.Lock()
	clear(m.passedOn)
	m.mu.Unlock()
}

// keepUnrestoredLeaders keeps the records of primaries that this host knew before
// the store was restored, where the store has an older one, until the new era is
// open. Without an open era leases are not renewed from the table.
func (m *Mirror) keepUnrestoredLeaders(next, old *snapshot) {
	if next.eraOpen {
		return
	}
	for service, l := range old.leaders {
		next.keepLeader(service, l)
	}
	for id, r := range m.passedOn {
		service, ok := strings.CutPrefix(id.key, LeaderPrefix)
		if id.table != Fleet || !ok {
			continue
		}
		var l leader.Leader
		if err := json.Unmarshal(r.Value, &l); err != nil {
			klog.ErrorS(err, "the record of a primary from another host can't be decoded", "service", service)
			continue
		}
		next.keepLeader(service, l)
	}
}

// keepLeader puts a record in force that is newer than the one of the store. The
// version stays that of the store's row, which the record replaces.
func (s *snapshot) keepLeader(service string, l leader.Leader) {
	if l.Token <= s.leaders[service].Token {
		return
	}
	s.leaders[service] = l
	s.lostLeaders[service] = l
}

// keepLeaving keeps instances leaving that had said so before the store was
// restored: an instance does not take that back without a new start.
func (m *Mirror) keepLeaving(next, old *snapshot) {
	if !m.beingRewritten(Servers) {
		return
	}
	for id, s := range next.servers {
		known, ok := old.servers[id]
		if ok && known.Draining && known.StartedMs == s.StartedMs {
			s.Draining = true
			next.servers[id] = s
		}
	}
}
