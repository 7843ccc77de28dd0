// Package answer checks a steward's answer against what the caller's batch
// asked for, and makes it the caller's.
package answer

import (
	"encoding/binary"
	"fmt"

	"wasabislip.example/wasabislip/internal/models/plan"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// headerBytes is a message's type and length.
const headerBytes = 5

// maxMessageBytes is the longest message that PostgreSQL sends, 1 GiB.
const maxMessageBytes = 1 << 30

var (
	parseComplete = []byte{'1', 0, 0, 0, 4}
	closeComplete = []byte{'3', 0, 0, 0, 4}
)

// Filter passes the answer to one batch.
type Filter struct {
	expected       []byte
	answered       int
	parametersSent bool
	failed         bool
	partial        []byte
}

// New returns a filter for an answer to messages with these codes; see
// package plan.
func New(expect []byte) *Filter {
	return &Filter{
		expected: expect,
	}
}

// Done returns how many of the caller's messages have been answered.
func (f *Filter) Done() int {
	return f.answered
}

// Failed reports whether the database answered with an error.
func (f *Filter) Failed() bool {
	return f.failed
}

// Pass appends to out what the caller gets of in. An error says that the
// answer does not belong to the batch or cannot be passed on.
func (f *Filter) Pass(out, in []byte) ([]byte, error) {
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

// Finish appends the answers that the database was not asked for. An error
// says that the answer is not whole.
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

// own appends the answers that are given here.
func (f *Filter) appendLocal(out []byte) []byte {
	for f.answered < len(f.expected) {
		switch f.expected[f.answered] {
		case plan.Parsed:
			out = append(out, parseComplete...)
		case plan.Forgotten:
			out = append(out, closeComplete...)
		default:
			return out
		}
		f.answered++
	}
	return out
}

func (f *Filter) processExpected(out, msg []byte) ([]byte, error) {
	if f.answered >= len(f.expected) {
		return out, mismatch("more answers than were asked for")
	}
	code, kind := f.expected[f.answered], msg[0]
	step, ok := matchReply(code, kind, f.parametersSent)
	if !ok {
		return out, mismatch(fmt.Sprintf("a message of type %q where another was due", kind))
	}
	f.parametersSent = step == moreReplies && kind == 't'
	if step == lastReply {
		f.answered++
	}
	if code != plan.Checked {
		return append(out, msg...), nil
	}
	if step == lastReply {
		out = append(out, parseComplete...)
	}
	return out, nil
}

func mismatch(what string) error {
	return fault.New(fault.OutcomeUnknown, "the answer does not fit the batch: "+what, "look up the batch's effect before sending it again")
}
