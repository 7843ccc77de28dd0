// Package gather gathers the status of all hosts for operators: which databases
// and workspaces each of them serves.
package gather

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc/pool"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// Limits of one call to Gather. It sends one message to each host, so that 590
// hosts cost 590 messages and, when all answer in 5 ms, 0.1 s.
const (
	// MaxConcurrent is how many hosts are asked at once.
	MaxConcurrent = 32
	// HostTimeout bounds the answer of one host.
	HostTimeout = 500 * time.Millisecond
	// Timeout bounds the whole call; hosts that were not asked by then are left
	// out.
	Timeout = 5 * time.Second
)

// fleet lists the hosts.
type fleet interface {
	Self() host.Host
	Hosts() []host.Host
}

// clients returns clients of other hosts' admin service.
type clients interface {
	Admin(address string) wasabislipv1connect.AdminServiceClient
}

// Gatherer merges the status reports of all hosts.
type Gatherer struct {
	fleet   fleet
	clients clients
}

// New returns a gatherer for the hosts of the fleet.
func New(f fleet, c clients) *Gatherer {
	return &Gatherer{
		fleet:   f,
		clients: c,
	}
}

// Gather adds the status of the other hosts that answer to own, the status of
// this host.
func (g *Gatherer) Gather(ctx context.Context, own *v1.StatusResponse) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	self := g.fleet.Self().Name
	reports := []*v1.StatusResponse{own}
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(MaxConcurrent)
	for _, h := range g.fleet.Hosts() {
		if h.Name == self || !h.Reachable() {
			continue
		}
		p.Go(func() {
			report := g.fetch(ctx, h.Address)
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, report)
		})
	}
	p.Wait()
	own.Databases, own.Workspaces = mergeDatabases(reports), mergeWorkspaces(reports)
}

// fetch returns a host's report, or an empty one when the host does not answer.
func (g *Gatherer) fetch(ctx context.Context, address string) *v1.StatusResponse {
	ctx, cancel := context.WithTimeout(ctx, HostTimeout)
	defer cancel()
	resp, err := g.clients.Admin(address).Status(ctx, connect.NewRequest(&v1.StatusRequest{
		Local: true,
	}))
	if err != nil {
		return &v1.StatusResponse{}
	}
	return resp.Msg
}

// mergeDatabases returns one report for each database: that of the latest term.
func mergeDatabases(reports []*v1.StatusResponse) []*v1.DatabaseStatus {
	latest := map[string]*v1.DatabaseStatus{}
	for _, r := range reports {
		for _, d := range r.GetDatabases() {
			if known := latest[d.GetDatabase()]; known == nil || d.GetTerm() > known.GetTerm() {
				latest[d.GetDatabase()] = d
			}
		}
	}
	list := make([]*v1.DatabaseStatus, 0, len(latest))
	for _, d := range latest {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *v1.DatabaseStatus) int {
		return cmp.Compare(a.GetDatabase(), b.GetDatabase())
	})
	return list
}

// mergeWorkspaces returns one report for each workspace, with the sum of its use
// on all hosts and the names of all its homes: the hosts that own the token
// buckets of its rate.
func mergeWorkspaces(reports []*v1.StatusResponse) []*v1.WorkspaceStatus {
	sums := map[string]*v1.WorkspaceStatus{}
	homes := map[string][]string{}
	for _, r := range reports {
		for _, w := range r.GetWorkspaces() {
			sum := sums[w.GetWorkspace()]
			if sum == nil {
				sum = &v1.WorkspaceStatus{
					Workspace: w.GetWorkspace(),
				}
				sums[w.GetWorkspace()] = sum
			}
			sum.Rate = max(sum.GetRate(), w.GetRate())
			sum.Burst = max(sum.GetBurst(), w.GetBurst())
			sum.Used += w.GetUsed()
			if w.GetHome() != "" {
				homes[w.GetWorkspace()] = append(homes[w.GetWorkspace()], w.GetHome())
			}
		}
	}
	list := make([]*v1.WorkspaceStatus, 0, len(sums))
	for name, sum := range sums {
		slices.Sort(homes[name])
		sum.Home = strings.Join(homes[name], ",")
		list = append(list, sum)
	}
	slices.SortFunc(list, func(a, b *v1.WorkspaceStatus) int {
		return cmp.Compare(a.GetWorkspace(), b.GetWorkspace())
	})
	return list
}
