package tenure

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/models/quorum"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/internal/models/term"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// fenced is the outcome of fencing the group at one term.
type fencedGroup struct {
	quorum quorum.Quorum
	index  []int
}

// claim is a term that this host took and did not use yet.
type takenTerm struct {
	term    term.Term
	version uint64
}

// claimed returns the spare term, or takes one.
func (s *Steward) nextTerm(ctx context.Context) (takenTerm, error) {
	if c := s.reserved.Swap(nil); c != nil {
		s.decision("take-term", "spare-term", c.term.Number).Log()
		return *c, nil
	}
	t, version, err := s.takeTerm(ctx)
	return takenTerm{
		term:    t,
		version: version,
	}, err
}

// reserve takes the term after c ahead of its use, so that a change of primary
// needs no answer of the table. Until an instance is fenced at it the present
// term stands. The row names primary.
func (s *Steward) reserveNext(ctx context.Context, c takenTerm, primary string) {
	next := c.term.Next(s.host, s.address)
	next.Primary = primary
	for pause := RetryAfter; ctx.Err() == nil; pause = min(pause*2, RetryLimit) {
		step, cancel := context.WithTimeout(ctx, StepTimeout)
		err := s.writeTerm(step, next, c.version)
		cancel()
		if err == nil {
			s.ownTerm.Store(next.Number)
			s.reserved.Store(&takenTerm{
				term:    next,
				version: c.version + 1,
			})
			return
		}
		if fault.IsKind(err, fault.Conflict) {
			return
		}
		sleep(ctx, pause)
	}
}

// raise takes the next term by a conditional write.
func (s *Steward) takeTerm(ctx context.Context) (term.Term, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, StepTimeout)
	defer cancel()
	row, err := s.table.Get(ctx, term.Class, s.database.Name)
	if err != nil {
		return term.Term{}, 0, err
	}
	now, err := term.Parse(s.database.Name, row.Body)
	if err != nil {
		return term.Term{}, 0, err
	}
	if held := s.ownTerm.Load(); held != 0 && now.Number != held && now.Steward != s.host {
		return now, 0, s.superseded("term-taken-by-another-host", now.Number)
	}
	next := now.Next(s.host, s.address)
	if err := s.writeTerm(ctx, next, row.Version); err != nil {
		if fault.IsKind(err, fault.Conflict) {
			return next, 0, s.explainConflict(ctx, next.Number)
		}
		return next, 0, err
	}
	s.ownTerm.Store(next.Number)
	s.decision("take-term", "conditional-write-done", next.Number).Log()
	return next, row.Version + 1, nil
}

// lost explains a conflict on the way to term n: the row may have been changed
// by an own write whose answer was lost.
func (s *Steward) explainConflict(ctx context.Context, n uint64) error {
	row, err := s.table.Get(ctx, term.Class, s.database.Name)
	if err != nil {
		return err
	}
	now, err := term.Parse(s.database.Name, row.Body)
	if err == nil && s.ownTerm.Load() != 0 && now.Steward == s.host {
		return fault.New(fault.Conflict, "the term row of "+s.database.Name+" was changed by this host", "read it again")
	}
	return s.superseded("term-row-changed", n)
}

func (s *Steward) writeTerm(ctx context.Context, t term.Term, version uint64) error {
	body, err := t.Encode()
	if err != nil {
		return err
	}
	return s.table.Put(ctx, record.Record{
		Class:   term.Class,
		Name:    t.Database,
		Version: version + 1,
		Body:    body,
		Request: uuid.NewString(),
	}, version)
}

func (s *Steward) superseded(reason string, n uint64) error {
	s.decision("step-down", reason, n).Refuse()
	return fault.New(fault.Superseded, s.database.Name+" has another steward", "ask the present steward")
}

// establish fences a majority at t, promotes the newest of it and makes the
// rest follow. A promotion whose answer was lost ends the term: it is never
// given to a second instance.
func (s *Steward) promoteNewest(ctx context.Context, t term.Term) (int, status.Status, error) {
	f, err := s.fenceInstances(ctx, t.Number)
	if err != nil {
		return 0, status.Status{}, err
	}
	choice := f.quorum.Choose(t.Primary, s.isDrained)
	if choice < 0 {
		return 0, status.Status{}, fmt.Errorf("%s: no majority could be fenced at term %d", s.database.Name, t.Number)
	}
	chosen := f.quorum.Reports[choice]
	primary := f.index[choice]
	d := s.decision("promote", "newest-of-fenced-majority", t.Number)
	d.Instance = chosen.Instance
	d.Position = chosen.Received
	d.Log()
	step, cancel := context.WithTimeout(ctx, StepTimeout)
	defer cancel()
	if err := s.instances[primary].Promote(step, t.Number); err != nil {
		return 0, status.Status{}, err
	}
	report, err := s.instances[primary].Status(step)
	if err != nil {
		return 0, status.Status{}, err
	}
	s.followPrimary(step, t.Number, primary, f)
	return primary, report, nil
}

// fence raises the fence of every instance and returns once all answered, or
// FenceGrace after a majority did.
func (s *Steward) fenceInstances(ctx context.Context, n uint64) (fencedGroup, error) {
	ctx, cancel := context.WithTimeout(ctx, StepTimeout)
	defer cancel()
	type answer struct {
		index  int
		report status.Status
		err    error
	}
	answers := make(chan answer, len(s.instances))
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i, c := range s.instances {
		wg.Go(func() {
			report, err := c.Fence(ctx, n)
			report.Instance = s.database.Instances[i].Name
			answers <- answer{
				index:  i,
				report: report,
				err:    err,
			}
		})
	}
	f := fencedGroup{
		quorum: quorum.Quorum{
			Size: len(s.instances),
			Term: n,
		},
	}
	var errs []error
	var grace <-chan time.Time
	for range s.instances {
		select {
		case a := <-answers:
			if fault.IsKind(a.err, fault.Superseded) {
				return f, s.superseded("instance-fenced-at-later-term", n)
			}
			if a.err != nil {
				errs = append(errs, a.err)
				continue
			}
			f.index = append(f.index, a.index)
			f.quorum.Reports = append(f.quorum.Reports, a.report)
			if f.quorum.Fenced() && s.allButFailedPrimary(f.index) {
				return f, nil
			}
			if f.quorum.Fenced() && grace == nil {
				grace = time.After(FenceGrace)
			}
		case <-grace:
			return f, nil
		}
	}
	if f.quorum.Fenced() {
		return f, nil
	}
	return f, errors.Join(errs...)
}

// onlyMissing reports whether all instances but the primary that was found
// dead are among those of index.
func (s *Steward) allButFailedPrimary(index []int) bool {
	return s.failedPrimary >= 0 && len(index) == len(s.instances)-1 && !slices.Contains(index, s.failedPrimary)
}

// follow makes the fenced instances follow the primary; the epoch repeats it
// for those that fail.
func (s *Steward) followPrimary(ctx context.Context, n uint64, primary int, f fencedGroup) {
	var wg conc.WaitGroup
	for _, i := range f.index {
		if i == primary {
			continue
		}
		wg.Go(func() {
			_ = s.instances[i].Follow(ctx, n, s.database.Instances[primary].Address)
		})
	}
	wg.Wait()
}
