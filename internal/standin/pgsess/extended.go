package pgsess

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/internal/standin/pgerr"
	"wasabislip.example/wasabislip/internal/standin/stmt"
)

// flushRows is how many rows are sent before the buffer is flushed.
const flushRows = 512

// prepared is a parsed statement with the types of its parameters.
type prepared struct {
	st   stmt.Statement
	oids []uint32
}

// portal is a bound statement and the rows of its result that were not sent yet.
type portal struct {
	st        stmt.Statement
	args      []string
	formats   []int16
	remaining *result
}

// extended handles one message of the extended query protocol.
func (s *Session) extended(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		s.closeObject(m)
		return nil
	}
	return pgerr.New(pgerr.Unsupported, "the message is not supported; use the simple or the extended query protocol")
}

func (s *Session) parse(m *pgproto3.Parse) error {
	if _, ok := s.prepared[m.Name]; ok && m.Name != "" {
		return pgerr.New(pgerr.DuplicateStatement, "prepared statement \""+m.Name+"\" already exists")
	}
	st, err := stmt.Parse(m.Query)
	if err != nil {
		return err
	}
	if s.failed && st.Verb != "COMMIT" && st.Verb != "ROLLBACK" {
		return failedBlockError()
	}
	p := prepared{
		st:   st,
		oids: append([]uint32(nil), st.ParamTypes...),
	}
	for i, oid := range m.ParameterOIDs {
		if i < len(p.oids) && oid != 0 {
			p.oids[i] = oid
		}
	}
	s.prepared[m.Name] = p
	s.Backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *Session) bind(m *pgproto3.Bind) error {
	p, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return missingStatement(m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.oids) {
		return pgerr.New(pgerr.ProtocolViolation,
			"the statement takes "+strconv.Itoa(len(p.oids))+" parameters, got "+strconv.Itoa(len(m.Parameters)))
	}
	values := make([]string, len(m.Parameters))
	for i, raw := range m.Parameters {
		v, err := decode(raw, p.oids[i], format(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		values[i] = v
	}
	b := &portal{
		st:      p.st,
		args:    p.st.Args,
		formats: append([]int16(nil), m.ResultFormatCodes...),
	}
	if p.st.IsCall {
		b.args = p.st.Bind(values)
	}
	s.portals[m.DestinationPortal] = b
	s.Backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *Session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, ok := s.prepared[m.Name]
		if !ok {
			return missingStatement(m.Name)
		}
		s.Backend.Send(&pgproto3.ParameterDescription{
			ParameterOIDs: p.oids,
		})
		s.describeRows(&p.st, nil)
		return nil
	}
	p, ok := s.portals[m.Name]
	if !ok {
		return missingPortal(m.Name)
	}
	s.describeRows(&p.st, p.formats)
	return nil
}

func (s *Session) describeRows(st *stmt.Statement, formats []int16) {
	if len(st.Columns) == 0 {
		s.Backend.Send(&pgproto3.NoData{})
		return
	}
	s.Backend.Send(describe(st, formats))
}

// executePortal executes a portal, or sends the next rows of a suspended one.
func (s *Session) executePortal(m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return missingPortal(m.Portal)
	}
	if p.remaining == nil {
		r, err := s.execute(&p.st, p.args)
		if err != nil {
			return err
		}
		p.remaining = r
	}
	limit := int(m.MaxRows)
	if limit == 0 || len(p.remaining.rows) <= limit {
		r := *p.remaining
		p.remaining.rows = nil
		return s.sendResult(&r, &p.st, p.formats)
	}
	if err := s.sendRows(p.remaining.rows[:limit], &p.st, p.formats); err != nil {
		return err
	}
	p.remaining.rows = p.remaining.rows[limit:]
	s.Backend.Send(&pgproto3.PortalSuspended{})
	return nil
}

func (s *Session) closeObject(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(s.prepared, m.Name)
	} else {
		delete(s.portals, m.Name)
	}
	s.Backend.Send(&pgproto3.CloseComplete{})
}

// sendResult sends a result's rows and its command tag.
func (s *Session) sendResult(r *result, st *stmt.Statement, formats []int16) error {
	if r.empty {
		s.Backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if err := s.sendRows(r.rows, st, formats); err != nil {
		return err
	}
	s.Backend.Send(&pgproto3.CommandComplete{
		CommandTag: []byte(r.tag),
	})
	return nil
}

func (s *Session) sendRows(rows [][][]byte, st *stmt.Statement, formats []int16) error {
	for i, row := range rows {
		values := make([][]byte, len(row))
		for c, v := range row {
			values[c] = encode(v, st.ColumnTypes[c], format(formats, c))
		}
		s.Backend.Send(&pgproto3.DataRow{
			Values: values,
		})
		if (i+1)%flushRows != 0 {
			continue
		}
		if err := s.Backend.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func describe(st *stmt.Statement, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, 0, len(st.Columns))
	for i, name := range st.Columns {
		size := int16(-1)
		if st.ColumnTypes[i] == stmt.Int8 {
			size = 8
		}
		fields = append(fields, pgproto3.FieldDescription{
			Name:         []byte(name),
			DataTypeOID:  st.ColumnTypes[i],
			DataTypeSize: size,
			TypeModifier: -1,
			Format:       format(formats, i),
		})
	}
	return &pgproto3.RowDescription{
		Fields: fields,
	}
}

// format returns the format code of parameter or column i. A single code applies
// to all.
func format(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return pgproto3.TextFormat
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return pgproto3.TextFormat
}

func encode(value []byte, oid uint32, code int16) []byte {
	if value == nil || oid != stmt.Int8 || code != pgproto3.BinaryFormat {
		return value
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return value
	}
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

// decode returns a parameter as text. Binary values of other types than text
// are integers of 2, 4 or 8 bytes.
func decode(raw []byte, oid uint32, code int16) (string, error) {
	if raw == nil {
		return "", pgerr.New(pgerr.InvalidText, "a parameter is NULL; give a value")
	}
	if code != pgproto3.BinaryFormat || oid == stmt.Text || oid == varcharOID {
		return string(raw), nil
	}
	switch len(raw) {
	case 2:
		return strconv.FormatInt(int64(int16(binary.BigEndian.Uint16(raw))), 10), nil
	case 4:
		return strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(raw))), 10), nil
	case 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(raw)), 10), nil
	}
	return "", pgerr.New(pgerr.ProtocolViolation, "a binary parameter has "+strconv.Itoa(len(raw))+" bytes; send text or an integer")
}

const varcharOID = 1043

func missingStatement(name string) error {
	return pgerr.New(pgerr.UndefinedStatement, "prepared statement \""+name+"\" does not exist")
}

func missingPortal(name string) error {
	return pgerr.New(pgerr.UndefinedPortal, "portal \""+name+"\" does not exist")
}
