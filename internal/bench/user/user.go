// Package user describes the installations of two users of the product, from
// their configuration files, at their present sizes.
package user

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"wasabislip.example/wasabislip/internal/models/parse"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/keys"
	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// Names of the read routes that are added to the user's own.
const (
	SessionRoute = "measure-session"
	PrimaryRoute = "measure-primary"
	BoundedRoute = "measure-bounded"
)

const (
	hostCount  = 9
	keySalt    = "00112233445566778899aabbccddeeff"
	boundedAge = 2 * time.Second
)

// User is the installation of one user.
type User struct {
	// Name is the name of the user in results.
	Name string
	// Spec is the configuration from the user's file. Each workspace has one key,
	// whose secret is the one that Secret returns.
	Spec *spec.Spec
	// Hosts are the hosts, assigned to the data centres in turn.
	Hosts []host.Host
	// CentreLatency is the one-way latency between data centres, and CallerLatency
	// that between callers and any data centre.
	CentreLatency time.Duration
	CallerLatency time.Duration
}

// Hanbit returns the installation of Hanbit Sample Swap Cooperative, whose
// configuration file is at path.
func Hanbit(path string) (*User, error) {
	return load(&User{
		Name:          "hanbit",
		CentreLatency: 500 * time.Microsecond,
		CallerLatency: time.Millisecond,
	}, path)
}

// Consortium returns the installation of Consortium Horloges Partagées du
// Sénégal, whose configuration file is at path.
func Consortium(path string) (*User, error) {
	return load(&User{
		Name:          "consortium",
		CentreLatency: 1500 * time.Microsecond,
		CallerLatency: 3 * time.Millisecond,
	}, path)
}

func load(u *User, path string) (*User, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the configuration of %s: %w", u.Name, err)
	}
	f := parse.Parse(path, body)
	if f.Spec == nil {
		return nil, errors.New(strings.Join(f.Problems, "; "))
	}
	u.Spec = f.Spec
	u.addRoutes()
	for i := range u.Spec.Workspaces {
		w := &u.Spec.Workspaces[i]
		w.Keys = []keys.Key{{
			ID:   w.Name + "-1",
			Salt: keySalt,
			Hash: keys.Sum(keySalt, Secret(w.Name)),
		}}
	}
	for i := range hostCount {
		c := i % len(u.Spec.DataCentres)
		u.Hosts = append(u.Hosts, host.Host{
			Name:       fmt.Sprintf("host-%d", i+1),
			DataCentre: u.Spec.DataCentres[c].Name,
			Address:    fmt.Sprintf("10.50.%d.%d", c+1, i+1),
		})
	}
	return u, nil
}

func (u *User) addRoutes() {
	u.Spec.Routes = append(
		u.Spec.Routes,
		route.Route{
			Name:      SessionRoute,
			Kind:      route.Read,
			Freshness: route.Session,
		},
		route.Route{
			Name:      PrimaryRoute,
			Kind:      route.Read,
			Freshness: route.Primary,
		},
		route.Route{
			Name:      BoundedRoute,
			Kind:      route.Read,
			Freshness: route.Bounded,
			MaxAge:    boundedAge,
		},
	)
}

// Truncate removes all but the first databases and hosts, and returns u.
func (u *User) Truncate(databases, hosts int) *User {
	u.Spec.Databases = u.Spec.Databases[:databases]
	for i := range u.Spec.Workspaces {
		u.Spec.Workspaces[i].Databases = u.Spec.Workspaces[i].Databases[:databases]
	}
	u.Hosts = u.Hosts[:hosts]
	return u
}

// Secret returns the secret of a workspace's key.
func Secret(workspace string) string {
	return workspace + "-secret"
}
