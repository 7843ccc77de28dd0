// Package space describes workspaces, the customers of a fleet.
package space

import "wasabislip.example/wasabislip/pkg/model/keys"

// Workspace is one customer. It has keys, a rate limit over all hosts, and a
// weight in the division of the instances' slots.
type Workspace struct {
	// Name is unique in a configuration file; callers connect with it as their
	// user.
	Name string `yaml:"name"`
	// Rate is the number of statements a second that the workspace may run on
	// all hosts together.
	Rate float64 `yaml:"rate"`
	// Burst is the number of statements that it may run at once after a pause.
	Burst float64 `yaml:"burst"`
	// Weight is its weight in the division of contended slots; 1 if left out.
	Weight float64 `yaml:"weight,omitempty"`
	// Databases names the databases that it may use.
	Databases []string `yaml:"databases"`
	// Keys are the keys that its callers connect with.
	Keys []keys.Key `yaml:"keys"`
}
