// Package views holds this host's views of all services, and exchanges what they
// know of the primaries with other hosts.
package views

import (
	"cmp"
	"maps"
	"math/rand/v2"
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
	// usedFor is how long after a caller's statement a host of a large fleet asks the
	// others for a service's reports, askedFor how long a reader or hub keeps the
	// position up to date for it: several exchanges.
	usedFor  = 5 * time.Second
	askedFor = 2 * time.Second
	// maxQuestions bounds the services in a request of a large fleet: with their
	// reports they take some 6 KB, and a leaf makes three requests a second.
	maxQuestions = 100
	// usefulFor is the age up to which a report is told: positions are kept for 4 s,
	// and leases and silence are shorter.
	usefulFor = 4 * time.Second
)

// Views holds the views by service. It is safe for concurrent use.
type Views struct {
	newView func(service string) *dbview.View

	mu    sync.Mutex
	views map[string]*dbview.View
	// sorted are the views by service; nil after a new one.
	sorted []*dbview.View
	// asked is when another host last asked for a service.
	asked map[string]time.Duration
}

// New returns a set of views. newView creates the view of a service.
func New(newView func(service string) *dbview.View) *Views {
	return &Views{
		newView: newView,
		views:   map[string]*dbview.View{},
		asked:   map[string]time.Duration{},
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
		vs.sorted = nil
	}
	return v
}

// all returns the views sorted by service. The list must not be changed.
func (vs *Views) all() []*dbview.View {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	if vs.sorted == nil {
		vs.sorted = slices.SortedFunc(maps.Values(vs.views), func(a, b *dbview.View) int {
			return cmp.Compare(a.Service(), b.Service())
		})
	}
	return vs.sorted
}

// Questions returns what a request to another host asks and tells: the services whose
// reports are to be in the answer, and the leases that were renewed by the replicas
// lately. These are all services in a small fleet (all), and otherwise those that this
// host's callers use, at most maxQuestions, and those whose lease the store did not renew
// or whose primary this host can't reach. What others ask for here is not asked on: two
// hosts would keep asking each other.
func (vs *Views) Questions(all bool) []*wasabislipv1.ServiceReport {
	now := uptime.Now()
	var list, asked []*wasabislipv1.ServiceReport
	for _, v := range vs.all() {
		r := &wasabislipv1.ServiceReport{
			Service: v.Service(),
		}
		if id, asOf := v.LastLeaseRenewal(); asOf > 0 && now-asOf < dbview.Lease {
			r.Primary = id
			r.ProofMs = age(now, asOf)
			list = append(list, r)
			continue
		}
		if _, failing := v.UnreachableSince(); failing || v.LeaseAge() > renewalAge {
			list = append(list, r)
			continue
		}
		if all || now-v.LastUse() < usedFor {
			asked = append(asked, r)
		}
	}
	if !all && len(asked) > maxQuestions {
		rand.Shuffle(len(asked), func(i, j int) {
			asked[i], asked[j] = asked[j], asked[i]
		})
		asked = asked[:maxQuestions]
	}
	return append(list, asked...)
}

// Outdated returns the services that other hosts ask for here, or that this host's
// callers use, and whose newest position is older than limit: the one with the oldest
// first.
func (vs *Views) Outdated(limit time.Duration) []string {
	now := uptime.Now()
	type outdated struct {
		service string
		asked   time.Duration
	}
	var list []outdated
	for _, v := range vs.all() {
		if now-v.LastUse() >= usedFor && now-vs.lastAsked(v.Service()) >= askedFor {
			continue
		}
		if asked, _, ok := v.NewestPosition(); !ok || now-asked > limit {
			list = append(list, outdated{
				service: v.Service(),
				asked:   asked,
			})
		}
	}
	slices.SortFunc(list, func(a, b outdated) int {
		return cmp.Compare(a.asked, b.asked)
	})
	names := make([]string, 0, len(list))
	for _, o := range list {
		names = append(names, o.service)
	}
	return names
}

// lastAsked returns when another host last asked this one for a service.
func (vs *Views) lastAsked(service string) time.Duration {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	return vs.asked[service]
}

// Reports returns what is known of the primaries of the services that a request of
// another host names. Those of which nothing is known that is of use are left out.
func (vs *Views) Reports(questions []*wasabislipv1.ServiceReport) []*wasabislipv1.ServiceReport {
	now := uptime.Now()
	var list []*wasabislipv1.ServiceReport
	for _, q := range questions {
		v, ok := vs.noteAsked(q.GetService(), now)
		if !ok {
			continue
		}
		if r := report(v, now); r != nil {
			list = append(list, r)
		}
	}
	return list
}

// noteAsked notes that another host asked for a service, and returns its view.
func (vs *Views) noteAsked(service string, now time.Duration) (*dbview.View, bool) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	v, ok := vs.views[service]
	if ok {
		vs.asked[service] = now
	}
	return v, ok
}

// report returns what is known of a service's primary; nil if none of it is newer than
// usefulFor.
func report(v *dbview.View, now time.Duration) *wasabislipv1.ServiceReport {
	l, _ := v.Leader()
	asked, p, _ := v.NewestPosition()
	answered := v.LastAnswer(l.Primary)
	id, renewed := v.LastLeaseRenewal()
	if id != l.Primary {
		renewed = 0
	}
	if latest := max(asked, answered, renewed); latest == 0 || now-latest >= usefulFor {
		return nil
	}
	return &wasabislipv1.ServiceReport{
		Service:    v.Service(),
		Primary:    l.Primary,
		Term:       p.Term,
		Offset:     p.Offset,
		AskedMs:    age(now, asked),
		AnsweredMs: age(now, answered),
		ProofMs:    age(now, renewed),
	}
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
