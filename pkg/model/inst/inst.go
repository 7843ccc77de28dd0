// Package inst describes instances, the database servers of a group.
package inst

// Instance is one server of a database group.
type Instance struct {
	// Name is unique in its database.
	Name string `yaml:"name"`
	// Address is its PostgreSQL endpoint, ip:port.
	Address string `yaml:"address"`
	// DataCentre names the instance's data centre.
	DataCentre string `yaml:"data-centre"`
	// Slots is the number of statements that it runs at once.
	Slots int `yaml:"slots"`
	// Connections is the number of connections that it accepts.
	Connections int `yaml:"connections"`
	// Drained tells that the instance is to get no new work.
	Drained bool `yaml:"drained,omitempty"`
}
