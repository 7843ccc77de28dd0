package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/sched"
)

const (
	objective = 250 * time.Millisecond
	service   = 10 * time.Millisecond
)

func request(workspace string, level int) sched.Request {
	return sched.Request{
		Workspace: workspace,
		Level:     level,
		Objective: objective,
		Wait:      objective / 2,
		Timeout:   5 * objective,
	}
}

// newFull returns a scheduler of one slot, all whose places are taken: by one
// statement for less urgent ones, by three for the most urgent.
func newFull(running int) *sched.Scheduler {
	s := sched.New()
	s.SetLimit(3)
	for range running {
		s.Resume(0, 0)
	}
	s.Learn(0, 0, service, true)
	s.Learn(0, 1, service, true)
	s.Learn(0, 2, service, true)
	return s
}

// arrive sends a statement that has to wait, and returns its place.
func arrive(is *is.I, s *sched.Scheduler, now time.Duration, r sched.Request) *sched.Waiter {
	is.Helper()
	d := s.Arrive(now, r, true)
	is.Equal(d.Action, sched.Wait)
	return d.Waiter
}

func TestOrder(t *testing.T) {
	t.Run("by level, then by deadline", func(t *testing.T) {
		is := is.New(t)
		s := newFull(3)
		least := arrive(is, s, 0, request("a", 2))
		late := arrive(is, s, 0, request("a", 1))
		r := request("b", 1)
		r.Objective /= 2
		soon := arrive(is, s, 0, r)
		urgent := arrive(is, s, 0, request("c", 0))
		for _, w := range []*sched.Waiter{urgent, soon, late, least} {
			for range 3 {
				s.End(service, 0)
			}
			is.True(s.Next(service) == w)
			for range 3 {
				s.Resume(service, 0)
			}
			s.End(service, w.Request.Level)
		}
	})
	// Guards against a caller that is told a turn and is then overtaken by others.
	t.Run("who comes back at its turn goes before a newcomer, and once only", func(t *testing.T) {
		is := is.New(t)
		s := newFull(3)
		r := request("a", 1)
		after := s.Refuse(0, r, 0).RetryAfter
		is.True(after > 0)
		newcomer := arrive(is, s, after, request("b", 1))
		returning := arrive(is, s, after, r)
		again := arrive(is, s, after, r)
		for range 3 {
			s.End(after, 0)
		}
		is.True(s.Next(after) == returning)
		s.End(after, 1)
		is.True(s.Next(after) == newcomer)
		s.End(after, 1)
		is.True(s.Next(after) == again)
	})
	// Guards against a read that loses its turn at one replica as it tries others.
	t.Run("a try that must not wait keeps the turn", func(t *testing.T) {
		is := is.New(t)
		s := newFull(3)
		r := request("a", 1)
		after := s.Refuse(0, r, 0).RetryAfter
		try := r
		try.Wait = 0
		is.Equal(s.Arrive(after, try, true).Reason, sched.Full)
		newcomer := arrive(is, s, after, request("b", 1))
		returning := arrive(is, s, after, r)
		for range 3 {
			s.End(after, 0)
		}
		is.True(s.Next(after) == returning)
		s.End(after, 1)
		is.True(s.Next(after) == newcomer)
	})
}

func TestReject(t *testing.T) {
	// Guards against a statement that is held to its deadline for nothing.
	t.Run("a turn too late is rejected at once", func(t *testing.T) {
		is := is.New(t)
		s := newFull(3)
		waiting := 0
		for i := range 100 {
			d := s.Arrive(0, request(fmt.Sprint(i), 1), true)
			if d.Action == sched.Wait {
				waiting++
				continue
			}
			is.Equal(d.Reason, sched.Late)
			is.True(d.RetryAfter > 0)
		}
		is.True(waiting > 0)
		is.True(time.Duration(waiting)*service <= objective/2) // one slot
	})
	// The process was suspended with a full queue.
	t.Run("what expired during a suspension is rejected and does not run", func(t *testing.T) {
		is := is.New(t)
		s := newFull(3)
		waiters := map[*sched.Waiter]bool{}
		for i := range 8 {
			waiters[arrive(is, s, 0, request(fmt.Sprint(i), i%3))] = true
		}
		resumed := time.Minute
		for range 3 {
			s.End(resumed, 0)
		}
		for w, d := range s.Expire(resumed) {
			is.Equal(d.Action, sched.Reject)
			is.True(d.RetryAfter > 0)
			delete(waiters, w)
		}
		is.Equal(len(waiters), 0)
		is.True(s.Next(resumed) == nil)
	})
	// Guards against callers that are all told the same time: 24,192 attempts of one
	// day were told 50 or 300 ms.
	t.Run("callers come back spread out, the urgent earlier, within their time", func(t *testing.T) {
		is := is.New(t)
		s := newFull(3)
		const bin = 10 * time.Millisecond
		bins := map[time.Duration]int{}
		var sum [2]time.Duration
		const callers = 200
		for i := range callers {
			for level := range 2 {
				r := request(fmt.Sprint(i), level)
				r.Objective *= time.Duration(1 + level*3)
				after := s.Refuse(0, r, 0).RetryAfter
				is.True(after > 0 && 2*after <= r.Objective/2) // twice, and half is left
				sum[level] += after
				if level == 1 {
					bins[after/bin]++
				}
			}
		}
		is.True(sum[0] < sum[1])
		for _, n := range bins {
			is.True(n <= callers/8) // over some 125 ms
		}
	})
}

func TestRoom(t *testing.T) {
	t.Run("a free slot is used at any level", func(t *testing.T) {
		is := is.New(t)
		s := sched.New()
		s.Resize(3, 1)
		s.SetLimit(9)
		for range 3 {
			is.Equal(s.Arrive(0, request("a", 2), true).Action, sched.Run)
		}
		is.Equal(s.Arrive(0, request("a", 2), true).Action, sched.Wait)
		for range 6 {
			is.Equal(s.Arrive(0, request("a", 0), true).Action, sched.Run)
		}
		is.Equal(s.Arrive(0, request("a", 0), true).Action, sched.Wait)
	})
	t.Run("without a connection it waits", func(t *testing.T) {
		is := is.New(t)
		s := newFull(0)
		is.Equal(s.Arrive(0, request("a", 0), false).Action, sched.Wait)
		is.True(s.Next(0) != nil)
	})
}

// BenchmarkOverload is a statement that arrives at a queue of some 2,000, of
// statements of 1 ms with a target of 1.5 s, and one that ends.
func BenchmarkOverload(b *testing.B) {
	s := sched.New()
	s.Resize(3, 1)
	s.SetLimit(9)
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond / 6
		r := request(fmt.Sprint(i%100), 1+i%2)
		r.Objective = 1500 * time.Millisecond
		r.Wait = r.Objective / 2
		s.Arrive(now, r, true)
		if i%2 == 0 {
			s.Learn(now, 1, time.Millisecond, true)
			s.End(now, 1)
			s.Expire(now)
			s.Next(now)
		}
	}
	_, waiting := s.Counts(2)
	b.ReportMetric(float64(waiting), "waiting")
}
