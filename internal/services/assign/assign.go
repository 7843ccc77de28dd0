// Package assign ranks the hosts that should serve a database or a workspace, by
// which hosts are alive now and by the configuration in force.
package assign

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"wasabislip.example/wasabislip/internal/models/place"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Prefixes of the keys by which hosts are ranked. They keep a database and a
// workspace of the same name apart.
const (
	databasePrefix  = "database/"
	workspacePrefix = "workspace/"
)

// fleet is what gossip tells of the hosts.
type fleet interface {
	Self() host.Host
	Hosts() []host.Host
	Lookup(name string) (host.Host, bool)
	Answers(ctx context.Context, name, address string) bool
	Changed() <-chan struct{}
}

// Assigner ranks hosts for databases and workspaces.
type Assigner struct {
	fleet  fleet
	placer place.Placer
	mu     sync.RWMutex
	spec   *spec.Spec
	// centres is the preferred data centre of each database.
	centres map[string]string
	done    chan struct{}
}

// New returns an assigner without a configuration.
func New(f fleet) *Assigner {
	return &Assigner{
		fleet: f,
		done:  make(chan struct{}),
	}
}

// Run updates the ranking when hosts' states change, until ctx ends.
func (a *Assigner) Run(ctx context.Context) {
	defer close(a.done)
	for {
		changed := a.fleet.Changed()
		a.updatePlacement()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed once Run has returned.
func (a *Assigner) Done() <-chan struct{} {
	return a.done
}

// Apply sets the configuration in force.
func (a *Assigner) Apply(cfg *spec.Spec) {
	centres := make(map[string]string, len(cfg.Databases))
	for i := range cfg.Databases {
		centres[cfg.Databases[i].Name] = preferredCentre(cfg, &cfg.Databases[i])
	}
	a.mu.Lock()
	a.spec = cfg
	a.centres = centres
	a.mu.Unlock()
	a.updatePlacement()
}

// preferredCentre returns the data centre in which a database's coordinator
// should be: that of one of its instances that are not drained. A hash of the
// database's name chooses the instance, so that databases are spread evenly.
func preferredCentre(cfg *spec.Spec, d *group.Database) string {
	var in []string
	for i := range d.Instances {
		if !cfg.InstanceDrained(&d.Instances[i]) {
			in = append(in, d.Instances[i].DataCentre)
		}
	}
	if len(in) == 0 {
		return ""
	}
	return in[xxhash.Sum64String(d.Name)%uint64(len(in))]
}

// updatePlacement recomputes the ranking.
func (a *Assigner) updatePlacement() {
	a.mu.RLock()
	cfg := a.spec
	a.mu.RUnlock()
	a.placer.Update(a.fleet.Hosts(), cfg)
}

// Candidates returns the hosts that may be the coordinator of database, best
// first. The caller must not change the list.
func (a *Assigner) Candidates(database string) []string {
	a.mu.RLock()
	centre := a.centres[database]
	a.mu.RUnlock()
	return a.placer.Candidates(databasePrefix+database, centre)
}

// Homes returns the hosts that may be the home of workspace's rate, best first.
// The home host of a part of a workspace's rate owns that part's token bucket.
func (a *Assigner) Homes(workspace string) []string {
	return a.placer.Candidates(workspacePrefix+workspace, "")
}

// Alive reports whether the host of that name may be given new work: it is
// neither leaving nor suspected to have failed. A suspect keeps what it serves,
// but others don't wait for it.
func (a *Assigner) Alive(name string) bool {
	h, ok := a.fleet.Lookup(name)
	return ok && h.State == host.Alive
}

// Answers reports whether the host of that name is believed to answer. A host
// that is suspect is probed, and one that is not known is probed at address.
func (a *Assigner) Answers(ctx context.Context, name, address string) bool {
	return a.fleet.Answers(ctx, name, address)
}

// Self returns this host's name.
func (a *Assigner) Self() string {
	return a.fleet.Self().Name
}
