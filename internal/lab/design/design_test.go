package design_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/lab/design"
	"wasabislip.example/wasabislip/internal/models/tuning"
)

const complete = `
name: calm
hosts: 3
length: 2s
policies:
  - name: usual
  - name: patient
    tuning: {queue: 0.5}
loads:
  - name: one
    streams:
      - {workspace: shops, limit: 100, database: own, rate: 50, from: 1s, for: 1s, times: 3}
faults:
  - {kind: store-away, at: 1s, for: 500ms}
`

func TestParse(t *testing.T) {
	t.Run("parameters that a policy leaves out have their defaults", func(t *testing.T) {
		is := is.New(t)
		d, err := design.Parse([]byte(complete))
		is.NoErr(err)
		is.Equal(d.Policies[0].Tuning, tuning.Default())
		is.Equal(d.Policies[1].Tuning.QueueFraction, 0.5)
		is.Equal(d.Policies[1].Tuning.RateFraction, tuning.Default().RateFraction)
		s := &d.Loads[0].Streams[0]
		is.Equal(s.RateAt(500*time.Millisecond), 50.0)
		is.Equal(s.RateAt(1500*time.Millisecond), 150.0)
	})
	t.Run("one error lists all problems", func(t *testing.T) {
		is := is.New(t)
		_, err := design.Parse([]byte(`
name: wrong
loads:
  - name: one
    streams:
      - {workspace: shops, limit: 100, database: other, rate: 50}
faults:
  - {kind: flood, at: 1s}
`))
		is.True(err != nil)
		for _, part := range []string{"hosts and length", "at least one policy", "database must be", `"flood" is not known`} {
			is.True(strings.Contains(err.Error(), part))
		}
	})
	t.Run("an unknown field is an error", func(t *testing.T) {
		is := is.New(t)
		_, err := design.Parse([]byte(strings.Replace(complete, "length:", "lengths:", 1)))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "lengths"))
	})
	t.Run("the example file is valid", func(t *testing.T) {
		is := is.New(t)
		_, err := design.Load("../../../deploy/lab/power-lost.yaml")
		is.NoErr(err)
	})
}
