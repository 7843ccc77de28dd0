package batch_test

import (
	"strconv"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/batch"
	"wasabislip.example/wasabislip/internal/modules/dbconn"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// encode returns the messages as they are sent.
func encode(is *is.I, messages ...pgproto3.FrontendMessage) []byte {
	is.Helper()
	var out []byte
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		is.NoErr(err)
	}
	return out
}

// lookup knows a text for every statement.
func lookup(name string) (string, []uint32, bool) {
	return "SELECT '" + name + "'", nil, true
}

// messageTypes returns the type bytes of encoded messages.
func messageTypes(out []byte) string {
	s := ""
	for len(out) > 0 {
		s += string(out[:1])
		out = out[1+int(out[1])<<24+int(out[2])<<16+int(out[3])<<8+int(out[4]):]
	}
	return s
}

// replay passes the instance's answers to b and returns the type bytes of the messages
// that the caller gets, and ! at the first message that does not answer b.
func replay(b *batch.Batch, answers ...pgproto3.BackendMessage) string {
	s := ""
	for _, a := range answers {
		parsed, pass, err := b.ProcessAnswer(a)
		if err != nil {
			return s + "!"
		}
		for range parsed {
			s += "1"
		}
		if pass {
			out, _ := a.Encode(nil)
			s += string(out[:1])
		}
	}
	return s
}

// parse prepares statement a.
func parse() *pgproto3.Parse {
	return &pgproto3.Parse{
		Name: "a",
	}
}

// bind uses a prepared statement.
func bind(name string) *pgproto3.Bind {
	return &pgproto3.Bind{
		PreparedStatement: name,
	}
}

