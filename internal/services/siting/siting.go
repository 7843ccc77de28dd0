// Package siting answers which hosts should serve a database or a workspace,
// by the hosts that live now and the configuration in force.
package siting

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"wasabislip.example/wasabislip/internal/models/place"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Prefixes that keep databases' and workspaces' keys apart.
const (
	databasePrefix  = "database/"
	workspacePrefix = "workspace/"
)

type fleet interface {
	Self() host.Host
	Hosts() []host.Host
	Lookup(name string) (host.Host, bool)
	Answers(ctx context.Context, name, address string) bool
	Changed() <-chan struct{}
}

// Siting ranks hosts for databases and workspaces.
type Siting struct {
	fleet   fleet
	placer  place.Placer
	mu      sync.RWMutex
	spec    *spec.Spec
	centres map[string]string
	done    chan struct{}
}

// New returns a siting that knows no configuration yet.
func New(f fleet) *Siting {
	return &Siting{
		fleet: f,
		done:  make(chan struct{}),
	}
}

// Run follows the hosts' states until ctx ends.
func (s *Siting) Run(ctx context.Context) {
	defer close(s.done)
	for {
		changed := s.fleet.Changed()
		s.updatePlacement()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed once Run has returned.
func (s *Siting) Done() <-chan struct{} {
	return s.done
}

// Apply takes the configuration in force.
func (s *Siting) Apply(cfg *spec.Spec) {
	centres := make(map[string]string, len(cfg.Databases))
	for i := range cfg.Databases {
		centres[cfg.Databases[i].Name] = preferredCentre(cfg, &cfg.Databases[i])
	}
	s.mu.Lock()
	s.spec = cfg
	s.centres = centres
	s.mu.Unlock()
	s.updatePlacement()
}

// preferred returns the data centre in which a database's steward should be:
// that of one of its instances in service, spread over databases by hash.
func preferredCentre(cfg *spec.Spec, d *group.Database) string {
	var in []string
	for i := range d.Instances {
		if !cfg.Drained(&d.Instances[i]) {
			in = append(in, d.Instances[i].DataCentre)
		}
	}
	if len(in) == 0 {
		return ""
	}
	return in[xxhash.Sum64String(d.Name)%uint64(len(in))]
}

func (s *Siting) updatePlacement() {
	s.mu.RLock()
	cfg := s.spec
	s.mu.RUnlock()
	s.placer.Update(s.fleet.Hosts(), cfg)
}

// Candidates returns the hosts that may be the steward of database, the first
// one to be preferred. The caller must not change the list.
func (s *Siting) Candidates(database string) []string {
	s.mu.RLock()
	centre := s.centres[database]
	s.mu.RUnlock()
	return s.placer.Candidates(databasePrefix+database, centre)
}

// Homes returns the hosts that may be the home of workspace's rate.
func (s *Siting) Homes(workspace string) []string {
	return s.placer.Candidates(workspacePrefix+workspace, "")
}

// Alive reports whether the host of that name may be given new work and is not
// suspected to be gone: a suspect keeps what it has, but nobody waits for it.
func (s *Siting) Alive(name string) bool {
	h, ok := s.fleet.Lookup(name)
	return ok && h.State == host.Alive
}

// Answers reports whether the host of that name is believed to answer, or does
// answer at address when it is not known.
func (s *Siting) Answers(ctx context.Context, name, address string) bool {
	return s.fleet.Answers(ctx, name, address)
}

// Self returns this host's name.
func (s *Siting) Self() string {
	return s.fleet.Self().Name
}
