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

	"wasabislip.example/wasabislip/internal/bench/clust"
	"wasabislip.example/wasabislip/internal/bench/output"
	"wasabislip.example/wasabislip/internal/bench/user"
	"wasabislip.example/wasabislip/internal/standin/inproc"
)

var (
	long = flag.Bool("measures.long", false, "run every seed, user and case")
	file = flag.String("measures.file", "", "where to write the table")
)

// table collects the results of all tests.
var table output.Table

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

// eachUser runs test for each user, or only for the first without
// -measures.long. Each call of fresh returns a new copy of the user.
func eachUser(t *testing.T, test func(t *testing.T, fresh func() *user.User)) {
	for _, open := range []func() (*user.User, error){
		func() (*user.User, error) { return user.Hanbit("../../examples/hanbit.yaml") },
		func() (*user.User, error) { return user.Consortium("../../examples/consortium.yaml") },
	} {
		fresh := func() *user.User {
			u, err := open()
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

// withCluster calls use with a cluster of u in a synctest bubble, whose clock
// advances without waiting. If adjust is not nil, it is called before the start.
func withCluster(t *testing.T, u *user.User, adjust func(*inproc.Cluster), use func(ctx context.Context, c *clust.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, err := clust.New(t.Context(), u, adjust)
		is.New(t).NoErr(err)
		defer c.Stop()
		use(t.Context(), c)
	})
}
