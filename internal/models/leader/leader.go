// Package leader holds the record of the primary of one service, or of the
// failover that is in progress.
package leader

import "wasabislip.example/wasabislip/pkg/model/logpos"

// Phases of a record.
const (
	// Settled means that Primary is in force.
	Settled = "settled"
	// Changing means that the former primary must not be used any more.
	Changing = "changing"
)

// Leader is the record of one service. If a service has no record, its primary
// is the instance that registered as such.
type Leader struct {
	// Token is the fencing token: it grows with each failover, so that a host
	// that carried out an earlier one can no longer act.
	Token uint64 `json:"token"`
	// Holder is the host that carries out the failover.
	Holder string `json:"holder"`
	// Phase is Settled or Changing.
	Phase string `json:"phase"`
	// Primary is the primary in force or, while Changing, the instance chosen
	// as the next one.
	Primary string `json:"primary"`
	// FormerPrimary is the primary that is replaced.
	FormerPrimary string `json:"former"`
	// Planned tells that the former primary still runs and is stopped before
	// its successor starts, so that no commit is lost.
	Planned bool `json:"planned"`
	// LogEnd is the end of the successor's log. No acknowledged commit can be
	// beyond it until the record is settled. It is zero until it is known.
	LogEnd logpos.Position `json:"floor"`
	// Reason is the reason of the failover, in kebab case.
	Reason string `json:"reason"`
}

// Duty returns the name of the duty of watching a service's primary and replacing it, by
// which hosts are ranked.
func Duty(service string) string {
	return "change/" + service
}

// tokenEraBits is the width of the part of a token that counts within one era.
const tokenEraBits = 32

// NextToken returns the fencing token after last in an era of the store. Tokens of a
// later era are higher than all of an earlier one, also than those whose records the
// store lost when it was restored.
func NextToken(last, era uint64) uint64 {
	return max(last+1, era<<tokenEraBits)
}

// Era returns the era of the store in which a token was given out.
func Era(token uint64) uint64 {
	return token >> tokenEraBits
}
