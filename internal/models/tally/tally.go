// Package tally counts the connections of each workspace against a limit.
package tally

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards; each has its own lock.
const shardCount = 16

// Tally counts by name. It is safe for concurrent use.
type Tally struct {
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	counts map[string]int
}

// New returns an empty tally.
func New() *Tally {
	t := &Tally{}
	for i := range t.shards {
		t.shards[i].counts = make(map[string]int)
	}
	return t
}

// Add adds one to the count of name. It returns false if the count has reached
// limit.
func (t *Tally) Add(name string, limit int) bool {
	s := t.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[name] >= limit {
		return false
	}
	s.counts[name]++
	return true
}

// Drop subtracts one from the count of name.
func (t *Tally) Drop(name string) {
	s := t.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]--
	if s.counts[name] <= 0 {
		delete(s.counts, name)
	}
}

func (t *Tally) shard(name string) *shard {
	return &t.shards[xxhash.Sum64String(name)%shardCount]
}
