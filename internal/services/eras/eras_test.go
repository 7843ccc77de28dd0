package eras_test

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/eras"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
)

const (
	hostName = "host-0"
	other    = "host-1"
	service  = "ledger"
	// era is the one that is not open yet.
	era = 3
	// openTime is longer than a host takes to open an era once nothing stands
	// against it; longTime is longer than it waits for hosts at all.
	openTime = dbview.Lease + time.Second
	longTime = openTime + 4*time.Second
)

var (
	errChanged = errors.New("an expected row has changed")
	errSilent  = errors.New("the instance does not answer")
)

// world is a store that was just restored, as one host sees it, with another host and
// two instances.
type world struct {
	// started is when the host saw the era.
	started time.Duration
	view    *dbview.View

	mu sync.Mutex
	// rows are the rows by key, and version the counter of their versions.
	rows    map[string]tuple.Tuple
	version uint64
	// lost is the record that this host knows and the store lacks, if any.
	lost map[string]leader.Leader
	// seen is the era that the other host has seen.
	seen   uint64
	terms  map[string]uint64 // of the instances that lead
	silent string            // an instance that does not answer
	opened time.Duration
	// refusing tells that the store refuses records of primaries.
	refusing bool
}

// run runs the keeper of a host that has just seen the era. The record in the store
// names i-1, and the store has the row of the former era.
func run(t *testing.T, what string, script func(is *is.I, w *world)) {
	t.Run(what, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			uptime.Restart()
			w := &world{
				started: uptime.Now(),
				rows:    map[string]tuple.Tuple{},
				lost:    map[string]leader.Leader{},
				seen:    era,
				terms: map[string]uint64{
					"i-1": 1,
				},
			}
			w.view = dbview.New(service, "a", mirror.Fleet, w, w)
			w.put(mirror.EraKey(era-1), "")
			w.put(mirror.LeaderPrefix+service, leader.Leader{
				Token:   leader.NextToken(0, era-1),
				Phase:   leader.Settled,
				Primary: "i-1",
			})
			k := &eras.Keeper{
				Host:      hostName,
				Directory: w,
				Store:     w,
				Prober:    w,
				Hosts:     w,
				Views:     w,
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				k.Run(ctx)
			}()
			defer func() {
				cancel()
				<-done
			}()
			script(is.New(t), w)
		})
	})
}

// TestOpen guards against an era that is opened while a host may hold a lease on a
// primary that the records don't name: once it is open, hosts take leases on the
// primaries of the records.
func TestOpen(t *testing.T) {
	run(t, "not before the leases of the former era have expired", func(is *is.I, w *world) {
		time.Sleep(openTime)
		is.True(w.openedAt() >= dbview.Lease)
	})
	run(t, "not before the other hosts have seen it", func(is *is.I, w *world) {
		w.setSeen(era - 1)
		time.Sleep(openTime + time.Second)
		is.Equal(w.openedAt(), time.Duration(0))
		w.setSeen(era)
		time.Sleep(time.Second)
		is.True(w.openedAt() > 0)
	})
	run(t, "a host that never sees it is not waited for any longer", func(is *is.I, w *world) {
		w.setSeen(era - 1)
		time.Sleep(longTime)
		is.True(w.openedAt() > 0)
	})
	run(t, "not before a lost record is written again", func(is *is.I, w *world) {
		lost := leader.Leader{
			Token:   leader.NextToken(0, era-1) + 1,
			Phase:   leader.Settled,
			Primary: "i-2",
		}
		w.lead("i-2", 2)
		w.lose(lost)
		time.Sleep(openTime)
		l, _, _ := w.Leader(service)
		is.Equal(l, lost)
		is.True(w.openedAt() > 0)
	})
	run(t, "not while a lost record can't be written", func(is *is.I, w *world) {
		w.lose(leader.Leader{
			Token:   leader.NextToken(0, era-1) + 1,
			Phase:   leader.Settled,
			Primary: "i-2",
		})
		w.refuseRecords()
		time.Sleep(longTime)
		is.Equal(w.openedAt(), time.Duration(0))
	})
	run(t, "an instance that leads a higher term is named", func(is *is.I, w *world) {
		w.lead("i-2", 2)
		time.Sleep(openTime)
		l, _, _ := w.Leader(service)
		is.Equal(l.Primary, "i-2")
		is.Equal(l.Token, leader.NextToken(0, era))
		is.True(w.openedAt() > 0)
	})
	run(t, "a former primary is not named while the record's does not answer", func(is *is.I, w *world) {
		w.put(mirror.LeaderPrefix+service, leader.Leader{
			Token:         leader.NextToken(0, era-1) + 1,
			Phase:         leader.Settled,
			Primary:       "i-2",
			FormerPrimary: "i-1",
		})
		w.lead("i-1", 1)
		w.lead("i-2", 2)
		w.silence("i-2")
		time.Sleep(openTime)
		l, _, _ := w.Leader(service)
		is.Equal(l.Primary, "i-2")
	})
	run(t, "the first write removes the rows of former eras", func(is *is.I, w *world) {
		time.Sleep(openTime)
		is.Equal(len(w.EraRows()), 0)
	})
	run(t, "a lost record is not written into an open era", func(is *is.I, w *world) {
		w.lose(leader.Leader{
			Token:   leader.NextToken(0, era-1) + 1,
			Phase:   leader.Settled,
			Primary: "i-2",
		})
		w.lead("i-2", 2)
		w.hideOpening()
		time.Sleep(openTime)
		l, _, _ := w.Leader(service)
		is.Equal(l.Primary, "i-1")
	})
}

