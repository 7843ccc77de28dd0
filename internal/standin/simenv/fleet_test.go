package simenv_test

import (
	"os"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// maxGrowth is how much more a host of a larger fleet may cost than one of 30 hosts,
// while databases grow in proportion.
const maxGrowth = 1.5

// servicesFor returns the number of services before a number of hosts: 1,100 before 590.
func servicesFor(hosts int) int {
	return hosts * 1100 / 590
}

// hostLoad is what one host costs on average.
type hostLoad struct {
	status, instanceConns, peerConns, peerBytes, storeCalls, allocations float64
}

// perHost returns the load between two counts for each host and unit.
func perHost(before, after simenv.Load, n float64) hostLoad {
	return hostLoad{
		status:        float64(after.StatusQueries-before.StatusQueries) / n,
		instanceConns: float64(after.InstanceConns-before.InstanceConns) / n,
		peerConns:     float64(after.PeerConns-before.PeerConns) / n,
		peerBytes:     float64(after.PeerBytes-before.PeerBytes) / n,
		storeCalls:    float64(after.StoreCalls-before.StoreCalls) / n,
	}
}

// runFleet runs a script with a fleet before services without callers, after 5 s.
func runFleet(t *testing.T, hosts, services int, script func(is *is.I, env *simenv.Environment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := simenv.New()
		defer env.Close()
		env.AddServices(services)
		for i := range hosts {
			env.StartHost(i)
		}
		time.Sleep(5 * time.Second)
		script(is.New(t), env)
	})
}

// measureFleet returns the load of a fleet's start, and that of a second afterwards.
func measureFleet(t *testing.T, hosts int) (start, steady hostLoad) {
	const (
		seconds = 5
		// warmUp is the time in which hosts open connections to the others that they
		// exchange with at random, twelve a minute.
		warmUp = 20 * time.Second
	)
	runFleet(t, hosts, servicesFor(hosts), func(_ *is.I, env *simenv.Environment) {
		started := env.Load()
		start = perHost(simenv.Load{}, started, float64(hosts))
		time.Sleep(warmUp)
		warm := env.Load()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		time.Sleep(seconds * time.Second)
		runtime.ReadMemStats(&after)
		steady = perHost(warm, env.Load(), float64(hosts)*seconds)
		steady.allocations = float64(after.Mallocs-before.Mallocs) / float64(hosts) / seconds
	})
	t.Logf("%d hosts, %d services: start %.1f, a second %.2f", hosts, servicesFor(hosts), start, steady)
	return start, steady
}

func checkGrowth(t *testing.T, what string, small, large hostLoad) {
	t.Helper()
	check := func(unit string, small, large float64) {
		t.Run(what+" "+unit, func(t *testing.T) {
			t.Logf("%.2f to %.2f", small, large)
			is.New(t).True(large <= maxGrowth*small)
		})
	}
	check("status queries", small.status, large.status)
	check("connections to instances", small.instanceConns, large.instanceConns)
	check("connections between hosts", small.peerConns, large.peerConns)
	check("bytes between hosts", small.peerBytes, large.peerBytes)
	check("calls of the store", small.storeCalls, large.storeCalls)
	check("allocations", small.allocations, large.allocations)
}

// TestFleetGrowth guards against work that grows with hosts times services. At commit
// 4fea752, 100 hosts made 11 times as many status queries as 30, and 300 never came to
// serve callers.
func TestFleetGrowth(t *testing.T) {
	start, steady := measureFleet(t, 30)
	for _, hosts := range growthSizes() {
		t.Run(strconv.Itoa(hosts), func(t *testing.T) {
			largeStart, largeSteady := measureFleet(t, hosts)
			checkGrowth(t, "start", start, largeStart)
			checkGrowth(t, "steady", steady, largeSteady)
		})
	}
}

// growthSizes returns the sizes that are compared with 30 hosts. FLEET_SIZE sets another
// one.
func growthSizes() []int {
	if n, err := strconv.Atoi(os.Getenv("FLEET_SIZE")); err == nil {
		return []int{n}
	}
	if raceEnabled {
		return []int{60}
	}
	return []int{100, 300}
}

