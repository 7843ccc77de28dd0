// Package views holds this host's views of all services, and exchanges what they
// know of the primaries with other hosts.
package views

import (
	"maps"
	"slices"
	"sync"
	"time"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// renewalAge is the age of a lease from which it is renewed from another
	// host: the store usually renews it sooner.
	renewalAge = time.Second
	// minRenewalGain is how much newer the other host's lease has to be, so that
	// hosts do not fetch from each other without end.
	minRenewalGain = 200 * time.Millisecond
)

// Views holds the views by service. It is safe for concurrent use.
type Views struct {
	newView func(service string) *dbview.View

	mu    sync.Mutex
	views map[string]*dbview.View
}

// New returns a set of views. newView creates the view of a service.
func New(newView func(service string) *dbview.View) *Views {
	return &Views{
		newView: newView,
		views:   map[string]*dbview.View{},
	}
}

// View returns the view of a service, which it creates on first use.
func (vs *Views) View(service string) *dbview.View {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	v, ok := vs.views[service]
	if !ok {
		v = vs.newView(service)
		vs.views[service] = v
	}
	return v
}

// all returns the views sorted by service.
func (vs *Views) all() []*dbview.View {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	list := make([]*dbview.View, 0, len(vs.views))
	for _, v := range vs.views {
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *dbview.View) int {
		if a.Service() < b.Service() {
			return -1
		}
		return 1
	})
	return list
}

// Reports returns what is known of each service's primary, for other hosts.
func (vs *Views) Reports() []*wasabislipv1.ServiceReport {
	now := uptime.Now()
	var list []*wasabislipv1.ServiceReport
	for _, v := range vs.all() {
		l, _ := v.Leader()
		asked, p, _ := v.NewestPosition()
		r := &wasabislipv1.ServiceReport{
			Service:    v.Service(),
			Primary:    l.Primary,
			Term:       p.Term,
			Offset:     p.Offset,
			AskedMs:    age(now, asked),
			AnsweredMs: age(now, v.LastAnswer(l.Primary)),
		}
		if id, asOf := v.LastLeaseRenewal(); id == l.Primary {
			r.ProofMs = age(now, asOf)
		}
		list = append(list, r)
	}
	return list
}

// age returns the milliseconds since then, rounded up so that nothing seems newer
// than it is. Zero means unknown.
func age(now, then time.Duration) uint64 {
	if then == 0 {
		return 0
	}
	return uint64((now-then)/time.Millisecond) + 1
}

// MergeReports merges the reports of another host, which it made at since or
// later. The ages in the reports count from since, so that nothing seems newer
// than it is. The other host held the lease when it got to know what it reports.
func (vs *Views) MergeReports(list []*wasabislipv1.ServiceReport, since time.Duration) {
	for _, r := range list {
		v := vs.View(r.GetService())
		p := logpos.Position{
			Term:   r.GetTerm(),
			Offset: r.GetOffset(),
		}
		if r.GetAskedMs() == 0 {
			p = logpos.Position{}
		}
		v.RecordPeerReport(r.GetPrimary(), moment(since, r.GetAskedMs()), p, moment(since, r.GetAnsweredMs()))
		if r.GetProofMs() > 0 {
			v.RenewLease(r.GetPrimary(), moment(since, r.GetProofMs()))
		}
	}
}

// PeerHasNewerLease reports whether another host, which pushed its reports, claims
// a newer renewal of a lease that is getting old on this host. A pushed report
// may have been delayed on the way, so the renewal counts only after this host
// has requested the reports itself.
func (vs *Views) PeerHasNewerLease(list []*wasabislipv1.ServiceReport) bool {
	now := uptime.Now()
	for _, r := range list {
		if r.GetProofMs() == 0 {
			continue
		}
		v := vs.View(r.GetService())
		l, _ := v.Leader()
		leaseAge := v.LeaseAge()
		newer := moment(now, r.GetProofMs()) > now-leaseAge+minRenewalGain
		if l.Primary == r.GetPrimary() && leaseAge > renewalAge && newer {
			return true
		}
	}
	return false
}

// moment returns the time that is age milliseconds before since; zero if the age
// is unknown.
func moment(since time.Duration, age uint64) time.Duration {
	if age == 0 {
		return 0
	}
	return uptime.Before(since, age)
}

// UnreachableServices returns the services whose primary this host has failed to
// reach for longer than limit.
func (vs *Views) UnreachableServices(limit time.Duration) []string {
	now := uptime.Now()
	var list []string
	for _, v := range vs.all() {
		if since, ok := v.UnreachableSince(); ok && now-since > limit {
			list = append(list, v.Service())
		}
	}
	return list
}

// ServicesInTransaction returns the services with open transactions on their
// primary.
func (vs *Views) ServicesInTransaction() []string {
	var list []string
	for _, v := range vs.all() {
		if v.HasOpenTransactions() {
			list = append(list, v.Service())
		}
	}
	return list
}

// Sent returns how many statements this host sent to each registered instance.
func (vs *Views) Sent() map[string]int64 {
	sent := map[string]int64{}
	for _, v := range vs.all() {
		maps.Copy(sent, v.Sent())
	}
	return sent
}
