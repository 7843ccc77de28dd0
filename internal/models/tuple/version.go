package tuple

// counterBits is the width of the store's change counter in a version. At 3,200
// writes a second it lasts for a century.
const counterBits = 44

// Limits of what a version can hold. A store that counts further, or names a later era,
// is broken.
const (
	MaxCounter = 1<<counterBits - 1
	MaxEra     = 1<<(64-counterBits) - 1
)

// NewVersion returns the version of a change: the store's era and, within it, the
// store's change counter. The era rises when the store was restored from an older
// copy, after which the counter repeats values. Versions of a later era are higher
// than all of an earlier one. The version is 0 only before the first change of era 0.
func NewVersion(era, counter uint64) uint64 {
	return era<<counterBits | counter
}

// Era returns the store's era of a version.
func Era(version uint64) uint64 {
	return version >> counterBits
}

// Counter returns the store's change counter of a version.
func Counter(version uint64) uint64 {
	return version & MaxCounter
}
