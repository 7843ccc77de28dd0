package marks_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/marks"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

func at(term, offset uint64) logpos.Position {
	return logpos.Position{
		Term:   term,
		Offset: offset,
	}
}

func TestMinPosition(t *testing.T) {
	t.Run("no position recorded", func(t *testing.T) {
		is := is.New(t)
		var f marks.Watermarks
		_, ok := f.MinPosition(0)
		is.True(!ok)
	})
	t.Run("the lowest position requested at or after the time", func(t *testing.T) {
		is := is.New(t)
		var f marks.Watermarks
		for i := range uint64(10) {
			f.Add(time.Duration(i+1)*time.Second, at(1, i*10))
		}
		p, ok := f.MinPosition(3500 * time.Millisecond)
		is.True(ok)
		is.Equal(p, at(1, 30))
		_, ok = f.MinPosition(11 * time.Second)
		is.True(!ok)
	})
	t.Run("the answer to an earlier request is ignored", func(t *testing.T) {
		is := is.New(t)
		var f marks.Watermarks
		f.Add(2*time.Second, at(1, 5))
		f.Add(time.Second, at(1, 9))
		p, _ := f.MinPosition(0)
		is.Equal(p, at(1, 5))
	})
	t.Run("a former primary's position does not replace a newer term's", func(t *testing.T) {
		is := is.New(t)
		var f marks.Watermarks
		f.Add(time.Second, at(2, 5))
		f.Add(2*time.Second, at(1, 99))
		asked, p, _ := f.Newest()
		is.Equal(p, at(2, 5))
		is.Equal(asked, time.Second)
	})
	t.Run("a few seconds are covered at any rate of answers", func(t *testing.T) {
		is := is.New(t)
		var f marks.Watermarks
		for i := range uint64(4000) {
			f.Add(time.Duration(i)*time.Millisecond, at(1, i))
		}
		p, ok := f.MinPosition(1500 * time.Millisecond)
		is.True(ok)
		is.True(p.Offset >= 1500 && p.Offset < 1700)
	})
}
