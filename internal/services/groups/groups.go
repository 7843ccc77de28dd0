// Package groups holds the views of all services, and reports them to other
// hosts.
package groups

import (
	"slices"
	"sync"
	"time"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	// proofWanted is the age of a lease from which a newer proof is fetched:
	// the store usually renews it sooner.
	proofWanted = time.Second
	// proofStep is how much newer a proof is at least to be fetched, so that
	// hosts that learn from each other come to an end.
	proofStep = 200 * time.Millisecond
)

// Groups are the views by service. It is safe for concurrent use.
type Groups struct {
	view func(service string) *dbview.View

	mu    sync.Mutex
	views map[string]*dbview.View
}

// New returns groups that make each service's view by view.
func New(view func(service string) *dbview.View) *Groups {
	return &Groups{
		view:  view,
		views: map[string]*dbview.View{},
	}
}

// View returns the view of a service.
func (g *Groups) View(service string) *dbview.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v, ok := g.views[service]
	if !ok {
		v = g.view(service)
		g.views[service] = v
	}
	return v
}

// all returns the views in the order of their services.
func (g *Groups) all() []*dbview.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*dbview.View, 0, len(g.views))
	for _, v := range g.views {
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

// Reports tells what is known of each service's primary.
func (g *Groups) Reports() []*wasabislipv1.ServiceReport {
	now := uptime.Now()
	var list []*wasabislipv1.ServiceReport
	for _, v := range g.all() {
		l, _ := v.Leading()
		asked, p, _ := v.Newest()
		r := &wasabislipv1.ServiceReport{
			Service:    v.Service(),
			Primary:    l.Primary,
			Term:       p.Term,
			Offset:     p.Offset,
			AskedMs:    age(now, asked),
			AnsweredMs: age(now, v.LastAnswer(l.Primary)),
		}
		if id, asOf := v.Proof(); id == l.Primary {
			r.ProofMs = age(now, asOf)
		}
		list = append(list, r)
	}
	return list
}

// age rounds up, so that nothing seems newer than it is. Zero means unknown.
func age(now, then time.Duration) uint64 {
	if then == 0 {
		return 0
	}
	return uint64((now-then)/time.Millisecond) + 1
}

// Learn takes the reports of another host that were sent no earlier than at
// since. The other host held the lease when it learned what it reports.
func (g *Groups) Learn(list []*wasabislipv1.ServiceReport, since time.Duration) {
	for _, r := range list {
		v := g.View(r.GetService())
		p := logpos.Position{
			Term:   r.GetTerm(),
			Offset: r.GetOffset(),
		}
		if r.GetAskedMs() == 0 {
			p = logpos.Position{}
		}
		v.Heard(r.GetPrimary(), moment(since, r.GetAskedMs()), p, moment(since, r.GetAnsweredMs()))
		if r.GetProofMs() > 0 {
			v.Proven(r.GetPrimary(), moment(since, r.GetProofMs()))
		}
	}
}

// Behind reports whether another host, which sent its reports unasked, says that
// it has a newer proof of a primary whose lease grows old here. What was sent
// unasked may have been held up, so that the proof counts only once asked for.
func (g *Groups) Behind(list []*wasabislipv1.ServiceReport) bool {
	now := uptime.Now()
	for _, r := range list {
		if r.GetProofMs() == 0 {
			continue
		}
		v := g.View(r.GetService())
		l, _ := v.Leading()
		age := v.LeaseAge()
		newer := moment(now, r.GetProofMs()) > now-age+proofStep
		if l.Primary == r.GetPrimary() && age > proofWanted && newer {
			return true
		}
	}
	return false
}

func moment(since time.Duration, age uint64) time.Duration {
	if age == 0 {
		return 0
	}
	return since - time.Duration(age)*time.Millisecond
}

// Unreachable returns the services whose primary this host has failed to reach
// for longer than limit.
func (g *Groups) Unreachable(limit time.Duration) []string {
	now := uptime.Now()
	var list []string
	for _, v := range g.all() {
		if since, ok := v.Unreachable(); ok && now-since > limit {
			list = append(list, v.Service())
		}
	}
	return list
}

// Unfinished returns the services with transactions open on their primary.
func (g *Groups) Unfinished() []string {
	var list []string
	for _, v := range g.all() {
		if v.Unfinished() {
			list = append(list, v.Service())
		}
	}
	return list
}
