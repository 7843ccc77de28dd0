package bureau

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"wasabislip.example/wasabislip/internal/models/term"
	"wasabislip.example/wasabislip/internal/modules/trail"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// lookers bounds the rows read and terms taken at once.
const maxConcurrent = 16

// Run takes databases for which this host is the first live candidate. When
// ctx ends the stewardships end at once; Stop ends them without cutting a run.
func (b *Bureau) Run(ctx context.Context) {
	defer close(b.done)
	b.mu.Lock()
	b.ctx = ctx
	b.mu.Unlock()
	for ctx.Err() == nil {
		b.scan(ctx)
		wait := time.NewTimer(LookEvery + rand.N(LookEvery/2))
		select {
		case <-ctx.Done():
		case <-wait.C:
		case <-b.wake:
			sleep(ctx, rand.N(LookEvery/10))
		}
		wait.Stop()
	}
	b.running.Wait()
}

// look goes over the databases that this host may have to take.
func (b *Bureau) scan(ctx context.Context) {
	b.mu.Lock()
	s, leaving := b.spec, b.draining
	b.mu.Unlock()
	if s == nil {
		return
	}
	for _, name := range b.Stewards() {
		if b.shouldHandOff(name) {
			b.startHandOff(name, "host-drained")
		}
	}
	if leaving {
		return
	}
	p := pool.New().WithMaxGoroutines(maxConcurrent)
	defer p.Wait()
	for i := range s.Databases {
		d := &s.Databases[i]
		if b.find(d.Name) == nil && b.mayHaveToTake(d.Name) {
			p.Go(func() { b.takeUnlessServed(ctx, s, d) })
		}
	}
}

// concerns reports whether this host may have to take a database that it does
// not hold: as the first live candidate, or as the steward that the row names.
// A host that restarts before others miss it answers them, so that none of
// them takes what it held.
func (b *Bureau) mayHaveToTake(database string) bool {
	if b.isFirstCandidate(database) {
		return !b.servedElsewhere(database)
	}
	sh := b.shard(database)
	sh.mu.RLock()
	known, ok := sh.redirects[database]
	sh.mu.RUnlock()
	if ok {
		return known.host == b.placement.Self()
	}
	return slices.Contains(b.placement.Candidates(database), b.placement.Self())
}

// first reports whether this host is the first live candidate.
func (b *Bureau) isFirstCandidate(database string) bool {
	for _, host := range b.placement.Candidates(database) {
		if host == b.placement.Self() {
			return true
		}
		if b.placement.Alive(host) {
			return false
		}
	}
	return false
}

// servedElsewhere reports whether a row read not long ago names another host
// that is alive: there is nothing to take until it is not.
func (b *Bureau) servedElsewhere(database string) bool {
	sh := b.shard(database)
	sh.mu.RLock()
	known, ok := sh.redirects[database]
	sh.mu.RUnlock()
	return ok &&
		known.host != b.placement.Self() &&
		time.Since(known.at) < AliveRowAge &&
		b.placement.Alive(known.host)
}

// replaceable reports whether this host is no candidate for database while a
// live host is.
func (b *Bureau) shouldHandOff(database string) bool {
	other := false
	for _, host := range b.placement.Candidates(database) {
		if host == b.placement.Self() {
			return false
		}
		other = other || b.placement.Alive(host)
	}
	return other
}

// release gives a stewardship up in the background.
func (b *Bureau) startHandOff(database, reason string) {
	h := b.find(database)
	if h == nil || !h.releasing.CompareAndSwap(false, true) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	ctx := b.ctx
	b.running.Go(func() {
		limited, cancel := context.WithTimeout(ctx, ReleaseLimit)
		defer cancel()
		b.handOff(limited, database, reason)
	})
}

// consider takes d unless its steward answers. One that leaves ends its runs
// and offers the database then; to take it earlier would cut them.
func (b *Bureau) takeUnlessServed(ctx context.Context, s *spec.Spec, d *group.Database) {
	ctx, cancel := context.WithTimeout(ctx, RowAge)
	defer cancel()
	row, err := b.readTerm(ctx, d.Name)
	if err != nil {
		return
	}
	answers := row.Steward != "" && row.Steward != b.placement.Self() && b.placement.Answers(ctx, row.Steward, row.Address)
	take, reason := row.MayTake(b.placement.Self(), b.isFirstCandidate(d.Name), answers)
	if take {
		b.start(s, d, reason)
	}
}

