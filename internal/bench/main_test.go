package bench_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/bench/drive"
	"wasabislip.example/wasabislip/internal/bench/sheet"
	"wasabislip.example/wasabislip/internal/bench/user"
	"wasabislip.example/wasabislip/internal/standin/inproc"
)

var (
	long = flag.Bool("measures.long", false, "run every seed, user and case")
	file = flag.String("measures.file", "", "where to write the table")
)

// table gathers what all tests measured.
var table sheet.Sheet

func TestMain(m *testing.M) {
	flag.Parse()
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	code := m.Run()
	if *file != "" {
		if err := os.WriteFile(*file, []byte(table.String()), 0o600); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// eachUser runs test once a user; the short form takes the first only.
func eachUser(t *testing.T, test func(t *testing.T, fresh func() *user.User)) {
	for _, load := range []func() (*user.User, error){
		func() (*user.User, error) { return user.Hanbit("../../examples/hanbit.yaml") },
		func() (*user.User, error) { return user.Consortium("../../examples/consortium.yaml") },
	} {
		fresh := func() *user.User {
			u, err := load()
			if err != nil {
				t.Fatal(err)
			}
			return u
		}
		t.Run(fresh().Name, func(t *testing.T) { test(t, fresh) })
		if !*long {
			return
		}
	}
}

// within runs use on u's installation in a bubble.
func within(t *testing.T, u *user.User, adjust func(*inproc.Cluster), use func(ctx context.Context, d *drive.Drive)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d, err := drive.New(t.Context(), u, adjust)
		is.New(t).NoErr(err)
		defer d.Stop()
		use(t.Context(), d)
	})
}
