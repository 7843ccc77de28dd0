// Package budget is the retry budget: it limits each workspace's retries to a
// fraction of its successful batches, so that retries cannot multiply the load
// of a fleet that is failing.
package budget

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Defaults of a budget.
const (
	// DefaultRetryRatio is the number of retries that each successful batch
	// adds to the budget.
	DefaultRetryRatio = 0.1
	// DefaultMinRetriesPerSecond is the number of retries a second that are
	// allowed besides, whatever succeeds.
	DefaultMinRetriesPerSecond = 2
	// DefaultMaxRetries bounds the retries saved up from successful batches,
	// and likewise those saved up over time.
	DefaultMaxRetries = 50
)

const shardCount = 16

// Budget holds the remaining retries of each workspace. It is divided into
// shards by workspace to reduce lock contention.
type Budget struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// account is the budget of one workspace: limiter allows the retries a second,
// and earned counts those that successful batches added.
type account struct {
	limiter  *rate.Limiter
	earned   float64
	lastUsed time.Time
}

// maxIdle is how long an unused account is kept.
const maxIdle = 10 * time.Minute

// New returns a budget with the default limits.
func New() *Budget {
	b := &Budget{}
	for i := range b.shards {
		b.shards[i].accounts = make(map[string]*account)
	}
	return b
}

// Allow reports whether the workspace may retry once more, and charges the
// retry to its budget.
func (b *Budget) Allow(workspace string) bool {
	s := b.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(workspace)
	if a.earned >= 1 {
		a.earned--
		return true
	}
	return a.limiter.Allow()
}

// RecordSuccess records a batch of the workspace that was answered.
func (b *Budget) RecordSuccess(workspace string) {
	s := b.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(workspace)
	a.earned = min(a.earned+DefaultRetryRatio, DefaultMaxRetries)
}

func (b *Budget) shard(workspace string) *shard {
	return &b.shards[xxhash.Sum64String(workspace)%shardCount]
}

// account returns the workspace's account and creates it if there is none. The
// caller holds mu.
func (s *shard) account(workspace string) *account {
	now := time.Now()
	a := s.accounts[workspace]
	if a == nil {
		s.evictIdle(now)
		a = &account{
			limiter: rate.NewLimiter(DefaultMinRetriesPerSecond, DefaultMaxRetries),
		}
		s.accounts[workspace] = a
	}
	a.lastUsed = now
	return a
}

// evictIdle removes accounts that have been unused for longer than maxIdle. The
// caller holds mu.
func (s *shard) evictIdle(now time.Time) {
	for name, a := range s.accounts {
		if now.Sub(a.lastUsed) > maxIdle {
			delete(s.accounts, name)
		}
	}
}
