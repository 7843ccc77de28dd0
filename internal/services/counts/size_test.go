package counts_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/task"
	"wasabislip.example/wasabislip/internal/models/usage"
	"wasabislip.example/wasabislip/internal/modules/hostpb"
	"wasabislip.example/wasabislip/internal/services/counts"
)

// size counts bytes.
type size int

func (s *size) Write(p []byte) (int, error) {
	*s += size(len(p))
	return len(p), nil
}

// BenchmarkMessage measures the size of a message with the counts of some workspaces,
// and tells how many a second the holder gets in fleets of several sizes.
func BenchmarkMessage(b *testing.B) {
	for _, hosts := range []int{9, 76, 590} {
		for _, workspaces := range []int{1, 10, 74} {
			b.Run(fmt.Sprintf("hosts=%d/workspaces=%d", hosts, workspaces), func(b *testing.B) {
				c := usage.Content{
					Window: 353445120,
					Counts: map[string]uint64{},
				}
				for i := range workspaces {
					c.Counts[fmt.Sprintf("workspace%d", i)] = 1200
				}
				m := &usage.Message{
					From:        "edge-daejeon-a-1",
					Incarnation: 1796400000000,
					Windows:     []usage.Content{c},
				}
				interval := counts.Interval(hosts, m.Size()).Seconds()
				var sent size
				for b.Loop() {
					sent = 0
					if _, err := protodelim.MarshalTo(&sent, &wasabislipv1.Errand{
						Kind:      task.Usage,
						TimeoutMs: 1000,
						Usage:     hostpb.UsageToProto(m),
					}); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(sent), "B/message")
				b.ReportMetric(float64(hosts)/interval, "messages/s")
				b.ReportMetric(2*float64(sent)/interval, "B/s/host")
				b.ReportMetric(float64(sent)*float64(hosts)/interval, "B/s/holder")
			})
		}
	}
}
