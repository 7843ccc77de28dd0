// Package answer turns a database's answer to a batch into the caller's: it
// checks that each message may answer the batch, removes what only concerns
// the pooled connection, and adds the replies that the proxy gives itself.
package answer

import (
	"encoding/binary"
	"fmt"

	"wasabislip.example/wasabislip/internal/models/plan"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// headerBytes is the size of a message's type and length fields.
const headerBytes = 5

// maxMessageBytes is the longest message that PostgreSQL sends, 1 GiB.
const maxMessageBytes = 1 << 30

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
)

// Filter processes the answer to one batch. answered counts the messages of the
// batch that are answered, and partial keeps the start of a message whose rest
// has not arrived. parametersSent is set after the ParameterDescription of a
// described statement, which a RowDescription or NoData is to follow.
type Filter struct {
	expected       []byte
	answered       int
	parametersSent bool
	failed         bool
	partial        []byte
}

// New returns a filter for the answer to a batch. expected holds one code of
// package plan for each message of the batch.
func New(expected []byte) *Filter {
	return &Filter{
		expected: expected,
	}
}

// Answered returns how many of the caller's messages have been answered.
func (f *Filter) Answered() int {
	return f.answered
}

// Failed reports whether the database answered with an error.
func (f *Filter) Failed() bool {
	return f.failed
}

// Process appends to out what the caller gets of in, the next part of the
// answer. An error means that the answer does not fit the batch or cannot be
// passed on.
func (f *Filter) Process(out, in []byte) ([]byte, error) {
	if len(f.partial) > 0 {
		in = append(f.partial, in...)
		f.partial = nil
	}
	for len(in) >= headerBytes {
		n := int64(binary.BigEndian.Uint32(in[1:headerBytes])) + 1
		if n < headerBytes || n > maxMessageBytes {
			return out, mismatch("a message of an impossible length")
		}
		if n > int64(len(in)) {
			break
		}
		var err error
		out, err = f.processMessage(out, in[:n])
		if err != nil {
			return out, err
		}
		in = in[n:]
	}
	f.partial = append(f.partial, in...)
	return out, nil
}

// Finish appends the proxy's own replies that are still due. An error means
// that the answer is incomplete.
func (f *Filter) Finish(out []byte) ([]byte, error) {
	if len(f.partial) > 0 {
		return out, mismatch("a part of a message at its end")
	}
	if f.failed {
		return out, nil
	}
	out = f.appendLocal(out)
	if f.answered < len(f.expected) && f.expected[f.answered] == plan.Simple {
		f.answered++
	}
	if f.answered < len(f.expected) {
		return out, mismatch(fmt.Sprintf("answers to %d of %d messages", f.answered, len(f.expected)))
	}
	return out, nil
}

// processMessage appends to out what the caller gets for one message of the
// database. ReadyForQuery, ParameterStatus, NotificationResponse and
// BackendKeyData concern the pooled connection and are removed.
func (f *Filter) processMessage(out, msg []byte) ([]byte, error) {
	switch msg[0] {
	case 'Z', 'S', 'A', 'K':
		return out, nil
	case 'N':
		return append(out, msg...), nil
	case 'G', 'H', 'W', 'V':
		return out, fault.New(fault.Unsupported, "the database began a COPY or a function call", "use INSERT or SELECT")
	}
	if f.failed {
		return out, nil
	}
	out = f.appendLocal(out)
	if msg[0] == 'E' {
		f.failed = true
		return append(out, msg...), nil
	}
	return f.processExpected(out, msg)
}

// appendLocal appends the replies that the proxy gives itself, up to the next
// message that the database is to answer.
func (f *Filter) appendLocal(out []byte) []byte {
	for f.answered < len(f.expected) {
		switch f.expected[f.answered] {
		case plan.Parsed:
			out = append(out, parseComplete...)
		case plan.StatementClosed:
			out = append(out, closeComplete...)
		default:
			return out
		}
		f.answered++
	}
	return out
}

// processExpected checks msg against the code of the next unanswered message.
// For a Parse that was sent as a Describe, the caller gets a ParseComplete in
// place of the description.
func (f *Filter) processExpected(out, msg []byte) ([]byte, error) {
	if f.answered >= len(f.expected) {
		return out, mismatch("more answers than were asked for")
	}
	code, kind := f.expected[f.answered], msg[0]
	progress, ok := matchReply(code, kind, f.parametersSent)
	if !ok {
		return out, mismatch(fmt.Sprintf("a message of type %q where another was due", kind))
	}
	f.parametersSent = progress == moreReplies && kind == 't'
	if progress == lastReply {
		f.answered++
	}
	if code != plan.Checked {
		return append(out, msg...), nil
	}
	if progress == lastReply {
		out = append(out, parseComplete...)
	}
	return out, nil
}

func mismatch(what string) error {
	return fault.New(fault.OutcomeUnknown, "the answer does not fit the batch: "+what, "look up the batch's effect before sending it again")
}
