package mirror_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
)

// hostRows is a table with one host.
var hostRows = []tuple.Tuple{{
	Key:     mirror.HostPrefix + "a",
	Value:   []byte("{}"),
	Version: 1,
}}

// callTime is how long a slow store takes for a call.
const callTime = 900 * time.Millisecond

// slowSource answers each call after callTime, with the rows as they were when the
// call arrived.
type slowSource struct {
	version uint64
	rows    []tuple.Tuple
}

func (s *slowSource) Read(context.Context, string) ([]tuple.Tuple, uint64, error) {
	rows, version := s.rows, s.version
	time.Sleep(callTime)
	return rows, version, nil
}

func (s *slowSource) Watch(_ context.Context, _ string, after uint64, wait time.Duration) ([]tuple.Tuple, uint64, error) {
	var changes []tuple.Tuple
	for _, r := range s.rows {
		if r.Version > after {
			changes = append(changes, r)
		}
	}
	version := s.version
	if len(changes) == 0 {
		time.Sleep(wait)
	}
	time.Sleep(callTime)
	return changes, version, nil
}

// TestLeaseStart guards against leases that outlive the wait of the host that replaces
// a primary: its record may be written while an answer is on its way.
func TestLeaseStart(t *testing.T) {
	run := func(what string, script func(is *is.I, s *slowSource, m *mirror.Mirror)) {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				uptime.Restart()
				time.Sleep(time.Second)
				s := &slowSource{
					version: 1,
					rows:    hostRows,
				}
				script(is.New(t), s, mirror.New(s, plainDecoder{}, nil, "op", "servers"))
			})
		})
	}
	run("a read counts from before the request", func(is *is.I, _ *slowSource, m *mirror.Mirror) {
		asked := uptime.Now()
		is.NoErr(m.Reread(context.Background(), mirror.Fleet))
		is.Equal(uptime.Now()-asked, callTime)
		is.Equal(m.LeasesAsOf(), asked)
	})
	run("changes count from before the request", func(is *is.I, s *slowSource, m *mirror.Mirror) {
		is.NoErr(m.Reread(context.Background(), mirror.Fleet))
		s.version = 2
		s.rows = []tuple.Tuple{{
			Key:     "leader-ledger",
			Version: 2,
			Deleted: true,
		}}
		asked := uptime.Now()
		is.NoErr(m.Refresh(context.Background(), mirror.Fleet))
		is.Equal(m.Version(mirror.Fleet), uint64(2))
		is.Equal(m.LeasesAsOf(), asked)
	})
	run("a call that the store held counts from the end of the wait, not from its answer", func(is *is.I, _ *slowSource, m *mirror.Mirror) {
		is.NoErr(m.Reread(context.Background(), mirror.Fleet))
		asked := uptime.Now()
		is.NoErr(m.Refresh(context.Background(), mirror.Fleet))
		is.Equal(m.LeasesAsOf(), uptime.Now()-callTime)
		is.True(m.LeasesAsOf() > asked)
	})
	run("a copy of an era that is not open renews none", func(is *is.I, s *slowSource, m *mirror.Mirror) {
		asked := uptime.Now()
		is.NoErr(m.Reread(context.Background(), mirror.Fleet))
		is.Equal(m.LeasesAsOf(), asked)
		// All rows have the versions of the new era.
		registered := hostRows[0]
		registered.Version = tuple.NewVersion(1, 1)
		s.version = registered.Version
		s.rows = []tuple.Tuple{registered}
		is.NoErr(m.Reread(context.Background(), mirror.Fleet))
		is.Equal(m.LeasesAsOf(), asked)
		s.version = tuple.NewVersion(1, 2)
		s.rows = []tuple.Tuple{registered, {
			Key:     mirror.EraKey(1),
			Version: s.version,
		}}
		opened := uptime.Now()
		is.NoErr(m.Reread(context.Background(), mirror.Fleet))
		is.Equal(m.LeasesAsOf(), opened)
	})
	run("a copy from another host counts from the time that it says", func(is *is.I, _ *slowSource, m *mirror.Mirror) {
		m.Replace(mirror.Fleet, hostRows, 2, 300*time.Millisecond)
		is.Equal(m.LeasesAsOf(), 300*time.Millisecond)
		digest, _, _ := m.Digest(mirror.Fleet)
		m.Confirm(mirror.Fleet, digest+1, 3, uptime.Now())
		is.Equal(m.LeasesAsOf(), 300*time.Millisecond)
		m.Confirm(mirror.Fleet, digest, 3, 400*time.Millisecond)
		is.Equal(m.LeasesAsOf(), 400*time.Millisecond)
	})
	run("an older copy from another host renews none", func(is *is.I, _ *slowSource, m *mirror.Mirror) {
		m.Replace(mirror.Fleet, hostRows, 2, 300*time.Millisecond)
		m.Replace(mirror.Fleet, hostRows, 1, uptime.Now())
		is.Equal(m.LeasesAsOf(), 300*time.Millisecond)
	})
}

