package edge

import (
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/reqlog"
	"wasabislip.example/wasabislip/internal/modules/stats"
)

// mismatches logs and counts answers of instances that do not surely belong to the
// statement that waited for one.
type mismatches struct {
	log   *reqlog.Logger
	stats *stats.Stats
}

// RecordMismatch records such an answer to a request.
func (m *mismatches) RecordMismatch(instance, request, reason string, r *reply.Reply) {
	m.stats.RecordMismatch(reason)
	m.log.LogFailure(
		"an answer does not surely belong to its statement",
		"request", request,
		"instance", instance,
		"reason", reason,
		"outcome", reply.OutcomeName(r.Outcome),
		"signature", r.Signature,
		"position", r.Position.String(),
	)
}
