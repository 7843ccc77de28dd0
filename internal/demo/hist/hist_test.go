package hist_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/demo/hist"
)

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		list string
		ok   bool
	}{
		{"all acknowledged values", "m.1,m.3", true},
		{"a value of unknown outcome, too", "m.1,m.2,m.3", true},
		{"a lost value", "m.1", false},
		{"a value twice", "m.1,m.3,m.3", false},
		{"another user's value", "m.1,m.3,n.1", false},
		{"a value that was not run", "m.1,m.3,m.4", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := hist.History{
				User: "m",
			}
			h.RecordAck(h.NextValue())
			h.RecordUnknown(h.NextValue())
			h.RecordAck(h.NextValue())
			h.NextValue()
			is.New(t).Equal(h.Check(c.list) == nil, c.ok)
		})
	}
}
