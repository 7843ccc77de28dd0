package mirror_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/leave"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
)

// wordDecoder takes a row as an instance whose value lists words: draining, reborn.
type wordDecoder struct{}

func (wordDecoder) IsPolicy(string) bool { return false }

func (wordDecoder) Evacuated(key string) (string, bool) { return strings.CutPrefix(key, "evacuate/") }

func (wordDecoder) Policy([]byte) (*policy.Policy, error) { return nil, errors.New("not used") }

func (wordDecoder) Server(id string, value []byte) (server.Server, error) {
	s := server.Server{
		ID:        id,
		Service:   "ledger",
		Draining:  strings.Contains(string(value), "draining"),
		StartedMs: 1,
	}
	if strings.Contains(string(value), "reborn") {
		s.StartedMs = 2
	}
	return s, nil
}

// copyOf is a mirror whose copies of the tables a test sets.
type copyOf struct {
	*mirror.Mirror

	version uint64
}

// set makes value the entry of i-1 as of a time ago; "" removes it.
func (c *copyOf) set(value string, ago time.Duration) {
	c.version++
	var rows []tuple.Tuple
	if value != "" {
		rows = append(rows, tuple.Tuple{
			Key:     "i-1",
			Value:   []byte(value),
			Version: c.version,
		})
	}
	c.Replace(mirror.Servers, rows, c.version, uptime.Now()-ago)
}

// confirm notes that the copy was still the newest state a time ago.
func (c *copyOf) confirm(ago time.Duration) {
	digest, version, _ := c.Digest(mirror.Servers)
	c.Confirm(mirror.Servers, digest, version, uptime.Now()-ago)
}

// TestLeavingFor guards against an age of an instance's announcement that is lower than the
// true one, so that work reaches the instance after the bound.
func TestLeavingFor(t *testing.T) {
	run := func(what string, script func(is *is.I, c *copyOf)) {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				uptime.Restart()
				c := &copyOf{
					Mirror: mirror.New(nil, wordDecoder{}, nil, "op", "servers"),
				}
				c.Leave = leave.Bound{
					Timeout: 7 * time.Second,
				}
				script(is.New(t), c)
			})
		})
	}
	check := func(is *is.I, c *copyOf, want time.Duration) {
		is.Helper()
		age, leaving := c.LeavingFor("i-1")
		is.True(leaving)
		is.Equal(age, want)
	}
	run("it counts from the last confirmation without the announcement", func(is *is.I, c *copyOf) {
		c.set("ready", 0)
		time.Sleep(time.Second)
		c.confirm(300 * time.Millisecond)
		time.Sleep(time.Second)
		c.set("draining", 0)
		check(is, c, 1300*time.Millisecond)
		time.Sleep(time.Second)
		c.confirm(0)
		c.set("draining still", 0)
		check(is, c, 2300*time.Millisecond)
	})
	run("an older copy that arrives late does not shorten it", func(is *is.I, c *copyOf) {
		c.set("ready", 2*time.Second)
		c.set("draining", time.Second)
		check(is, c, 2*time.Second)
	})
	run("an announcement in the first copy is of an unknown age", func(is *is.I, c *copyOf) {
		c.set("draining", 0)
		is.True(!c.AcceptsWork("i-1"))
		is.True(!c.MaySend("i-1"))
	})
	run("an entry that comes back does not begin anew", func(is *is.I, c *copyOf) {
		c.set("ready", 0)
		c.set("draining", 0)
		time.Sleep(time.Second)
		c.set("", 0)
		time.Sleep(10 * time.Second)
		c.set("", 0)
		c.set("draining", 0)
		check(is, c, 11*time.Second)
	})
	run("an instance that started again does not leave", func(is *is.I, c *copyOf) {
		c.set("ready", 0)
		c.set("draining", 0)
		time.Sleep(10 * time.Second)
		c.set("reborn", 0)
		_, leaving := c.LeavingFor("i-1")
		is.True(!leaving)
		time.Sleep(time.Second)
		c.set("reborn draining", 0)
		check(is, c, time.Second)
	})
	run("an entry that lapsed in an outage has time to come back", func(is *is.I, c *copyOf) {
		c.set("ready", 0)
		time.Sleep(time.Minute)
		c.set("", 0)
		is.True(c.AcceptsWork("i-1"))
		time.Sleep(mirror.ExpiredFor)
		is.True(c.AcceptsWork("i-1")) // no copy shows that it is still missing
		c.confirm(0)
		check(is, c, time.Minute+mirror.ExpiredFor)
		is.True(!c.AcceptsWork("i-1"))
	})
}
