package caller

import (
	"sync"
	"sync/atomic"
)

// registryShards is the number of parts of a registry, each with a lock of its
// own.
const registryShards = 16

// registry holds the sessions of a server.
type registry struct {
	next   atomic.Uint64
	shards [registryShards]registryShard
}

type registryShard struct {
	mu       sync.Mutex
	sessions map[uint64]*session
}

func newRegistry() *registry {
	r := &registry{}
	for i := range r.shards {
		r.shards[i].sessions = make(map[uint64]*session)
	}
	return r
}

// add adds a session and returns the function that removes it.
func (r *registry) add(s *session) func() {
	id := r.next.Add(1)
	shard := &r.shards[id%registryShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.sessions[id] = s
	return func() {
		shard.mu.Lock()
		defer shard.mu.Unlock()
		delete(shard.sessions, id)
	}
}

// revokeInvalid ends the sessions whose key is not valid any more. Sessions
// without a key go on.
func (r *registry) revokeInvalid(valid func(workspace, keyID string) bool) {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		for _, s := range shard.sessions {
			if s.keyID != "" && !valid(s.workspace, s.keyID) {
				s.revoke()
			}
		}
		shard.mu.Unlock()
	}
}
