package duty_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/duty"
	"wasabislip.example/wasabislip/internal/models/usage"
)

// TestLostCounts guards against a report which says that nothing ran in a window whose
// counts were lost with all hosts.
func TestLostCounts(t *testing.T) {
	params := usage.Params{
		Window:    5 * time.Second,
		Delay:     10 * time.Second,
		Lease:     3 * time.Second,
		Tolerance: 0.05,
	}
	const final = 1000
	check := func(name string, firstCounted, wanted uint64) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := duty.Decide(&duty.Input{
				Params: params,
				Host:   "host-1",
				Uptime: time.Hour,
				Time:   params.End(final + 3).Add(params.CollectDelay()),
				First:  firstCounted,
				Copied: true,
				Hold: &duty.Hold{
					Record: usage.Record{
						Token:  7,
						Holder: "host-1",
						Final:  final,
					},
					Written: time.Hour,
				},
				Missing: func(uint64) int { return 0 },
			})
			is.Equal(d.Action, duty.Finalize)
			is.Equal(d.First, wanted)
			is.Equal(d.Record.Final, uint64(final+3))
		})
	}
	check("windows that ended before any host counted are left out", final+3, final+3)
	check("windows with counts follow the last final one", final-5, final+1)
}
