package view_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/quorum"
	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/internal/models/view"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// databases is the number of databases that the benchmark routes between.
const databases = 1100

func pos(term, offset uint64) logpos.Position {
	return logpos.Position{
		Term:   term,
		Offset: offset,
	}
}

// newView returns the view of a primary at position 3/50, a replica that follows
// it, and a replica with entries of term 2 that the primary's log does not hold.
func newView(now time.Time) *view.View {
	ends := []logpos.Position{pos(1, 20), pos(2, 30)}
	reports := []status.Status{
		{
			Instance: "a",
			Fence:    3,
			Term:     3,
			Role:     status.Primary,
			Received: pos(3, 50),
			Applied:  pos(3, 50),
			TermEnds: ends,
		},
		{
			Instance: "b",
			Fence:    3,
			Term:     3,
			Role:     status.Replica,
			Received: pos(3, 48),
			Applied:  pos(3, 45),
			TermEnds: ends,
		},
		{
			Instance: "c",
			Fence:    3,
			Term:     3,
			Role:     status.Replica,
			Received: pos(2, 60),
			Applied:  pos(2, 60),
		},
	}
	return &view.View{
		Quorum: quorum.Quorum{
			Size:    3,
			Term:    3,
			Reports: reports,
		},
		FreshAt: []time.Time{now, now.Add(-time.Second), now},
		Live:    []bool{true, true, true},
		Drained: make([]bool, 3),
	}
}

// idle is a load under which no instance has any statement.
type idle struct{}

func (idle) Busy(int) int {
	return 0
}

func TestRoute(t *testing.T) {
	now := time.Unix(1000, 0)
	session := &route.Route{
		Kind:      route.Read,
		Freshness: route.Session,
	}
	bounded := func(age time.Duration) *route.Route {
		return &route.Route{
			Kind:      route.Read,
			Freshness: route.Bounded,
			MaxAge:    age,
		}
	}
	check := func(name string, r *route.Route, minPosition logpos.Position, want int, reason string) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, why := newView(now).Route(r, minPosition, now, view.NoInstance, idle{})
			is.Equal(got, want)
			is.Equal(why, reason)
		})
	}
	write := &route.Route{
		Kind: route.Write,
	}
	check("write", write, pos(3, 1), 0, "write-route")
	check("replica at minimum position", session, pos(3, 45), 1, "replica-at-floor")
	check("replica behind minimum position", session, pos(3, 46), 0, "replica-behind-floor")
	check("a discarded position counts as its term's end", session, pos(2, 60), 1, "replica-at-floor")
	check("within max age", bounded(2*time.Second), pos(1, 1), 1, "replica-at-floor")
	check("beyond max age", bounded(time.Millisecond), pos(1, 1), 0, view.TooOld)
	t.Run("drained replica gets no read", func(t *testing.T) {
		is := is.New(t)
		v := newView(now)
		v.Drained[1] = true
		got, _ := v.Route(session, pos(3, 1), now, view.NoInstance, idle{})
		is.Equal(got, 0)
	})
}

func BenchmarkRoute(b *testing.B) {
	now := time.Unix(1000, 0)
	views := make([]*view.View, databases)
	for i := range views {
		views[i] = newView(now)
	}
	r := &route.Route{
		Kind:      route.Read,
		Freshness: route.Session,
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		views[i%databases].Route(r, pos(3, 45), now, view.NoInstance, idle{})
	}
}
