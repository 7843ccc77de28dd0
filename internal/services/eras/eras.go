// Package eras brings the records of primaries back after the platform's store was
// restored from an older copy, and opens the new era: until then no host renews a
// lease from the store or replaces a primary. See docs/design/restored-store.md.
package eras

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	// checkInterval is the time between two checks of the era.
	checkInterval = 100 * time.Millisecond
	// callTimeout bounds one write to the store.
	callTimeout = 1500 * time.Millisecond
	// openAfter is how long after a restore an era is opened at the earliest. By
	// then all leases that counted from the former era have expired, and each
	// live host has had several rounds of gossip.
	openAfter = dbview.Lease + 200*time.Millisecond
	// stragglerTimeout is how much longer a live host is waited for that has not
	// seen the era, or still holds records that the store lacks.
	stragglerTimeout = 3 * time.Second
	// rankDelay is how much longer each host waits than the one before it in
	// the ranking, so that normally only one host writes a row.
	rankDelay = 500 * time.Millisecond
)

// directory is this host's copy of the tables in the platform's store.
type directory interface {
	EraOpen() (open bool, rowVersion uint64)
	EraSince(name string) (era uint64, since time.Duration)
	EraRows() []tuple.Tuple
	LostLeaders() map[string]leader.Leader
	Leader(service string) (l leader.Leader, version uint64, ok bool)
	Services() []string
	Servers(service string) []server.Server
	Reread(ctx context.Context, name string) error
}

// writer writes to the platform's store.
type writer interface {
	Write(ctx context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error)
}

// prober asks instances for their status. A report is from after the call.
type prober interface {
	FreshStatus(ctx context.Context, s server.Server) (report.Report, int, error)
}

// fleet is what gossip tells of the other hosts.
type fleet interface {
	Alive() []host.Host
	Rank(duty string) int
	FleetVersion(name string) uint64
	PushNow()
}

// views gives what this host knows of a service's instances.
type views interface {
	View(service string) *dbview.View
}

// Keeper opens eras. Its fields are set before Run.
type Keeper struct {
	// Host is the name of this host.
	Host string
	// Directory is this host's copy of the tables.
	Directory directory
	// Store is the platform's store.
	Store writer
	// Prober asks instances for their status.
	Prober prober
	// Hosts are the other hosts.
	Hosts fleet
	// Views gives what this host knows of a service's instances.
	Views views
}

// Run brings records back and opens eras until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		era, since := k.Directory.EraSince(mirror.Fleet)
		if open, _ := k.Directory.EraOpen(); open || since == 0 {
			continue // or there is no copy of the table yet
		}
		if lost := k.Directory.LostLeaders(); len(lost) > 0 {
			k.bringBack(ctx, lost)
			continue
		}
		if k.mayOpen(era, since) {
			k.open(ctx, era)
		}
	}
}

// bringBack writes the records of primaries that the store lost, each after a delay
// by this host's rank, so that the others find it written.
func (k *Keeper) bringBack(ctx context.Context, lost map[string]leader.Leader) {
	_, since := k.Directory.EraSince(mirror.Fleet)
	for service, l := range lost {
		delay := time.Duration(k.Hosts.Rank(leader.Duty(service))) * rankDelay
		if uptime.Now()-since < delay {
			continue
		}
		err := k.writeLeader(ctx, service, l)
		klog.InfoS("record of a primary written again after a restore of the store", "service", service, "primary", l.Primary, "token", l.Token, "ok", err == nil, "err", errorText(err))
	}
}

// writeLeader writes the record of a service while the era is not open.
func (k *Keeper) writeLeader(ctx context.Context, service string, l leader.Leader) error {
	value, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("encode the leader record: %w", err)
	}
	_, version, _ := k.Directory.Leader(service)
	return k.write(ctx, tuple.Tuple{
		Table:   mirror.Fleet,
		Key:     mirror.LeaderPrefix + service,
		Value:   value,
		Version: version,
	})
}

