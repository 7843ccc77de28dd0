package dbview_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/enroll"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	service = "ledger"
	primary = "i-1"
)

// noStore is a store that does not answer.
type noStore struct{}

var errNoStore = errors.New("the store does not answer")

func (noStore) Read(context.Context, string) ([]tuple.Tuple, uint64, error) {
	return nil, 0, errNoStore
}

func (noStore) Watch(context.Context, string, uint64, time.Duration) ([]tuple.Tuple, uint64, error) {
	return nil, 0, errNoStore
}

func (noStore) Write(context.Context, []tuple.Tuple, []tuple.Tuple, []tuple.Tuple) (uint64, error) {
	return 0, errNoStore
}

// onePrimary decodes every row as the primary of one service.
type onePrimary struct{}

func (onePrimary) IsPolicy(string) bool                  { return false }
func (onePrimary) Evacuated(string) (string, bool)       { return "", false }
func (onePrimary) Policy([]byte) (*policy.Policy, error) { return nil, errNoStore }

func (onePrimary) Server(id string, _ []byte) (server.Server, error) {
	return server.Server{
		ID:      id,
		Service: service,
		Primary: true,
	}, nil
}

// noFleet is the fleet as a host sees it that has heard of no other.
type noFleet struct{}

func (noFleet) Alive() []host.Host { return nil }
func (noFleet) Rank(string) int    { return 0 }
func (noFleet) Joining() bool      { return false }

// process is a host's process that has just started, while another host's copies of
// the tables still name the registration of the process before it.
type process struct {
	is     *is.I
	mirror *mirror.Mirror
	view   *dbview.View
}

func startProcess(t *testing.T) *process {
	uptime.Restart()
	p := &process{
		is:     is.New(t),
		mirror: mirror.New(noStore{}, onePrimary{}, noFleet{}, "operators", "servers"),
	}
	self := host.Host{
		Name:    "host-1",
		Address: "10.0.0.1:7000",
		State:   host.Alive,
	}
	p.view = dbview.New(service, "dc-a", mirror.Fleet, p.mirror, enroll.New(self, p.mirror, noStore{}, noFleet{}))
	return p
}

// join takes another host's copies, which were the newest state age ago.
func (p *process) join(age time.Duration, version uint64) {
	asOf := uptime.Now() - age
	row, err := mirror.Registration(host.Host{
		Name:    "host-1",
		Address: "10.0.0.1:7000",
		State:   host.Alive,
	})
	p.is.NoErr(err)
	row.Version = version
	p.mirror.Replace(mirror.Servers, []tuple.Tuple{{
		Key:     primary,
		Version: version,
	}}, version, asOf)
	p.mirror.Replace(mirror.Fleet, []tuple.Tuple{row}, version, asOf)
}

// confirm learns that the copy of the fleet table was still the newest state age ago.
func (p *process) confirm(age time.Duration) {
	digest, version, _ := p.mirror.Digest(mirror.Fleet)
	p.mirror.Confirm(mirror.Fleet, digest, version, uptime.Now()-age)
}

func (p *process) checkLease(held bool) {
	p.is.Helper()
	_, reason := p.view.Primary()
	if held {
		p.is.Equal(reason, "")
		return
	}
	p.is.Equal(reason, "lease-expired")
}

func TestLeaseAfterRestart(t *testing.T) {
	run := func(name string, script func(p *process)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				script(startProcess(t))
			})
		})
	}
	const sinceStart = 40 * time.Millisecond
	run("a copy older than a lease gives none", func(p *process) {
		time.Sleep(sinceStart)
		p.join(dbview.Lease+time.Second, 22)
		p.checkLease(false)
		p.is.True(p.mirror.Age(mirror.Fleet) > dbview.Lease)
	})
	run("a copy from before the start gives no lease", func(p *process) {
		time.Sleep(sinceStart)
		p.join(time.Second, 22)
		p.checkLease(false)
	})
	run("an older confirmation gives no lease", func(p *process) {
		time.Sleep(sinceStart)
		p.join(dbview.Lease+time.Second, 22)
		p.confirm(dbview.Lease)
		p.checkLease(false)
	})
	run("a renewal by the replicas before the start gives no lease", func(p *process) {
		time.Sleep(sinceStart)
		p.join(dbview.Lease+time.Second, 22)
		p.view.RenewLease(primary, uptime.Now()-time.Second)
		p.checkLease(false)
	})
	run("a first copy of an era that is not open gives no lease", func(p *process) {
		time.Sleep(sinceStart)
		p.join(time.Second, tuple.NewVersion(1, 22))
		p.checkLease(false)
	})
	run("a copy from after the start gives a lease", func(p *process) {
		time.Sleep(sinceStart)
		p.join(time.Second, 22)
		time.Sleep(sinceStart)
		p.confirm(time.Millisecond)
		p.checkLease(true)
		time.Sleep(dbview.Lease)
		p.checkLease(false)
	})
}
