package caller

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Request codes, which stand in the place of the protocol version.
const (
	cancelCode = 80877102
	sslCode    = 80877103
	gssCode    = 80877104
)

// Protocol versions that are supported, and sizes of messages.
const (
	majorVersion     = 3
	newestMinor      = 2
	minPacketBytes   = 8
	maxPacketBytes   = 10_000
	maxPasswordBytes = 1_024
	lengthBytes      = 4 // the length field of a message
)

// packet is a start-up packet: its protocol version or request code, and the body,
// which begins with that code.
type packet struct {
	code uint32
	body []byte
}

// readPacket reads one start-up packet and no byte beyond it. Otherwise bytes that
// were sent before a TLS handshake could be taken for bytes that were sent after
// it.
func readPacket(r io.Reader) (*packet, error) {
	var head [minPacketBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:lengthBytes])
	if n < minPacketBytes || n > maxPacketBytes {
		return nil, fault.New(fault.BadRequest, "the start-up packet has an impossible length", "connect with a PostgreSQL client")
	}
	body := make([]byte, n-lengthBytes)
	copy(body, head[lengthBytes:])
	if _, err := io.ReadFull(r, body[lengthBytes:]); err != nil {
		return nil, err
	}
	return &packet{
		code: binary.BigEndian.Uint32(body),
		body: body,
	}, nil
}

// parameters returns the parameters and the minor protocol version of a
// StartupMessage.
func (p *packet) parameters() (map[string]string, uint32, error) {
	if p.code>>16 != majorVersion {
		return nil, 0, fault.New(fault.Unsupported, "this version of the protocol is not supported", "connect with protocol 3.0 or 3.2")
	}
	if len(p.body) == lengthBytes+1 && p.body[lengthBytes] == 0 {
		return map[string]string{}, p.code & 0xffff, nil
	}
	body := binary.BigEndian.AppendUint32(nil, pgproto3.ProtocolVersion30)
	body = append(body, p.body[lengthBytes:]...)
	var m pgproto3.StartupMessage
	if err := m.Decode(body); err != nil {
		return nil, 0, fault.New(fault.BadRequest, "the start-up packet cannot be read", "connect with a PostgreSQL client").Wrap(err)
	}
	return m.Parameters, p.code & 0xffff, nil
}

// readPassword reads a PasswordMessage. It clears the buffer that held the
// message.
func readPassword(conn net.Conn) (string, error) {
	var head [1 + lengthBytes]byte
	if _, err := io.ReadFull(conn, head[:]); err != nil {
		return "", err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if head[0] != 'p' || n < lengthBytes+1 || n > maxPasswordBytes {
		return "", fault.New(fault.BadRequest, "a password message was due", "connect with a client that sends cleartext passwords")
	}
	body := make([]byte, n-lengthBytes)
	defer clear(body)
	if _, err := io.ReadFull(conn, body); err != nil {
		return "", err
	}
	var m pgproto3.PasswordMessage
	if err := m.Decode(body); err != nil {
		return "", fault.New(fault.BadRequest, "the password message cannot be read", "connect with a PostgreSQL client").Wrap(err)
	}
	return m.Password, nil
}