// write writes a row by compare-and-swap while the era is not open, and removes the
// rows that opened earlier eras: late writes of those eras expect them.
func (k *Keeper) write(ctx context.Context, row tuple.Tuple) error {
	era, _ := k.Directory.EraSince(mirror.Fleet)
	expected := []tuple.Tuple{row}
	eraKey := mirror.EraKey(era)
	if row.Key != eraKey {
		expected = append(expected, tuple.Tuple{
			Table: mirror.Fleet,
			Key:   eraKey,
		})
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := k.Store.Write(call, expected, []tuple.Tuple{row}, k.Directory.EraRows())
	// The rows are read again in any case: they show whether a write took
	// effect whose answer was lost, or what another host wrote.
	if again := k.Directory.Reread(call, mirror.Fleet); again != nil {
		klog.InfoS("the fleet table can't be read again", "err", again.Error())
	}
	k.Hosts.PushNow()
	return err
}

// mayOpen reports whether this host is to open an era now that it has seen since: the
// other live hosts have seen it and brought back the records that they know.
func (k *Keeper) mayOpen(era uint64, since time.Duration) bool {
	known := uptime.Now() - since
	delay := time.Duration(k.Hosts.Rank("era")) * rankDelay
	if known < openAfter+delay {
		return false
	}
	if known >= openAfter+delay+stragglerTimeout {
		return true
	}
	for _, h := range k.Hosts.Alive() {
		if tuple.Era(k.Hosts.FleetVersion(h.Name)) < era {
			return false
		}
	}
	return true
}

// open checks each service's record against its instances, and opens the era.
func (k *Keeper) open(ctx context.Context, era uint64) {
	var checks conc.WaitGroup
	for _, service := range k.Directory.Services() {
		checks.Go(func() {
			guard.Run("era-check", func() {
				k.checkService(ctx, service)
			})
		})
	}
	checks.Wait()
	if now, _ := k.Directory.EraSince(mirror.Fleet); now != era {
		return // restored once more
	}
	value, err := json.Marshal(map[string]string{"host": k.Host})
	if err != nil {
		klog.ErrorS(err, "the row of an era can't be encoded")
		return
	}
	err = k.write(ctx, tuple.Tuple{
		Table: mirror.Fleet,
		Key:   mirror.EraKey(era),
		Value: value,
	})
	klog.InfoS("era of the store opened", "era", era, "ok", err == nil, "err", errorText(err))
}

// checkService writes a new record if an instance leads a higher term than the
// primary of the record in force: no live host knows of its promotion.
func (k *Keeper) checkService(ctx context.Context, service string) {
	l, _ := k.Views.View(service).Leader()
	if l.Phase != leader.Settled {
		return // whoever takes over the change finds the promoted instance
	}
	found, ok := k.highestPrimary(ctx, service, l.Primary)
	if !ok || found == l.Primary {
		return
	}
	era, _ := k.Directory.EraSince(mirror.Fleet)
	err := k.writeLeader(ctx, service, leader.Leader{
		Token:         leader.NextToken(l.Token, era),
		Holder:        k.Host,
		Phase:         leader.Settled,
		Primary:       found,
		FormerPrimary: l.Primary,
		Reason:        "store-restored",
	})
	klog.InfoS("an instance leads a term that no record names", "service", service, "primary", found, "former", l.Primary, "ok", err == nil, "err", errorText(err))
}

// highestPrimary returns the instance that leads the highest term among those of a
// service that answer; none if the record's primary does not answer. Its term is not known
// then, and the one that leads may be a former primary that came back. If it stays silent, a
// failover replaces it, which finds an instance that leads a higher term.
func (k *Keeper) highestPrimary(ctx context.Context, service, recorded string) (id string, ok bool) {
	var (
		mu       sync.Mutex
		highest  uint64
		answered bool
		asked    conc.WaitGroup
	)
	for _, s := range k.Directory.Servers(service) {
		asked.Go(func() {
			r, outcome, err := k.Prober.FreshStatus(ctx, s)
			if err != nil || outcome != reply.Done {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered = answered || s.ID == recorded
			if !r.Primary {
				return
			}
			if !ok || r.Term > highest {
				id = s.ID
				ok = true
				highest = r.Term
			}
		})
	}
	asked.Wait()
	return id, ok && answered
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
