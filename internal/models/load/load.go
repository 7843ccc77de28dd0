// Package load holds the report of the load that one host puts on an instance.
package load

import (
	"fmt"
	"time"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Bounds of a plausible report. An instance accepts some hundred connections at most,
// and a statement runs for a minute at most.
const (
	maxStatements = 100_000
	maxService    = time.Minute
	maxPerSecond  = 100_000
)

// Report is the load that one host puts on an instance.
type Report struct {
	// Instance is the instance's id.
	Instance string
	// Host is the host that made the report; empty for this host.
	Host string
	// Running counts the host's statements at the instance, Waiting those that wait
	// for a connection.
	Running int
	Waiting int
	// Service is the moving average of the instance's answers; 0 if unknown.
	Service time.Duration
	// CompletedPerSecond is the rate of the host's statements that the instance ran.
	CompletedPerSecond int
	// StartedMs is the Unix millisecond of the instance's start; 0 if unknown.
	StartedMs int64
}

// Total returns how many statements run and wait.
func (r *Report) Total() int {
	return r.Running + r.Waiting
}

// Check returns a fault if the report of the load on an instance is implausible.
func (r *Report) Check(instance string) error {
	switch {
	case r.Instance != instance:
		return r.implausible("instance", r.Instance)
	case r.Running < 0 || r.Running > maxStatements:
		return r.implausible("running", r.Running)
	case r.Waiting < 0 || r.Waiting > maxStatements:
		return r.implausible("waiting", r.Waiting)
	case r.Service < 0 || r.Service > maxService:
		return r.implausible("service_us", r.Service.Microseconds())
	case r.CompletedPerSecond < 0 || r.CompletedPerSecond > maxPerSecond:
		return r.implausible("completed_per_s", r.CompletedPerSecond)
	case r.StartedMs < 0:
		return r.implausible("started_ms", r.StartedMs)
	}
	return nil
}

func (r *Report) implausible(field string, value any) error {
	return fault.New(
		fault.BadRequest,
		fmt.Sprintf("load report of host %q: %s is implausible: %v", r.Host, field, value),
		"the report is ignored; check the build and the clock of that host",
	)
}
