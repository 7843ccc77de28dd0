package exec_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	v1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// runTransaction runs batches in one transaction, and returns the result of the last
// one that was answered.
func (h *host) runTransaction(is *is.I, texts ...string) result {
	is.Helper()
	c := &fakeStream{
		requests: make(chan *v1.RunRequest, len(texts)),
		ready:    make(chan struct{}, len(texts)+1),
	}
	for _, text := range texts[1:] {
		c.requests <- &v1.RunRequest{
			Messages:  query(text),
			TimeoutMs: 2000,
		}
	}
	close(c.requests)
	is.NoErr(h.Run(h.ctx, &v1.RunRequest{
		Open: &v1.Open{
			Route:     "write",
			RequestId: "t" + time.Now().String(),
		},
		Messages:  query(texts[0]),
		TimeoutMs: 2000,
	}, c))
	return c.result()
}

// TestRepeatedAnswers guards against statements that get the answer to an earlier
// statement on the same connection, after an instance has answered twice.
func TestRepeatedAnswers(t *testing.T) {
	t.Run("a read after an answer that came twice", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			g.set(func() { g.primaryLocked().repeatAnswers = true })
			is.Equal(h.read(t, "primary", nil).count, "1")
			acknowledged(is, h.write(t, "y"))
			is.Equal(h.read(t, "primary", nil).count, "2")
			acknowledged(is, h.write(t, "z"))
			is.Equal(h.read(t, "primary", nil).count, "3")
		})
	})
	t.Run("a batch of a transaction whose last answer came twice", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			g.set(func() { g.primaryLocked().repeatAnswers = true })
			r := h.runTransaction(is, "begin", "write y", "commit")
			is.Equal(r.kind, fault.NotRun)
			g.set(func() { g.primaryLocked().repeatAnswers = false })
			is.True(!g.holds(g.primary(), "y"))
			acknowledged(is, h.write(t, "z"))
		})
	})
	t.Run("a write is not acknowledged with the position of an earlier one", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			g.set(func() { g.primaryLocked().delayedRepeat = true })
			r := h.write(t, "y")
			is.Equal(r.kind, fault.OutcomeUnknown)
			is.True(!r.done)
			g.set(func() { g.primaryLocked().delayedRepeat = false })
			acknowledged(is, h.write(t, "z"))
		})
	})
	t.Run("asynchronous messages end no transaction", func(t *testing.T) {
		withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
			acknowledged(is, h.write(t, "x"))
			var messages []byte
			for _, m := range []pgproto3.BackendMessage{
				&pgproto3.NoticeResponse{
					Severity: "WARNING",
				},
				&pgproto3.ParameterStatus{
					Name:  "TimeZone",
					Value: "UTC",
				},
				&pgproto3.NotificationResponse{
					Channel: "c",
				},
			} {
				var err error
				messages, err = m.Encode(messages)
				is.NoErr(err)
			}
			g.set(func() { g.primaryLocked().asyncMessages = messages })
			acknowledged(is, h.runTransaction(is, "begin", "write y", "commit"))
			is.True(g.holds(g.primary(), "y"))
			acknowledged(is, h.write(t, "z"))
		})
	})
}

// TestRepeatedRead guards against a read that gets the rows of the read before it on the
// same connection, whose answer comes again while the second one runs.
func TestRepeatedRead(t *testing.T) {
	statement := &v1.Statement{
		Name:  "r",
		Query: "read",
	}
	for _, c := range []struct {
		name     string
		messages []byte
	}{
		{
			name:     "simple query",
			messages: query("read"),
		},
		{
			name:     "prepared statement",
			messages: executePrepared("r"),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFakeGroup(t, func(is *is.I, _ context.Context, g *fakeGroup, _ *fakeTable, h *host) {
				read := func() result {
					return h.call(t, &v1.Open{
						Route: "primary",
					}, c.messages, 2*time.Second, statement)
				}
				acknowledged(is, h.write(t, "x"))
				acknowledged(is, read())
				is.Equal(read().count, "1")
				acknowledged(is, h.write(t, "y"))
				p := g.primary()
				g.set(func() { p.lateReads = 10 * time.Millisecond })
				is.True(read().count != "1")
				g.set(func() { p.lateReads = 0 })
				is.Equal(p.repeatedReads, 1)
				r := read()
				acknowledged(is, r)
				is.Equal(r.count, "2")
			})
		})
	}
}
