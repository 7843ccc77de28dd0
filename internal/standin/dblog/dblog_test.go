package dblog_test

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabislip.example/wasabislip/internal/standin/dblog"
	"wasabislip.example/wasabislip/internal/standin/entry"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// group holds the logs of a database's three instances. Its coordinators fence a
// majority, promote the instance with the newest log and acknowledge a write once
// a majority has received it.
type group struct {
	logs   [3]*dblog.Log
	term   uint64
	writes int
	acked  map[logpos.Position]string
}

func newGroup() *group {
	g := &group{
		acked: map[logpos.Position]string{},
	}
	for i := range g.logs {
		g.logs[i] = dblog.New()
	}
	return g
}

// elect fences all instances, or all but one, at the next term and promotes the
// one with the newest log. No acknowledged write may be missing there.
func (g *group) elect(t *rapid.T) {
	excluded := rapid.IntRange(0, len(g.logs)).Draw(t, "left")
	g.term++
	var best *dblog.Log
	for i, l := range g.logs {
		if i == excluded {
			continue
		}
		if err := l.RaiseFence(g.term); err != nil {
			t.Fatal(err)
		}
		if best == nil || l.Received().Newer(best.Received()) {
			best = l
		}
	}
	if err := best.Promote(g.term, time.Time{}); err != nil {
		t.Fatal(err)
	}
	for p, value := range g.acked {
		c, _, ok := best.At(p.Offset)
		if !ok || c.Position != p || c.Writes[0].Value != value {
			t.Fatalf("the primary of term %d lost the acknowledged write %s", g.term, p)
		}
	}
}

// write appends to the log of an instance that takes itself for the primary.
func (g *group) write(t *rapid.T) {
	l := g.logs[rapid.IntRange(0, 2).Draw(t, "member")]
	if l.Role != dblog.Primary {
		t.Skip("not a primary")
	}
	g.writes++
	c := entry.Entry{}
	c.Set("k", strconv.Itoa(g.writes))
	if _, err := l.Append(c, time.Time{}); err != nil {
		t.Fatal(err)
	}
}

// ship makes an instance follow a primary and receive some entries.
func (g *group) ship(t *rapid.T) {
	from := g.logs[rapid.IntRange(0, 2).Draw(t, "from")]
	to := g.logs[rapid.IntRange(0, 2).Draw(t, "to")]
	if from == to || from.Role != dblog.Primary || to.Follow(from.Term) != nil {
		t.Skip("not possible")
	}
	to.Rewind(from.TermEnds())
	n := rapid.IntRange(0, 3).Draw(t, "entries")
	for _, c := range from.EntriesAfter(to.Received().Offset, n) {
		if err := to.Receive(from.Term, c, time.Time{}); err != nil {
			t.Fatal(err)
		}
	}
}

// acknowledge acknowledges the newest write of a primary if a majority has
// received it.
func (g *group) acknowledge(t *rapid.T) {
	primary := g.logs[rapid.IntRange(0, 2).Draw(t, "member")]
	if primary.Role != dblog.Primary {
		t.Skip("not a primary")
	}
	c, _, _ := primary.At(primary.Received().Offset)
	holders := 0
	for _, l := range g.logs {
		r := l.Received()
		if l.Fence == primary.Term && r.Term == primary.Term && r.Offset >= c.Position.Offset {
			holders++
		}
	}
	if holders >= 2 && len(c.Writes) > 0 {
		g.acked[c.Position] = c.Writes[0].Value
	}
}

// check compares the logs: two logs that hold the same entry must be equal up to
// it.
func (g *group) check(t *rapid.T) {
	for _, a := range g.logs {
		for _, b := range g.logs {
			agreed := false
			for o := a.Received().Offset; o > 0; o-- {
				x, _, _ := a.At(o)
				y, _, ok := b.At(o)
				same := ok && x.Position == y.Position && len(x.Writes) == len(y.Writes)
				if agreed && !same {
					t.Fatalf("two logs agree above offset %d but not there", o)
				}
				agreed = agreed || same
			}
		}
	}
}

func TestNoAcknowledgedWriteIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup()
		t.Repeat(map[string]func(*rapid.T){
			"elect":       g.elect,
			"write":       g.write,
			"ship":        g.ship,
			"acknowledge": g.acknowledge,
			"":            g.check,
		})
	})
}
