package main

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"

	"wasabislip.example/wasabislip/internal/models/parse"
	"wasabislip.example/wasabislip/internal/models/place"
	"wasabislip.example/wasabislip/internal/modules/access"
	"wasabislip.example/wasabislip/internal/modules/object"
	"wasabislip.example/wasabislip/internal/modules/table"
	"wasabislip.example/wasabislip/internal/services/config"
	"wasabislip.example/wasabislip/internal/slopes/calls"
	"wasabislip.example/wasabislip/internal/slopes/clust"
	"wasabislip.example/wasabislip/internal/standin/cloud"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	tableName    = "wasabislip"
	allDatabases = 1100
	// repeatTime is how long a function is repeated to measure its mean time.
	repeatTime     = 300 * time.Millisecond
	pollPause      = time.Millisecond
	changeCount    = 3
	installTimeout = 10 * time.Second
)

// configuration measures the cost of a configuration change by the number of
// databases.
func configuration(ctx context.Context, _ string) error {
	for _, n := range []int{10, 100, allDatabases} {
		body, err := yaml.Marshal(clust.NewSpec(n))
		if err != nil {
			return err
		}
		elapsed := meanTime(func() { parse.Parse("file", body) })
		kept, allocated := heapUse(body)
		fmt.Printf("configuration: databases=%d bytes=%d parse-and-validate=%s heap-kept=%d allocated=%d\n", n, len(body), elapsed.Round(10*time.Microsecond), kept, allocated)
		if err := measureChanges(ctx, n, body); err != nil {
			return err
		}
	}
	return nil
}

// heapUse returns how many bytes a parsed file keeps on the heap, and how many
// bytes parsing it allocates.
func heapUse(body []byte) (kept, allocated uint64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	file := parse.Parse("file", body)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(file)
	return after.HeapAlloc - before.HeapAlloc, after.TotalAlloc - before.TotalAlloc
}

// measureChanges applies changes on one host, and measures how long each takes to
// be accepted and to be in force on a second host, which learns of it by polling
// alone.
func measureChanges(ctx context.Context, n int, body []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform := &calls.Counter{
		Next: cloud.New(),
	}
	server := httptest.NewServer(platform)
	defer server.Close()
	first, second := newManager(server.URL), newManager(server.URL)
	first.Start(ctx)
	second.Start(ctx)
	var applied, inForce time.Duration
	for i := range changeCount {
		changed := append([]byte(fmt.Sprintf("# change %d\n", i)), body...)
		begin := time.Now()
		version, err := first.Apply(ctx, changed, 0, uuid.NewString(), "slopes")
		if err != nil {
			return err
		}
		applied += time.Since(begin)
		for inForceVersion := uint64(0); inForceVersion < version; _, inForceVersion = second.Current() {
			if time.Since(begin) > installTimeout {
				return fmt.Errorf("version %d was not in force within %s", version, installTimeout)
			}
			wait(ctx, pollPause)
		}
		inForce += time.Since(begin)
	}
	counts := platform.Counts()
	fmt.Printf(
		"configuration: databases=%d changes=%d apply=%s in-force-by-polling-alone=%s table-writes=%d object-writes=%d object-reads=%d\n",
		n, changeCount, (applied / changeCount).Round(time.Millisecond), (inForce / changeCount).Round(time.Millisecond),
		counts["table PutItem config"], counts["object PUT"], counts["object GET"],
	)
	cancel()
	<-first.Done()
	<-second.Done()
	return nil
}

// newManager returns the configuration manager of a host.
func newManager(endpoint string) *config.Manager {
	platform := access.Access{
		Endpoint: endpoint,
	}
	return &config.Manager{
		Table:   table.New(platform, tableName),
		Objects: object.New(platform, tableName),
	}
}

// placement measures how long it takes to rank the hosts for all databases after
// the state of one host has changed.
func placement(context.Context, string) error {
	for _, n := range []int{9, 90, 590} {
		p := &place.Placer{}
		cfg := clust.NewSpec(1)
		hosts := make([]host.Host, n)
		for i := range hosts {
			hosts[i] = host.Host{
				Name:       fmt.Sprintf("host-%d", i),
				DataCentre: cfg.DataCentres[i%len(cfg.DataCentres)].Name,
				State:      host.Alive,
			}
		}
		dead := false
		took := meanTime(func() {
			dead = !dead
			hosts[0].State = host.Alive
			if dead {
				hosts[0].State = host.Dead
			}
			p.Update(hosts, cfg)
			for d := range allDatabases {
				p.Candidates(fmt.Sprintf("database/swap-ledger-%d", d), cfg.DataCentres[d%len(cfg.DataCentres)].Name)
			}
		})
		fmt.Printf("placement: hosts=%d databases=%d rank-all=%s\n", n, allDatabases, took.Round(10*time.Microsecond))
	}
	return nil
}

// meanTime returns the mean time of f over the runs that fit into repeatTime.
func meanTime(f func()) time.Duration {
	n := 0
	begin := time.Now()
	for time.Since(begin) < repeatTime {
		f()
		n++
	}
	return time.Since(begin) / time.Duration(n)
}
