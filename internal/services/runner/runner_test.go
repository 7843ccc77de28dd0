package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/query"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/modules/count"
	"wasabislip.example/wasabislip/internal/services/conns"
	"wasabislip.example/wasabislip/internal/services/link"
	"wasabislip.example/wasabislip/internal/services/runner"
	"wasabislip.example/wasabislip/internal/standin/simcon"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// instance is one instance and the connections to it.
type instance struct {
	pool  *conns.Pool
	links []*simcon.Conn
	// state and outcome are those of all answers.
	state   int
	outcome int
	// losesAnswers makes each connection fail before an answer.
	losesAnswers bool
}

func (i *instance) Server(id string) (server.Server, bool) {
	return server.Server{
		ID: id,
	}, true
}

func (i *instance) MaySend(string) bool { return true }

func (i *instance) Pool(server.Server) *conns.Pool { return i.pool }

func (i *instance) Dial(context.Context, string) (link.Link, error) {
	c := &simcon.Conn{
		State:   i.state,
		Outcome: i.outcome,
	}
	if i.losesAnswers {
		c.CloseFromPeer()
	}
	i.links = append(i.links, c)
	return c, nil
}

func TestRunner(t *testing.T) {
	t.Run("a second transaction rolls the first one back", func(t *testing.T) {
		is := is.New(t)
		i := &instance{
			state: reply.Open,
		}
		i.pool = conns.New(server.Server{
			ID:    "i-1",
			Slots: 3,
		}, i)
		i.pool.Resize(10, 1)
		r := runner.New(i, i)
		for range 20 { // more than the connections of the pool
			_, err := r.Do(t.Context(), &task.Task{
				Kind:     task.Begin,
				Instance: "i-1",
				Deadline: time.Now().Add(time.Second),
			})
			is.NoErr(err)
		}
		r.Close()
		for _, c := range i.links {
			is.Equal(c.SentKinds[len(c.SentKinds)-1], query.Rollback)
		}
	})
	// A statement whose answer is lost may have run: it must not be told to be
	// rejected, and its place at the instance is free again.
	t.Run("a lost answer is an unknown outcome where statements are admitted by priority", func(t *testing.T) {
		is := is.New(t)
		i := &instance{
			losesAnswers: true,
		}
		i.pool = conns.New(server.Server{
			ID:    "i-1",
			Slots: 3,
		}, i)
		i.pool.Resize(10, 1)
		i.pool.SetAdmission(true)
		r := runner.New(i, i)
		for range 20 { // more than the places of the pool
			_, err := r.Do(t.Context(), &task.Task{
				Instance: "i-1",
				Level:    2,
				Deadline: time.Now().Add(time.Second),
			})
			is.True(fault.IsKind(err, fault.OutcomeUnknown))
		}
	})
}

// Guards against a connection that is used again although the answer to a statement on it may
// still come: one whose read was refused twice, after other unsigned answers.
func TestUnusableConnection(t *testing.T) {
	is := is.New(t)
	i := &instance{
		state:   reply.Idle,
		outcome: reply.Busy,
	}
	i.pool = conns.New(server.Server{
		ID:    "i-1",
		Slots: 3,
	}, i)
	i.pool.Resize(10, 1)
	r := runner.New(i, i)
	for n := range 2 {
		a, err := r.Do(t.Context(), &task.Task{
			Kind:     task.Autocommit,
			Instance: "i-1",
			Query: query.Query{
				Kind: query.Read,
			},
			SessionValues: map[string]string{
				"zone": "east",
			},
			Deadline: time.Now().Add(time.Second),
		})
		is.NoErr(err)
		is.Equal(a.Outcome, reply.Busy)
		is.Equal(i.links[0].Closed(), n == 1)
	}
}

// TestCounts guards against reports that differ from what instances ran.
func TestCounts(t *testing.T) {
	count := func(what string, wanted uint64, state, outcome int, lost bool, workspace string, kinds ...int) {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			i := &instance{
				state:   state,
				outcome: outcome,
			}
			i.pool = conns.New(server.Server{
				ID:    "i-1",
				Slots: 3,
			}, i)
			i.pool.Resize(10, 1)
			r := runner.New(i, i)
			r.Counter = count.New(time.Hour)
			r.Counter.SetTime(time.Unix(1800, 0))
			for n, kind := range kinds {
				if lost && n == len(kinds)-1 && n > 0 {
					i.links[0].CloseFromPeer()
				}
				_, _ = r.Do(t.Context(), &task.Task{
					Kind:      kind,
					Instance:  "i-1",
					Workspace: workspace,
					Deadline:  time.Now().Add(time.Second),
				})
			}
			r.Close()
			is.Equal(r.Counter.Window(0, false)[workspace], wanted)
		})
	}
	count("a statement outside of a transaction", 1, reply.Idle, reply.Done, false, "one", task.Autocommit)
	count("the first statement of a transaction after its begin", 1, reply.Open, reply.Done, false, "one", task.Begin, task.InTransaction, task.InTransaction)
	count("each transaction", 2, reply.Open, reply.Done, false, "one", task.Begin, task.InTransaction, task.Begin, task.InTransaction)
	count("a transaction without a statement does not count", 0, reply.Open, reply.Done, false, "one", task.Begin)
	count("a statement that failed", 1, reply.Idle, reply.Failed, false, "one", task.Autocommit)
	count("a lost response", 1, reply.Open, reply.Done, true, "one", task.Begin, task.InTransaction)
	count("callers without a key are nobody's usage", 0, reply.Idle, reply.Done, false, "-", task.Autocommit)
	for _, outcome := range []int{reply.Busy, reply.Lagging, reply.NotPrimary, reply.UnknownName, reply.TooManyConnections} {
		count("not counted: "+reply.OutcomeName(outcome), 0, reply.Idle, outcome, false, "one", task.Autocommit)
	}
}
