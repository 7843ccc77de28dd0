package failov_test

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/modules/uptime"
	"wasabislip.example/wasabislip/internal/services/dbview"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/pkg/model/host"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

const (
	hostName  = "host-0"
	service   = "ledger"
	leaderKey = mirror.LeaderPrefix + service
)

var (
	errDown    = errors.New("the instance is down")
	errChanged = errors.New("an expected row has changed")
)

// world is the store, one service's instances and the fleet, as one host sees them. The
// host's copy of the store is always the newest one.
type world struct {
	view *dbview.View

	mu sync.Mutex
	// rows are the store's rows by key. As the store does, they count versions
	// without the era.
	rows      map[string]tuple.Tuple
	version   uint64
	era       uint64
	eraSince  time.Duration
	tried     int
	written   int
	underWay  func()
	changed   time.Duration
	instances map[string]*instance
	orders    []order
	hosts     map[string]host.Host
	obedient  map[string]bool
	// statusAge is how old the reports of Status are if the instance was asked before
	// then, as those of an instance that repeats answers.
	statusAge time.Duration
}

// instance is one instance; i-1 is the first primary.
type instance struct {
	server server.Server
	report report.Report
	down   bool
	held   time.Duration
	// steppedDown is when it stepped down; 0 if it has not.
	steppedDown time.Duration
	// answers are its reports so far.
	answers []answer
}

// answer is a report and when it was asked for.
type answer struct {
	at     time.Duration
	report report.Report
}

// order is an order to promote an instance.
type order struct {
	id    string
	token uint64
	at    time.Duration
}

func newWorld() *world {
	w := &world{
		rows:      map[string]tuple.Tuple{},
		instances: map[string]*instance{},
		hosts:     map[string]host.Host{},
		obedient:  map[string]bool{},
	}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		w.instances[id] = &instance{
			server: server.Server{
				ID:      id,
				Service: service,
				Primary: id == "i-1",
			},
			report: report.Report{
				Primary: id == "i-1",
				Term:    1,
			},
		}
	}
	w.view = dbview.New(service, "a", mirror.Fleet, w, registry{})
	return w
}

// registry says that the host has been registered all the time.
type registry struct{}

func (registry) Registered() (since, until time.Duration, ok bool) {
	return 0, math.MaxInt64, true
}

// put writes a row, or removes it if the value is nil.
func (w *world) put(key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putLocked(key, value)
}

func (w *world) putLocked(key string, value []byte) {
	w.version++
	if value == nil {
		delete(w.rows, key)
		return
	}
	w.rows[key] = tuple.Tuple{
		Table:   mirror.Fleet,
		Key:     key,
		Value:   value,
		Version: w.version,
	}
}

func (w *world) putLeader(l leader.Leader) {
	w.put(leaderKey, encode(l))
}

// restore begins a new era of the store, with the rows as they are.
func (w *world) restore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.era++
	w.eraSince = uptime.Now()
}

// openEra writes the row that opens the era.
func (w *world) openEra() {
	era, _ := w.EraSince(mirror.Fleet)
	w.put(mirror.EraKey(era), encode(hostName))
}

// reuseVersion makes the store give a version out again.
func (w *world) reuseVersion(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = tuple.Counter(version) - 1
}

// beforeWrite calls f once, between the sending of the next write and its arrival.
func (w *world) beforeWrite(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay = f
}

// crash crashes an instance, and the host notices.
func (w *world) crash(id string) {
	w.mu.Lock()
	w.instances[id].down = true
	w.mu.Unlock()
	w.view.RecordFailure(id)
}

// receive sets where an instance's log ends.
func (w *world) receive(id string, offset uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances[id].report.Received = logpos.Position{
		Term:   1,
		Offset: offset,
	}
}

// restart makes an instance receive again that was told to stop.
func (w *world) restart(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances[id].report.PausedTerm = 0
}

// repeatAnswers makes reports of Status as old as age.
func (w *world) repeatAnswers(age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statusAge = age
}

// drain makes an instance say that it is about to leave.
func (w *world) drain(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances[id].server.Draining = true
}

func (w *world) steppedDownAt(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances[id].steppedDown
}

// await waits until a condition holds.
func (w *world) await(is *is.I, holds func() bool) {
	is.Helper()
	for limit := uptime.Now() + changeTime; uptime.Now() < limit; time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	is.Fail() // the condition did not hold in time
}

// register registers another host, which has not applied any record yet.
func (w *world) register(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[name] = host.Host{
		Name: name,
	}
}

// obey makes a host apply all records from now on.
func (w *world) obey(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.obedient[name] = true
}

// attempts returns how many writes were sent, and writes how many were done.
func (w *world) attempts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tried
}

func (w *world) writes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written
}

func (w *world) promotions() []order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]order(nil), w.orders...)
}

// changeAt returns when the store held the record of the newest change.
func (w *world) changeAt() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// heldAt returns when an instance was first told to stop receiving; 0 if never.
func (w *world) heldAt(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.instances[id].held
}

