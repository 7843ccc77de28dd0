package main

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/gen/wasabislip/v1/wasabislipv1connect"
	"wasabislip.example/wasabislip/internal/models/parse"
)

const example = "../../examples/hanbit.yaml"

// fakeAdmin is the admin service of a host. loseAnswer makes the next apply take
// effect but fail for the caller. raceOnce lets another operator's change come
// before the next apply. staleAnswers is how many status answers still show a
// host with the previous version.
type fakeAdmin struct {
	wasabislipv1connect.UnimplementedAdminServiceHandler

	mu           sync.Mutex
	version      uint64
	body         []byte
	requests     map[string]uint64
	loseAnswer   bool
	raceOnce     bool
	staleAnswers int
}

func (f *fakeAdmin) Show(context.Context, *connect.Request[wasabislipv1.ShowRequest]) (*connect.Response[wasabislipv1.ShowResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return connect.NewResponse(&wasabislipv1.ShowResponse{
		Version:  f.version,
		Body:     f.body,
		Operator: "ann",
	}), nil
}

func (f *fakeAdmin) Apply(_ context.Context, r *connect.Request[wasabislipv1.ApplyRequest]) (*connect.Response[wasabislipv1.ApplyResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.requests[r.Msg.GetRequestId()]; v > 0 {
		return connect.NewResponse(&wasabislipv1.ApplyResponse{
			Version: v,
		}), nil
	}
	if f.raceOnce {
		f.raceOnce = false
		f.version++
	}
	if r.Msg.GetBase() != f.version {
		return connect.NewResponse(&wasabislipv1.ApplyResponse{
			Conflict: `operator "ann" applied version 2`,
		}), nil
	}
	f.version++
	f.body = r.Msg.GetBody()
	f.requests[r.Msg.GetRequestId()] = f.version
	if f.loseAnswer {
		f.loseAnswer = false
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("lost"))
	}
	return connect.NewResponse(&wasabislipv1.ApplyResponse{
		Version: f.version,
	}), nil
}

func (f *fakeAdmin) Status(context.Context, *connect.Request[wasabislipv1.StatusRequest]) (*connect.Response[wasabislipv1.StatusResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	second := f.version
	if f.staleAnswers > 0 {
		f.staleAnswers--
		second--
	}
	resp := &wasabislipv1.StatusResponse{
		Version: f.version,
	}
	for name, version := range map[string]uint64{"entry-1": f.version, "entry-2": second} {
		resp.Hosts = append(resp.Hosts, &wasabislipv1.HostState{
			Host:          name,
			State:         "alive",
			ConfigVersion: version,
		})
	}
	return connect.NewResponse(resp), nil
}

// startAdmin starts f with the example in force and returns its address.
func startAdmin(t *testing.T, f *fakeAdmin) string {
	t.Helper()
	is := is.New(t)
	body, err := os.ReadFile(example)
	is.NoErr(err)
	f.version = 1
	f.body = body
	f.requests = map[string]uint64{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	_, h := wasabislipv1connect.NewAdminServiceHandler(f)
	s := &http.Server{
		Handler:   h,
		Protocols: p,
	}
	var wg conc.WaitGroup
	wg.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() {
		_ = s.Close()
		wg.Wait()
	})
	return l.Addr().String()
}

// run runs a command line against f, or without a host if f is nil.
func run(t *testing.T, f *fakeAdmin, args ...string) (string, error) {
	t.Helper()
	line := []string{"wasabislip", args[0]}
	if f != nil {
		line = append(line, "--plain", "--address", startAdmin(t, f))
	}
	out := &bytes.Buffer{}
	app := newApp()
	app.Writer = out
	app.ErrWriter = out
	err := app.Run(t.Context(), append(line, args[1:]...))
	return out.String(), err
}

func requireExit(t *testing.T, err error, code int, text string) {
	t.Helper()
	var exit cli.ExitCoder
	if !errors.As(err, &exit) || exit.ExitCode() != code || !strings.Contains(err.Error(), text) {
		t.Fatalf("got %v, want exit code %d with %q", err, code, text)
	}
}

// writeChanged writes the example with one rate replaced and returns the file's
// name.
func writeChanged(t *testing.T, rate string) string {
	t.Helper()
	is := is.New(t)
	body, err := os.ReadFile(example)
	is.NoErr(err)
	name := filepath.Join(t.TempDir(), "next.yaml")
	is.NoErr(os.WriteFile(name, bytes.Replace(body, []byte("rate: 400"), []byte(rate), 1), 0o600))
	return name
}

func TestApply(t *testing.T) {
	t.Run("prints the plan and waits for all hosts", func(t *testing.T) {
		is := is.New(t)
		out, err := run(t, &fakeAdmin{staleAnswers: 1}, "apply", writeChanged(t, "rate: 500"))
		is.NoErr(err)
		is.True(strings.Contains(out, "~ workspaces/salons-daejeon/rate: 400 -> 500"))
		is.True(strings.Contains(out, "in force on 1 of 2 hosts"))
		is.True(strings.Contains(out, "in force on 2 of 2 hosts"))
	})
	t.Run("an apply whose answer is lost takes effect once", func(t *testing.T) {
		is := is.New(t)
		f := &fakeAdmin{loseAnswer: true}
		_, err := run(t, f, "apply", writeChanged(t, "rate: 500"))
		is.NoErr(err)
		is.Equal(f.version, uint64(2))
	})
	t.Run("another operator's change is a conflict", func(t *testing.T) {
		_, err := run(t, &fakeAdmin{raceOnce: true}, "apply", writeChanged(t, "rate: 500"))
		requireExit(t, err, exitConflict, `operator "ann"`)
	})
	t.Run("an invalid file is not sent", func(t *testing.T) {
		_, err := run(t, nil, "apply", writeChanged(t, "rate: 0"))
		requireExit(t, err, exitBadFile, "workspaces[0].rate")
	})
	t.Run("the error names a host that has not confirmed", func(t *testing.T) {
		_, err := run(t, &fakeAdmin{staleAnswers: 1000}, "apply", "--timeout", "3s", writeChanged(t, "rate: 500"))
		requireExit(t, err, exitTimeout, "not confirmed by: entry-2")
	})
}

func TestDrain(t *testing.T) {
	t.Run("edits the newest file, and retries after a conflict", func(t *testing.T) {
		is := is.New(t)
		f := &fakeAdmin{raceOnce: true}
		_, err := run(t, f, "drain", "data-centre", "sejong-b")
		is.NoErr(err)
		s := parse.Parse("f", f.body).Spec
		is.True(s.DataCentres[1].Drained)
		is.Equal(f.version, uint64(3))
	})
	t.Run("restore of a data centre in service changes nothing", func(t *testing.T) {
		is := is.New(t)
		out, err := run(t, &fakeAdmin{}, "restore", "data-centre", "sejong-b")
		is.NoErr(err)
		is.True(strings.Contains(out, "nothing to change"))
	})
	t.Run("an unknown instance is an error", func(t *testing.T) {
		_, err := run(t, &fakeAdmin{}, "drain", "instance", "swap-ledger-1/z")
		requireExit(t, err, exitBadFile, "not in the configuration")
	})
}

func TestOtherCommands(t *testing.T) {
	for _, args := range [][]string{{"show"}, {"status"}, {"status", "--output", "json"}, {"plan", example}} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			is := is.New(t)
			out, err := run(t, &fakeAdmin{}, args...)
			is.NoErr(err)
			is.True(out != "")
		})
	}
	for _, args := range [][]string{{"check", example}, {"schema"}, {"key", "k-1"}, {"version"}} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			is := is.New(t)
			out, err := run(t, nil, args...)
			is.NoErr(err)
			is.True(out != "")
		})
	}
}
