// Package centre describes the data centres of hosts and instances.
package centre

// Centre is a data centre.
type Centre struct {
	// Name is unique in a configuration file.
	Name string `yaml:"name"`
	// Region groups data centres with shared network links.
	Region string `yaml:"region"`
	// Drained tells that the data centre is to get no new work.
	Drained bool `yaml:"drained,omitempty"`
}
