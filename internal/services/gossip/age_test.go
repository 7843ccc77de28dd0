package gossip_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/uptime"
)

func TestReportFromBeforeStart(t *testing.T) {
	t.Run("a host that fell silent before this process started does not count as alive from then on", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			uptime.Restart()
			g := newGossip()
			received := uptime.Now()
			is.NoErr(sendSpread(g, &wasabislipv1.SpreadRequest{
				From: "other",
				Knowledge: &wasabislipv1.Knowledge{
					Hosts: []*wasabislipv1.HostReport{{
						Name:  "silent",
						AgeMs: 2000,
					}},
				},
			}))
			is.Equal(g.OldestReport(), 2*time.Second+uptime.Now()-received)
			time.Sleep(time.Second)
			is.Equal(g.OldestReport(), time.Duration(0)) // none is alive
		})
	})
}