// TestLostRecord guards against a restored store that brings a replaced primary back:
// the record that the copy lacks stays in force until the era is open.
func TestLostRecord(t *testing.T) {
	record := func(era uint64, token uint64, primary string) tuple.Tuple {
		value, err := json.Marshal(leader.Leader{
			Token:   token,
			Phase:   leader.Settled,
			Primary: primary,
		})
		if err != nil {
			panic(err) // a record can be encoded
		}
		return tuple.Tuple{
			Table:   mirror.Fleet,
			Key:     mirror.LeaderPrefix + "ledger",
			Value:   value,
			Version: tuple.NewVersion(era, 1),
		}
	}
	opened := tuple.Tuple{
		Key:     mirror.EraKey(1),
		Value:   []byte("{}"),
		Version: tuple.NewVersion(1, 2),
	}
	run := func(what string, script func(is *is.I, m *mirror.Mirror)) {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				uptime.Restart()
				m := mirror.New(nil, plainDecoder{}, nil, "op", "servers")
				m.Replace(mirror.Fleet, []tuple.Tuple{record(0, 2, "i-2")}, 5, 0)
				m.Replace(mirror.Fleet, []tuple.Tuple{record(1, 1, "i-1")}, tuple.NewVersion(1, 1), 0)
				script(is.New(t), m)
			})
		})
	}
	primary := func(m *mirror.Mirror) string {
		l, _, _ := m.Leader("ledger")
		return l.Primary
	}
	run("it stays in force and is known as lost", func(is *is.I, m *mirror.Mirror) {
		is.Equal(primary(m), "i-2")
		is.Equal(m.LostLeaders()["ledger"].Primary, "i-2")
	})
	run("once the era is open, the store's record is in force", func(is *is.I, m *mirror.Mirror) {
		m.Replace(mirror.Fleet, []tuple.Tuple{record(1, 1, "i-1"), opened}, opened.Version, 0)
		is.Equal(primary(m), "i-1")
		is.Equal(len(m.LostLeaders()), 0)
	})
	run("another host's record is taken if its token is higher", func(is *is.I, m *mirror.Mirror) {
		m.MergeUnrestored([]tuple.Tuple{record(0, 3, "i-3")})
		is.Equal(primary(m), "i-3")
		m.MergeUnrestored([]tuple.Tuple{record(0, 1, "i-1")})
		is.Equal(primary(m), "i-3")
	})
	run("no record is taken into an open era", func(is *is.I, m *mirror.Mirror) {
		m.Replace(mirror.Fleet, []tuple.Tuple{record(1, 1, "i-1"), opened}, opened.Version, 0)
		m.MergeUnrestored([]tuple.Tuple{record(0, 3, "i-3")})
		is.Equal(primary(m), "i-1")
	})
}
