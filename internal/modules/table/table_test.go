package table_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/internal/modules/access"
	"wasabislip.example/wasabislip/internal/modules/table"
	"wasabislip.example/wasabislip/internal/standin/cloud"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// handlerTransport passes requests to a handler without a socket, because a socket
// does not work in a synctest bubble.
type handlerTransport struct {
	handler http.Handler
}

// RoundTrip serves one request; it returns an error when the handler aborts.
func (h handlerTransport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if recover() != nil {
			resp, err = nil, errors.New("connection closed without an answer")
		}
	}()
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	if r.Context().Err() != nil {
		return nil, r.Context().Err()
	}
	return w.Result(), nil
}

// newTable returns a table of a platform of its own.
func newTable() (*table.Table, *cloud.Server) {
	platform := cloud.New()
	tab := table.New(access.Access{
		Endpoint: "http://platform",
		KeyID:    "id",
		Secret:   "secret",
		Timeout:  time.Second,
		Client: &http.Client{
			Transport: handlerTransport{
				handler: platform,
			},
		},
	}, "wasabislip")
	return tab, platform
}

// setFaults sets the faults that the platform injects from now on.
func setFaults(t *testing.T, platform *cloud.Server, body string) {
	t.Helper()
	w := httptest.NewRecorder()
	platform.ServeHTTP(w, httptest.NewRequest(http.MethodPost, cloud.FaultsPath, strings.NewReader(body)))
	if w.Code != http.StatusNoContent {
		t.Fatalf("faults %s: %d %s", body, w.Code, w.Body)
	}
}

func row(name, request string) record.Record {
	return record.Record{
		Class:   "term",
		Name:    name,
		Body:    []byte(`{"term":1}`),
		Request: request,
	}
}

// wantKind ends the test unless err is a fault of that kind.
func wantKind(t *testing.T, err error, kind string) {
	t.Helper()
	if !fault.IsKind(err, kind) {
		t.Fatalf("want a fault of kind %s, got %v", kind, err)
	}
}

// runInBubble runs a test on a platform of its own, in the fake time of a synctest
// bubble.
func runInBubble(t *testing.T, name string, test func(t *testing.T, tab *table.Table, platform *cloud.Server)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tab, platform := newTable()
			test(t, tab, platform)
		})
	})
}

func TestTable(t *testing.T) {
	ctx := context.Background()
	runInBubble(t, "an absent row has version 0", func(t *testing.T, tab *table.Table, _ *cloud.Server) {
		is := is.New(t)
		got, err := tab.Get(ctx, "term", "db")
		is.NoErr(err)
		is.Equal(got.Version, uint64(0))
	})
	runInBubble(t, "the second of two writers gets a conflict", func(t *testing.T, tab *table.Table, _ *cloud.Server) {
		is := is.New(t)
		is.NoErr(tab.Put(ctx, row("db", "r1"), 0))
		wantKind(t, tab.Put(ctx, row("db", "r2"), 0), fault.Conflict)
		is.NoErr(tab.Put(ctx, row("db", "r3"), 1))
		wantKind(t, tab.Put(ctx, row("db", "r4"), 1), fault.Conflict)
		got, err := tab.Get(ctx, "term", "db")
		is.NoErr(err)
		is.Equal(got.Version, uint64(2))
		is.Equal(got.Request, "r3")
		is.Equal(string(got.Body), `{"term":1}`)
	})
	runInBubble(t, "a write whose answer was lost succeeds", func(t *testing.T, tab *table.Table, platform *cloud.Server) {
		is := is.New(t)
		setFaults(t, platform, `{"lose-answers": 1}`)
		is.NoErr(tab.Put(ctx, row("db", "r1"), 0))
		got, err := tab.Get(ctx, "term", "db")
		is.NoErr(err)
		is.Equal(got.Version, uint64(1))
	})
	runInBubble(t, "a change that is put again is idempotent", func(t *testing.T, tab *table.Table, _ *cloud.Server) {
		is := is.New(t)
		is.NoErr(tab.Put(ctx, row("db", "r1"), 0))
		is.NoErr(tab.Put(ctx, row("db", "r1"), 0))
		got, err := tab.Get(ctx, "term", "db")
		is.NoErr(err)
		is.Equal(got.Version, uint64(1))
	})
	runInBubble(t, "a conflict whose answer was lost is still a conflict", func(t *testing.T, tab *table.Table, platform *cloud.Server) {
		is := is.New(t)
		is.NoErr(tab.Put(ctx, row("db", "r1"), 0))
		setFaults(t, platform, `{"lose-answers": 1}`)
		wantKind(t, tab.Put(ctx, row("db", "r2"), 0), fault.Conflict)
	})
	for _, body := range []string{`{"outage": true}`, `{"hang": true}`, `{"slow": "1m"}`} {
		runInBubble(t, "the platform fails with "+body, func(t *testing.T, tab *table.Table, platform *cloud.Server) {
			is := is.New(t)
			setFaults(t, platform, body)
			start := time.Now()
			err := tab.Put(ctx, row("db", "r1"), 0)
			wantKind(t, err, fault.Platform)
			is.True(strings.Contains(err.Error(), "may have taken effect"))
			_, err = tab.Get(ctx, "term", "db")
			wantKind(t, err, fault.Platform)
			is.True(time.Since(start) <= 2*time.Second)
		})
	}
	runInBubble(t, "a class of several pages is listed in order", func(t *testing.T, tab *table.Table, _ *cloud.Server) {
		is := is.New(t)
		for n := range 250 {
			is.NoErr(tab.Put(ctx, row(fmt.Sprintf("db%03d", n), "r"), 0))
		}
		rows, err := tab.List(ctx, "term")
		is.NoErr(err)
		is.Equal(len(rows), 250)
		is.Equal(rows[249].Name, "db249")
		rows, err = tab.List(ctx, "lease")
		is.NoErr(err)
		is.Equal(len(rows), 0)
	})
}
