package parse

import (
	"encoding/hex"
	"fmt"

	"wasabislip.example/wasabislip/pkg/model/keys"
	"wasabislip.example/wasabislip/pkg/model/route"
)

const (
	minSaltBytes = 16
	hashBytes    = 32
)

func (c *checker) checkRoutes() {
	if len(c.spec.Routes) == 0 {
		c.file.AddProblem("routes", "no route is declared", "declare one at least")
	}
	for i, r := range c.spec.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		c.unique(c.routes, path+".name", r.Name)
		c.references(c.databases, path+".databases", "database", r.Databases)
		c.checkKind(path, r)
		if r.Timeout < 0 {
			c.file.AddProblem(path+".timeout", "the timeout is negative", "write a time above 0 or leave it out")
		}
	}
	c.known(c.routes, "default-route", "route", c.spec.DefaultRoute)
}

func (c *checker) checkKind(path string, r route.Route) {
	switch r.Kind {
	case route.Read:
		c.checkFreshness(path, r)
	case route.Write:
		if r.Freshness != "" || r.MaxAge != 0 {
			c.file.AddProblem(path, "a write route has no freshness", "remove freshness and max-age")
		}
	default:
		c.file.AddProblem(path+".kind", fmt.Sprintf("kind %q is not known", r.Kind), "write read or write")
	}
}

func (c *checker) checkFreshness(path string, r route.Route) {
	switch r.Freshness {
	case route.Session, route.Primary:
		if r.MaxAge != 0 {
			c.file.AddProblem(path+".max-age", "only bounded reads have a max-age", "remove it or write freshness: bounded")
		}
	case route.Bounded:
		if r.MaxAge <= 0 {
			c.file.AddProblem(path+".max-age", "a bounded read needs a max-age above 0", "write the age that it accepts, as 2s")
		}
	default:
		c.file.AddProblem(path+".freshness", fmt.Sprintf("freshness %q is not known", r.Freshness), "write session, bounded or primary")
	}
}

func (c *checker) checkWorkspaces() {
	if len(c.spec.Workspaces) == 0 {
		c.file.AddProblem("workspaces", "no workspace is declared", "declare one at least")
	}
	seen := names{}
	for i, w := range c.spec.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.unique(seen, path+".name", w.Name)
		c.references(c.databases, path+".databases", "database", w.Databases)
		if len(w.Databases) == 0 {
			c.file.AddProblem(path+".databases", "the workspace may use no database", "list one at least")
		}
		c.positive(path+".rate", w.Rate, 0)
		c.positive(path+".burst", w.Burst, 1)
		if w.Weight < 0 {
			c.file.AddProblem(path+".weight", "the weight is negative", "write a number above 0 or leave it out")
		}
		c.checkKeys(path, w.Keys)
	}
}

// positive checks that n is above 0 and at least least.
func (c *checker) positive(path string, n, least float64) {
	if n <= 0 || n < least {
		c.file.AddProblem(path, fmt.Sprintf("%v is too low", n), "write statements as a number above 0; a burst is 1 at least")
	}
}

func (c *checker) checkKeys(path string, list []keys.Key) {
	seen := names{}
	for i, k := range list {
		at := fmt.Sprintf("%s.keys[%d]", path, i)
		c.unique(seen, at+".id", k.ID)
		if salt, err := hex.DecodeString(k.Salt); err != nil || len(salt) < minSaltBytes {
			c.file.AddProblem(at+".salt", "the salt is not hex of 16 bytes or more", "make the key with the command key")
		}
		if hash, err := hex.DecodeString(k.Hash); err != nil || len(hash) != hashBytes || hex.EncodeToString(hash) != k.Hash {
			c.file.AddProblem(at+".hash", "the hash is not lower-case hex of 32 bytes", "make the key with the command key")
		}
	}
}
