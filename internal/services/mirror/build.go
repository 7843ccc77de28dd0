package mirror

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// Prefixes of the keys of the rows of Fleet.
const (
	HostPrefix   = "host-"
	LeaderPrefix = "leader-"
)

// rebuild decodes the tables into a new snapshot, and closes the channel of
// Changed if it differs from the last one.
func (m *Mirror) rebuild() {
	m.mu.Lock()
	defer m.mu.Unlock()
	built := map[string]uint64{}
	for name := range m.tables {
		built[name] = m.countChanges(name)
	}
	old := m.current.Load()
	next := &snapshot{
		policy:               old.policy,
		policyRowVersion:     old.policyRowVersion,
		policyRow:            old.policyRow,
		evacuated:            map[string]time.Duration{},
		servers:              map[string]server.Server{},
		missing:              map[string]absence{},
		leaders:              map[string]leader.Leader{},
		leaderVersions:       map[string]uint64{},
		registrations:        map[string]host.Host{},
		registrationVersions: map[string]uint64{},
		lostLeaders:          map[string]leader.Leader{},
	}
	m.buildOperators(next, old)
	if m.sameServers(built, old) {
		next.servers = old.servers
		next.byService = old.byService
		next.departures = old.departures
	} else {
		m.buildServers(next, old)
		next.indexServers()
	}
	m.buildFleet(next)
	m.keepUnrestoredLeaders(next, old)
	next.listServices(old)
	m.current.Store(next)
	m.built = built
	if reflect.DeepEqual(old, next) {
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// sameServers reports whether the instances are those of the last snapshot: their table
// has not changed, and none of them is kept only for a while.
func (m *Mirror) sameServers(built map[string]uint64, old *snapshot) bool {
	return old.servers != nil && m.built[Servers] == built[Servers] && len(old.missing) == 0 && !old.rewriting
}

// indexServers lists the servers by service.
func (s *snapshot) indexServers() {
	s.byService = map[string][]server.Server{}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		in := s.servers[id]
		s.byService[in.Service] = append(s.byService[in.Service], in)
	}
}

// listServices lists the services in the policy.
func (s *snapshot) listServices(old *snapshot) {
	if s.policy == old.policy {
		s.services = old.services
		return
	}
	s.services = slices.Sorted(maps.Keys(s.policy.ConnectionLimit))
}

// isBuilt reports whether the current snapshot has all changes of a table. It waits for
// a rebuild under way.
func (m *Mirror) isBuilt(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.built[name] == m.countChanges(name)
}

// buildOperators decodes the evacuated data centres and the newest configuration.
// Soon after the store was restored, what this host knew before holds on.
func (m *Mirror) buildOperators(next, old *snapshot) {
	rows, _, formerUntil := m.tables[Operators].rowsForSnapshot()
	for _, r := range rows {
		if dc, ok := m.decoder.Evacuated(r.Key); ok {
			next.evacuated[dc] = formerUntil
			if since, ok := old.evacuated[dc]; ok {
				next.evacuated[dc] = since
			}
		}
		if m.decoder.IsPolicy(r.Key) && r.Version > next.policyRowVersion {
			next.policyRowVersion = r.Version
			m.buildPolicy(next, r)
		}
	}
	if m.beingRewritten(Operators) {
		maps.Copy(next.evacuated, old.evacuated)
	}
	for id, r := range m.passedOn {
		if id.table == Operators && m.decoder.IsPolicy(id.key) {
			m.buildPolicy(next, r)
		}
	}
	next.policyLost = next.policy != nil && tuple.Era(m.Version(Operators)) > tuple.Era(next.policyRow.Version)
}

// buildPolicy decodes a configuration. One that can't be decoded, or whose version
// is not higher than that of the one in force, leaves that one in force.
func (m *Mirror) buildPolicy(next *snapshot, r tuple.Tuple) {
	p, err := m.decoder.Policy(r.Value)
	if err != nil {
		klog.ErrorS(err, "the operators' configuration can't be decoded; the last one stays in force", "row-version", r.Version)
		return
	}
	if next.policy != nil && p.Version == next.policy.Version {
		next.policyRow.Version = max(next.policyRow.Version, r.Version)
		return
	}
	if next.policy != nil && p.Version < next.policy.Version {
		klog.V(1).InfoS("an older configuration is ignored", "version", p.Version, "in-force", next.policy.Version)
		return
	}
	next.policy = p
	next.policyRow = r
	klog.InfoS(
		"configuration in force",
		"version", p.Version,
		"row-version", r.Version,
		"databases", len(p.Rules),
		"workspaces", len(p.Workspaces),
		"age", (uptime.Now() - m.AsOf(Operators)).String(),
	)
}

// buildServers decodes the registered instances, and keeps those whose entries
// have been gone for less than missingGrace.
func (m *Mirror) buildServers(next, old *snapshot) {
	rows, asOf, formerUntil := m.tables[Servers].rowsForSnapshot()
	entries := make(decodedRows[server.Server], len(rows))
	for _, r := range rows {
		d := m.serverEntries.decode(entries, r, m.decoder.Server)
		if d.err != nil {
			continue // an entry of another writer is no instance; not logged, since it may stay for hours
		}
		next.servers[d.item.ID] = d.item
	}
	m.serverEntries = entries
	next.rewriting = m.beingRewritten(Servers)
	m.keepLeaving(next, old)
	for id, s := range old.servers {
		if _, ok := next.servers[id]; ok {
			continue
		}
		a, ok := old.missing[id]
		if !ok {
			a = absence{
				since:        asOf,
				presentUntil: formerUntil,
			}
			klog.InfoS("the entry of an instance is gone", "instance", id, "service", s.Service)
		}
		if asOf-a.since < missingGrace {
			next.missing[id] = a
			next.servers[id] = s
		}
	}
	next.trackDepartures(old, formerUntil)
	for id, s := range next.servers {
		if o, ok := old.servers[id]; !ok || o.Draining != s.Draining || o.Primary != s.Primary {
			klog.InfoS(
				"instance",
				"instance", id,
				"service", s.Service,
				"address", s.Address,
				"data-centre", s.DataCentre,
				"draining", s.Draining,
				"primary", s.Primary,
			)
		}
	}
}

// expire removes instances whose entries have been gone for missingGrace.
func (m *Mirror) expire() {
	s := m.current.Load()
	if len(s.missing) > 0 || len(s.evacuated) > 0 && m.beingRewritten(Operators) {
		m.rebuild()
	}
}

// registration is the JSON value of a host's row in Fleet.
type registration struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	Incarnation uint64 `json:"incarnation"`
	// Suspended marks a registration that is about to be removed, since its
	// host is silent.
	Suspended bool `json:"suspended,omitempty"`
}

