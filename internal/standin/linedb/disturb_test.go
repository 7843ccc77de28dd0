package linedb

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against disturbances that change an answer, or that never part CR and LF.
func TestSplit(t *testing.T) {
	const text = "DATAROW a\r\nCOMPLETE sig-1\r\nREADY I 1.2\r\n"
	rng := rand.New(rand.NewPCG(1, 1))
	parted := 0
	for range 100 {
		is := is.New(t)
		pieces := split(text, rng)
		is.Equal(strings.Join(pieces, ""), text)
		is.True(len(pieces) <= maxPieces)
		if pieces[0] != "" && strings.HasSuffix(pieces[0], "\r") {
			parted++
		}
	}
	is.New(t).True(parted > 0)
}

// Guards against a share that is taken of all answers, or of none.
func TestPlan(t *testing.T) {
	g := &Group{
		Slots: 1,
	}
	g.Add("i-1")
	count := func(counts func(d delivery) bool) int {
		n := 0
		for range 1000 {
			if counts(g.instances["i-1"].plan("READY I 1.2\r\n")) {
				n++
			}
		}
		return n
	}
	t.Run("repeated", func(t *testing.T) {
		is := is.New(t)
		g.RepeatShare("i-1", 0.3, 1000)
		defer g.RepeatShare("i-1", 0, 0)
		delays := map[int64]bool{}
		n := count(func(d delivery) bool {
			for _, after := range d.repeats {
				delays[int64(after)] = true
			}
			return len(d.repeats) > 0
		})
		is.True(n > 200 && n < 400)
		is.True(len(delays) > 100) // each has its own
	})
	t.Run("broken off", func(t *testing.T) {
		is := is.New(t)
		g.BreakShare("i-1", 0.3)
		defer g.BreakShare("i-1", 0)
		n := count(func(d delivery) bool {
			return d.breaksOff
		})
		is.True(n > 200 && n < 400)
	})
	t.Run("split", func(t *testing.T) {
		is := is.New(t)
		g.SplitShare("i-1", 0.3, 1000)
		defer g.SplitShare("i-1", 0, 0)
		n := count(func(d delivery) bool {
			return len(d.pieces) > 1
		})
		is.True(n > 200 && n < 400)
	})
	t.Run("none", func(t *testing.T) {
		is := is.New(t)
		is.Equal(count(func(d delivery) bool {
			return d.breaksOff || len(d.pieces) > 1 || len(d.repeats) > 0
		}), 0)
	})
}
