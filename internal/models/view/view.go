// Package view decides which instance of a database runs a statement.
package view

import (
	"time"

	"wasabislip.example/wasabislip/internal/models/quorum"
	"wasabislip.example/wasabislip/internal/models/status"
	"wasabislip.example/wasabislip/pkg/model/logpos"
	"wasabislip.example/wasabislip/pkg/model/route"
)

// NoInstance is the index that stands for no instance, such as in skip of Route.
const NoInstance = -1

// Reasons of Route for sending a read to the primary although a replica may be
// able to serve it soon.
const (
	// TooOld says that no replica is known to be within the route's maximum
	// age; the next poll may show one that is.
	TooOld = "replica-older-than-max-age"
	// Behind says that a replica has not applied the minimum position yet.
	Behind = "replica-behind-floor"
)

type load interface {
	// Busy returns how many statements run or wait at the instance at index.
	Busy(index int) int
}

// View is a snapshot of what the coordinator of a database knows of its
// instances. It is immutable once published. The slices have one element per
// instance, in the order of the configuration.
type View struct {
	// Quorum holds the term and one report per instance. The report of an
	// instance that has not reported is the zero value.
	Quorum quorum.Quorum
	// Primary is the index of the primary.
	Primary int
	// Confirmed is the last log position known to be held by a majority.
	Confirmed logpos.Position
	// FreshAt is the last time at which each instance is known to have had
	// everything that the primary had.
	FreshAt []time.Time
	// Live holds whether each instance answered the last poll.
	Live []bool
	// Drained holds whether each instance is drained and gets no new statements.
	Drained []bool
	// Lag is the last measured replication lag of each instance; 0 when unknown.
	Lag []time.Duration
}

// Route returns the index of the instance that runs a statement of the route r,
// and the reason in kebab case. Writes and reads with primary freshness go to
// the primary. Other reads go to a live replica that is not drained, has applied
// minPosition, the log position that the session has to see, and is within the route's
// maximum age. Among several the one with the fewest statements wins; the scan
// starts at a different replica each time, so that equal ones share the load.
// Without such a replica the read goes to the primary. The instance at index
// skip is left out.
func (v *View) Route(r *route.Route, minPosition logpos.Position, now time.Time, skip int, l load) (int, string) {
	if r.Kind != route.Read {
		return v.Primary, "write-route"
	}
	if r.Freshness == route.Primary {
		return v.Primary, "primary-freshness"
	}
	best := NoInstance
	reason := "no-live-replica"
	n := len(v.Quorum.Reports)
	first := now.Nanosecond() % n
	for k := range n {
		i := (first + k) % n
		if i == v.Primary || i == skip || !v.Live[i] || v.Drained[i] {
			continue
		}
		if !v.Quorum.HasApplied(&v.Quorum.Reports[v.Primary], &v.Quorum.Reports[i], minPosition) {
			if reason != TooOld {
				reason = Behind
			}
			continue
		}
		if r.Freshness == route.Bounded && now.Sub(v.FreshAt[i]) > r.MaxAge {
			reason = TooOld
			continue
		}
		if best == NoInstance || l.Busy(i) < l.Busy(best) {
			best = i
		}
	}
	if best == NoInstance {
		return v.Primary, reason
	}
	return best, "replica-at-floor"
}

// MinLag returns the lowest replication lag among the replicas that can serve
// reads: how long it is expected to take until one of them has everything that
// the primary has now. It returns false when there is no such replica.
func (v *View) MinLag() (time.Duration, bool) {
	best, found := time.Duration(0), false
	for i := range v.Quorum.Reports {
		r := &v.Quorum.Reports[i]
		if i == v.Primary || !v.Live[i] || v.Drained[i] || v.Lag[i] == 0 {
			continue
		}
		if !v.Quorum.HasApplied(v.PrimaryStatus(), r, logpos.Position{}) {
			continue
		}
		if !found || v.Lag[i] < best {
			best, found = v.Lag[i], true
		}
	}
	return best, found
}

// PrimaryStatus returns the last report of the primary.
func (v *View) PrimaryStatus() *status.Status {
	return &v.Quorum.Reports[v.Primary]
}
