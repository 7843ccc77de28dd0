package place_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/place"
	"wasabislip.example/wasabislip/pkg/model/centre"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

func hosts(n int) []host.Host {
	var list []host.Host
	for i := range n {
		list = append(list, host.Host{
			Name:       fmt.Sprintf("entry-%d", i),
			DataCentre: fmt.Sprintf("dc-%d", i%3),
			State:      host.Alive,
		})
	}
	return list
}

func key(i int) string {
	return fmt.Sprintf("database/swap-ledger-%d", i)
}

func TestPlacer(t *testing.T) {
	t.Run("a dead host moves only its own keys", func(t *testing.T) {
		is := is.New(t)
		before := &place.Placer{}
		before.Update(hosts(9), nil)
		after := &place.Placer{}
		list := hosts(9)
		list[4].State = host.Dead
		after.Update(list, nil)
		for i := range 200 {
			was := before.Candidates(key(i), "")
			now := after.Candidates(key(i), "")
			if was[0] == "entry-4" {
				is.Equal(now[0], was[1])
			} else {
				is.Equal(now[0], was[0])
			}
		}
	})
	t.Run("the preferred data centre comes first, drained hosts and data centres never", func(t *testing.T) {
		is := is.New(t)
		p := &place.Placer{}
		p.Update(hosts(9), nil)
		is.True(p.Candidates(key(1), "dc-1")[2] != "")
		for _, name := range p.Candidates(key(1), "dc-1") {
			is.True(name == "entry-1" || name == "entry-4" || name == "entry-7")
		}
		p.Update(hosts(9), &spec.Spec{
			DataCentres: []centre.Centre{{
				Name:    "dc-1",
				Drained: true,
			}},
			DrainedHosts: []string{"entry-0", "entry-3"},
		})
		for i := range 200 {
			for _, name := range p.Candidates(key(i), "dc-1") {
				is.True(name != "entry-1" && name != "entry-4" && name != "entry-7")
				is.True(name != "entry-0" && name != "entry-3")
			}
		}
	})
	t.Run("without hosts there are no candidates", func(t *testing.T) {
		is.New(t).Equal(len((&place.Placer{}).Candidates(key(1), "")), 0)
	})
	t.Run("keys spread evenly", func(t *testing.T) {
		is := is.New(t)
		p := &place.Placer{}
		p.Update(hosts(9), nil)
		keysByHost := map[string]int{}
		for i := range 9000 {
			keysByHost[p.Candidates(key(i), "")[0]]++
		}
		for _, n := range keysByHost {
			is.True(n > 850 && n < 1150)
		}
	})
}

func BenchmarkCandidates(b *testing.B) {
	p := &place.Placer{}
	p.Update(hosts(590), nil)
	b.Run("cached", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			p.Candidates("database/swap-ledger-1", "dc-1")
		}
	})
	b.Run("uncached", func(b *testing.B) {
		b.ReportAllocs()
		keys := make([]string, b.N)
		for i := range keys {
			keys[i] = key(i)
		}
		b.ResetTimer()
		for _, k := range keys {
			p.Candidates(k, "dc-1")
		}
	})
}
