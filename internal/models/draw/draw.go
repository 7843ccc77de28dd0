// Package draw describes a host's request for rate tokens.
package draw

// Request asks the home of one part of a workspace's rate for tokens. The home
// is the host that owns the part's token bucket.
type Request struct {
	// From identifies the process that draws.
	From string
	// Sequence grows with each request of one process for one part.
	Sequence uint64
	// Need is the number of tokens that statements wait for now.
	Need float64
	// Wanted is the number of tokens that the process can use soon.
	Wanted float64
	// Held is the number of unused tokens that the process keeps.
	Held float64
	// Returned is the number of unused tokens given back.
	Returned float64
	// LastAccepted is the sequence of the last request whose answer was
	// accepted. Answers to earlier requests are not accepted any more.
	LastAccepted uint64
}
