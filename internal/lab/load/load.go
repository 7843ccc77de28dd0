// Package load describes the operations that callers send in an experiment.
package load

import (
	"fmt"
	"time"
)

// Load is a set of concurrent streams of operations.
type Load struct {
	// Name identifies the load in tables and plots.
	Name string `yaml:"name"`
	// Streams are the streams. They run concurrently.
	Streams []stream `yaml:"streams"`
}

// stream is one workspace's operations on one database.
type stream struct {
	// Workspace is the caller's workspace, and RateLimit is that workspace's
	// configured rate in operations per second. Its burst is one second of the
	// rate.
	Workspace string  `yaml:"workspace"`
	RateLimit float64 `yaml:"limit"`
	// Database is one of the databases of the simulated environment: strict,
	// bounded or own.
	Database string `yaml:"database"`
	// Rate is how many operations arrive per second.
	Rate float64 `yaml:"rate"`
	// WriteFraction is the fraction of the operations that are writes.
	WriteFraction float64 `yaml:"writes"`
	// PeakStart and PeakDuration say when the rate is multiplied by PeakFactor.
	// There is no peak if PeakFactor is zero.
	PeakStart    time.Duration `yaml:"from"`
	PeakDuration time.Duration `yaml:"for"`
	PeakFactor   float64       `yaml:"times"`
}

// RateAt returns how many operations per second arrive at a time of the trial.
func (s *stream) RateAt(at time.Duration) float64 {
	if s.PeakFactor > 0 && at >= s.PeakStart && at < s.PeakStart+s.PeakDuration {
		return s.Rate * s.PeakFactor
	}
	return s.Rate
}

// RateLimits returns the configured rate of each workspace.
func (l *Load) RateLimits() map[string]float64 {
	limits := map[string]float64{}
	for _, s := range l.Streams {
		limits[s.Workspace] = s.RateLimit
	}
	return limits
}

// Problems returns what is wrong with the load, with advice for the operator.
func (l *Load) Problems() []string {
	var problems []string
	if l.Name == "" {
		problems = append(problems, "a load has no name: give it one")
	}
	limits := map[string]float64{}
	for _, s := range l.Streams {
		prefix := fmt.Sprintf("load %s, workspace %s", l.Name, s.Workspace)
		if s.Workspace == "" || s.Rate <= 0 || s.RateLimit <= 0 {
			problems = append(problems, prefix+": workspace must be set, and rate and limit must be above zero")
		}
		if s.Database != "strict" && s.Database != "bounded" && s.Database != "own" {
			problems = append(problems, prefix+": database must be strict, bounded or own")
		}
		if s.WriteFraction < 0 || s.WriteFraction > 1 {
			problems = append(problems, prefix+": writes must lie between 0 and 1")
		}
		if other, ok := limits[s.Workspace]; ok && other != s.RateLimit {
			problems = append(problems, prefix+": all streams of a workspace must have the same limit")
		}
		limits[s.Workspace] = s.RateLimit
	}
	if len(l.Streams) == 0 {
		problems = append(problems, "load "+l.Name+" has no streams: add one")
	}
	return problems
}
