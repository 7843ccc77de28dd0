package member_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"wasabislip.example/wasabislip/internal/models/member"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const timeout = 3 * time.Second

func newHost(name, state string, incarnation uint64) host.Host {
	return host.Host{
		Name:        name,
		Address:     name,
		State:       state,
		Incarnation: incarnation,
	}
}

func wantState(t *testing.T, table *member.Table, name, state string) {
	t.Helper()
	h, ok := table.Get(name)
	if !ok || h.State != state {
		t.Fatalf("%s is %q, want %q", name, h.State, state)
	}
}

// runTable runs f as a subtest with fake time and the table of host a.
func runTable(t *testing.T, name string, f func(t *testing.T, table *member.Table)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f(t, member.New(newHost("a", host.Alive, 1), timeout))
		})
	})
}

func TestTable(t *testing.T) {
	runTable(t, "a suspect that does not refute is declared dead", func(t *testing.T, table *member.Table) {
		is := is.New(t)
		table.Merge([]host.Host{newHost("b", host.Alive, 1)})
		table.RecordFailure("b")
		wantState(t, table, "b", host.Suspect)
		for range 3 {
			time.Sleep(time.Second)
			table.Tick()
		}
		wantState(t, table, "b", host.Dead)
		table.Merge([]host.Host{newHost("b", host.Alive, 1)})
		wantState(t, table, "b", host.Dead)
		table.Merge([]host.Host{newHost("b", host.Alive, 2)})
		wantState(t, table, "b", host.Alive)
		is.Equal(table.Size(), 2)
	})
	runTable(t, "a suspect that refutes is alive", func(t *testing.T, table *member.Table) {
		table.Merge([]host.Host{newHost("b", host.Alive, 1)})
		table.RecordFailure("b")
		table.Merge([]host.Host{newHost("b", host.Alive, 2)})
		time.Sleep(timeout)
		table.Tick()
		wantState(t, table, "b", host.Alive)
	})
	runTable(t, "a host that another one declared dead becomes a suspect", func(t *testing.T, table *member.Table) {
		table.Merge([]host.Host{newHost("c", host.Alive, 1)})
		table.Merge([]host.Host{newHost("c", host.Dead, 1)})
		table.Merge([]host.Host{newHost("c", host.Dead, 1)})
		wantState(t, table, "c", host.Suspect)
	})
	runTable(t, "a pause of this process does not count against a suspect", func(t *testing.T, table *member.Table) {
		table.Merge([]host.Host{newHost("b", host.Alive, 1)})
		table.RecordFailure("b")
		time.Sleep(time.Minute)
		table.Tick()
		wantState(t, table, "b", host.Suspect)
	})
	runTable(t, "this host refutes its own death", func(t *testing.T, table *member.Table) {
		is := is.New(t)
		table.Merge([]host.Host{newHost("a", host.Dead, 7)})
		is.Equal(table.Self().State, host.Alive)
		is.Equal(table.Self().Incarnation, uint64(8))
	})
	runTable(t, "a later process at another address takes the name over", func(t *testing.T, table *member.Table) {
		is := is.New(t)
		later := newHost("a", host.Alive, 9)
		later.Started = time.Now()
		later.Address = "elsewhere"
		table.Merge([]host.Host{later})
		is.True(table.Superseded)
		is.Equal(table.Self().Incarnation, uint64(1))
	})
	runTable(t, "a former process whose clock ran ahead is refuted", func(t *testing.T, table *member.Table) {
		is := is.New(t)
		former := newHost("a", host.Alive, 9)
		former.Started = time.Now()
		table.Merge([]host.Host{former})
		is.True(!table.Superseded)
		is.Equal(table.Self().Incarnation, uint64(10))
	})
}

// TestAgreement checks that two tables which merge the same entries in different
// orders hold the same hosts, as long as no timeout has passed.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) host.Host {
			state := rapid.SampledFrom([]string{host.Alive, host.Suspect, host.Leaving}).Draw(t, "state")
			h := newHost(rapid.SampledFrom([]string{"b", "c"}).Draw(t, "name"), state, rapid.Uint64Range(1, 3).Draw(t, "incarnation"))
			return h
		}), 1, 12).Draw(t, "updates")
		shuffled := rapid.Permutation(updates).Draw(t, "shuffled")
		first := member.New(newHost("a", host.Alive, 1), timeout)
		second := member.New(newHost("a", host.Alive, 1), timeout)
		first.Merge(updates)
		second.Merge(shuffled)
		is := is.New(t)
		is.Equal(first.Hosts(), second.Hosts())
	})
}
