package simenv_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/routers/wire"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/internal/standin/rowsrv"
	"wasabislip.example/wasabislip/internal/standin/simenv"
	"wasabislip.example/wasabislip/platform/lines"
)

// stopping is the index of the host that is stopped while it starts.
const stopping = 1

// expiryTime is longer than the other hosts take to remove the registration of a host
// that is gone.
const expiryTime = 20 * time.Second

// answerCount counts the statements that a host has read and those that it has
// answered.
type answerCount struct {
	read     atomic.Int64
	answered atomic.Int64
}

// countingConn is a caller's connection whose statements are counted.
type countingConn struct {
	wire.Conn

	count *answerCount
}

func (c countingConn) ReadQuery() (query.Query, error) {
	q, err := c.Conn.ReadQuery()
	if err == nil {
		c.count.read.Add(1)
	}
	return q, err
}

func (c countingConn) WriteReply(r *reply.Reply) error {
	err := c.Conn.WriteReply(r)
	if err == nil {
		c.count.answered.Add(1)
	}
	return err
}

// callAll keeps some callers at a host, from before it listens, until ctx ends. Every
// second of them opens a session for each statement.
func callAll(ctx context.Context, env *simenv.Environment, host int) *sync.WaitGroup {
	const (
		callers = 4
		pause   = 5 * time.Millisecond
	)
	wg := &sync.WaitGroup{}
	for i := range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				c, _, ok := env.OpenSession(host, "strict", "key-one")
				for n := 0; ok && ctx.Err() == nil && !c.Do(fmt.Sprintf("WRITE item-%d %d", i, n)).Lost; n++ {
					if i%2 == 0 {
						break
					}
					time.Sleep(pause)
				}
				if ok {
					c.Close()
				}
				time.Sleep(pause)
			}
		})
	}
	return wg
}

// registration returns the row of the stopped host's registration.
func registration(env *simenv.Environment) []byte {
	return env.Store.Get(mirror.Fleet, mirror.HostPrefix+fmt.Sprintf("host-%d", stopping))
}

// stopAfter starts a host with callers, stops it after a time, and checks that it stops
// within its grace period and answers what it has read. The host takes acceptTime for
// each caller that it accepts.
func stopAfter(is *is.I, env *simenv.Environment, after, acceptTime time.Duration) {
	is.Helper()
	count := &answerCount{}
	env.NewConn = func(c net.Conn) wire.Conn {
		time.Sleep(acceptTime)
		return countingConn{
			Conn:  lines.NewCallerConn(c),
			count: count,
		}
	}
	panics := guard.Panics()
	ctx, cancel := context.WithCancel(context.Background())
	callers := callAll(ctx, env, stopping)
	env.StartHost(stopping)
	time.Sleep(after)
	stopped := env.StopHost(stopping)
	select {
	case <-stopped:
	case <-time.After(simenv.GracePeriod):
		is.Fail() // the host did not stop in time
	}
	read, answered := count.read.Load(), count.answered.Load()
	cancel()
	<-stopped
	env.Net.Crash(simenv.HostIP(stopping)) // the process has ended
	callers.Wait()
	is.Equal(answered, read)
	is.Equal(guard.Panics(), panics)
}

// Guards against hosts that hang, leave a registration behind or give no answer when
// they are stopped while they start.
func TestStopDuringStart(t *testing.T) {
	starts := []time.Duration{
		0,
		time.Millisecond,
		20 * time.Millisecond,
		150 * time.Millisecond,
		249 * time.Millisecond, // the registration is written after 250 ms
		252 * time.Millisecond,
		500 * time.Millisecond,
		1300 * time.Millisecond,
	}
	run := func(what string, fault func(write bool) string, leaves time.Duration) {
		for _, after := range starts {
			t.Run(fmt.Sprintf("%s, after %v", what, after), func(t *testing.T) {
				runScript(t, 1, func(is *is.I, env *simenv.Environment) {
					env.StartHost(2)
					time.Sleep(3 * time.Second)
					env.Store.SetFault(func(ip string, write bool) string {
						if ip == simenv.HostIP(stopping) {
							return fault(write)
						}
						return ""
					})
					stopAfter(is, env, after, 0)
					time.Sleep(leaves)
					is.Equal(string(registration(env)), "")
				})
			})
		}
	}
	run("the store answers", func(bool) string {
		return ""
	}, 0)
	run("the store is busy", func(bool) string {
		return rowsrv.Busy
	}, 0)
	run("the store is silent", func(bool) string {
		return rowsrv.Silent
	}, 0)
	run("answers to writes are lost", func(write bool) string {
		if write {
			return rowsrv.AnswerLost
		}
		return ""
	}, 0)
	run("writes come late", func(write bool) string {
		if write {
			return rowsrv.Late
		}
		return ""
	}, expiryTime)
	// The host was cut off from the store, and registers in the middle of its stop.
	for _, silent := range []time.Duration{1700, 2000, 2200, 2400, 2500, 2600, 2650, 2690} {
		t.Run(fmt.Sprintf("the store answers again %d ms after the stop", silent), func(t *testing.T) {
			runScript(t, 1, func(is *is.I, env *simenv.Environment) {
				env.StartHost(2)
				time.Sleep(3 * time.Second)
				until := time.Now().Add(silent * time.Millisecond)
				env.Store.SetFault(func(ip string, _ bool) string {
					if ip == simenv.HostIP(stopping) && time.Now().Before(until) {
						return rowsrv.Busy
					}
					return ""
				})
				stopAfter(is, env, 0, 0)
				is.Equal(string(registration(env)), "")
			})
		})
	}
	for _, after := range starts {
		t.Run(fmt.Sprintf("without any copy of the tables, after %v", after), func(t *testing.T) {
			runScript(t, 0, func(is *is.I, env *simenv.Environment) {
				env.Store.SetFault(func(string, bool) string {
					return rowsrv.Silent
				})
				stopAfter(is, env, after, 0)
				is.Equal(string(registration(env)), "")
			})
		})
	}
	// Callers whose connection was accepted just before the listener was closed.
	for _, acceptTime := range []time.Duration{60 * time.Millisecond, 90 * time.Millisecond, 140 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(fmt.Sprintf("a caller is accepted within %v", acceptTime), func(t *testing.T) {
			runScript(t, 1, func(is *is.I, env *simenv.Environment) {
				env.Store.SetFault(func(_ string, write bool) string {
					if write {
						return rowsrv.AnswerLost
					}
					return ""
				})
				stopAfter(is, env, time.Second, acceptTime)
			})
		})
	}
	t.Run("half of a statement has arrived and the store is silent", func(t *testing.T) {
		runScript(t, 3, func(is *is.I, env *simenv.Environment) {
			conn, err := env.Net.Dialer("10.9.0.1")(context.Background(), "tcp", simenv.HostIP(stopping)+":8465")
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write([]byte("STARTUP strict key-one\r\nQUERY a WRI"))
			is.NoErr(err)
			time.Sleep(time.Second)
			env.Store.SetFault(func(string, bool) string {
				return rowsrv.Silent
			})
			began := time.Now()
			<-env.StopHost(stopping)
			t.Logf("stopped after %v", time.Since(began))
			is.True(time.Since(began) < simenv.GracePeriod)
		})
	})
}
