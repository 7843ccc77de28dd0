package enroll_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/enroll"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// TestRemoval guards against a primary that is replaced while a host uses it whose
// registration is gone: only registered hosts are waited for. A suspended host keeps
// the leases of the last copy before.
func TestRemoval(t *testing.T) {
	run(t, "a registration is removed a lease after its suspension at the earliest", func(is *is.I, f *fleet, _ *enroll.Registrar) {
		const gone = 7
		f.silence(gone, gone+1)
		suspended := f.await(is, func(h host.Host, ok bool) bool {
			return ok && h.State == host.Suspect
		}, gone)
		removed := f.await(is, func(_ host.Host, ok bool) bool {
			return !ok
		}, gone)
		is.True(removed-suspended >= dbview.Lease)
	})
}

// await waits until a host's row is as wanted, and returns when it was.
func (f *fleet) await(is *is.I, wanted func(h host.Host, ok bool) bool, i int) time.Duration {
	is.Helper()
	const patience = time.Minute
	for limit := uptime.Now() + patience; uptime.Now() < limit; time.Sleep(time.Millisecond) {
		h, ok := f.Registered()[name(i)]
		if wanted(h, ok) {
			return uptime.Now()
		}
	}
	is.Fail() // the row did not become as wanted
	return 0
}
