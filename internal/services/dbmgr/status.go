package dbmgr

import (
	"context"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/internal/models/view"
	"wasabislip.example/wasabislip/internal/services/coord"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// States of an instance towards operators.
const (
	stateLive    = "live"
	stateSilent  = "silent"
	stateDrained = "drained"
)

// DatabaseStatuses returns the status of each database that this host serves.
func (m *Manager) DatabaseStatuses(context.Context) []*v1.DatabaseStatus {
	var list []*v1.DatabaseStatus
	for _, name := range m.DatabaseNames() {
		if served := m.find(name); served != nil {
			list = append(list, databaseStatus(served.coordinator, m.placement.Self()))
		}
	}
	return list
}

func databaseStatus(c *coord.Coordinator, host string) *v1.DatabaseStatus {
	d := c.Database()
	one := &v1.DatabaseStatus{
		Database: d.Name,
		Steward:  host,
	}
	e := c.Epoch()
	if e == nil {
		return one
	}
	v := e.View()
	one.Term = e.Term()
	one.Primary = d.Instances[v.Primary].Name
	for i := range d.Instances {
		r := &v.Quorum.Reports[i]
		one.Instances = append(one.Instances, &v1.InstanceStatus{
			Instance:    d.Instances[i].Name,
			DataCentre:  d.Instances[i].DataCentre,
			Role:        role(r),
			Received:    position(r.Received),
			Applied:     position(r.Applied),
			Connections: int64(c.Pool(i).Open()),
			State:       state(v, i),
			LagMs:       v.Lag[i].Milliseconds(),
		})
	}
	return one
}

func role(r *status.Status) string {
	if r.Role == "" {
		return status.None
	}
	return r.Role
}

func state(v *view.View, i int) string {
	switch {
	case !v.Live[i]:
		return stateSilent
	case v.Drained[i]:
		return stateDrained
	}
	return stateLive
}

func position(p logpos.Position) *v1.Position {
	return &v1.Position{
		Term:   p.Term,
		Offset: p.Offset,
	}
}
