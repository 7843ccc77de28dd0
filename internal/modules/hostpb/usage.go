package hostpb

import (
	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/usage"
)

// UsageToProto returns counts of requests as a protobuf message; nil without counts.
func UsageToProto(m *usage.Message) *wasabislipv1.UsageCounts {
	if m == nil {
		return nil
	}
	counts := &wasabislipv1.UsageCounts{
		From:        m.From,
		Incarnation: m.Incarnation,
	}
	for _, c := range m.Windows {
		counts.Windows = append(counts.Windows, &wasabislipv1.UsageWindow{
			Window: c.Window,
			Counts: c.Counts,
		})
	}
	return counts
}

// UsageFromProto returns the counts of requests in a protobuf message; nil without
// one.
func UsageFromProto(counts *wasabislipv1.UsageCounts) *usage.Message {
	if counts == nil {
		return nil
	}
	m := &usage.Message{
		From:        counts.GetFrom(),
		Incarnation: counts.GetIncarnation(),
	}
	for _, w := range counts.GetWindows() {
		m.Windows = append(m.Windows, usage.Content{
			Window: w.GetWindow(),
			Counts: w.GetCounts(),
		})
	}
	return m
}
