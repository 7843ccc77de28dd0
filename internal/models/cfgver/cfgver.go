// Package cfgver tracks which configuration version a host has in force and
// whether that version is known to be the newest.
package cfgver

import "time"

// State is what a host knows of configuration versions. The platform's table
// has one row with the newest version; hosts read it and tell each other.
// Versions only grow: a message that arrives late never sets one back. State is
// not safe for concurrent use.
type State struct {
	// MaxStaleness is how long a version counts as confirmed after a read of
	// the platform's row that found it.
	MaxStaleness time.Duration
	// Version is the version in force; 0 if there is none.
	Version uint64
	// Hash is the hash of Version's body.
	Hash string
	// Newest is the newest version known, in force or not.
	Newest uint64
	// NewestHash is the hash of Newest's body.
	NewestHash string
	// ReadAt is the latest time at which a host read the row and found Newest.
	ReadAt time.Time
	// NewestSince is when this host first learned of Newest.
	NewestSince time.Time
	// ConfirmedAt is the latest time at which a host read the row and found
	// Version, or a version that was in force here before it.
	ConfirmedAt time.Time
}

// Observe records that the row held version at readAt, as this or another host
// read it. It reports whether a version newer than the one in force is to be
// fetched.
func (s *State) Observe(version uint64, hash string, readAt time.Time) bool {
	now := time.Now()
	if readAt.After(now) {
		readAt = now
	}
	switch {
	case version < s.Newest || version == 0:
		return false
	case version > s.Newest:
		s.Newest = version
		s.NewestHash = hash
		s.NewestSince = now
		s.ReadAt = readAt
	case readAt.After(s.ReadAt):
		s.ReadAt = readAt
	}
	if s.Newest == s.Version {
		s.ConfirmedAt = s.ReadAt
	}
	return s.Newest > s.Version
}

// Install puts version in force unless it or a later one already is. It reports
// whether it did so.
func (s *State) Install(version uint64, hash string) bool {
	if version <= s.Version {
		return false
	}
	s.Version = version
	s.Hash = hash
	if version == s.Newest {
		s.ConfirmedAt = s.ReadAt
	}
	return true
}

// Pending reports whether a newer version than the one in force is known.
func (s *State) Pending() bool {
	return s.Newest > s.Version
}

// Confirmed reports whether the version in force was found to be the newest by
// a read of the row less than MaxStaleness ago.
func (s *State) Confirmed() bool {
	return s.Version > 0 && time.Since(s.ConfirmedAt) < s.MaxStaleness
}

// Overdue reports whether a newer version has been known for MaxStaleness or
// longer without being put in force.
func (s *State) Overdue() bool {
	return s.Pending() && time.Since(s.NewestSince) >= s.MaxStaleness
}