func TestBatch(t *testing.T) {
	parsed, bound := &pgproto3.ParseComplete{}, &pgproto3.BindComplete{}
	completed := &pgproto3.CommandComplete{
		CommandTag: []byte("SELECT 1"),
	}
	ready := &pgproto3.ReadyForQuery{
		TxStatus: 'I',
	}
	failed := &pgproto3.ErrorResponse{}
	execute, sync := &pgproto3.Execute{}, &pgproto3.Sync{}
	t.Run("missing statement is prepared once, without an answer to the caller", func(t *testing.T) {
		is := is.New(t)
		c := &dbconn.Conn{}
		messages := encode(is, bind("a"), execute, bind("a"), execute, sync)
		b, err := batch.New(c, messages, lookup)
		is.NoErr(err)
		is.Equal(messageTypes(b.Out), "PBEBES")
		is.Equal(replay(b, parsed, bound, completed, bound, completed, ready), "2C2CZ")
		b, err = batch.New(c, messages, lookup)
		is.NoErr(err)
		is.Equal(messageTypes(b.Out), "BEBES")
	})
	t.Run("Parse of a prepared statement is not sent but answered in order", func(t *testing.T) {
		is := is.New(t)
		c := &dbconn.Conn{}
		c.AddStatement("a")
		b, err := batch.New(c, encode(is, bind("a"), execute, parse(), bind("a"), execute, parse(), sync), lookup)
		is.NoErr(err)
		is.Equal(messageTypes(b.Out), "BEBES")
		is.Equal(replay(b, bound, completed, bound, completed, ready), "2C12C1Z")
	})
	t.Run("statement whose Parse failed is not recorded as prepared", func(t *testing.T) {
		is := is.New(t)
		c := &dbconn.Conn{}
		b, err := batch.New(c, encode(is, parse(), bind("a"), execute, parse(), sync), lookup)
		is.NoErr(err)
		is.Equal(replay(b, failed, ready), "EZ")
		is.True(!c.HasStatement("a"))
	})
	t.Run("statements beyond the limit are closed, without an answer to the caller", func(t *testing.T) {
		is := is.New(t)
		c := &dbconn.Conn{}
		for i := range dbconn.StatementLimit + 1 {
			c.AddStatement(strconv.Itoa(i))
		}
		b, err := batch.New(c, encode(is, bind("1"), sync), lookup)
		is.NoErr(err)
		is.Equal(messageTypes(b.Out), "CBS")
		is.Equal(replay(b, &pgproto3.CloseComplete{}, bound, ready), "2Z")
		is.True(!c.HasStatement("0"))
	})
	// Guards against a connection that goes back to the pool out of step, after an
	// answer that belongs to an earlier batch.
	late := []struct {
		name     string
		messages []byte
		answers  []pgproto3.BackendMessage
		passed   string
	}{
		{
			name:     "answer to a simple query in place of an extended one",
			messages: encode(is.New(t), bind(""), execute, sync),
			answers:  []pgproto3.BackendMessage{completed, ready},
			passed:   "!",
		},
		{
			name:     "answer to an extended query in place of a simple one",
			messages: encode(is.New(t), &pgproto3.Query{}),
			answers:  []pgproto3.BackendMessage{bound, completed, ready},
			passed:   "!",
		},
		{
			name:     "ReadyForQuery before the batch is answered",
			messages: encode(is.New(t), bind(""), execute, sync),
			answers:  []pgproto3.BackendMessage{ready},
			passed:   "!",
		},
		{
			name:     "row where none is due",
			messages: encode(is.New(t), bind(""), execute, sync),
			answers:  []pgproto3.BackendMessage{&pgproto3.DataRow{}},
			passed:   "!",
		},
		{
			name:     "one answer too many",
			messages: encode(is.New(t), bind(""), execute, sync),
			answers:  []pgproto3.BackendMessage{bound, completed, completed},
			passed:   "2C!",
		},
		{
			name:     "answer of other messages after an error",
			messages: encode(is.New(t), bind(""), execute, sync),
			answers:  []pgproto3.BackendMessage{failed, bound},
			passed:   "E!",
		},
		{
			name:     "ReadyForQuery with an unknown transaction status",
			messages: encode(is.New(t), sync),
			answers:  []pgproto3.BackendMessage{&pgproto3.ReadyForQuery{}},
			passed:   "!",
		},
		{
			name:     "answer after the end of the batch",
			messages: encode(is.New(t), sync),
			answers:  []pgproto3.BackendMessage{ready, ready},
			passed:   "Z!",
		},
	}
	for _, c := range late {
		t.Run("mismatch: "+c.name, func(t *testing.T) {
			is := is.New(t)
			b, err := batch.New(&dbconn.Conn{}, c.messages, lookup)
			is.NoErr(err)
			is.Equal(replay(b, c.answers...), c.passed)
		})
	}
	t.Run("asynchronous messages may come at any place", func(t *testing.T) {
		is := is.New(t)
		b, err := batch.New(&dbconn.Conn{}, encode(is, bind(""), execute, sync), lookup)
		is.NoErr(err)
		is.Equal(replay(
			b,
			&pgproto3.NoticeResponse{}, bound, &pgproto3.ParameterStatus{}, completed,
			&pgproto3.NotificationResponse{}, ready,
		), "N2SCAZ")
	})
	// Guards against answers that are still on their way after the first ReadyForQuery.
	for name, messages := range map[string][]byte{
		"two Sync messages":       encode(is.New(t), bind(""), sync, bind(""), sync),
		"two Query messages":      encode(is.New(t), &pgproto3.Query{}, &pgproto3.Query{}),
		"a Query after a Bind":    encode(is.New(t), bind(""), &pgproto3.Query{}),
		"a Bind after a Query":    encode(is.New(t), &pgproto3.Query{}, bind(""), sync),
		"an Execute after a Sync": encode(is.New(t), sync, execute, sync),
	} {
		t.Run("refuses "+name, func(t *testing.T) {
			is := is.New(t)
			_, err := batch.New(&dbconn.Conn{}, messages, lookup)
			is.True(fault.IsKind(err, fault.BadRequest))
		})
	}
	for _, bad := range [][]byte{nil, {'Q'}, {'S', 0, 0, 0, 3}, {'Q', 0, 0, 0, 90}, {'E', 0, 0, 0, 4}} {
		t.Run("refuses "+strconv.Quote(string(bad)), func(t *testing.T) {
			is := is.New(t)
			_, err := batch.New(&dbconn.Conn{}, bad, lookup)
			is.True(fault.IsKind(err, fault.BadRequest))
		})
	}
}
