package quota

import (
	"context"
	"time"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
)

// demandAge is how long the demand counts after the last sample began.
const demandAge = time.Second

// Workspaces returns the status of the workspaces that this host is a home of, or
// got statements of within the last second. Used is the number of statements a
// second on this host.
func (q *Quota) Workspaces(context.Context) []*wasabislipv1.WorkspaceStatus {
	now := time.Now()
	var list []*wasabislipv1.WorkspaceStatus
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if one := q.status(e, now); one != nil {
				list = append(list, one)
			}
		}
		s.mu.Unlock()
	}
	return list
}

// status returns the status of one workspace; nil if the host is no home of it and
// got no statements lately. The caller holds the shard's lock.
func (q *Quota) status(e *entry, now time.Time) *wasabislipv1.WorkspaceStatus {
	one := &wasabislipv1.WorkspaceStatus{
		Workspace: e.workspace,
		Rate:      e.rate,
		Burst:     e.burst,
	}
	if now.Sub(e.demand.sampleStart) < demandAge {
		one.Used = e.demand.perSecond
	}
	for k := range e.parts {
		if e.active(k) && e.parts[k].bucket != nil {
			one.Home = q.self
		}
	}
	if !e.known || (one.GetUsed() == 0 && one.GetHome() == "") {
		return nil
	}
	return one
}
