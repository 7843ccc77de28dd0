package coord

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

// fencedGroup holds the reports of the instances that were fenced at one term;
// index holds their places in the database's list.
type fencedGroup struct {
	quorum quorum.Quorum
	index  []int
}

// takenTerm is a term that this host has taken and not used yet, with the
// version of its row.
type takenTerm struct {
	term    term.Term
	version uint64
}

// nextTerm returns the reserved term, or takes one.
func (c *Coordinator) nextTerm(ctx context.Context) (takenTerm, error) {
	if taken := c.reserved.Swap(nil); taken != nil {
		c.decision("take-term", "spare-term", taken.term.Number).Log()
		return *taken, nil
	}
	t, version, err := c.takeTerm(ctx)
	return takenTerm{
		term:    t,
		version: version,
	}, err
}

// reserveNext takes the term after taken ahead of its use, so that a failover
// does not have to wait for the table. The present term stays in force until an
// instance is fenced at the reserved one. The row names primary.
func (c *Coordinator) reserveNext(ctx context.Context, taken takenTerm, primary string) {
	next := taken.term.Next(c.host, c.address)
	next.Primary = primary
	for pause := MinBackoff; ctx.Err() == nil; pause = min(pause*2, MaxBackoff) {
		step, cancel := context.WithTimeout(ctx, StepTimeout)
		err := c.writeTerm(step, next, taken.version)
		cancel()
		if err == nil {
			c.ownTerm.Store(next.Number)
			c.reserved.Store(&takenTerm{
				term:    next,
				version: taken.version + 1,
			})
			return
		}
		if fault.IsKind(err, fault.Conflict) {
			return
		}
		sleep(ctx, pause)
	}
}

// takeTerm takes the next term by a compare-and-swap on the term's row.
func (c *Coordinator) takeTerm(ctx context.Context) (term.Term, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, StepTimeout)
	defer cancel()
	row, err := c.table.Get(ctx, term.Class, c.database.Name)
	if err != nil {
		return term.Term{}, 0, err
	}
	now, err := term.Parse(c.database.Name, row.Body)
	if err != nil {
		return term.Term{}, 0, err
	}
	if held := c.ownTerm.Load(); held != 0 && now.Number != held && now.Coordinator != c.host {
		return now, 0, c.superseded("term-taken-by-another-host", now.Number)
	}
	next := now.Next(c.host, c.address)
	if err := c.writeTerm(ctx, next, row.Version); err != nil {
		if fault.IsKind(err, fault.Conflict) {
			return next, 0, c.explainConflict(ctx, next.Number)
		}
		return next, 0, err
	}
	c.ownTerm.Store(next.Number)
	c.decision("take-term", "conditional-write-done", next.Number).Log()
	return next, row.Version + 1, nil
}

// explainConflict returns the error for a conflicting write of term n: the row
// may have been changed by an earlier write of this host whose answer was lost.
func (c *Coordinator) explainConflict(ctx context.Context, n uint64) error {
	row, err := c.table.Get(ctx, term.Class, c.database.Name)
	if err != nil {
		return err
	}
	now, err := term.Parse(c.database.Name, row.Body)
	if err == nil && c.ownTerm.Load() != 0 && now.Coordinator == c.host {
		return fault.New(fault.Conflict, "the term row of "+c.database.Name+" was changed by this host", "read it again")
	}
	return c.superseded("term-row-changed", n)
}

// writeTerm writes the term's row if its version is still version.
func (c *Coordinator) writeTerm(ctx context.Context, t term.Term, version uint64) error {
	body, err := t.Encode()
	if err != nil {
		return err
	}
	return c.table.Put(ctx, record.Record{
		Class:   term.Class,
		Name:    t.Database,
		Version: version + 1,
		Body:    body,
		Request: uuid.NewString(),
	}, version)
}

// superseded logs that another host has taken over at term n, and returns the
// error that ends Run.
func (c *Coordinator) superseded(reason string, n uint64) error {
	c.decision("step-down", reason, n).LogAlways()
	return fault.New(fault.Superseded, c.database.Name+" has another steward", "ask the present steward")
}

// promoteNewest fences a majority at term t, promotes the instance of it with
// the newest log and makes the others follow it. When the answer to the
// promotion is lost the term ends: no second instance is promoted in it.
func (c *Coordinator) promoteNewest(ctx context.Context, t term.Term) (int, status.Status, error) {
	f, err := c.fenceInstances(ctx, t.Number)
	if err != nil {
		return 0, status.Status{}, err
	}
	choice := f.quorum.ChoosePrimary(t.Primary, c.isDrained)
	if choice < 0 {
		return 0, status.Status{}, fmt.Errorf("%s: no majority could be fenced at term %d", c.database.Name, t.Number)
	}
	chosen := f.quorum.Reports[choice]
	primary := f.index[choice]
	d := c.decision("promote", "newest-of-fenced-majority", t.Number)
	d.Instance = chosen.Instance
	d.Position = chosen.Received
	d.Log()
	step, cancel := context.WithTimeout(ctx, StepTimeout)
	defer cancel()
	if err := c.instances[primary].Promote(step, t.Number); err != nil {
		return 0, status.Status{}, err
	}
	report, err := c.instances[primary].Status(step)
	if err != nil {
		return 0, status.Status{}, err
	}
	c.followPrimary(step, t.Number, primary, f)
	return primary, report, nil
}

// fenceInstances raises the fencing token of every instance to term n. It
// returns once all have answered, or all but the primary that failed in the last
// term, or FenceGrace after a majority has.
func (c *Coordinator) fenceInstances(ctx context.Context, n uint64) (fencedGroup, error) {
	ctx, cancel := context.WithTimeout(ctx, StepTimeout)
	defer cancel()
	type answer struct {
		index  int
		report status.Status
		err    error
	}
	answers := make(chan answer, len(c.instances))
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i, client := range c.instances {
		wg.Go(func() {
			report, err := client.Fence(ctx, n)
			report.Instance = c.database.Instances[i].Name
			answers <- answer{
				index:  i,
				report: report,
				err:    err,
			}
		})
	}
	f := fencedGroup{
		quorum: quorum.Quorum{
			Size: len(c.instances),
			Term: n,
		},
	}
	var errs []error
	var grace <-chan time.Time
	for range c.instances {
		select {
		case a := <-answers:
			if fault.IsKind(a.err, fault.Superseded) {
				return f, c.superseded("instance-fenced-at-later-term", n)
			}
			if a.err != nil {
				errs = append(errs, a.err)
				continue
			}
			f.index = append(f.index, a.index)
			f.quorum.Reports = append(f.quorum.Reports, a.report)
			if f.quorum.Fenced() && c.allButFailedPrimary(f.index) {
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

// allButFailedPrimary reports whether index holds all instances but the primary
// that failed in the last term.
func (c *Coordinator) allButFailedPrimary(index []int) bool {
	return c.failedPrimary >= 0 && len(index) == len(c.instances)-1 && !slices.Contains(index, c.failedPrimary)
}

// followPrimary makes the fenced instances follow the primary. The epoch repeats
// the command for those that fail.
func (c *Coordinator) followPrimary(ctx context.Context, n uint64, primary int, f fencedGroup) {
	var wg conc.WaitGroup
	for _, i := range f.index {
		if i == primary {
			continue
		}
		wg.Go(func() {
			_ = c.instances[i].Follow(ctx, n, c.database.Instances[primary].Address)
		})
	}
	wg.Wait()
}
