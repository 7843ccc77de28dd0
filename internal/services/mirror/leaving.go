package mirror

import (
	"time"

	"wasabislip.example/wasabislip/internal/modules/uptime"
)

// maxAbsent bounds the departures of instances without an entry that are kept. An entry
// that lapsed may come back.
const maxAbsent = 1000

// absence is the lack of an instance's entry.
type absence struct {
	// since is the as-of time of the first copy that lacks the entry, and presentUntil the
	// last time at which the store is known to have had it.
	since        time.Duration
	presentUntil time.Duration
}

// departure is an instance's announcement that it leaves.
type departure struct {
	// since is the last time at which the instance is known not to have announced it: the
	// store may have acknowledged the announcement at any time after that. It is 0 if the
	// first copy of the table already had the announcement.
	since time.Duration
	// startedMs is the instance's start, since it may start again under the same id.
	startedMs int64
}

// LeavingFor returns how long ago, at most, an instance announced that it leaves, or lost its
// entry for good; false if it did neither. It is a very long time if this host never saw the
// instance without the announcement.
func (m *Mirror) LeavingFor(id string) (time.Duration, bool) {
	s := m.current.Load()
	if d, ok := s.departures[id]; ok {
		return uptime.Now() - d.since, true
	}
	a, ok := s.missing[id]
	if !ok || m.AsOf(Servers)-a.since < ExpiredFor {
		return 0, false
	}
	return uptime.Now() - a.presentUntil, true
}

// AcceptsWork reports whether new work may be assigned to an instance: it does not leave, or
// has announced so lately that it leaves that the work arrives in time.
func (m *Mirror) AcceptsWork(id string) bool {
	age, leaving := m.LeavingFor(id)
	return !leaving || m.Leave.AcceptsWork(age)
}

// MaySend reports whether work that was assigned to an instance before may be sent to it
// now.
func (m *Mirror) MaySend(id string) bool {
	age, leaving := m.LeavingFor(id)
	return !leaving || m.Leave.MaySend(age)
}

// MayContinue reports whether a transaction that is open in a data centre may go on: the data
// centre is in service, or was taken out so lately that a statement arrives in time.
func (m *Mirror) MayContinue(dataCentre string) bool {
	since, ok := m.current.Load().evacuated[dataCentre]
	return !ok || m.Evacuation.MaySend(uptime.Now()-since)
}

// trackDepartures notes since when instances have been leaving. formerUntil is until when
// the servers of the last snapshot were the newest state.
func (next *snapshot) trackDepartures(old *snapshot, formerUntil time.Duration) {
	next.departures = map[string]departure{}
	for id, s := range next.servers {
		if !s.Draining {
			continue
		}
		d, ok := old.departures[id]
		if !ok || d.startedMs != s.StartedMs {
			d = departure{
				since:     formerUntil,
				startedMs: s.StartedMs,
			}
		}
		next.departures[id] = d
	}
	absent := map[string]departure{}
	for id, d := range old.departures {
		if _, ok := next.servers[id]; !ok {
			absent[id] = d
		}
	}
	if len(absent) > maxAbsent {
		return
	}
	for id, d := range absent {
		next.departures[id] = d
	}
}
