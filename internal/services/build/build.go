// Package build builds the coordinator of a database and the executor of its
// statements from their parts.
package build

import (
	"context"
	"net"
	"slices"
	"time"

	"wasabislip.example/wasabislip/internal/models/fairq"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/modules/instdb"
	"wasabislip.example/wasabislip/internal/services/coord"
	"wasabislip.example/wasabislip/internal/services/exec"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// defaultWeight is the weight of a workspace that declares none.
const defaultWeight = 1

// table reads and writes the term rows.
type table interface {
	Get(ctx context.Context, class, name string) (record.Record, error)
	Put(ctx context.Context, rec record.Record, expect uint64) error
}

// configuration gives the configuration in force and its version.
type configuration interface {
	Current() (*spec.Spec, uint64)
}

// meter counts the statements and failovers of coordinators.
type meter interface {
	RecordStatement(routeKind, role string)
	RecordFailover(planned bool, d time.Duration)
}

// Builder builds the coordinators of one host. Its fields are set before the
// first call to Build.
type Builder struct {
	// Host names this host.
	Host string
	// Address is its peer address, ip:port.
	Address string
	// Table holds the term rows.
	Table table
	// Config gives routes and weights.
	Config configuration
	// Meter counts the statements and failovers of the coordinators.
	Meter meter
	// User is the name with which the host logs in to instances.
	User string
	// Password belongs to User.
	Password string
	// QueueWait bounds the wait for a slot; a default applies when 0.
	QueueWait time.Duration
	// QueueLength bounds the waiting requests of one workspace at one
	// instance; a default applies when 0.
	QueueLength int
	// Dial opens connections to instances; TCP when nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Build returns a coordinator of database and the executor of the statements on
// the database.
func (b *Builder) Build(database group.Database) (*coord.Coordinator, *exec.Executor, error) {
	coordinator := coord.New(database, b.Host, b.Address, b.Table, b.Meter)
	executor := exec.New(coordinator, b.Host, b, b.Meter)
	for _, instance := range database.Instances {
		client := instdb.New(instdb.Client{
			Instance: instance,
			Database: database.Name,
			User:     b.User,
			Password: b.Password,
			DialFunc: b.Dial,
		})
		coordinator.AddInstance(client)
		executor.Add(fairq.New(instance.Slots, b.QueueWait, b.QueueLength), client)
	}
	return coordinator, executor, nil
}

// Route returns the declared route of that name, or nil.
func (b *Builder) Route(name string) *route.Route {
	s, _ := b.Config.Current()
	if s == nil {
		return nil
	}
	return s.Route(name)
}

// Weight returns a workspace's weight in the division of slots for which
// workspaces compete.
func (b *Builder) Weight(workspace string) float64 {
	s, _ := b.Config.Current()
	if s == nil {
		return defaultWeight
	}
	w := s.Workspace(workspace)
	if w == nil || w.Weight <= 0 {
		return defaultWeight
	}
	return w.Weight
}

// Share returns a workspace's share of a database's resources, from 0 to 1: its
// weight divided by the sum of those of all workspaces that may use the
// database.
func (b *Builder) Share(database, workspace string) float64 {
	s, _ := b.Config.Current()
	if s == nil {
		return 1
	}
	own, total := b.Weight(workspace), 0.0
	for i := range s.Workspaces {
		if slices.Contains(s.Workspaces[i].Databases, database) {
			total += b.Weight(s.Workspaces[i].Name)
		}
	}
	return own / max(total, own)
}
