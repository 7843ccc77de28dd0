package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/gossip"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/internal/standin/memnet"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	fleetHosts = 40
	hubAddress = "10.1.0.1:8462"
	// beatsTable and full are the name and a field of the table that carries beats.
	beatsTable = "beats"
)

// hub is a host that answers the exchanges of another one, and what the others report.
type hub struct {
	*gossip.Gossip

	mu sync.Mutex
	// change changes an answer with beats; nil leaves it as it is.
	change func(t *wasabislipv1.Table)
	// lists and beats count the requests for lists of hosts and for beats.
	lists    int
	beats    int
	sequence uint64
}

// Spread answers an exchange.
func (h *hub) Spread(ctx context.Context, r *connect.Request[wasabislipv1.SpreadRequest]) (*connect.Response[wasabislipv1.SpreadResponse], error) {
	a, err := h.Gossip.Spread(ctx, r)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !r.Msg.GetWithoutHosts() {
		if findBeats(r.Msg.GetKnowledge().GetTables()) != nil {
			h.beats++
		} else {
			h.lists++
		}
	}
	if err == nil && h.change != nil {
		if t := findBeats(a.Msg.GetKnowledge().GetTables()); t != nil {
			h.change(t)
		}
	}
	return a, err
}

func findBeats(list []*wasabislipv1.Table) *wasabislipv1.Table {
	for _, t := range list {
		if t.GetName() == beatsTable {
			return t
		}
	}
	return nil
}

func (h *hub) count() (lists, beats int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lists, h.beats
}

// report makes the other hosts report once more, all with the same version of the fleet
// table. Those that are silent do not.
func (h *hub) report(silent int, version uint64) {
	h.sequence++
	k := &wasabislipv1.Knowledge{}
	for i := silent; i < fleetHosts; i++ {
		k.Hosts = append(k.Hosts, &wasabislipv1.HostReport{
			Name:        fmt.Sprintf("edge-a-%d", i),
			Address:     fmt.Sprintf("10.1.1.%d:8462", i+1),
			DataCentre:  "a",
			Incarnation: 7,
			Sequence:    h.sequence,
			Seen:        version,
		})
	}
	_ = sendSpread(h.Gossip, &wasabislipv1.SpreadRequest{
		Knowledge: k,
	})
}

// runLeaf runs a host of a large fleet. A hub answers at all addresses.
func runLeaf(t *testing.T, what string, script func(is *is.I, leaf *gossip.Gossip, h *hub)) {
	t.Run(what, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			uptime.Restart()
			network := memnet.New(time.Millisecond)
			create := func(name, address string, seeds []string) *gossip.Gossip {
				m := mirror.New(nil, nil, emptySources{}, "op", "servers")
				return gossip.New(host.Host{
					Name:       name,
					Address:    address,
					DataCentre: "a",
				}, seeds, m, emptySources{}, emptySources{}, func(ctx context.Context, protocol, _ string) (net.Conn, error) {
					return network.Dialer("10.1.0.2")(ctx, protocol, hubAddress)
				})
			}
			h := &hub{
				Gossip: create("edge-a-hub", hubAddress, nil),
			}
			l, err := network.Listen(hubAddress)
			is := is.New(t)
			is.NoErr(err)
			mux := http.NewServeMux()
			mux.Handle(wasabislipv1connect.NewGossipServiceHandler(h))
			server := &http.Server{
				Handler: mux,
			}
			h.report(0, 1)
			leaf := create("edge-a-leaf", "10.1.0.2:8462", []string{hubAddress})
			ctx, cancel := context.WithCancel(t.Context())
			var parts sync.WaitGroup
			parts.Go(func() { _ = server.Serve(l) })
			parts.Go(func() { leaf.Run(ctx) })
			defer func() {
				cancel()
				_ = server.Close()
				parts.Wait()
				time.Sleep(2 * time.Minute) // connections and timers end
			}()
			script(is, leaf, h)
		})
	})
}

func TestBeats(t *testing.T) {
	// follow makes the others report for a while, with rising versions.
	follow := func(h *hub, silent int, d time.Duration) (version uint64) {
		for start := uptime.Now(); uptime.Now()-start < d; time.Sleep(200 * time.Millisecond) {
			version = uint64(uptime.Now() / time.Millisecond)
			h.report(silent, version)
		}
		return version
	}
	runLeaf(t, "beats keep hosts alive and tell what they have applied", func(is *is.I, leaf *gossip.Gossip, h *hub) {
		follow(h, 0, 4*time.Second)
		lists, _ := h.count()
		version := follow(h, 0, 5*time.Second)
		again, beats := h.count()
		is.True(again-lists <= 1)
		is.True(beats >= 5)
		is.Equal(leaf.CountHeard(2*time.Second), fleetHosts+1)
		is.True(leaf.FleetVersion("edge-a-5") >= version-2000)
		is.True(leaf.FleetVersion("edge-a-5") <= version)
	})
	runLeaf(t, "a host that falls silent is noticed", func(is *is.I, leaf *gossip.Gossip, h *hub) {
		follow(h, 0, 4*time.Second)
		follow(h, 10, 5*time.Second)
		is.Equal(len(leaf.Alive()), fleetHosts+1-10)
	})
	for name, change := range map[string]func(t *wasabislipv1.Table){
		"beats of another number of hosts": func(t *wasabislipv1.Table) {
			t.PackedRows = append(t.PackedRows, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0)
		},
		"an unknown hash": func(t *wasabislipv1.Table) {
			t.Full = true
			t.PackedRows = make([]byte, 11)
		},
		"no beats": func(t *wasabislipv1.Table) {
			t.PackedRows = nil
		},
	} {
		runLeaf(t, name+" make the host ask for the list", func(is *is.I, leaf *gossip.Gossip, h *hub) {
			follow(h, 0, 4*time.Second)
			h.mu.Lock()
			h.change = change
			h.mu.Unlock()
			before, _ := h.count()
			follow(h, 0, 6*time.Second)
			after, _ := h.count()
			is.True(after-before >= 3)
			is.Equal(leaf.CountHeard(2500*time.Millisecond), fleetHosts+1)
		})
	}
	runLeaf(t, "a version of another era is ignored", func(is *is.I, leaf *gossip.Gossip, h *hub) {
		follow(h, 0, 4*time.Second)
		h.mu.Lock()
		h.change = func(t *wasabislipv1.Table) {
			t.Version = 1 << 62
		}
		h.mu.Unlock()
		version := follow(h, 0, 3*time.Second)
		is.True(leaf.FleetVersion("edge-a-5") <= version)
	})
}
