package mirror

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
)

// table is the copy of one table.
type table struct {
	name string

	mu sync.Mutex
	// rows are the rows by key, sums a hash of each that changes with its
	// content, and sum their sum.
	rows map[string]tuple.Tuple
	sums map[string]uint64
	sum  uint64
	// hash returns the hash of a row.
	hash func(r tuple.Tuple) uint64
	// version is the store's version of the copy; 0 before the first read.
	version uint64
	// asOf is a time on the clock of uptime at which the store had no newer
	// state than this one.
	asOf time.Duration
	// eraSince is when this host first saw the era of the copy, openAsOf the
	// as-of time of the last copy of an earlier era that was open.
	eraSince time.Duration
	openAsOf time.Duration
	// changes counts the changes of the rows. Those that the last snapshot was derived
	// from had snapshotChanges, and were the newest state until snapshotUntil.
	changes         uint64
	snapshotChanges uint64
	snapshotUntil   time.Duration
	// separate is the key of the row that is passed on by itself; see usage.go.
	separate string
}

// hashVersion returns a hash of a row that changes with its version.
func hashVersion(r tuple.Tuple) uint64 {
	return xxhash.Sum64String(r.Key) * (2*r.Version + 1)
}

// list returns the rows. The caller holds the lock.
func (t *table) list() []tuple.Tuple {
	rows := make([]tuple.Tuple, 0, len(t.rows))
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	return rows
}

// replace reports whether the rows changed.
func (t *table) replace(rows []tuple.Tuple, version uint64, asOf time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version < t.version {
		return false
	}
	t.trackEra(version, asOf)
	former := t.sum
	known := t.rows
	sums := t.sums
	t.rows = make(map[string]tuple.Tuple, len(rows))
	t.sums = make(map[string]uint64, len(rows))
	t.sum = 0
	for _, r := range rows {
		sum, ok := sums[r.Key]
		if !ok || known[r.Key].Version != r.Version {
			sum = t.hash(r)
		}
		t.rows[r.Key] = r
		t.sums[r.Key] = sum
		t.sum += sum
	}
	t.keepSeparate(known, version)
	t.version = version
	changed := t.sum != former || len(known) != len(t.rows)
	if changed {
		t.changes++
	}
	t.confirm(asOf)
	return changed
}

// trackEra notes the start of a new era with the copy of a version as of asOf. The
// caller holds the lock.
func (t *table) trackEra(version uint64, asOf time.Duration) {
	if t.version != 0 && tuple.Era(version) == tuple.Era(t.version) {
		return
	}
	if t.isOpen() {
		t.openAsOf = t.asOf
	}
	t.eraSince = uptime.Now()
	if era := tuple.Era(version); t.version != 0 {
		klog.InfoS("the store was restored from an older copy", "table", t.name, "era", era, "version", tuple.Counter(version), "former-era", tuple.Era(t.version), "former-version", tuple.Counter(t.version))
	} else {
		klog.InfoS("first copy of a table", "table", t.name, "era", era, "version", tuple.Counter(version), "age", (uptime.Now() - asOf).String())
	}
}

// patch reports whether the rows changed.
func (t *table) patch(rows []tuple.Tuple, after, version uint64, asOf time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after > t.version || version < t.version {
		return false
	}
	changed := false
	for _, r := range rows {
		if r.Version <= t.rows[r.Key].Version {
			continue
		}
		changed = changed || r.Key != t.separate
		t.sum -= t.sums[r.Key]
		if r.Deleted {
			delete(t.rows, r.Key)
			delete(t.sums, r.Key)
			continue
		}
		t.rows[r.Key] = r
		t.sums[r.Key] = t.hash(r)
		t.sum += t.sums[r.Key]
	}
	t.version = version
	if changed {
		t.changes++
	}
	t.confirm(asOf)
	return changed
}

// rowsForSnapshot returns the rows with their time as of AsOf, and until when the rows of
// the call before were the newest state.
func (t *table) rowsForSnapshot() (rows []tuple.Tuple, asOf, formerUntil time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	formerUntil = t.snapshotUntil
	t.snapshotChanges = t.changes
	t.snapshotUntil = t.asOf
	return t.list(), t.asOf, formerUntil
}

// confirm notes that the rows were the newest state at asOf. The caller holds the lock, and
// has counted a change.
func (t *table) confirm(asOf time.Duration) {
	t.asOf = max(t.asOf, asOf)
	if t.changes == t.snapshotChanges {
		t.snapshotUntil = t.asOf
	}
}
