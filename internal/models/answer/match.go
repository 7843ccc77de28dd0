package answer

import "wasabislip.example/wasabislip/internal/models/plan"

const (
	moreReplies = iota
	lastReply
)

// follow reports whether a message of type kind may answer the code, and
// whether it is the last one to do so. Half tells that a Describe got its
// parameters already.
func matchReply(code, kind byte, half bool) (int, bool) {
	switch code {
	case plan.Bound:
		return lastReply, kind == '2'
	case plan.Closed:
		return lastReply, kind == '3'
	case plan.Portal:
		return lastReply, kind == 'T' || kind == 'n'
	case plan.Statement, plan.Checked:
		if !half {
			return moreReplies, kind == 't'
		}
		return lastReply, kind == 'T' || kind == 'n'
	case plan.Executed:
		if kind == 'D' {
			return moreReplies, true
		}
		return lastReply, kind == 'C' || kind == 'I' || kind == 's'
	case plan.Simple:
		return moreReplies, kind == 'T' || kind == 'D' || kind == 'C' || kind == 'I'
	}
	return lastReply, false
}
