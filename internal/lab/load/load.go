// Package load describes what callers ask for in an experiment.
package load

import (
	"fmt"
	"time"
)

// Load is a number of streams of operations.
type Load struct {
	// Name is how tables and plots call it.
	Name string `yaml:"name"`
	// Streams arrive side by side.
	Streams []stream `yaml:"streams"`
}

// stream is one workspace's operations on one database.
type stream struct {
	// Workspace is who asks, and Limit its declared rate, in operations a
	// second; the burst is one second of it.
	Workspace string  `yaml:"workspace"`
	Limit     float64 `yaml:"limit"`
	// Database is strict, bounded or own, the databases of the emulator.
	Database string `yaml:"database"`
	// Rate is how many operations arrive a second.
	Rate float64 `yaml:"rate"`
	// Writes is the part of them that writes.
	Writes float64 `yaml:"writes"`
	// From and For tell when the rate is multiplied by Times.
	From  time.Duration `yaml:"from"`
	For   time.Duration `yaml:"for"`
	Times float64       `yaml:"times"`
}

// At returns how many operations a second arrive at a time of the play.
func (s *stream) At(at time.Duration) float64 {
	if s.Times > 0 && at >= s.From && at < s.From+s.For {
		return s.Rate * s.Times
	}
	return s.Rate
}

// Limits returns the declared rates by workspace.
func (l *Load) Limits() map[string]float64 {
	limits := map[string]float64{}
	for _, s := range l.Streams {
		limits[s.Workspace] = s.Limit
	}
	return limits
}

// Problems returns what is wrong with the load, each with its remedy.
func (l *Load) Problems() []string {
	var list []string
	if l.Name == "" {
		list = append(list, "a load has no name: give it one")
	}
	limits := map[string]float64{}
	for _, s := range l.Streams {
		where := fmt.Sprintf("load %s, workspace %s", l.Name, s.Workspace)
		if s.Workspace == "" || s.Rate <= 0 || s.Limit <= 0 {
			list = append(list, where+": workspace, rate and limit are needed, above zero")
		}
		if s.Database != "strict" && s.Database != "bounded" && s.Database != "own" {
			list = append(list, where+": database must be strict, bounded or own")
		}
		if s.Writes < 0 || s.Writes > 1 {
			list = append(list, where+": writes must lie between 0 and 1")
		}
		if known, ok := limits[s.Workspace]; ok && known != s.Limit {
			list = append(list, where+": its streams must agree on the limit")
		}
		limits[s.Workspace] = s.Limit
	}
	if len(l.Streams) == 0 {
		list = append(list, "load "+l.Name+" has no streams: add one")
	}
	return list
}
