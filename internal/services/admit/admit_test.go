package admit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/services/admit"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// refuseAll is a rate limiter of workspaces that admits nothing.
type refuseAll struct{}

func (refuseAll) Admit(context.Context, string, int) error {
	return fault.New(fault.OverRate, "refused", "")
}

func TestController(t *testing.T) {
	t.Run("callers without a key have a rate of their own", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := admit.New(refuseAll{}, 10)
			for range 20 {
				is.NoErr(g.Admit(t.Context(), "", 1))
			}
			f := fault.As(g.Admit(t.Context(), "", 1))
			is.Equal(f.Kind, fault.OverRate)
			is.Equal(f.RetryAfter, 100*time.Millisecond)
			time.Sleep(f.RetryAfter)
			is.NoErr(g.Admit(t.Context(), "", 1))
		})
	})
	t.Run("a workspace is limited by its fleet-wide rate", func(t *testing.T) {
		is := is.New(t)
		is.True(fault.IsKind(admit.New(refuseAll{}, 10).Admit(t.Context(), "orchid", 1), fault.OverRate))
	})
}
