// Package group describes databases: groups of instances that replicate one log.
package group

import "wasabislip.example/wasabislip/pkg/model/inst"

// Database is a group of instances, one of which is the primary.
type Database struct {
	// Name is unique in a configuration file. Callers connect to the database
	// by this name.
	Name string `yaml:"name"`
	// Service names the ledger that the database is a part of.
	Service string `yaml:"service"`
	// Instances are the group's servers: an odd number, three or more.
	Instances []inst.Instance `yaml:"instances"`
}

// Majority returns the number of instances that form a majority.
func (d Database) Majority() int {
	return len(d.Instances)/2 + 1
}
