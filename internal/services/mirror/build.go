package mirror

import (
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// Prefixes of the keys of the product's own rows.
const (
	HostPrefix   = "host-"
	LeaderPrefix = "leader-"
)

// rebuild makes a new snapshot of the tables and tells those who wait for a
// change.
func (m *Mirror) rebuild() {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.now.Load()
	next := &snapshot{
		policy:         old.policy,
		policyRow:      old.policyRow,
		evacuated:      map[string]bool{},
		servers:        map[string]server.Server{},
		missing:        map[string]time.Duration{},
		leaders:        map[string]leader.Leader{},
		leaderRows:     map[string]uint64{},
		registrations:  map[string]host.Host{},
		registeredRows: map[string]uint64{},
	}
	m.buildOperators(next)
	m.buildServers(next, old)
	m.buildFleet(next)
	m.now.Store(next)
	if reflect.DeepEqual(old, next) {
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Mirror) buildOperators(next *snapshot) {
	rows, _, _ := m.Copy(Operators)
	for _, r := range rows {
		if dc, ok := m.decoder.Evacuated(r.Key); ok {
			next.evacuated[dc] = true
		}
		if m.decoder.IsPolicy(r.Key) && r.Version > next.policyRow {
			m.buildPolicy(next, r)
		}
	}
}

func (m *Mirror) buildPolicy(next *snapshot, r tuple.Tuple) {
	p, err := m.decoder.Policy(r.Value)
	if err != nil {
		klog.ErrorS(err, "the operators' configuration can't be read; the last one stays in force", "row-version", r.Version)
		next.policyRow = r.Version
		return
	}
	if next.policy != nil && p.Version < next.policy.Version {
		klog.InfoS("an older configuration is ignored", "version", p.Version, "in-force", next.policy.Version)
		return
	}
	next.policy = p
	next.policyRow = r.Version
	klog.InfoS(
		"configuration in force",
		"version", p.Version,
		"row-version", r.Version,
		"databases", len(p.Lanes),
		"workspaces", len(p.Workspaces),
		"age", (uptime.Now() - m.AsOf(Operators)).String(),
	)
}

// buildServers takes the registered instances, and keeps those whose entries
// went missing a short while ago.
func (m *Mirror) buildServers(next, old *snapshot) {
	rows, _, _ := m.Copy(Servers)
	for _, r := range rows {
		s, err := m.decoder.Server(r.Key, r.Value)
		if err != nil {
			continue // another writer's entry names no instance; it may stand for hours
		}
		next.servers[s.ID] = s
	}
	now := uptime.Now()
	for id, s := range old.servers {
		if _, ok := next.servers[id]; ok {
			continue
		}
		since, ok := old.missing[id]
		if !ok {
			since = now
			klog.InfoS("the entry of an instance is gone", "instance", id, "service", s.Service)
		}
		if now-since < MissingGrace {
			next.missing[id] = since
			next.servers[id] = s
		}
	}
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

// expire drops instances whose entries have been missing for too long.
func (m *Mirror) expire() {
	if len(m.now.Load().missing) > 0 {
		m.rebuild()
	}
}

// registration is the form of a host's own row.
type registration struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	Incarnation uint64 `json:"incarnation"`
	// Suspended registrations are about to be removed: the host was silent.
	Suspended bool `json:"suspended,omitempty"`
}

// Registration encodes the row of a host. A host in the state Suspect has its
// registration suspended.
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

func (m *Mirror) buildFleet(next *snapshot) {
	rows, _, _ := m.Copy(Fleet)
	for _, r := range rows {
		if service, ok := strings.CutPrefix(r.Key, LeaderPrefix); ok {
			var l leader.Leader
			if err := json.Unmarshal(r.Value, &l); err != nil {
				klog.ErrorS(err, "the record of a primary can't be read", "service", service)
				continue
			}
			next.leaders[service] = l
			next.leaderRows[service] = r.Version
			continue
		}
		name, ok := strings.CutPrefix(r.Key, HostPrefix)
		if !ok {
			continue
		}
		var g registration
		if err := json.Unmarshal(r.Value, &g); err != nil {
			klog.ErrorS(err, "the registration of a host can't be read", "host", name)
			continue
		}
		next.registrations[name] = host.Host{
			Name:        name,
			Address:     g.Address,
			DataCentre:  g.DataCentre,
			Incarnation: g.Incarnation,
			State:       stateOf(g),
		}
		next.registeredRows[name] = r.Version
	}
}

func stateOf(g registration) string {
	if g.Suspended {
		return host.Suspect
	}
	return host.Alive
}
