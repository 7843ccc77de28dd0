// Package quota admits statements within the rate and burst that each workspace
// has over all hosts together.
//
// A workspace's rate is divided into parts. Each part has a home: the host that
// owns the part's token bucket, under a lease in the platform's table. A host
// draws tokens from the homes in batches, and admits statements from the tokens
// that it holds.
package quota

import (
	"context"
	"hash/fnv"
	"hash/maphash"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/expiry"
	"wasabislip.example/wasabislip/internal/models/lease"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/models/vouch"
	"wasabislip.example/wasabislip/pkg/model/space"
)

const (
	shardCount = 256
	// leaseDuration lets a home continue through a platform outage of a minute.
	leaseDuration = 90 * time.Second
	// renewInterval is the interval of lease renewals.
	renewInterval = 15 * time.Second
	// renewRetry is the pause after a renewal that failed.
	renewRetry = 2 * time.Second
	// tableTimeout bounds one call to the platform's table.
	tableTimeout = 2 * time.Second
	// idSeparator separates the parts of a process's and a lease's identity.
	idSeparator = "/"
	// tokenValidity is how long drawn tokens may be used.
	tokenValidity = 2 * time.Second
)

// homes knows the live hosts.
type homes interface {
	// Candidates returns the hosts that should be homes of the workspace's
	// parts, the preferred first. It is the same on all hosts that know the
	// same list of hosts.
	Candidates(workspace string) []string
	// Alive reports whether a host is believed to be alive.
	Alive(host string) bool
	// Self returns the name of this host.
	Self() string
}

// peers calls other hosts.
type peers interface {
	Draw(ctx context.Context, host string, r *wasabislipv1.DrawRequest) (*wasabislipv1.DrawResponse, error)
}

// table is the platform's table service. Get returns version 0 for a row that
// does not exist; Put fails with fault.Conflict unless the row has the version
// expected.
type table interface {
	Get(ctx context.Context, class, name string) (record.Record, error)
	Put(ctx context.Context, r record.Record, expect uint64) error
}

// meter counts events for the metrics.
type meter interface {
	// RecordRefusal counts a refusal and its reason: over-rate, no-answer or unknown.
	RecordRefusal(workspace, reason string)
	// RecordDraw counts a draw, its result and how long it took.
	RecordDraw(result string, took time.Duration)
	// RecordClaim counts an attempt to become a home, by its result.
	RecordClaim(result string)
}

// Quota admits the statements of one host, and keeps the buckets of the parts that
// this host is the home of. It is safe for concurrent use.
type Quota struct {
	homes     homes
	peers     peers
	table     table
	meter     meter
	self      string
	processID string
	seed      maphash.Seed
	shards    [shardCount]shard
	done      chan struct{}

	wg       conc.WaitGroup
	roundDue chan struct{}

	// renewing holds a value while a renewal runs: one runs at a time.
	renewing chan struct{}

	leaseMu      sync.RWMutex
	lease        *lease.Lease
	leaseVersion uint64
	holder       *vouch.Holder
	// processes are the processes that promised last, by host.
	processes map[string]string
	closed    bool

	// witnessed are the leases that this process may be a witness of, by
	// incarnation.
	witnessMu sync.Mutex
	witnessed map[string]*vouch.Witness

	// trackers tell for how long other hosts' lease rows have been unchanged, by
	// host.
	trackersMu sync.Mutex
	trackers   map[string]*expiry.Tracker
}

// shard holds the workspaces whose names hash to it; its lock guards their entries.
type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// New returns a quota that admits nothing until SetLimits is called. It renews the
// host's lease until ctx ends; then Done is closed.
func New(ctx context.Context, h homes, p peers, t table, m meter) *Quota {
	q := &Quota{
		homes:     h,
		peers:     p,
		table:     t,
		meter:     m,
		self:      h.Self(),
		processID: h.Self() + idSeparator + uuid.NewString(),
		seed:      maphash.MakeSeed(),
		done:      make(chan struct{}),
		roundDue:  make(chan struct{}, 1),
		renewing:  make(chan struct{}, 1),
		lease:     lease.New(leaseDuration),
		holder:    vouch.NewHolder(time.Time{}, promiseWindow),
		processes: make(map[string]string),
		witnessed: make(map[string]*vouch.Witness),
		trackers:  make(map[string]*expiry.Tracker),
	}
	for i := range q.shards {
		q.shards[i].entries = make(map[string]*entry)
	}
	q.wg.Go(func() { q.leaseLoop(ctx) })
	q.wg.Go(func() { q.promiseLoop(ctx) })
	q.wg.Go(func() { q.witnessLoop(ctx) })
	var ending conc.WaitGroup
	ending.Go(func() {
		defer close(q.done)
		<-ctx.Done()
		q.stop()
		q.wg.Wait()
	})
	return q
}

// goUnlessStopped runs f in a goroutine, and returns false instead once the host
// has stopped.
func (q *Quota) goUnlessStopped(f func()) bool {
	q.leaseMu.RLock()
	defer q.leaseMu.RUnlock()
	if q.closed {
		return false
	}
	q.wg.Go(f)
	return true
}

// stop gives the lease up for good and returns its incarnation.
func (q *Quota) stop() string {
	q.leaseMu.Lock()
	defer q.leaseMu.Unlock()
	q.closed = true
	incarnation := q.lease.Incarnation()
	q.lease.End()
	return incarnation
}

// Done is closed when the background work has ended.
func (q *Quota) Done() <-chan struct{} {
	return q.done
}

// SetLimits sets the rates and bursts of a configuration. Workspaces that it does
// not name are refused from now on.
func (q *Quota) SetLimits(workspaces []space.Workspace) {
	now := time.Now()
	named := make(map[string]bool, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		named[w.Name] = true
		s := q.shard(w.Name)
		s.mu.Lock()
		s.entry(w.Name, q.firstPart(w.Name)).setLimits(now, w.Rate, w.Burst)
		s.mu.Unlock()
	}
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for name, e := range s.entries {
			if !named[name] {
				e.remove(now)
			}
		}
		s.mu.Unlock()
	}
	q.startRound()
}

// startRound starts a round of claims and releases.
func (q *Quota) startRound() {
	select {
	case q.roundDue <- struct{}{}:
	default:
	}
}

// shard returns the shard of a workspace.
func (q *Quota) shard(workspace string) *shard {
	return &q.shards[maphash.String(q.seed, workspace)%shardCount]
}

// firstPart returns the part that this host draws from first. It differs between
// hosts, so that they don't all draw from one home.
func (q *Quota) firstPart(workspace string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(q.self + "/" + workspace))
	return int(h.Sum32() % splitParts)
}

// entry returns the workspace's entry, and creates it if there is none; firstPart
// is the part that a new entry draws from first.
func (s *shard) entry(workspace string, firstPart int) *entry {
	e := s.entries[workspace]
	if e == nil {
		e = &entry{
			workspace: workspace,
			nextPart:  firstPart,
		}
		s.entries[workspace] = e
	}
	return e
}
