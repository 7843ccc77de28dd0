// Package locks holds the row locks of open transactions.
package locks

import (
	"context"
	"slices"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/standin/pgerr"
)

// deadlockTimeout is how long a transaction waits for all locks of one call.
const deadlockTimeout = 2 * time.Second

// Locks gives each key to one transaction at a time. A wait longer than
// deadlockTimeout is reported as a deadlock.
type Locks struct {
	mu   sync.Mutex
	held map[string]chan struct{}
}

// New returns Locks with no key locked.
func New() *Locks {
	return &Locks{
		held: map[string]chan struct{}{},
	}
}

// Acquire locks the keys that are not in owned yet and adds them to owned, the
// transaction's keys. It locks in sorted order, so that two transactions
// that lock in one call each do not deadlock.
func (l *Locks) Acquire(ctx context.Context, owned map[string]bool, keys []string) error {
	timeout := time.NewTimer(deadlockTimeout)
	defer timeout.Stop()
	for _, k := range slices.Sorted(slices.Values(keys)) {
		if owned[k] {
			continue
		}
		if err := l.acquireOne(ctx, timeout.C, k); err != nil {
			return err
		}
		owned[k] = true
	}
	return nil
}

func (l *Locks) acquireOne(ctx context.Context, timeout <-chan time.Time, key string) error {
	for {
		released := l.tryAcquire(key)
		if released == nil {
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return pgerr.New(pgerr.QueryCanceled, "canceling statement due to user request")
		case <-timeout:
			return pgerr.New(pgerr.DeadlockDetected, "deadlock detected; run the transaction again")
		}
	}
}

// tryAcquire locks key, or returns a channel that is closed once key is free.
func (l *Locks) tryAcquire(key string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if released, ok := l.held[key]; ok {
		return released
	}
	l.held[key] = make(chan struct{})
	return nil
}

// Release unlocks the keys in owned and empties it.
func (l *Locks) Release(owned map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range owned {
		close(l.held[k])
		delete(l.held, k)
	}
	clear(owned)
}
