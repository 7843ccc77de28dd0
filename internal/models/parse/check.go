package parse

import (
	"fmt"
	"regexp"

	"wasabislip.example/wasabislip/internal/modules/strict"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

var kebab = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

const maxNameBytes = 63

// checker validates what the types of the fields can't: names, references and
// ranges. It adds the problems to file.
type checker struct {
	file *strict.File
	spec *spec.Spec

	centres   names
	databases names
	routes    names
	addresses names
}

// names maps each declared name of one kind to the path of its first declaration.
type names map[string]string

func (c *checker) check() {
	c.centres = names{}
	c.databases = names{}
	c.routes = names{}
	c.addresses = names{}
	c.checkCentres()
	c.checkDatabases()
	c.checkUse()
	c.checkRoutes()
	c.checkWorkspaces()
	c.checkHosts()
}

// unique checks that a name is well-formed and declared once, and adds it to seen.
func (c *checker) unique(seen names, path, name string) {
	if !kebab.MatchString(name) || len(name) > maxNameBytes {
		c.file.AddProblem(path, fmt.Sprintf("name %q is not in kebab case", name), "write lower-case letters, digits and single dashes, 63 at most")
		return
	}
	if first, ok := seen[name]; ok {
		c.file.AddProblem(path, fmt.Sprintf("%q is already declared on line %d", name, c.file.Line(first)), "rename one of the two")
		return
	}
	seen[name] = path
}

// known checks that a name is declared.
func (c *checker) known(seen names, path, kind, name string) {
	if _, ok := seen[name]; !ok {
		c.file.AddProblem(path, fmt.Sprintf("%s %q is not declared", kind, name), "declare it or correct the name")
	}
}

// references checks a list of names: each must be declared, and listed once.
func (c *checker) references(seen names, path, kind string, list []string) {
	listed := map[string]bool{}
	for i, name := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.known(seen, at, kind, name)
		if listed[name] {
			c.file.AddProblem(at, fmt.Sprintf("%q stands twice in the list", name), "keep one")
		}
		listed[name] = true
	}
}

func (c *checker) checkCentres() {
	if len(c.spec.DataCentres) == 0 {
		c.file.AddProblem("data-centres", "no data centre is declared", "declare one at least")
	}
	for i, dc := range c.spec.DataCentres {
		path := fmt.Sprintf("data-centres[%d]", i)
		c.unique(c.centres, path+".name", dc.Name)
		if !kebab.MatchString(dc.Region) {
			c.file.AddProblem(path+".region", "the region is missing or not in kebab case", "write one, as kr-central")
		}
	}
}

// checkUse checks that each data centre holds an instance.
func (c *checker) checkUse() {
	used := map[string]bool{}
	for _, db := range c.spec.Databases {
		for _, in := range db.Instances {
			used[in.DataCentre] = true
		}
	}
	for i, dc := range c.spec.DataCentres {
		if !used[dc.Name] {
			c.file.AddProblem(
				fmt.Sprintf("data-centres[%d].name", i),
				fmt.Sprintf("data centre %q holds no instance", dc.Name),
				"place an instance there or remove it",
			)
		}
	}
}

func (c *checker) checkHosts() {
	seen := names{}
	for i, host := range c.spec.DrainedHosts {
		c.unique(seen, fmt.Sprintf("drained-hosts[%d]", i), host)
	}
}
