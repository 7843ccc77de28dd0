package failov

import (
	"context"

	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
	"wasabislip.example/wasabislip/internal/models/server"
)

// candidate is an instance that may be promoted, with its report.
type candidate struct {
	server server.Server
	report report.Report
}

// isBetter reports whether the candidate is to be promoted rather than another one: a
// primary of a higher term, which an earlier failover promoted, or else the one that
// received more.
func (c candidate) isBetter(other candidate) bool {
	switch {
	case c.report.Primary && c.report.Term > other.report.Term:
		return true
	case other.report.Primary && other.report.Term > c.report.Term:
		return false
	case c.report.Term == other.report.Term && c.report.Primary != other.report.Primary:
		return c.report.Primary
	}
	return c.report.Received.Newer(other.report.Received)
}

// bestCandidate returns the candidate that received most of the log. It returns
// false unless so many replicas answered that one of them holds every
// acknowledged commit, or the candidate holds all of the log of a former primary
// that stepped down.
func (a *attempt) bestCandidate(ctx context.Context) (candidate, bool) {
	var best candidate
	found := false
	answered := 0
	for _, s := range a.failover.candidates(a.service, a.record.FormerPrimary) {
		r, outcome, err := a.failover.Prober.Status(ctx, s)
		if err != nil || outcome != reply.Done {
			continue
		}
		answered++
		a.newestTerm = max(a.newestTerm, r.Term)
		if a.rejected[s.ID] {
			continue
		}
		c := candidate{
			server: s,
			report: r,
		}
		if !found || c.isBetter(best) {
			best = c
			found = true
		}
	}
	whole := !a.formerLogEnd.IsZero() && !a.formerLogEnd.Newer(best.report.Received)
	if found && !whole && answered < a.failover.requiredAnswers(a.service, a.record.FormerPrimary) {
		klog.InfoS("too few replicas answer to replace the primary", "service", a.service, "answered", answered, "former", a.record.FormerPrimary)
		return best, false
	}
	return best, found
}
