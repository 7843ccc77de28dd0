// Package dedup tells status reports of instances that may be repetitions of earlier ones.
package dedup

import "wasabislip.example/wasabislip/internal/models/report"

// maxReports is how many different reports of a connection are remembered. Only the first
// few are of use: those of a failover's commands.
const maxReports = 16

// Reports decides which answers on one connection surely belong to the request that
// waits, if each is a status report and the next request is sent once one was read. The
// zero value is that of a new connection. One goroutine uses it at a time.
type Reports struct {
	seen map[statusAnswer]struct{}
	// doubtful says that some answer may be the repetition of an earlier one, so that
	// any later answer may belong to an earlier request.
	doubtful bool
}

// statusAnswer is an answer with a report, which is empty after an error.
type statusAnswer struct {
	report  report.Report
	outcome int
}

// Add adds an answer and reports whether it surely belongs to the request that waits. The
// first one does, and each one unlike all before it, as long as all of these did.
func (h *Reports) Add(r report.Report, outcome int) bool {
	a := statusAnswer{
		report:  r,
		outcome: outcome,
	}
	if _, seen := h.seen[a]; seen || len(h.seen) >= maxReports {
		h.doubtful = true
	}
	if h.doubtful {
		return false
	}
	if h.seen == nil {
		h.seen = map[statusAnswer]struct{}{}
	}
	h.seen[a] = struct{}{}
	return true
}

// Doubtful reports whether no later answer on the connection can be told from the
// repetition of an earlier one.
func (h *Reports) Doubtful() bool {
	return h.doubtful
}
