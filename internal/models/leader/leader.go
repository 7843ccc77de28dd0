// Package leader holds the record of who leads one service: the primary in
// force, or the change of primary that is under way.
package leader

import "wasabislip.example/wasabislip/pkg/model/logpos"

// Phases of a record.
const (
	// Settled records name the primary in force.
	Settled = "settled"
	// Changing records forbid all use of the former primary.
	Changing = "changing"
)

// Leader is the record of one service. A service without a record is led by
// the instance that registered as its primary.
type Leader struct {
	// Token grows with each change and fences former holders.
	Token uint64 `json:"token"`
	// Holder is the host that carries out the change.
	Holder string `json:"holder"`
	// Phase is Settled or Changing.
	Phase string `json:"phase"`
	// Primary is the primary in force, or the one chosen to become it.
	Primary string `json:"primary"`
	// Former is the primary that is to be replaced.
	Former string `json:"former"`
	// Planned tells that the former primary still runs and stops before its
	// successor starts, so that nothing is lost.
	Planned bool `json:"planned"`
	// Floor is the end of the successor's log, which no acknowledged commit
	// can pass until the record is settled; zero before it is known.
	Floor logpos.Position `json:"floor"`
	// Reason says why the primary was replaced, in kebab case.
	Reason string `json:"reason"`
}
