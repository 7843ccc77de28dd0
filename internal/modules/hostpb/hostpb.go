// Package hostpb converts hosts to and from protobuf.
package hostpb

import (
	"time"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// ToProto returns the hosts of list as protobuf messages.
func ToProto(list []host.Host) []*wasabislipv1.HostState {
	states := make([]*wasabislipv1.HostState, 0, len(list))
	for _, h := range list {
		states = append(states, &wasabislipv1.HostState{
			Host:          h.Name,
			Address:       h.Address,
			DataCentre:    h.DataCentre,
			Incarnation:   h.Incarnation,
			State:         h.State,
			ConfigVersion: h.ConfigVersion,
			StartedMs:     uint64(h.Started.UnixMilli()),
		})
	}
	return states
}

// FromProto returns the hosts that the protobuf messages describe.
func FromProto(states []*wasabislipv1.HostState) []host.Host {
	list := make([]host.Host, 0, len(states))
	for _, s := range states {
		list = append(list, host.Host{
			Name:          s.GetHost(),
			Address:       s.GetAddress(),
			DataCentre:    s.GetDataCentre(),
			Incarnation:   s.GetIncarnation(),
			State:         s.GetState(),
			ConfigVersion: s.GetConfigVersion(),
			Started:       time.UnixMilli(int64(s.GetStartedMs())),
		})
	}
	return list
}