// put writes a row.
func (w *world) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // only records are encoded
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.rows[key] = tuple.Tuple{
		Table:   mirror.Fleet,
		Key:     key,
		Value:   b,
		Version: w.version,
	}
}

func (w *world) setSeen(n uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = n
}

// lead makes an instance lead a term.
func (w *world) lead(id string, term uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.terms[id] = term
}

// silence makes an instance answer no status query.
func (w *world) silence(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = id
}

// lose makes this host know a record that the store lacks.
func (w *world) lose(l leader.Leader) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost[service] = l
}

// hideOpening opens the era in the store without this host's knowledge.
func (w *world) hideOpening() {
	w.put(mirror.EraKey(era), other)
}

// refuseRecords makes the store refuse records of primaries.
func (w *world) refuseRecords() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusing = true
}

// openedAt returns when this host opened the era; 0 if it has not.
func (w *world) openedAt() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened
}

// Write does a write as the platform's store does.
func (w *world) Write(_ context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range expected {
		if w.rows[e.Key].Version != e.Version || w.refusing && e.Key == mirror.LeaderPrefix+service {
			return 0, errChanged
		}
	}
	w.version++
	for _, r := range deletes {
		delete(w.rows, r.Key)
	}
	for _, r := range puts {
		r.Version = w.version
		w.rows[r.Key] = r
		var l leader.Leader
		switch {
		case r.Key == mirror.EraKey(era):
			w.opened = uptime.Now() - w.started
		case json.Unmarshal(r.Value, &l) == nil && l.Token >= w.lost[service].Token:
			delete(w.lost, service)
		}
	}
	return w.version, nil
}

func (w *world) EraOpen() (open bool, rowVersion uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened > 0, w.version
}

func (w *world) EraSince(string) (n uint64, since time.Duration) { return era, w.started }

func (w *world) EraRows() []tuple.Tuple {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []tuple.Tuple
	for key, r := range w.rows {
		if strings.HasPrefix(key, "era-") && key != mirror.EraKey(era) {
			list = append(list, r)
		}
	}
	return list
}

func (w *world) LostLeaders() map[string]leader.Leader {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := map[string]leader.Leader{}
	for name, l := range w.lost {
		all[name] = l
	}
	return all
}

func (w *world) Leader(string) (l leader.Leader, version uint64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.rows[mirror.LeaderPrefix+service]
	ok = json.Unmarshal(r.Value, &l) == nil
	return l, r.Version, ok
}

func (w *world) Servers(string) []server.Server {
	return []server.Server{
		{
			ID:      "i-1",
			Service: service,
		},
		{
			ID:      "i-2",
			Service: service,
		},
	}
}

func (w *world) FreshStatus(_ context.Context, s server.Server) (report.Report, int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.ID == w.silent {
		return report.Report{}, reply.Failed, errSilent
	}
	return report.Report{
		Primary: w.terms[s.ID] > 0,
		Term:    w.terms[s.ID],
	}, reply.Done, nil
}

func (w *world) Alive() []host.Host {
	return []host.Host{{
		Name: other,
	}}
}

func (w *world) FleetVersion(string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return tuple.NewVersion(w.seen, 1)
}

func (w *world) Services() []string                      { return []string{service} }
func (w *world) Server(string) (server.Server, bool)     { return server.Server{}, false }
func (w *world) Missing(string) bool                     { return false }
func (w *world) LeavingFor(string) (time.Duration, bool) { return 0, false }
func (w *world) AcceptsWork(string) bool                 { return true }
func (w *world) Evacuated(string) bool                   { return false }
func (w *world) Reread(context.Context, string) error    { return nil }
func (w *world) AsOf(string) time.Duration               { return uptime.Now() }
func (w *world) LeasesAsOf() time.Duration               { return uptime.Now() }
func (w *world) Rank(string) int                         { return 0 }
func (w *world) PushNow()                                {}
func (w *world) View(string) *dbview.View                { return w.view }

func (w *world) Registered() (since, until time.Duration, ok bool) {
	return 0, math.MaxInt64, true
}
