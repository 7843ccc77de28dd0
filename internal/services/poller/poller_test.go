package poller_test

import (
	"context"
	"errors"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/poller"
	"wasabislip.example/wasabislip/internal/services/probe"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	service = "ledger"
	// callTime is how long an instance takes for an answer.
	callTime = 100 * time.Millisecond
	// outage is how long the store has been away, and renewals time for several
	// renewals of a lease.
	outage   = 10 * time.Second
	renewals = 3 * time.Second
)

var errDown = errors.New("the instance is down")

// world is one service's instances, as a host sees them that has no answer from the
// store.
type world struct {
	view *dbview.View

	mu      sync.Mutex
	reports map[string]report.Report
	down    map[string]bool
	// full says that instances accept no more connections, dials counts those opened,
	// questions how often the other pollers were asked, and unknown says that the
	// other hosts are not known yet.
	full      bool
	dials     int
	questions int
	unknown   bool
	// unregistered says that the host is not registered in the store.
	unregistered bool
	// rank is the host's place among the pollers.
	rank int
	// repeats are the instances that send each answer twice, the second time while the
	// next request is under way.
	repeats map[string]bool
}

// session is a connection to an instance.
type session struct {
	link.Link // the rest is not used

	world *world
	id    string
	// unread are the answers that were sent and not read yet.
	unread []report.Report
}

// run runs the poller of a host. i-1 leads term 1, and i-2 and i-3 follow it.
func run(t *testing.T, what string, script func(is *is.I, w *world)) {
	t.Run(what, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			uptime.Restart()
			w := &world{
				reports: map[string]report.Report{},
				down:    map[string]bool{},
				repeats: map[string]bool{},
			}
			for _, id := range []string{"i-1", "i-2", "i-3"} {
				w.reports[id] = report.Report{
					Primary: id == "i-1",
					Term:    1,
				}
			}
			w.view = dbview.New(service, "a", "wasabislip", w, w)
			time.Sleep(outage)
			p := poller.New(w, w, w, w, probe.New(w, w))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				p.Run(ctx)
			}()
			defer func() {
				cancel()
				<-done
			}()
			script(is.New(t), w)
		})
	})
}

// TestRenewal guards against a lease that is renewed by asking the instances while
// another host promotes a replica: it stops the replicas from receiving first.
func TestRenewal(t *testing.T) {
	run(t, "replicas that follow renew the lease", func(is *is.I, w *world) {
		time.Sleep(renewals)
		is.True(w.view.HasLease("i-1"))
	})
	run(t, "it counts from before the first question", func(is *is.I, w *world) {
		for range 20 {
			time.Sleep(callTime)
			_, renewed := w.view.LastLeaseRenewal()
			is.True(renewed == 0 || uptime.Now()-renewed >= 3*callTime)
		}
	})
	stop := func(what string, change func(w *world)) {
		run(t, what, func(is *is.I, w *world) {
			time.Sleep(renewals)
			change(w)
			changed := uptime.Now()
			time.Sleep(renewals)
			_, renewed := w.view.LastLeaseRenewal()
			is.True(renewed > 0)
			is.True(renewed <= changed)
			is.True(!w.view.HasLease("i-1"))
		})
	}
	stop("a replica that was told to stop receiving renews none", func(w *world) {
		w.set("i-3", report.Report{
			Term:       1,
			PausedTerm: 2,
		})
	})
	stop("a replica of a later term renews none", func(w *world) {
		w.set("i-3", report.Report{
			Term: 2,
		})
	})
	stop("another primary renews none", func(w *world) {
		w.set("i-3", report.Report{
			Primary: true,
			Term:    1,
		})
	})
	stop("a replica that does not answer renews none", func(w *world) {
		w.crash("i-2")
	})
	stop("a primary that stepped down renews none", func(w *world) {
		w.set("i-1", report.Report{
			Term: 1,
		})
	})
	// A repeated answer that is one request old would renew the lease after the change.
	stopRepeating := func(what, id string, r report.Report) {
		run(t, what, func(is *is.I, w *world) {
			w.repeat(id)
			time.Sleep(renewals)
			_, renewed := w.view.LastLeaseRenewal()
			is.True(renewed > 0)
			w.set(id, r)
			changed := uptime.Now()
			time.Sleep(renewals)
			_, renewed = w.view.LastLeaseRenewal()
			is.True(renewed <= changed)
		})
	}
	stopRepeating("a replica that repeats its answers renews none once it was told to stop receiving", "i-3", report.Report{
		Term:       1,
		PausedTerm: 2,
	})
	stopRepeating("a replica that repeats its answers renews none once it was promoted", "i-2", report.Report{
		Primary: true,
		Term:    2,
	})
	stopRepeating("a primary that repeats its answers renews none once it stepped down", "i-1", report.Report{
		Term: 1,
	})
}

