package gossip_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/services/gossip"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/platform/decode"
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

// BenchmarkMessages measures what hosts of a fleet send each other: the list of hosts,
// beats with their hashes in its place (8 of 11 bytes a host), and the rows of the
// instances. The sizes are those of the whole answer. Reports are recent for some 1.2 s.
func BenchmarkMessages(b *testing.B) {
	for _, size := range []struct{ hosts, instances int }{{30, 60}, {300, 600}, {590, 3300}} {
		for kind, tables := range map[string][]*wasabislipv1.Table{
			"list":                {{Name: mirror.Servers, Version: serversVersion}},
			"beats":               {{Name: "beats"}, {Name: mirror.Servers, Version: serversVersion}},
			"beats-and-instances": {{Name: "beats"}, {Name: mirror.Servers}},
		} {
			b.Run(fmt.Sprintf("%d-hosts/%s", size.hosts, kind), func(b *testing.B) {
				g := newFleet(b, size.hosts, size.instances)
				time.Sleep(1600 * time.Millisecond) // reports count as changed for 1.5 s
				k := &wasabislipv1.Knowledge{
					AcceptsPacked: true,
					Tables:        tables,
				}
				bytes := 0
				for b.Loop() {
					bytes = max(bytes, proto.Size(spread(b, g, k)))
				}
				b.ReportMetric(float64(bytes), "B/answer")
			})
		}
	}
}

const serversVersion = 600_000

// newFleet returns a host that has heard of the others and of all instances.
func newFleet(b *testing.B, hosts, instances int) *gossip.Gossip {
	b.Helper()
	m := mirror.New(nil, decode.Decoder{}, emptySources{}, "op", "servers")
	g := gossip.New(host.Host{
		Name:       "edge-daejeon-a-0",
		Address:    "10.1.0.1:8462",
		DataCentre: "a",
	}, nil, m, emptySources{}, emptySources{}, nil)
	k := &wasabislipv1.Knowledge{}
	for i := 1; i < hosts; i++ {
		k.Hosts = append(k.Hosts, &wasabislipv1.HostReport{
			Name:        fmt.Sprintf("edge-daejeon-%c-%d", 'a'+i%3, i),
			Address:     fmt.Sprintf("10.1.%d.%d:8462", i/250, i%250),
			RunAddress:  fmt.Sprintf("10.1.%d.%d:7560", i/250, i%250),
			DataCentre:  string(rune('a' + i%3)),
			Incarnation: 1_764_800_000_000 + uint64(i*7919%5000),
			Sequence:    uint64(1000 + i*31%97),
			Seen:        uint64(500_000 - i*13%700),
			Demands:     make([]byte, 140),
		})
	}
	spread(b, g, k)
	var rows []tuple.Tuple
	for i := range instances {
		rows = append(rows, tuple.Tuple{
			Key:     fmt.Sprintf("db-%d-%d", i/3, i%3),
			Value:   fmt.Appendf(nil, `{"service":"s-%d","address":"10.128.%d.%d:8080","zone":"%c","capacity":3,"state":"ready","db_role":"replica","sequence":%d,"born":%d}`, i/3, i/250, i%250, 'a'+i%3, 100+i*17%50, 1_764_800_000_000+i*7919%5000),
			Version: uint64(500_000 + i),
		})
	}
	m.Replace(mirror.Servers, rows, serversVersion, 1)
	return g
}
