// Package survey asks every host of the fleet what it serves, for operators.
package survey

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

// Bounds of one survey: one message a host, so that 590 hosts cost 590
// messages and, when all answer in 5 ms, 0.1 s.
const (
	// Width is how many hosts are asked at once.
	Width = 32
	// HostTimeout bounds the answer of one host.
	HostTimeout = 500 * time.Millisecond
	// Timeout bounds the survey; hosts not asked by then are left out.
	Timeout = 5 * time.Second
)

type fleet interface {
	Self() host.Host
	Hosts() []host.Host
}

type clients interface {
	Admin(address string) wasabislipv1connect.AdminServiceClient
}

// Survey joins the reports of all hosts.
type Survey struct {
	fleet   fleet
	clients clients
}

// New returns a survey of the fleet.
func New(f fleet, c clients) *Survey {
	return &Survey{
		fleet:   f,
		clients: c,
	}
}

// Ask adds to own, which this host serves, what the other hosts that answer
// serve.
func (s *Survey) Ask(ctx context.Context, own *v1.StatusResponse) {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	self := s.fleet.Self().Name
	reports := []*v1.StatusResponse{own}
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(Width)
	for _, h := range s.fleet.Hosts() {
		if h.Name == self || !h.Answers() {
			continue
		}
		p.Go(func() {
			report := s.fetch(ctx, h.Address)
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, report)
		})
	}
	p.Wait()
	own.Databases, own.Workspaces = mergeDatabases(reports), mergeWorkspaces(reports)
}

// one returns a host's report, or an empty one.
func (s *Survey) fetch(ctx context.Context, address string) *v1.StatusResponse {
	ctx, cancel := context.WithTimeout(ctx, HostTimeout)
	defer cancel()
	resp, err := s.clients.Admin(address).Status(ctx, connect.NewRequest(&v1.StatusRequest{
		Local: true,
	}))
	if err != nil {
		return &v1.StatusResponse{}
	}
	return resp.Msg
}

// databases returns one report a database: that of the latest term.
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

// workspaces adds the use on all hosts, and names all homes.
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
