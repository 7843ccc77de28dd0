package clust

import (
	"fmt"

	"wasabislip.example/wasabislip/pkg/model/centre"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/keys"
	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/space"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

const (
	// Database is the database that the users use.
	Database = "swap-ledger-1"
	salt     = "00112233445566778899aabbccddeeff"
)

func dataCentres() []string {
	return []string{"daejeon-a", "sejong-b", "cheongju-c"}
}

// Workspaces returns the names of the workspaces.
func Workspaces() []string {
	return []string{"orchid-market", "lotus-salon", "maple-house"}
}

// Key returns the key of a workspace.
func Key(workspace string) string {
	return workspace + "-key"
}

func hosts() []host.Host {
	var list []host.Host
	for i, name := range dataCentres() {
		list = append(list, host.Host{
			Name:       fmt.Sprintf("entry-%d", i+1),
			DataCentre: name,
			Address:    fmt.Sprintf("10.1.0.%d", i+1),
		})
	}
	return list
}

// newSpec returns the configuration: one database with an instance in each data
// centre. The sizes are those of examples/hanbit.yaml.
func newSpec() *spec.Spec {
	s := &spec.Spec{
		DefaultRoute: "settle",
		Routes: []route.Route{
			{
				Name: "settle",
				Kind: route.Write,
			},
			{
				Name:      "browse",
				Kind:      route.Read,
				Freshness: route.Session,
			},
			{
				Name:      "audit",
				Kind:      route.Read,
				Freshness: route.Primary,
			},
		},
	}
	d := group.Database{
		Name:    Database,
		Service: "swap-ledger",
	}
	for i, name := range dataCentres() {
		s.DataCentres = append(s.DataCentres, centre.Centre{
			Name:   name,
			Region: "kr-central",
		})
		d.Instances = append(d.Instances, inst.Instance{
			Name:        string(rune('a' + i)),
			Address:     fmt.Sprintf("10.2.0.%d:5432", i+1),
			DataCentre:  name,
			Slots:       3,
			Connections: 20,
		})
	}
	s.Databases = []group.Database{d}
	for _, name := range Workspaces() {
		s.Workspaces = append(s.Workspaces, space.Workspace{
			Name:      name,
			Rate:      2000,
			Burst:     4000,
			Weight:    1,
			Databases: []string{Database},
			Keys: []keys.Key{{
				ID:   name + "-1",
				Salt: salt,
				Hash: keys.Sum(salt, Key(name)),
			}},
		})
	}
	return s
}
