// Package spec holds the configuration that operators declare in one file and
// apply as a whole.
package spec

import (
	"slices"

	"wasabislip.example/wasabislip/pkg/model/centre"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/space"
)

// Spec is one whole configuration.
type Spec struct {
	// DataCentres are the data centres of hosts and instances.
	DataCentres []centre.Centre `yaml:"data-centres"`
	// Databases are the databases that the hosts serve.
	Databases []group.Database `yaml:"databases"`
	// Workspaces are the customers.
	Workspaces []space.Workspace `yaml:"workspaces"`
	// Routes are the routes that statements can name.
	Routes []route.Route `yaml:"routes"`
	// DefaultRoute is the route of statements that name none.
	DefaultRoute string `yaml:"default-route"`
	// DrainedHosts names the hosts that are to get no new work.
	DrainedHosts []string `yaml:"drained-hosts,omitempty"`
}

// Database returns the database of that name, or nil.
func (s *Spec) Database(name string) *group.Database {
	for i := range s.Databases {
		if s.Databases[i].Name == name {
			return &s.Databases[i]
		}
	}
	return nil
}

// Workspace returns the workspace of that name, or nil.
func (s *Spec) Workspace(name string) *space.Workspace {
	for i := range s.Workspaces {
		if s.Workspaces[i].Name == name {
			return &s.Workspaces[i]
		}
	}
	return nil
}

// Route returns the route of that name, or nil.
func (s *Spec) Route(name string) *route.Route {
	for i := range s.Routes {
		if s.Routes[i].Name == name {
			return &s.Routes[i]
		}
	}
	return nil
}

// Centre returns the data centre of that name, or nil.
func (s *Spec) Centre(name string) *centre.Centre {
	for i := range s.DataCentres {
		if s.DataCentres[i].Name == name {
			return &s.DataCentres[i]
		}
	}
	return nil
}

// InstanceDrained reports whether the instance or its data centre is to get no
// new work.
func (s *Spec) InstanceDrained(i *inst.Instance) bool {
	c := s.Centre(i.DataCentre)
	return i.Drained || (c != nil && c.Drained)
}

// HostDrained reports whether the host or its data centre is to get no new work.
func (s *Spec) HostDrained(name, dataCentre string) bool {
	c := s.Centre(dataCentre)
	return slices.Contains(s.DrainedHosts, name) || (c != nil && c.Drained)
}
