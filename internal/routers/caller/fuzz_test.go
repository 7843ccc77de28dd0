package caller_test

import (
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/internal/models/limits"
	"wasabislip.example/wasabislip/internal/routers/caller"
)

// FuzzSession sends arbitrary bytes on a new connection. No input may make the
// session panic or keep it from ending once the caller is gone.
func FuzzSession(f *testing.F) {
	startup := encode(f, &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":     "shop",
			"database": "swap-1",
			"options":  "-c wasabislip.route=browse",
		},
	}, &pgproto3.PasswordMessage{
		Password: secret,
	})
	f.Add([]byte{})
	f.Add(encode(f, &pgproto3.SSLRequest{}, &pgproto3.GSSEncRequest{}))
	f.Add(encode(f, &pgproto3.CancelRequest{
		SecretKey: []byte{1, 2, 3, 4},
	}))
	f.Add(slices.Concat(startup, encode(f, query("/* wasabislip.route=browse */ select $a$;$a$; show wasabislip.route"))))
	f.Add(slices.Concat(startup, encode(f, append(extended("select 'x'"), &pgproto3.Sync{}, query("begin"), &pgproto3.Flush{}, &pgproto3.Terminate{})...)))
	f.Add(slices.Concat(startup, encode(f, &pgproto3.FunctionCall{}, &pgproto3.CopyData{}, &pgproto3.CopyDone{}, &pgproto3.Sync{})))
	f.Fuzz(func(t *testing.T, raw []byte) {
		backend := newFakeBackend()
		s := caller.New(backend, backend, backend)
		s.AllowPlaintext = true
		s.Limits = limits.Limits{
			WriteTimeout: time.Second,
			BatchBytes:   1 << 16,
		}
		ours, theirs := net.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.ServeConn(theirs)
		}()
		read := make(chan struct{})
		go func() {
			defer close(read)
			_, _ = io.Copy(io.Discard, ours)
		}()
		_, _ = ours.Write(raw)
		ours.Close()
		<-read
		<-ended
		if s.Panics() > 0 {
			t.Fatal("the session panicked")
		}
	})
}

func encode(f *testing.F, messages ...pgproto3.FrontendMessage) []byte {
	f.Helper()
	var raw []byte
	for _, m := range messages {
		var err error
		raw, err = m.Encode(raw)
		if err != nil {
			f.Fatal(err)
		}
	}
	return raw
}
