package caller_test

import (
	"encoding/binary"
	"testing"
	"testing/synctest"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/limits"
)

// resize returns an encoded message whose body is longer or shorter by n bytes, with the
// length field to match.
func resize(t *testing.T, m pgproto3.FrontendMessage, n int) []byte {
	t.Helper()
	raw, err := m.Encode(nil)
	is.New(t).NoErr(err)
	if n > 0 {
		raw = append(raw, make([]byte, n)...)
	} else {
		raw = raw[:len(raw)+n]
	}
	binary.BigEndian.PutUint32(raw[1:], uint32(len(raw)-1))
	return raw
}

// TestMessageLengths guards against statements that are cut, and messages that are
// swallowed, since a message's length and its fields do not agree.
func TestMessageLengths(t *testing.T) {
	messages := map[string]pgproto3.FrontendMessage{
		"Query": query("select 'x'"),
		"Parse": &pgproto3.Parse{
			Query:         "select 'x'",
			ParameterOIDs: []uint32{25},
		},
		"Bind": &pgproto3.Bind{
			Parameters:           [][]byte{[]byte("a"), nil},
			ParameterFormatCodes: []int16{1, 0},
			ResultFormatCodes:    []int16{1},
		},
		"Describe": &pgproto3.Describe{
			ObjectType: 'P',
		},
		"Execute": &pgproto3.Execute{},
		"Close": &pgproto3.Close{
			ObjectType: 'P',
		},
		"Sync": &pgproto3.Sync{},
		"Parse with zero bytes in its text": &pgproto3.Parse{
			Query: "select 'x'\x00\x00\x00 and more",
		},
		"Query with a zero byte in its text": query("select 'x'\x00 and more"),
	}
	for name, m := range messages {
		for by, n := range map[string]int{
			"too short": -1,
			"too long":  1,
			"as sent":   0,
		} {
			sync := name == "Sync" && n < 0
			whole := n == 0 && len(name) <= len("Describe")
			if sync || whole {
				continue // a length below that of the field itself, and a valid message
			}
			t.Run(name+" "+by, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					backend := newFakeBackend()
					c := dial(t, backend, limits.Limits{})
					c.logIn()
					raw := resize(t, m, n)
					go func() {
						_, _ = c.conn.Write(raw)
						c.post(&pgproto3.Sync{})
					}()
					c.expectEnd("08P01")
					is.Equal(len(backend.queries), 0)
				})
			})
		}
	}
	t.Run("valid messages, and line breaks in data", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := dial(t, newFakeBackend(), limits.Limits{})
			c.logIn()
			const text = "a\r\nb\n\rc\\"
			c.send(query("select '" + text + "'"))
			c.expect("T")
			row, ok := c.expect("D").(*pgproto3.DataRow)
			is.True(ok)
			is.Equal(string(row.Values[0]), text)
			c.expect("CZ")
			go c.post(
				messages["Parse"], messages["Bind"], messages["Describe"], messages["Execute"],
				messages["Close"], messages["Sync"],
			)
			c.expect("12TDC3Z")
		})
	})
}
