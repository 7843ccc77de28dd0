package failov

import (
	"context"
	"slices"

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

// statusFunc asks an instance for its report.
type statusFunc func(ctx context.Context, s server.Server) (report.Report, int, error)

// countOutdone returns how many replicas that can't be promoted, such as one that leaves,
// answer that the candidate holds all that they have received.
func (a *attempt) countOutdone(ctx context.Context, status statusFunc, best candidate, candidates []server.Server) int {
	n := 0
	for _, s := range a.failover.Directory.Servers(a.service) {
		if s.ID == a.record.FormerPrimary || slices.Contains(candidates, s) {
			continue
		}
		r, outcome, err := status(ctx, s)
		other := candidate{
			server: s,
			report: r,
		}
		if err == nil && outcome == reply.Done && !other.isBetter(best) {
			n++
		}
	}
	return n
}

// bestCandidate returns the candidate that received most of the log. It returns
// false unless so many replicas answered that one of them holds every
// acknowledged commit, or the candidate holds all of the log of a former primary
// that stepped down. A choice needs fresh reports: with older ones another replica may
// have received more. Older ones show what the candidate received at the least.
func (a *attempt) bestCandidate(ctx context.Context, status statusFunc) (candidate, bool) {
	var best candidate
	found := false
	answered := 0
	candidates := a.failover.candidates(a.service, a.record.FormerPrimary)
	for _, s := range candidates {
		r, outcome, err := status(ctx, s)
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
	if found && a.failover.Directory.SyncReplicas(a.service) > 0 {
		answered += a.countOutdone(ctx, status, best, candidates)
	}
	whole := !a.formerLogEnd.IsZero() && !a.formerLogEnd.Newer(best.report.Received)
	if found && !whole && answered < a.failover.requiredAnswers(a.service, a.record.FormerPrimary) {
		klog.InfoS("too few replicas answer to replace the primary", "service", a.service, "answered", answered, "former", a.record.FormerPrimary)
		return best, false
	}
	return best, found
}
