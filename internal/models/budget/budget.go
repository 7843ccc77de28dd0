// Package budget bounds the retries of each workspace to a share of its
// batches, so that retries cannot multiply the load of a fleet in trouble.
package budget

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Defaults of a budget.
const (
	// DefaultShare is how many retries each batch that succeeded pays for.
	DefaultShare = 0.1
	// DefaultPerSecond is how many retries come in each second besides.
	DefaultPerSecond = 2
	// DefaultMost is how many retries may be saved up.
	DefaultMost = 50
)

const shardCount = 16

// Budget holds the retries left of each workspace.
type Budget struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// space is one workspace's part: retries that come with time, and those that
// its batches paid for.
type account struct {
	limiter  *rate.Limiter
	earned   float64
	lastUsed time.Time
}

// maxIdle is how long an unused workspace is kept.
const maxIdle = 10 * time.Minute

// New returns a budget with the defaults.
func New() *Budget {
	b := &Budget{}
	for i := range b.shards {
		b.shards[i].accounts = make(map[string]*account)
	}
	return b
}

// Allow reports whether the workspace may retry once more, and counts it.
func (b *Budget) Allow(workspace string) bool {
	s := b.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.account(workspace)
	if w.earned >= 1 {
		w.earned--
		return true
	}
	return w.limiter.Allow()
}

// Succeeded counts a batch of the workspace that was answered.
func (b *Budget) Succeeded(workspace string) {
	s := b.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.account(workspace)
	w.earned = min(w.earned+DefaultShare, DefaultMost)
}

func (b *Budget) shard(workspace string) *shard {
	return &b.shards[xxhash.Sum64String(workspace)%shardCount]
}

// space returns the workspace's part; mu is held.
func (s *shard) account(workspace string) *account {
	now := time.Now()
	w := s.accounts[workspace]
	if w == nil {
		s.evictIdle(now)
		w = &account{
			limiter: rate.NewLimiter(DefaultPerSecond, DefaultMost),
		}
		s.accounts[workspace] = w
	}
	w.lastUsed = now
	return w
}

// sweep drops workspaces that were not used for long; mu is held.
func (s *shard) evictIdle(now time.Time) {
	for name, w := range s.accounts {
		if now.Sub(w.lastUsed) > maxIdle {
			delete(s.accounts, name)
		}
	}
}