// TestPolls guards against polls that overload instances: a fleet that started opened
// 585,000 connections to instances that refused them, and hosts that had heard of few
// others polled all primaries.
func TestPolls(t *testing.T) {
	const watched = 10 * time.Second
	run(t, "an instance that refuses connections is asked at most every 0.3 s", func(is *is.I, w *world) {
		w.mu.Lock()
		w.full = true
		w.mu.Unlock()
		time.Sleep(3 * time.Second) // idle connections are closed
		before := w.countDials()
		time.Sleep(watched)
		// Each round of a renewal opens two: one for the position, one for the lease.
		is.True(w.countDials()-before <= 2*int(watched/(300*time.Millisecond))+2)
	})
	run(t, "the other pollers are asked about a primary that does not answer", func(is *is.I, w *world) {
		time.Sleep(renewals)
		is.Equal(w.countQuestions(), 0)
		w.crash("i-1")
		time.Sleep(renewals)
		is.True(w.countQuestions() >= 3)
	})
	run(t, "renewals by the first poller are enough for the others", func(is *is.I, w *world) {
		w.mu.Lock()
		w.rank = 1
		w.mu.Unlock()
		time.Sleep(renewals) // alone, it renews the lease
		is.True(w.view.HasLease("i-1"))
		before := w.countDials()
		for range 20 {
			w.view.RecordPosition("i-1", uptime.Now(), logpos.Position{
				Term: 1,
			})
			w.view.RenewLease("i-1", uptime.Now())
			time.Sleep(600 * time.Millisecond)
		}
		is.True(w.countDials()-before <= 3) // a round under way
	})
	run(t, "nothing is polled while the other hosts are not known", func(is *is.I, w *world) {
		w.mu.Lock()
		w.unknown = true
		w.mu.Unlock()
		time.Sleep(renewals)
		before := w.countDials()
		time.Sleep(renewals)
		is.Equal(w.countDials(), before)
	})
	run(t, "nothing is polled after the start until the host has been registered once", func(is *is.I, w *world) {
		w.register(false)
		time.Sleep(time.Second)
		is.Equal(w.countDials(), 0)
		w.register(true)
		time.Sleep(200 * time.Millisecond)
		is.True(w.countDials() > 0)
		w.register(false)
		before := w.countDials()
		time.Sleep(renewals)
		is.True(w.countDials() > before)
	})
	run(t, "primaries are polled 2 s after the start if the host can't be registered", func(is *is.I, w *world) {
		w.register(false)
		time.Sleep(1900 * time.Millisecond)
		is.Equal(w.countDials(), 0)
		time.Sleep(300 * time.Millisecond)
		is.True(w.countDials() > 0)
	})
}

func (w *world) register(registered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unregistered = !registered
}

func (w *world) countQuestions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.questions
}

func (w *world) countDials() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dials
}

func (w *world) set(id string, r report.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports[id] = r
}

func (w *world) repeat(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repeats[id] = true
}

func (w *world) crash(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[id] = true
}

// Dial opens a connection to an instance, whose address is its id.
func (w *world) Dial(_ context.Context, address string) (link.Link, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dials++
	return &session{
		world: w,
		id:    address,
	}, nil
}

func (s *session) StartSession(string, string, string) (reply.Reply, error) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.world.full {
		return reply.Reply{
			Outcome: reply.TooManyConnections,
		}, nil
	}
	return reply.Reply{}, nil
}

func (s *session) Status() (report.Report, reply.Reply, error) {
	time.Sleep(callTime)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.world.down[s.id] {
		return report.Report{}, reply.Reply{}, errDown
	}
	r := s.world.reports[s.id]
	s.unread = append(s.unread, r)
	if s.world.repeats[s.id] {
		s.unread = append(s.unread, r)
	}
	r = s.unread[0]
	s.unread = s.unread[1:]
	return r, reply.Reply{}, nil
}

// IsOpen reports true: repeated answers arrive only after the next request was sent.
func (s *session) IsOpen() bool { return true }

func (s *session) HasUnread() bool { return false }

func (s *session) SetReadDeadline(time.Time) error  { return nil }
func (s *session) SetWriteDeadline(time.Time) error { return nil }
func (s *session) Close() error                     { return nil }

func (w *world) Server(id string) (server.Server, bool) {
	return server.Server{
		ID:      id,
		Service: service,
		Address: id,
	}, true
}

func (w *world) Servers(string) []server.Server {
	var list []server.Server
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		s, _ := w.Server(id)
		list = append(list, s)
	}
	return list
}

func (w *world) Leader(string) (l leader.Leader, version uint64, ok bool) {
	return leader.Leader{
		Phase:   leader.Settled,
		Primary: "i-1",
	}, 1, true
}

func (w *world) Policy() *policy.Policy                  { return nil }
func (w *world) Services() []string                      { return []string{service} }
func (w *world) Missing(string) bool                     { return false }
func (w *world) LeavingFor(string) (time.Duration, bool) { return 0, false }
func (w *world) AcceptsWork(string) bool                 { return true }
func (w *world) Evacuated(string) bool                   { return false }
func (w *world) AsOf(string) time.Duration               { return 0 }
func (w *world) LeasesAsOf() time.Duration               { return 1 } // the only copy is from long ago
func (w *world) RankingVersion() uint64                  { return 1 }
func (w *world) IsAmong(string, int) bool                { return true }

func (w *world) Rank(string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rank
}

func (w *world) KnowsFleet() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.unknown
}

func (w *world) AskFirst(context.Context, string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.questions++
}

func (w *world) PushNow()                 {}
func (w *world) View(string) *dbview.View { return w.view }

func (w *world) Registered() (since, until time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return 0, math.MaxInt64, !w.unregistered
}
