package load_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/load"
)

// TestCheck guards against an implausible report that draws all reads to an instance,
// or keeps them all away.
func TestCheck(t *testing.T) {
	run := func(field string, change func(r *load.Report)) {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			r := &load.Report{
				Instance:           "i-1",
				Host:               "host-1",
				Running:            3,
				Waiting:            2,
				Service:            20 * time.Millisecond,
				CompletedPerSecond: 100,
				StartedMs:          1,
			}
			is.NoErr(r.Check("i-1"))
			change(r)
			err := r.Check("i-1")
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), field))
			is.True(strings.Contains(err.Error(), "host-1"))
		})
	}
	run("instance", func(r *load.Report) { r.Instance = "i-2" })
	run("running", func(r *load.Report) { r.Running = -1 })
	run("running", func(r *load.Report) { r.Running = math.MaxUint32 })
	run("waiting", func(r *load.Report) { r.Waiting = math.MaxUint32 })
	run("service_us", func(r *load.Report) { r.Service = math.MaxUint32 * time.Microsecond })
	run("completed_per_s", func(r *load.Report) { r.CompletedPerSecond = math.MaxUint32 })
	run("started_ms", func(r *load.Report) { r.StartedMs = -1 })
}
