package caller

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// lengthReader notes the lengths of the messages that are read through it. The decoder
// ignores what follows the last field of a message, so that a text with a zero byte
// would be cut, and a message with too great a length would swallow the next one.
type lengthReader struct {
	r io.Reader
	// head holds the first headBytes bytes of the next message's header.
	head      [1 + lengthBytes]byte
	headBytes int
	// bodyLeft is how many bytes of the present message's body are to come.
	bodyLeft int64
	// lengths holds the length fields of the messages that pop has not returned.
	lengths []uint32
}

// Read reads, and notes the lengths of the messages that begin in p.
func (l *lengthReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.scan(p[:n])
	return n, err
}

func (l *lengthReader) scan(p []byte) {
	for len(p) > 0 {
		if l.bodyLeft > 0 {
			n := min(l.bodyLeft, int64(len(p)))
			l.bodyLeft -= n
			p = p[n:]
			continue
		}
		n := copy(l.head[l.headBytes:], p)
		l.headBytes += n
		p = p[n:]
		if l.headBytes == len(l.head) {
			length := binary.BigEndian.Uint32(l.head[1:])
			l.lengths = append(l.lengths, length)
			l.bodyLeft = int64(length) - lengthBytes
			l.headBytes = 0
		}
	}
}

// check compares the length of the message that was received last with that of its
// fields. It is called once for each message.
func (l *lengthReader) check(m pgproto3.FrontendMessage) error {
	if len(l.lengths) == 0 {
		return fault.New(fault.BadRequest, "a message has no length", "connect with a PostgreSQL client")
	}
	length := int64(l.lengths[0])
	l.lengths = l.lengths[1:]
	want, ok := fieldsLength(m)
	if ok && lengthBytes+want != length {
		return fault.New(
			fault.BadRequest,
			fmt.Sprintf("a message of %d bytes has fields of %d bytes", length, lengthBytes+want),
			"send no zero byte in a text, and the length of all fields",
		)
	}
	return nil
}

// fieldsLength returns the length in bytes of the fields of a message of which the
// decoder ignores the rest. It returns false for all others, whose lengths the decoder
// checks, or which are refused.
func fieldsLength(m pgproto3.FrontendMessage) (int64, bool) {
	const zero, count, format, oid, size, maxRows = 1, 2, 2, 4, 4, 4
	switch m := m.(type) {
	case *pgproto3.Parse:
		return int64(len(m.Name) + zero + len(m.Query) + zero + count + oid*len(m.ParameterOIDs)), true
	case *pgproto3.Bind:
		n := len(m.DestinationPortal) + zero + len(m.PreparedStatement) + zero
		n += count + format*len(m.ParameterFormatCodes)
		n += count
		for _, value := range m.Parameters {
			n += size + len(value)
		}
		n += count + format*len(m.ResultFormatCodes)
		return int64(n), true
	case *pgproto3.Execute:
		return int64(len(m.Portal) + zero + maxRows), true
	}
	return 0, false
}
