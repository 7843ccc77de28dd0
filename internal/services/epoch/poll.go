package epoch

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/internal/modules/declog"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// runRounds starts a round when one is requested or PollInterval has passed.
func (e *Epoch) runRounds(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.termCtx.Done():
			return
		case <-timer.C:
		case <-e.roundRequested:
		}
		e.startRound()
		timer.Reset(PollInterval)
		e.awaitRound(ctx)
	}
}

// startRound starts a round: polls sent from now on count for it. It ends the
// term instead when the primary has failed.
func (e *Epoch) startRound() {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.checkedAt) >= PollInterval {
		e.checkSilence(now)
	}
	if failed, reason := e.detector.Failed(now, e.majorityWithoutPrimary()); failed {
		e.decision("replace-primary", reason).LogAlways()
		e.endLocked(PrimaryFailed)
		return
	}
	e.round++
	e.roundStart[e.round%keptMarks] = now
	for _, w := range e.wake {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// checkSilence records a poll that the primary has not answered, and marks the
// instances that have not answered for SilenceTimeout; the caller holds mu.
func (e *Epoch) checkSilence(now time.Time) {
	e.checkedAt = now
	if e.sentRound[e.primary] > e.answeredRound[e.primary] {
		e.detector.RecordMiss()
	}
	for i := range e.live {
		if e.live[i] && now.Sub(e.answeredAt[i]) > SilenceTimeout {
			e.live[i] = false
			e.publish()
		}
	}
}

// awaitRound waits until the round is verified and MinRoundGap has passed, or for
// RoundTimeout.
func (e *Epoch) awaitRound(ctx context.Context) {
	timeout := time.NewTimer(RoundTimeout)
	defer timeout.Stop()
	gap := time.NewTimer(MinRoundGap)
	defer gap.Stop()
	for {
		e.mu.Lock()
		verified, changed := e.verifiedRound >= e.round, e.changed
		e.mu.Unlock()
		if verified {
			break
		}
		select {
		case <-changed:
		case <-timeout.C:
			return
		case <-e.termCtx.Done():
			return
		case <-ctx.Done():
			return
		}
	}
	select {
	case <-gap.C:
	case <-ctx.Done():
	}
}

// majorityWithoutPrimary reports whether the live instances without the primary
// are a majority; the caller holds mu.
func (e *Epoch) majorityWithoutPrimary() bool {
	n := 0
	for i, ok := range e.live {
		if ok && i != e.primary {
			n++
		}
	}
	return n >= e.database.Majority()
}

// poll asks instance i for its status once a round. A poll that takes longer
// than a round skips the rounds that start meanwhile.
func (e *Epoch) poll(ctx context.Context, i int) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake[i]:
		}
		e.mu.Lock()
		round := e.round
		e.sentRound[i] = round
		e.mu.Unlock()
		start := time.Now()
		s, err := e.instances[i].Status(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.recordFailure(i, err)
			continue
		}
		e.recordStatus(i, round, start, s)
		if i != e.primary {
			e.rejoin(ctx, i, &s)
		}
	}
}

// recordFailure records that instance i did not answer a poll. For the primary
// a timeout counts as a miss, and any other error as a refusal.
func (e *Epoch) recordFailure(i int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.live[i] = false
	if i == e.primary {
		var timeout net.Error
		if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout()) {
			e.detector.RecordMiss()
		} else {
			e.detector.RecordRefusal()
		}
	}
	e.publish()
}

// recordStatus records the status that instance i returned to a poll of a round
// sent at start. It ends the term when the instance is fenced at a later one, or
// when it is the primary and has lost that role. A replica whose log grew shows
// that the primary was active.
func (e *Epoch) recordStatus(i int, round uint64, start time.Time, s status.Status) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Fence > e.term {
		e.decision("step-down", "fenced-at-later-term").LogAlways()
		e.endLocked(Superseded)
		return
	}
	grown := s.Received.Term == e.term && s.Received.Offset > e.reports[i].Received.Offset
	switch {
	case i == e.primary && s.Role == status.Primary && s.Term == e.term:
		e.detector.RecordAnswer(now, now.Sub(start))
	case i == e.primary:
		e.decision("replace-primary", "instance-lost-its-role").LogAlways()
		e.endLocked(PrimaryFailed)
		return
	case grown:
		e.detector.RecordActivity(now)
	}
	e.reports[i] = s
	e.live[i] = true
	e.answeredAt[i] = now
	if s.Fence == e.term {
		e.answeredRound[i] = max(e.answeredRound[i], round)
	}
	e.updateVerifiedRound()
	e.updateFreshness()
	e.publish()
}

// updateVerifiedRound finds the last round that a majority answered, the primary
// included; the caller holds mu.
func (e *Epoch) updateVerifiedRound() {
	var buf [8]uint64
	all := append(buf[:0], e.answeredRound...)
	slices.Sort(all)
	verified := min(all[len(all)-e.database.Majority()], e.answeredRound[e.primary])
	if verified <= e.verifiedRound {
		return
	}
	e.verifiedRound = verified
	if e.round-verified >= keptMarks {
		return
	}
	e.marks[verified%keptMarks] = roundMark{
		start:  e.roundStart[verified%keptMarks],
		offset: e.reports[e.primary].Received.Offset,
	}
}

// updateFreshness updates, for each replica, the latest time up to which it is
// known to have applied everything: the start of a round whose mark it has
// applied. The caller holds mu.
func (e *Epoch) updateFreshness() {
	primary := &e.reports[e.primary]
	v := e.View()
	now := time.Now()
	for i := range e.reports {
		r := &e.reports[i]
		if i == e.primary || r.Fence != e.term || !v.Quorum.HasApplied(primary, r, r.Applied) {
			continue
		}
		for _, m := range e.marks {
			if r.Applied.Offset >= m.offset && m.start.After(e.freshAt[i]) {
				e.freshAt[i] = m.start
				e.lag[i] = now.Sub(m.start)
			}
		}
	}
}

// rejoin fences an instance that came back at the term and makes it follow the
// primary, so that it discards what the primary's log does not hold.
func (e *Epoch) rejoin(ctx context.Context, i int, s *status.Status) {
	if s.Fence < e.term {
		if _, err := e.instances[i].Fence(ctx, e.term); err != nil {
			if fault.IsKind(err, fault.Superseded) {
				e.end(Superseded)
			}
			return
		}
	}
	if s.Fence == e.term && s.Term == e.term && s.Role == status.Replica {
		return
	}
	d := e.decision("follow-primary", "instance-outside-term")
	d.Instance = e.database.Instances[i].Name
	d.Log()
	address := e.database.Instances[e.primary].Address
	if err := e.instances[i].Follow(ctx, e.term, address); fault.IsKind(err, fault.Superseded) {
		e.end(Superseded)
	}
}

// decision returns a decision about the primary to be logged.
func (e *Epoch) decision(what, reason string) declog.Decision {
	return declog.Decision{
		Decision: what,
		Reason:   reason,
		Database: e.database.Name,
		Instance: e.database.Instances[e.primary].Name,
		Term:     e.term,
		Position: e.View().Confirmed,
	}
}