// Registration encodes the row of a host. The registration of a host in the state
// Suspect is suspended.
func Registration(h host.Host) (tuple.Tuple, error) {
	value, err := json.Marshal(registration{
		Address:     h.Address,
		DataCentre:  h.DataCentre,
		Incarnation: h.Incarnation,
		Suspended:   h.State == host.Suspect,
	})
	return tuple.Tuple{
		Table: Fleet,
		Key:   HostPrefix + h.Name,
		Value: value,
	}, err
}

// buildFleet decodes the records of primaries and the registrations of hosts.
func (m *Mirror) buildFleet(next *snapshot) {
	rows, version, _ := m.Copy(Fleet)
	next.eraOpen = tuple.Era(version) == 0
	leaders := decodedRows[leader.Leader]{}
	registrations := decodedRows[host.Host]{}
	for _, r := range rows {
		if r.Key == EraKey(tuple.Era(version)) {
			next.eraOpen = true
			next.eraRowVersion = r.Version
			continue
		}
		if service, ok := strings.CutPrefix(r.Key, LeaderPrefix); ok {
			d := m.leaderRows.decode(leaders, r, decodeLeader)
			if d.err != nil {
				klog.ErrorS(d.err, "the record of a primary can't be decoded", "service", service)
				continue
			}
			next.leaders[service] = d.item
			next.leaderVersions[service] = r.Version
			continue
		}
		name, ok := strings.CutPrefix(r.Key, HostPrefix)
		if !ok {
			continue
		}
		d := m.registrationRows.decode(registrations, r, decodeRegistration)
		if d.err != nil {
			klog.ErrorS(d.err, "the registration of a host can't be decoded", "host", name)
			continue
		}
		next.registrations[name] = d.item
		next.registrationVersions[name] = r.Version
	}
	m.leaderRows = leaders
	m.registrationRows = registrations
}

// decoded is what a row's value says, or why it can't be decoded.
type decoded[T any] struct {
	value []byte
	item  T
	err   error
}

// decodedRows are decoded rows by key. While a fleet starts, the tables change with each
// host that registers, and most rows stay as they are.
type decodedRows[T any] map[string]decoded[T]

// decode returns the decoded row r, which it adds to next. It is decoded only if its
// value is not the same as before.
func (known decodedRows[T]) decode(next decodedRows[T], r tuple.Tuple, decode func(key string, value []byte) (T, error)) decoded[T] {
	d, ok := known[r.Key]
	if !ok || !bytes.Equal(d.value, r.Value) {
		d.value = r.Value
		d.item, d.err = decode(r.Key, r.Value)
	}
	next[r.Key] = d
	return d
}

func decodeLeader(_ string, value []byte) (l leader.Leader, err error) {
	err = json.Unmarshal(value, &l)
	return l, err
}

func decodeRegistration(key string, value []byte) (host.Host, error) {
	var reg registration
	err := json.Unmarshal(value, &reg)
	return host.Host{
		Name:        strings.TrimPrefix(key, HostPrefix),
		Address:     reg.Address,
		DataCentre:  reg.DataCentre,
		Incarnation: reg.Incarnation,
		State:       stateOf(reg),
	}, err
}

func stateOf(reg registration) string {
	if reg.Suspended {
		return host.Suspect
	}
	return host.Alive
}
