package answer

import "wasabislip.example/wasabislip/internal/models/plan"

// Results of matchReply: whether further replies to the same message follow.
const (
	moreReplies = iota
	lastReply
)

// matchReply reports whether a message of type kind may answer a message with
// this code, and whether it is the last reply to it. parametersSent tells that
// the ParameterDescription of a described statement has already been sent.
func matchReply(code, kind byte, parametersSent bool) (int, bool) {
	switch code {
	case plan.Bound:
		return lastReply, kind == '2'
	case plan.PortalClosed:
		return lastReply, kind == '3'
	case plan.PortalDescribed:
		return lastReply, kind == 'T' || kind == 'n'
	case plan.StatementDescribed, plan.Checked:
		if !parametersSent {
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
