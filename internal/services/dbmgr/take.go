package dbmgr

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"wasabislip.example/wasabislip/internal/models/term"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

// maxConcurrent bounds how many databases are checked and taken at once.
const maxConcurrent = 16

// Run takes databases for which this host is the first live candidate. When ctx
// ends the coordinators end at once; Stop ends them without interrupting a run.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.done)
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	for ctx.Err() == nil {
		guard.Run("scan-databases", func() { m.scan(ctx) })
		wait := time.NewTimer(ScanInterval + rand.N(ScanInterval/2))
		select {
		case <-ctx.Done():
		case <-wait.C:
		case <-m.wake:
			sleep(ctx, rand.N(ScanInterval/10))
		}
		wait.Stop()
	}
	m.running.Wait()
}

// scan starts to hand over databases that another host should serve, and takes
// those that this host should serve.
func (m *Manager) scan(ctx context.Context) {
	m.mu.Lock()
	s, draining := m.spec, m.draining
	m.mu.Unlock()
	if s == nil {
		return
	}
	for _, name := range m.DatabaseNames() {
		if m.shouldHandOff(name) {
			m.startHandOff(name, "host-drained")
		}
	}
	if draining {
		return
	}
	p := pool.New().WithMaxGoroutines(maxConcurrent)
	defer p.Wait()
	for i := range s.Databases {
		d := &s.Databases[i]
		if m.find(d.Name) == nil && m.mayHaveToTake(d.Name) {
			p.Go(func() { m.takeUnlessServed(ctx, s, d) })
		}
	}
}

// mayHaveToTake reports whether this host may have to take a database that it
// does not serve: as the first live candidate, or as the coordinator that the
// term row names. A host that restarts before the others notice that it was gone
// answers them, so that none of them takes the databases that it served.
func (m *Manager) mayHaveToTake(database string) bool {
	if m.isFirstCandidate(database) {
		return !m.servedElsewhere(database)
	}
	sh := m.shard(database)
	sh.mu.RLock()
	known, ok := sh.redirects[database]
	sh.mu.RUnlock()
	if ok {
		return known.host == m.placement.Self()
	}
	return slices.Contains(m.placement.Candidates(database), m.placement.Self())
}

// isFirstCandidate reports whether this host is the first live candidate.
func (m *Manager) isFirstCandidate(database string) bool {
	for _, host := range m.placement.Candidates(database) {
		if host == m.placement.Self() {
			return true
		}
		if m.placement.Alive(host) {
			return false
		}
	}
	return false
}

// servedElsewhere reports whether a row that was read less than AliveRowMaxAge
// ago names another host that is alive. The database can't be taken while that
// is so.
func (m *Manager) servedElsewhere(database string) bool {
	sh := m.shard(database)
	sh.mu.RLock()
	known, ok := sh.redirects[database]
	sh.mu.RUnlock()
	return ok &&
		known.host != m.placement.Self() &&
		time.Since(known.at) < AliveRowMaxAge &&
		m.placement.Alive(known.host)
}

// shouldHandOff reports whether this host is not a candidate for database while
// a live host is.
func (m *Manager) shouldHandOff(database string) bool {
	other := false
	for _, host := range m.placement.Candidates(database) {
		if host == m.placement.Self() {
			return false
		}
		other = other || m.placement.Alive(host)
	}
	return other
}

// startHandOff hands a database over in the background.
func (m *Manager) startHandOff(database, reason string) {
	served := m.find(database)
	if served == nil || !served.handingOff.CompareAndSwap(false, true) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx == nil || m.ctx.Err() != nil {
		return
	}
	ctx := m.ctx
	m.running.Go(func() {
		limited, cancel := context.WithTimeout(ctx, ReleaseTimeout)
		defer cancel()
		m.handOff(limited, database, reason)
	})
}

// takeUnlessServed takes d unless its coordinator answers. A coordinator that is
// leaving first waits for its runs to end and then offers the database: taking
// it earlier would interrupt them.
func (m *Manager) takeUnlessServed(ctx context.Context, s *spec.Spec, d *group.Database) {
	ctx, cancel := context.WithTimeout(ctx, RedirectMaxAge)
	defer cancel()
	row, err := m.readTerm(ctx, d.Name)
	if err != nil {
		return
	}
	answers := row.Coordinator != "" && row.Coordinator != m.placement.Self() && m.placement.Answers(ctx, row.Coordinator, row.Address)
	take, reason := row.MayTake(m.placement.Self(), m.isFirstCandidate(d.Name), answers)
	if take {
		m.start(s, d, reason)
	}
}

