// Package pairs decides which statement an instance's answer belongs to. Answers of the
// line protocol come in the order of the statements and name none. An instance that
// repeats an answer would shift all later ones by one, so that what else an answer says
// is compared: its signature, the state of the session, and errors that came before.
package pairs

import (
	"hash/maphash"
	"time"

	"wasabislip.example/wasabislip/internal/models/reply"
)

// Kinds of statements.
const (
	// Signed is a read, a write or a commit of a caller: the instance signs its success.
	Signed = iota
	// Begin starts a transaction.
	Begin
	// Control is any other statement of the proxy itself.
	Control
)

// Verdicts on an answer.
const (
	// Own answers the statement that waits.
	Own = iota
	// Repeated came before, in answer to another statement.
	Repeated
	// Ambiguous is an error like one that came before: it answers the statement, or it
	// is that error again.
	Ambiguous
)

// MaxDelay is how late a repeated answer is expected at the most.
const MaxDelay = 5 * time.Second

const (
	// unsigned is the signature of a success that the instance does not sign.
	unsigned = "-"
	// maxRemembered is how many signed answers of a connection are remembered: those of
	// MaxDelay at 200 statements a second. A connection runs one at a time.
	maxRemembered = 1024
)

var seed = maphash.MakeSeed()

// History is what is known of the answers on one connection. The zero value is that of
// a new connection. One goroutine uses it at a time.
type History struct {
	// signed holds the last signed answers; once it is full, next is the oldest.
	signed []answer
	next   int
	// errors holds when each error came last, by package uptime and by its outcome.
	errors map[int]time.Duration
}

// answer identifies a signed answer and its statement by their hashes.
type answer struct {
	signature uint64
	id        uint64
}

// Match decides whether r answers the statement that waits, of this kind and with this
// id, and says why if it does not surely. It remembers the answers that may do so. now is
// the time by package uptime; the answer arrived after earliest, and may have lain unread
// since.
func (h *History) Match(kind int, id string, r *reply.Reply, earliest, now time.Duration) (verdict int, reason string) {
	if r.Outcome != reply.Done {
		return h.matchError(r.Outcome, earliest, now)
	}
	switch {
	case r.Signature == "":
		return Repeated, "session-start"
	case IsUnsigned(r):
		return matchUnsigned(kind, r.State)
	case kind != Signed:
		return Repeated, "signed"
	}
	return h.matchSigned(id, r.Signature)
}

// IsUnsigned reports whether an answer is the success of a statement of the proxy itself.
func IsUnsigned(r *reply.Reply) bool {
	return r.Outcome == reply.Done && r.Signature == unsigned
}

// matchError matches an error, which has no signature.
func (h *History) matchError(outcome int, earliest, now time.Duration) (verdict int, reason string) {
	last, ok := h.errors[outcome]
	if h.errors == nil {
		h.errors = map[int]time.Duration{}
	}
	h.errors[outcome] = now
	if ok && earliest-last < MaxDelay {
		return Ambiguous, "repeated-error"
	}
	return Own, ""
}

// matchUnsigned matches a success of a statement of the proxy itself.
func matchUnsigned(kind, state int) (verdict int, reason string) {
	switch {
	case kind == Signed:
		return Repeated, "unsigned"
	case kind == Begin && state != reply.Open:
		return Repeated, "outside-transaction"
	}
	return Own, ""
}

// matchSigned matches a success that the instance signed. A statement may run twice on a
// connection, as a read does that is retried.
func (h *History) matchSigned(id, signature string) (verdict int, reason string) {
	a := answer{
		signature: maphash.String(seed, signature),
		id:        maphash.String(seed, id),
	}
	for _, b := range h.signed {
		if b.signature != a.signature {
			continue
		}
		if b.id == a.id {
			return Own, ""
		}
		return Repeated, "repeated-signature"
	}
	if len(h.signed) < maxRemembered {
		h.signed = append(h.signed, a)
		return Own, ""
	}
	h.signed[h.next] = a
	h.next = (h.next + 1) % maxRemembered
	return Own, ""
}