// Write does a write as the platform's store does.
func (w *world) Write(_ context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error) {
	w.mu.Lock()
	w.tried++
	f := w.underWay
	w.underWay = nil
	w.mu.Unlock()
	if f != nil {
		f()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range expected {
		if w.rows[e.Key].Version != tuple.Counter(e.Version) {
			return 0, errChanged
		}
	}
	w.written++
	for _, r := range puts {
		w.putLocked(r.Key, r.Value)
		if isChange(r) {
			w.changed = uptime.Now()
		}
	}
	for _, r := range deletes {
		w.putLocked(r.Key, nil)
	}
	return tuple.NewVersion(w.era, w.version), nil
}

// What follows is the host's copy of the store.

func (w *world) Services() []string { return []string{service} }

func (w *world) Servers(string) []server.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []server.Server
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		list = append(list, w.instances[id].server)
	}
	return list
}

func (w *world) Server(id string) (server.Server, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	in, ok := w.instances[id]
	if !ok {
		return server.Server{}, false
	}
	return in.server, true
}

func (w *world) Missing(string) bool                     { return false }
func (w *world) LeavingFor(string) (time.Duration, bool) { return 0, false }
func (w *world) AcceptsWork(string) bool                 { return true }
func (w *world) MissingFor(string) time.Duration         { return 0 }
func (w *world) Evacuated(string) bool                   { return false }
func (w *world) SyncReplicas(string) int                 { return 0 }
func (w *world) Reread(context.Context, string) error    { return nil }
func (w *world) StoreAnswers() bool                      { return true }
func (w *world) Age(string) time.Duration                { return 0 }
func (w *world) AsOf(string) time.Duration               { return uptime.Now() }
func (w *world) LeasesAsOf() time.Duration               { return uptime.Now() }

func (w *world) Leader(string) (l leader.Leader, version uint64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.rows[leaderKey]
	if !ok || json.Unmarshal(r.Value, &l) != nil {
		return leader.Leader{}, 0, false
	}
	return l, tuple.NewVersion(w.era, r.Version), true
}

func (w *world) Registered() map[string]host.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := map[string]host.Host{}
	for name, h := range w.hosts {
		all[name] = h
	}
	return all
}

func (w *world) EraOpen() (open bool, rowVersion uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.era == 0 {
		return true, 0
	}
	r, ok := w.rows[mirror.EraKey(w.era)]
	if !ok {
		return false, 0
	}
	return true, tuple.NewVersion(w.era, r.Version)
}

func (w *world) EraSince(string) (era uint64, since time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era, w.eraSince
}

// What follows is the platform and the instances.

func (w *world) Promote(_ context.Context, _, id, _ string, token uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, order{
		id:    id,
		token: token,
		at:    uptime.Now(),
	})
	in := w.instances[id]
	in.report.Primary = true
	in.report.Term++
	in.report.PausedTerm = 0
	return nil
}

// ask changes an instance that is up, and returns its report.
func (w *world) ask(s server.Server, change func(in *instance)) (report.Report, int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	in := w.instances[s.ID]
	if in.down {
		return report.Report{}, 0, errDown
	}
	change(in)
	in.answers = append(in.answers, answer{
		at:     uptime.Now(),
		report: in.report,
	})
	return in.report, reply.Done, nil
}

// Status returns the newest report from before statusAge, or the first one if all are
// younger.
func (w *world) Status(ctx context.Context, s server.Server) (report.Report, int, error) {
	r, outcome, err := w.FreshStatus(ctx, s)
	if err != nil {
		return r, outcome, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	answers := w.instances[s.ID].answers
	for i := len(answers) - 1; i > 0; i-- {
		if uptime.Now()-answers[i].at >= w.statusAge {
			return answers[i].report, outcome, nil
		}
	}
	return answers[0].report, outcome, nil
}

func (w *world) FreshStatus(_ context.Context, s server.Server) (report.Report, int, error) {
	return w.ask(s, func(*instance) {})
}

func (w *world) PauseReplication(_ context.Context, s server.Server, term uint64) (report.Report, int, error) {
	return w.ask(s, func(in *instance) {
		in.report.PausedTerm = term
		if in.held == 0 {
			in.held = uptime.Now()
		}
	})
}

func (w *world) ResumeReplication(_ context.Context, s server.Server) (report.Report, int, error) {
	return w.ask(s, func(in *instance) {
		in.report.PausedTerm = 0
	})
}

func (w *world) StepDown(_ context.Context, s server.Server, _ uint64) (report.Report, int, error) {
	return w.ask(s, func(in *instance) {
		in.report.Primary = false
		in.steppedDown = uptime.Now()
	})
}

// What follows is the fleet.

func (w *world) Alive() []host.Host                      { return nil }
func (w *world) RankingVersion() uint64                  { return 1 }
func (w *world) Rank(string) int                         { return 0 }
func (w *world) IsAmong(string, int) bool                { return true }
func (w *world) CountUnreachable(string) (int, int)      { return 0, 0 }
func (w *world) CountOpenTransactions(string) int        { return 0 }
func (w *world) PushNow()                                {}
func (w *world) View(string) *dbview.View                { return w.view }
func (w *world) RecordPrimaryChange(bool, time.Duration) {}

func (w *world) SetBlockedChanges(int) {}

func (w *world) FleetVersion(name string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.obedient[name] {
		return 0
	}
	return math.MaxUint64
}
