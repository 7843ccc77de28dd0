// Package grant describes the answer to a draw.Request for rate tokens.
package grant

import "time"

// Grant is a number of tokens that a home gives to one host.
type Grant struct {
	// Sequence is the sequence of the request.
	Sequence uint64
	// Tokens is the number of tokens granted.
	Tokens float64
	// Valid is how long the tokens may be used, counted from the sending of the
	// request.
	Valid time.Duration
	// RetryAfter is how long to wait before the next request; 0 if the tokens
	// that were needed were granted.
	RetryAfter time.Duration
}
