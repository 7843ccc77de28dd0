// Package declog writes one log line for each routing or placement decision.
package declog

import (
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// defaultLinesPerSecond is the limit on the lines that Log writes.
const defaultLinesPerSecond = 200

var limiter = rate.NewLimiter(defaultLinesPerSecond, defaultLinesPerSecond)

// Decision is what was decided, why and about what. Fields that do not apply are
// left empty; the line always has all keys.
type Decision struct {
	// Decision says what was decided, in kebab case: read-on-replica.
	Decision string
	// Reason says why, in kebab case: replica-at-floor. A floor is the minimum log
	// position that a read must see.
	Reason string
	// Workspace names the workspace (customer).
	Workspace string
	// Database names the database, which is served by a group of instances.
	Database string
	// Instance names the database instance chosen.
	Instance string
	// Term is the database's term.
	Term uint64
	// Position is the log position that the choice had to satisfy.
	Position logpos.Position
	// Host names the host that the decision is about.
	Host string
	// DataCentre names the data centre that the decision is about.
	DataCentre string
}

// SetLimit sets how many lines a second Log may write. LogAlways is not limited.
func SetLimit(perSecond int) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(perSecond)
}

// Log writes the line unless the limit on lines a second is reached.
func (d Decision) Log() {
	if limiter.Allow() {
		d.write()
	}
}

// LogAlways writes the line without regard to the limit. It is for refusals,
// failures and other decisions that an operator must see.
func (d Decision) LogAlways() {
	d.write()
}

func (d Decision) write() {
	klog.InfoSDepth(
		2, "decision",
		"decision", d.Decision,
		"reason", d.Reason,
		"workspace", d.Workspace,
		"database", d.Database,
		"instance", d.Instance,
		"term", d.Term,
		"position", d.Position.String(),
		"host", d.Host,
		"data-centre", d.DataCentre,
	)
}
