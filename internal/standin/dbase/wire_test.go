package dbase_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/dbcfg"
)

// exchange sends the messages of one batch and returns the answers up to
// ReadyForQuery, one word each.
func exchange(t *testing.T, frontend *pgproto3.Frontend, messages ...pgproto3.FrontendMessage) string {
	t.Helper()
	for _, m := range messages {
		frontend.Send(m)
	}
	sent := make(chan error, 1)
	go func() { sent <- frontend.Flush() }()
	var answers []string
	for {
		m, err := frontend.Receive()
		if err != nil {
			t.Fatal(err)
		}
		answers = append(answers, describe(m))
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			if err := <-sent; err != nil {
				t.Fatal(err)
			}
			return strings.Join(answers, " ")
		}
	}
}

// describe names a message in one word.
func describe(m pgproto3.BackendMessage) string {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		return string(m.TxStatus)
	case *pgproto3.ErrorResponse:
		return m.Code
	case *pgproto3.DataRow:
		return "row"
	case *pgproto3.CommandComplete:
		return strings.ReplaceAll(string(m.CommandTag), " ", "-")
	case *pgproto3.ParameterStatus:
		return m.Name + "=" + m.Value
	case *pgproto3.ParameterDescription:
		return fmt.Sprint("params", m.ParameterOIDs)
	case *pgproto3.RowDescription:
		return fmt.Sprint("columns[", m.Fields[0].DataTypeOID, "]")
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3.")
}

func parse(name, query string) *pgproto3.Parse {
	return &pgproto3.Parse{
		Name:  name,
		Query: query,
	}
}

func bind(name string, values ...string) *pgproto3.Bind {
	b := &pgproto3.Bind{
		PreparedStatement: name,
	}
	for _, v := range values {
		b.Parameters = append(b.Parameters, []byte(v))
	}
	return b
}

func run(maxRows uint32) *pgproto3.Execute {
	return &pgproto3.Execute{
		MaxRows: maxRows,
	}
}

func TestMessages(t *testing.T) {
	put := "SELECT put($1, $2)"
	end := &pgproto3.Sync{}
	cases := []struct {
		name  string
		batch []pgproto3.FrontendMessage
		want  string
	}{
		{
			name: "describe",
			batch: []pgproto3.FrontendMessage{
				parse("s", "SELECT add($1, $2)"),
				&pgproto3.Describe{
					ObjectType: 'S',
					Name:       "s",
				},
				end,
			},
			want: "ParseComplete params[25 20] columns[20] I",
		},
		{
			name: "a prepared statement writes twice in one transaction",
			batch: []pgproto3.FrontendMessage{
				parse("p", put), bind("p", "k", "1"), run(0), bind("p", "k", "2"), run(0), end,
			},
			want: "ParseComplete BindComplete row SELECT-1 BindComplete row SELECT-1 ledger.position=1/2 I",
		},
		{
			name: "everything after an error is skipped until Sync",
			batch: []pgproto3.FrontendMessage{
				bind("absent"), run(0), parse("q", put), end,
			},
			want: "26000 I",
		},
		{
			name: "a block stays open and failed",
			batch: []pgproto3.FrontendMessage{
				parse("", "BEGIN"), bind(""), run(0), parse("", "SELECT fail()"), bind(""), run(0), end,
			},
			want: "ParseComplete BindComplete BEGIN ParseComplete BindComplete 22012 E",
		},
		{
			name: "a failed block ends with ROLLBACK",
			batch: []pgproto3.FrontendMessage{
				parse("", "COMMIT"), bind(""), run(0), end,
			},
			want: "ParseComplete BindComplete ROLLBACK I",
		},
		{
			name: "a portal is suspended and goes on",
			batch: []pgproto3.FrontendMessage{
				parse("", "SELECT rows(3)"), bind(""), run(2), run(2), end,
			},
			want: "ParseComplete BindComplete row row PortalSuspended row SELECT-3 I",
		},
		{
			name: "statements of one query are one transaction",
			batch: []pgproto3.FrontendMessage{
				&pgproto3.Query{
					String: "SELECT put('a;b', '1'); SELECT fail(); SELECT 1",
				},
			},
			want: "columns[25] row SELECT-1 22012 I",
		},
		{
			name: "an empty query",
			batch: []pgproto3.FrontendMessage{
				&pgproto3.Query{
					String: " ; -- nothing",
				},
			},
			want: "EmptyQueryResponse I",
		},
		{
			name: "a changed setting is reported",
			batch: []pgproto3.FrontendMessage{
				&pgproto3.Query{
					String: "SET application_name = 'x'",
				},
			},
			want: "application_name=x SET I",
		},
	}
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, dbcfg.Config{}, "a")
		cl.promote(t, 1, "a")
		h, err := cl.open(t, "a").PgConn().Hijack()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = h.Conn.Close() }()
		for _, c := range cases {
			is := is.New(t)
			is.Equal(c.name+": "+exchange(t, h.Frontend, c.batch...), c.name+": "+c.want)
		}
		if got := text(t, cl.open(t, "a"), "SELECT get('a;b')"); got != "NULL" {
			t.Fatalf("a failed query left a write: %s", got)
		}
	})
}