// checkReplaced checks that the primaries of services that crashed are replaced in time.
func checkReplaced(t *testing.T, is *is.I, env *simenv.Environment, services int) {
	t.Helper()
	is.Helper()
	const bound = 12 * time.Second
	for k := range services {
		env.Service(k).Crash(simenv.ServiceName(k) + "-1")
	}
	crashed := time.Now()
	left := services
	for left > 0 && time.Since(crashed) < bound {
		time.Sleep(100 * time.Millisecond)
		left = services
		for k := range services {
			if env.Service(k).RunningPrimary() != "" {
				left--
			}
		}
	}
	t.Logf("%d of %d primaries replaced after %s", services-left, services, time.Since(crashed))
	is.Equal(left, 0)
}

// TestIdlePrimaryLost checks that primaries without callers are replaced. Only the hosts
// that poll them notice their failure.
func TestIdlePrimaryLost(t *testing.T) {
	const (
		hosts    = 24
		services = 12
	)
	t.Run("all primaries crash", func(t *testing.T) {
		runFleet(t, hosts, services, func(is *is.I, env *simenv.Environment) {
			checkReplaced(t, is, env, services)
		})
	})
	t.Run("a data centre's hosts fall silent, and then all primaries crash", func(t *testing.T) {
		runFleet(t, hosts, services, func(is *is.I, env *simenv.Environment) {
			for i := 0; i < hosts; i += 3 {
				env.Net.Isolate(simenv.HostIP(i))
				defer env.Net.Rejoin(simenv.HostIP(i))
			}
			checkReplaced(t, is, env, services)
		})
	})
}

// TestPollingHosts checks who polls primaries when hosts can't be reached.
func TestPollingHosts(t *testing.T) {
	const (
		hosts    = 24
		services = 24
		seconds  = 8
	)
	t.Run("the next ranks go on when polling hosts fall silent", func(t *testing.T) {
		runFleet(t, hosts, services, func(is *is.I, env *simenv.Environment) {
			for i := range hosts / 3 {
				env.Net.Isolate(simenv.HostIP(i))
				defer env.Net.Rejoin(simenv.HostIP(i))
			}
			time.Sleep(4 * time.Second) // they are noticed
			for k := range services {
				before := env.Service(k).CountStatusQueries()
				time.Sleep(time.Second)
				is.True(env.Service(k).CountStatusQueries() > before)
			}
		})
	})
	t.Run("each side of a partition polls for itself, and no host polls all", func(t *testing.T) {
		runFleet(t, hosts, services, func(is *is.I, env *simenv.Environment) {
			before := env.Load()
			time.Sleep(seconds * time.Second)
			whole := env.Load()
			cut := []int{0, 3, 6, 9, 12, 15, 18, 21}
			forEachHostLink(cut, hosts, env.Net.Cut)
			time.Sleep(seconds * time.Second)
			divided := perHost(whole, env.Load(), 1)
			forEachHostLink(cut, hosts, env.Net.Heal)
			t.Logf("status queries: %.0f whole, %.0f divided", perHost(before, whole, 1).status, divided.status)
			is.True(divided.status <= 2.5*perHost(before, whole, 1).status)
			is.True(divided.status >= perHost(before, whole, 1).status)
		})
	})
}

// TestUsedPositions checks that hosts of a large fleet learn the positions of services
// that their callers read, so that reads leave the primaries to writes.
func TestUsedPositions(t *testing.T) {
	const (
		hosts    = 24
		services = 12
		used     = 4
	)
	t.Run("most reads of services in use run on replicas", func(t *testing.T) {
		runFleet(t, hosts, services, func(is *is.I, env *simenv.Environment) {
			reads, onPrimary := 0, 0
			for n := range 400 {
				k := n % used
				c, _, ok := env.OpenSession((n*7)%hosts, simenv.ServiceName(k), "key-one")
				is.True(ok)
				is.True(c.Do("READ item").OK())
				c.Close()
				list := env.Service(k).Executions()
				if n >= 100 {
					reads++
					if list[len(list)-1].Instance == simenv.ServiceName(k)+"-1" {
						onPrimary++
					}
				}
				time.Sleep(40 * time.Millisecond)
			}
			t.Logf("%d of %d reads on primaries", onPrimary, reads)
			is.True(4*onPrimary <= reads)
		})
	})
}
