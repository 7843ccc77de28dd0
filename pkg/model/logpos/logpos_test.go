package logpos_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/pkg/model/logpos"
)

func TestParse(t *testing.T) {
	t.Run("reads the output of String", func(t *testing.T) {
		is := is.New(t)
		p := logpos.Position{
			Term:   3,
			Offset: 1024,
		}
		got, err := logpos.Parse(p.String())
		is.NoErr(err)
		is.Equal(got, p)
	})
	for _, bad := range []string{"", "3", "x/1", "1/x", "1/-1"} {
		t.Run("rejects "+bad, func(t *testing.T) {
			is := is.New(t)
			_, err := logpos.Parse(bad)
			is.True(err != nil)
		})
	}
}

func TestNewer(t *testing.T) {
	is := is.New(t)
	longer := logpos.Position{
		Term:   1,
		Offset: 90,
	}
	later := logpos.Position{
		Term:   2,
		Offset: 10,
	}
	is.True(later.Newer(longer))
	is.True(!longer.Newer(later))
}
