package fleet_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/pkg/model/host"
)

// fleetSizes are the sizes of fleet that TestGrowth compares; make slopes sets larger
// ones.
var fleetSizes = flag.String("fleet-sizes", growthSizes, "sizes of fleets to compare")

// lossyFleet is the size of TestLossyLinks.
var lossyFleet = flag.Int("lossy-fleet", 60, "size of the fleet with lossy links")

const (
	growthSettle = 70 * time.Second
	growthWindow = 15 * time.Second
	// dataCentres is the number of data centres, one of which is lost at once
	// with its share of the hosts.
	dataCentres = 9
	// maxDetection bounds the time until all hosts know of the loss.
	maxDetection = 12 * time.Second
	// detectionTimeout is how long the test waits for that.
	detectionTimeout = 16 * time.Second
	// listLimit bounds the reads a second of the platform's list of hosts by all
	// hosts: a hundredth of what the platform serves.
	listLimit = 20.0
	// growthLimit is the factor by which a larger fleet may exceed what is expected
	// from a smaller one.
	growthLimit = 1.15
)

// growth holds the measurements of one size of fleet.
type growth struct {
	size       int
	bytes      float64
	lists      float64
	cpu        time.Duration
	firstKnown time.Duration
	allKnown   time.Duration
}

// TestGrowth checks that a host's control traffic grows at most
// logarithmically with the fleet, and that the loss of a data centre is known
// in time at each size.
func TestGrowth(t *testing.T) {
	is := is.New(t)
	var before growth
	for _, text := range strings.Split(*fleetSizes, ",") {
		size, err := strconv.Atoi(text)
		is.NoErr(err)
		var g growth
		inBubble(t, fmt.Sprintf("%d hosts", size), func(t *testing.T) { g = measureGrowth(t, size) })
		t.Logf("membership: hosts=%d bytes-a-host-a-second=%.0f list-reads-a-second=%.1f cpu-us-a-host-a-second=%d data-centre-lost: first-known-dead=%s known-dead-by-all=%s", g.size, g.bytes, g.lists, g.cpu.Microseconds(), g.firstKnown, g.allKnown)
		is.True(g.allKnown < maxDetection)
		is.True(g.lists <= listLimit)
		if before.size > 0 {
			logarithmic := math.Log(float64(g.size)) / math.Log(float64(before.size))
			is.True(g.bytes <= before.bytes*logarithmic*growthLimit)
			t.Run("list-reads", func(t *testing.T) {
				is.New(t).True(g.lists <= before.lists*growthLimit)
			})
		}
		before = g
	}
}

func measureGrowth(t *testing.T, size int) growth {
	n := startHosts(t, size, growthSettle)
	g := growth{
		size: size,
	}
	n.mu.Lock()
	n.bytes = 0
	n.lists = 0
	n.mu.Unlock()
	begin := processorTime()
	time.Sleep(growthWindow)
	g.cpu = (processorTime() - begin) / time.Duration(size) / time.Duration(growthWindow.Seconds())
	n.mu.Lock()
	g.bytes = float64(n.bytes) / float64(size) / growthWindow.Seconds()
	g.lists = float64(n.lists) / growthWindow.Seconds()
	n.mu.Unlock()
	g.firstKnown, g.allKnown = n.lose(size, size/dataCentres)
	return g
}

// lose stops the last hosts. It returns the time until the first one was known as
// dead by some other host, and until all were by all others.
func (n *network) lose(size, lost int) (first, all time.Duration) {
	gone := map[string]bool{}
	for i := size - lost; i < size; i++ {
		n.nodes[name(i)].stop()
		gone[name(i)] = true
	}
	n.setCut(func(_, to string) bool { return gone[to] })
	begin := time.Now()
	for time.Since(begin) < detectionTimeout {
		time.Sleep(100 * time.Millisecond)
		known := 0
		for i := range size - lost {
			for j := size - lost; j < size; j++ {
				if !n.nodes[name(i)].Alive(name(j)) {
					known++
				}
			}
		}
		if known > 0 && first == 0 {
			first = time.Since(begin)
		}
		if known == lost*(size-lost) {
			return first, time.Since(begin)
		}
	}
	return first, detectionTimeout
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestLossyLinks checks that no host is declared dead when a tenth of all calls are
// lost: hosts are suspected all the time, and refute it in time.
func TestLossyLinks(t *testing.T) {
	const lostOfTen = 1
	inBubble(t, fmt.Sprintf("%d hosts", *lossyFleet), func(t *testing.T) {
		is := is.New(t)
		n := startHosts(t, *lossyFleet, growthSettle)
		draw := rand.New(rand.NewPCG(1, 0))
		n.setCut(func(_, _ string) bool { return draw.IntN(10) < lostOfTen })
		dead, suspect := 0, 0
		for range 40 {
			time.Sleep(time.Second)
			for i := range *lossyFleet {
				for _, h := range n.nodes[name(i)].Hosts() {
					switch h.State {
					case host.Dead:
						dead++
					case host.Suspect:
						suspect++
					}
				}
			}
		}
		t.Logf("membership: hosts=%d lost-calls=10%% suspect-host-seconds=%d dead-host-seconds=%d", *lossyFleet, suspect, dead)
		is.True(suspect > 0)
		is.Equal(dead, 0)
	})
}
