package parse

import (
	"fmt"
	"net/netip"

	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/inst"
)

// minInstances is the least number of instances that keep a majority when one
// is lost.
const minInstances = 3

func (c *checker) checkDatabases() {
	if len(c.spec.Databases) == 0 {
		c.file.AddProblem("databases", "no database is declared", "declare one at least")
	}
	for i, db := range c.spec.Databases {
		c.checkDatabase(fmt.Sprintf("databases[%d]", i), db)
	}
}

func (c *checker) checkDatabase(path string, db group.Database) {
	c.unique(c.databases, path+".name", db.Name)
	if !kebab.MatchString(db.Service) {
		c.file.AddProblem(path+".service", "the service is missing or not in kebab case", "write one, as swap-ledger")
	}
	n := len(db.Instances)
	if n < minInstances || n%2 == 0 {
		c.file.AddProblem(path+".instances", fmt.Sprintf("%d instances give no safe majority", n), "declare 3, 5 or another odd number above")
	}
	seen := names{}
	for i, in := range db.Instances {
		at := fmt.Sprintf("%s.instances[%d]", path, i)
		c.unique(seen, at+".name", in.Name)
		c.checkInstance(at, in)
	}
	if n > 0 && c.allDrained(db) {
		c.file.AddProblem(path, fmt.Sprintf("all instances of database %q are drained", db.Name), "restore an instance or a data centre of its")
	}
}

func (c *checker) checkInstance(path string, in inst.Instance) {
	at, err := netip.ParseAddrPort(in.Address)
	switch {
	case err != nil || at.Port() == 0:
		c.file.AddProblem(path+".address", fmt.Sprintf("address %q is not ip:port", in.Address), "write an IP number and a port, as 10.0.0.1:5432")
	case c.addresses[at.String()] != "":
		c.file.AddProblem(
			path+".address",
			fmt.Sprintf("address %s is already used on line %d", at, c.file.Line(c.addresses[at.String()])),
			"give each instance its own",
		)
	default:
		c.addresses[at.String()] = path + ".address"
	}
	c.known(c.centres, path+".data-centre", "data centre", in.DataCentre)
	if in.Slots < 1 {
		c.file.AddProblem(path+".slots", "slots are missing or below 1", "write how many statements run at once, as 3")
	}
	if in.Connections < 1 {
		c.file.AddProblem(path+".connections", "connections are missing or below 1", "write how many it accepts, as 20")
	}
}

func (c *checker) allDrained(db group.Database) bool {
	for _, in := range db.Instances {
		if !in.Drained && !c.centreDrained(in.DataCentre) {
			return false
		}
	}
	return true
}

func (c *checker) centreDrained(name string) bool {
	for _, dc := range c.spec.DataCentres {
		if dc.Name == name {
			return dc.Drained
		}
	}
	return false
}
