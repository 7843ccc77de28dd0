package mirror_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/mirror"
)

// slowDecoder waits at the operators' rows once it is armed.
type slowDecoder struct {
	plainDecoder

	armed   chan struct{}
	entered chan struct{}
	release chan struct{}
}

func (d *slowDecoder) Evacuated(string) (string, bool) {
	select {
	case <-d.armed:
		d.entered <- struct{}{}
		<-d.release
	default:
	}
	return "", false
}

// record returns the row of a leader record.
func record(is *is.I, token uint64) tuple.Tuple {
	value, err := json.Marshal(leader.Leader{
		Token: token,
	})
	is.NoErr(err)
	return tuple.Tuple{
		Key:     mirror.LeaderPrefix + "ledger",
		Value:   value,
		Version: token,
	}
}

func TestReread(t *testing.T) {
	// Guards against the holder of a failover that reads its own record back although
	// the store has the next holder's: another part had put that into the copy of the
	// table, and was not done with what is derived from it.
	t.Run("what was read is in force when the call returns", func(t *testing.T) {
		is := is.New(t)
		uptime.Restart()
		source := &fixedSource{
			tables: map[string][]tuple.Tuple{
				"op": {{
					Key:     "x",
					Version: 1,
				}},
				mirror.Fleet: {record(is, 1)},
			},
			version: 1,
		}
		d := &slowDecoder{
			armed:   make(chan struct{}, 1),
			entered: make(chan struct{}),
			release: make(chan struct{}),
		}
		m := mirror.New(source, d, nil, "op", "servers")
		is.NoErr(m.Reread(t.Context(), mirror.Operators))
		is.NoErr(m.Reread(t.Context(), mirror.Fleet))
		next := []tuple.Tuple{record(is, 2)}
		source.tables[mirror.Fleet] = next
		source.version = 2
		d.armed <- struct{}{}
		pushed := make(chan struct{})
		go func() {
			defer close(pushed)
			m.Replace(mirror.Fleet, next, 2, uptime.Now())
		}()
		<-d.entered
		var token uint64
		var err error
		done := make(chan struct{})
		go func() {
			defer close(done)
			err = m.Reread(t.Context(), mirror.Fleet)
			l, _, _ := m.Leader("ledger")
			token = l.Token
		}()
		time.Sleep(20 * time.Millisecond) // enough for a call that does not wait
		close(d.release)
		<-done
		<-pushed
		is.NoErr(err)
		is.Equal(token, uint64(2))
	})
}