// Take takes database because its former steward gave it up.
func (b *Bureau) Take(database string) {
	b.mu.Lock()
	s, leaving := b.spec, b.draining
	b.mu.Unlock()
	if s == nil || leaving {
		return
	}
	if d := s.Database(database); d != nil {
		b.start(s, d, "handed-over")
	}
}

func (b *Bureau) start(s *spec.Spec, d *group.Database, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draining || b.ctx == nil || b.ctx.Err() != nil || b.find(d.Name) != nil {
		return
	}
	steward, runner, err := b.builder.Build(*d)
	if err != nil {
		b.decision("leave-database", "steward-cannot-be-built", d.Name).Refuse()
		return
	}
	steward.Drain(drained(s, d))
	h := &servedDatabase{
		coordinator: steward,
		runner:  runner,
	}
	sh := b.shard(d.Name)
	sh.mu.Lock()
	sh.services[d.Name] = h
	sh.mu.Unlock()
	b.decision("take-database", reason, d.Name).Log()
	ctx := b.ctx
	b.running.Go(func() {
		steward.Run(ctx)
		sh.mu.Lock()
		delete(sh.services, d.Name)
		delete(sh.redirects, d.Name)
		sh.mu.Unlock()
	})
}

// Stop gives every stewardship up: each admits no more runs, ends those it
// has, and is offered to the next live candidate.
func (b *Bureau) Stop(ctx context.Context) {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	p := pool.New()
	defer p.Wait()
	for _, name := range b.Stewards() {
		p.Go(func() { b.handOff(ctx, name, "host-leaving") })
	}
}

func (b *Bureau) handOff(ctx context.Context, database, reason string) {
	h := b.find(database)
	if h == nil {
		return
	}
	b.decision("give-database-up", reason, database).Log()
	h.coordinator.Stop(ctx)
	select {
	case <-h.coordinator.Done():
	case <-ctx.Done():
		return
	}
	for n := range OfferTries {
		if n > 0 {
			sleep(ctx, OfferPause)
		}
		if b.offer(ctx, database) {
			return
		}
	}
}

// offer offers a database to the other candidates, and reports whether one
// accepted it or there is none.
func (b *Bureau) offer(ctx context.Context, database string) bool {
	asked := false
	for _, host := range b.placement.Candidates(database) {
		if host == b.placement.Self() || !b.placement.Alive(host) {
			continue
		}
		asked = true
		if b.handover.Offer(ctx, database, host) == nil {
			b.rememberRedirect(database, host)
			return true
		}
	}
	return !asked
}

// steward returns the host that the term row names, or the first live
// candidate when the row cannot be read.
func (b *Bureau) findCoordinator(ctx context.Context, database string) string {
	sh := b.shard(database)
	sh.mu.RLock()
	known, ok := sh.redirects[database]
	sh.mu.RUnlock()
	if ok && time.Since(known.at) < RowAge && known.host != b.placement.Self() {
		return known.host
	}
	ctx, cancel := context.WithTimeout(ctx, RowAge)
	defer cancel()
	row, err := b.readTerm(ctx, database)
	if err == nil && row.Steward != "" && row.Steward != b.placement.Self() && b.placement.Answers(ctx, row.Steward, row.Address) {
		return row.Steward
	}
	for _, host := range b.placement.Candidates(database) {
		if b.placement.Alive(host) && host != b.placement.Self() {
			return host
		}
	}
	return ""
}

func (b *Bureau) readTerm(ctx context.Context, database string) (term.Term, error) {
	r, err := b.table.Get(ctx, term.Class, database)
	if err != nil {
		return term.Term{}, err
	}
	row, err := term.Parse(database, r.Body)
	if err != nil {
		return term.Term{}, err
	}
	b.rememberRedirect(database, row.Steward)
	return row, nil
}

// note remembers for RowAge which host serves database.
func (b *Bureau) rememberRedirect(database, host string) {
	sh := b.shard(database)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.redirects[database] = redirect{
		host: host,
		at:   time.Now(),
	}
}

func (b *Bureau) decision(what, reason, database string) trail.Decision {
	return trail.Decision{
		Decision: what,
		Reason:   reason,
		Database: database,
		Host:     b.placement.Self(),
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