// TakeOver takes database because its former coordinator gave it up.
func (m *Manager) TakeOver(database string) {
	m.mu.Lock()
	s, draining := m.spec, m.draining
	m.mu.Unlock()
	if s == nil || draining {
		return
	}
	if d := s.Database(database); d != nil {
		m.start(s, d, "handed-over")
	}
}

// start builds and runs a coordinator of d, unless the host serves d already or
// takes no more databases.
func (m *Manager) start(s *spec.Spec, d *group.Database, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining || m.ctx == nil || m.ctx.Err() != nil || m.find(d.Name) != nil {
		return
	}
	coordinator, executor, err := m.builder.Build(*d)
	if err != nil {
		m.decision("leave-database", "steward-cannot-be-built", d.Name).LogAlways()
		return
	}
	coordinator.SetDrained(drainedInstances(s, d))
	served := &servedDatabase{
		coordinator: coordinator,
		executor:    executor,
	}
	sh := m.shard(d.Name)
	sh.mu.Lock()
	sh.databases[d.Name] = served
	sh.mu.Unlock()
	m.decision("take-database", reason, d.Name).Log()
	ctx := m.ctx
	m.running.Go(func() {
		guard.Run("coordinator", func() { coordinator.Run(ctx) })
		sh.mu.Lock()
		delete(sh.databases, d.Name)
		delete(sh.redirects, d.Name)
		sh.mu.Unlock()
	})
}

// Stop hands every database over: its coordinator admits no more runs, waits for
// the admitted ones to end, and the database is offered to the next live
// candidate.
func (m *Manager) Stop(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	p := pool.New()
	defer p.Wait()
	for _, name := range m.DatabaseNames() {
		p.Go(func() { m.handOff(ctx, name, "host-leaving") })
	}
}

// handOff stops the coordinator of a database and then offers the database to
// other hosts, up to MaxOffers times.
func (m *Manager) handOff(ctx context.Context, database, reason string) {
	served := m.find(database)
	if served == nil {
		return
	}
	m.decision("give-database-up", reason, database).Log()
	served.coordinator.Stop(ctx)
	select {
	case <-served.coordinator.Done():
	case <-ctx.Done():
		return
	}
	for n := range MaxOffers {
		if n > 0 {
			sleep(ctx, OfferPause)
		}
		if m.offer(ctx, database) {
			return
		}
	}
}

// offer offers a database to the other candidates, and reports whether one
// accepted it or there is none.
func (m *Manager) offer(ctx context.Context, database string) bool {
	asked := false
	for _, host := range m.placement.Candidates(database) {
		if host == m.placement.Self() || !m.placement.Alive(host) {
			continue
		}
		asked = true
		if m.handover.Offer(ctx, database, host) == nil {
			m.rememberRedirect(database, host)
			return true
		}
	}
	return !asked
}

// findCoordinator returns the host that the term row names, or the first other
// live candidate when the row can't be read or its host does not answer.
func (m *Manager) findCoordinator(ctx context.Context, database string) string {
	sh := m.shard(database)
	sh.mu.RLock()
	known, ok := sh.redirects[database]
	sh.mu.RUnlock()
	if ok && time.Since(known.at) < RedirectMaxAge && known.host != m.placement.Self() {
		return known.host
	}
	ctx, cancel := context.WithTimeout(ctx, RedirectMaxAge)
	defer cancel()
	row, err := m.readTerm(ctx, database)
	if err == nil && row.Coordinator != "" && row.Coordinator != m.placement.Self() && m.placement.Answers(ctx, row.Coordinator, row.Address) {
		return row.Coordinator
	}
	for _, host := range m.placement.Candidates(database) {
		if m.placement.Alive(host) && host != m.placement.Self() {
			return host
		}
	}
	return ""
}

// readTerm reads the term row of database and remembers the host in it.
func (m *Manager) readTerm(ctx context.Context, database string) (term.Term, error) {
	r, err := m.table.Get(ctx, term.Class, database)
	if err != nil {
		return term.Term{}, err
	}
	row, err := term.Parse(database, r.Body)
	if err != nil {
		return term.Term{}, err
	}
	m.rememberRedirect(database, row.Coordinator)
	return row, nil
}

// rememberRedirect remembers which host serves database.
func (m *Manager) rememberRedirect(database, host string) {
	sh := m.shard(database)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.redirects[database] = redirect{
		host: host,
		at:   time.Now(),
	}
}

// decision returns a decision about a database to be logged.
func (m *Manager) decision(what, reason, database string) declog.Decision {
	return declog.Decision{
		Decision: what,
		Reason:   reason,
		Database: database,
		Host:     m.placement.Self(),
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
