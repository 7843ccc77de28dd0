package edge

import (
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/modules/reqlog"
	"wasabislip.example/wasabislip/internal/modules/stats"
)

// mismatches logs and counts answers of instances that were passed over, since they belong
// to other statements than the one that waited.
type mismatches struct {
	log   *reqlog.Logger
	stats *stats.Stats
}

// RecordMismatch records such an answer, which came while request waited for its own.
func (m *mismatches) RecordMismatch(instance, request, reason string, r *reply.Reply) {
	m.stats.RecordMismatch(reason)
	m.log.LogFailure(
		"an answer of another statement was passed over",
		"request", request,
		"instance", instance,
		"reason", reason,
		"outcome", reply.OutcomeName(r.Outcome),
		"signature", r.Signature,
		"position", r.Position.String(),
	)
}
