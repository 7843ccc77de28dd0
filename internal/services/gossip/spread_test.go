package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/services/gossip"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

// emptySources stands for a host without services, whose 74 workspaces have no
// demand.
type emptySources struct{}

func (emptySources) Questions(bool) []*wasabislipv1.ServiceReport { return nil }
func (emptySources) Outdated(time.Duration) []string              { return nil }
func (emptySources) Reports([]*wasabislipv1.ServiceReport) []*wasabislipv1.ServiceReport {
	return nil
}

func (emptySources) PeerHasNewerLease([]*wasabislipv1.ServiceReport) bool {
	return false
}

func (emptySources) MergeReports([]*wasabislipv1.ServiceReport, time.Duration) {}
func (emptySources) UnreachableServices(time.Duration) []string                { return nil }
func (emptySources) ServicesInTransaction() []string                           { return nil }
func (emptySources) Demands() (demands []byte, version uint64)                 { return make([]byte, 74), 1 }
func (emptySources) Rank(string) int                                           { return 0 }
func (emptySources) Joining() bool                                             { return false }

// BenchmarkSpread measures the answer to one exchange, for fleets of several
// sizes, with 74 workspaces.
func BenchmarkSpread(b *testing.B) {
	for _, hosts := range []int{9, 64, 300, 590} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			m := mirror.New(nil, nil, emptySources{}, "op", "servers")
			g := gossip.New(host.Host{
				Name:       "self",
				Address:    "10.1.0.1:8462",
				DataCentre: "a",
			}, nil, m, emptySources{}, emptySources{}, nil)
			k := &wasabislipv1.Knowledge{}
			for i := range hosts - 1 {
				k.Hosts = append(k.Hosts, &wasabislipv1.HostReport{
					Name:       fmt.Sprintf("edge-a-%d", i),
					Address:    fmt.Sprintf("10.1.%d.%d:8462", i/250, i%250),
					RunAddress: fmt.Sprintf("10.1.%d.%d:7560", i/250, i%250),
					DataCentre: "a",
					Sequence:   1,
					Demands:    make([]byte, 74),
				})
			}
			spread(b, g, k)
			size := 0
			for b.Loop() {
				size = proto.Size(spread(b, g, &wasabislipv1.Knowledge{
					Hosts: k.GetHosts()[:1],
				}))
			}
			b.ReportMetric(float64(size), "B/answer")
		})
	}
}

func spread(b *testing.B, g *gossip.Gossip, k *wasabislipv1.Knowledge) *wasabislipv1.SpreadResponse {
	b.Helper()
	r, err := g.Spread(context.Background(), connect.NewRequest(&wasabislipv1.SpreadRequest{
		From:      "edge-a-0",
		Knowledge: k,
	}))
	if err != nil {
		b.Fatal(err)
	}
	return r.Msg
}
