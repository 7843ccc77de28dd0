package clust

import (
	"fmt"

	"wasabislip.example/wasabislip/pkg/model/centre"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/keys"
	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/space"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

const (
	workspace            = "orchid-market"
	secret               = "orchid-market-secret"
	salt                 = "00112233445566778899aabbccddeeff"
	unlimited            = 1_000_000
	slots                = 3
	connections          = 20
	instancesPerDatabase = 3
)

var dataCentres = []string{"daejeon-a", "sejong-b", "cheongju-c"}

// NewSpec returns a configuration with one workspace and the given number of
// databases, of three instances each.
func NewSpec(databases int) *spec.Spec {
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
	for _, name := range dataCentres {
		s.DataCentres = append(s.DataCentres, centre.Centre{
			Name:   name,
			Region: "kr-central",
		})
	}
	var names []string
	for d := range databases {
		database := newDatabase(d)
		s.Databases = append(s.Databases, database)
		names = append(names, database.Name)
	}
	s.Workspaces = []space.Workspace{{
		Name:      workspace,
		Rate:      unlimited,
		Burst:     unlimited,
		Weight:    1,
		Databases: names,
		Keys: []keys.Key{{
			ID:   workspace + "-1",
			Salt: salt,
			Hash: keys.Sum(salt, secret),
		}},
	}}
	return s
}

// newDatabase returns the database with that index. Nothing listens at its
// addresses: where instances run, their real addresses replace them.
func newDatabase(index int) group.Database {
	d := group.Database{
		Name:    fmt.Sprintf("swap-ledger-%d", index+1),
		Service: "swap-ledger",
	}
	for i := range instancesPerDatabase {
		d.Instances = append(d.Instances, inst.Instance{
			Name:        fmt.Sprintf("%s-%c", d.Name, 'a'+i),
			Address:     fmt.Sprintf("10.%d.%d.%d:5432", i+1, index/250, index%250+1),
			DataCentre:  dataCentres[i],
			Slots:       slots,
			Connections: connections,
		})
	}
	return d
}
