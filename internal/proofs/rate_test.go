package proofs_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRateOutlivesHosts isolates one of three hosts and stops another. Both were
// homes: a home owns the token bucket of a part of a workspace's rate. The third
// host must still admit statements within the rate.
func TestRateOutlivesHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 3, nil)
		time.Sleep(10 * time.Second)
		cl.net.Isolate(cl.Hosts[0].Address)
		is.NoErr(cl.StopHost(cl.Hosts[1].Name))
		end := time.Now().Add(readyTimeout)
		for {
			_, err := cl.query(2, "settle", "SELECT put('k','1')")
			if err == nil {
				return
			}
			t.Log(time.Since(end.Add(-readyTimeout)), err)
			is.True(time.Now().Before(end)) // served within readyTimeout
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestRateOutlivesFirstHost isolates a host that had started alone, and so had
// become the home of every part of each rate, after other hosts have joined.
func TestRateOutlivesFirstHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 1, nil)
		time.Sleep(5 * time.Second)
		cl.Hosts = newHosts(3)
		for _, h := range cl.Hosts[1:] {
			is.NoErr(cl.StartHost(cl.ctx, h))
		}
		time.Sleep(30 * time.Second)
		cl.net.Isolate(cl.Hosts[0].Address)
		cl.waitForWrite(t, 2, time.Now().Add(readyTimeout))
	})
}
