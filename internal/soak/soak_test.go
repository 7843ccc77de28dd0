package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/soak"
)

// seeds are played in CI; each seed that ever failed stays here with a line on
// its cause.
var seeds = map[string]uint64{
	"a first seed": 1,
	// A host that was ended twice was started twice, and one of the two was
	// never ended: a fault of the soak itself.
	"a host ended twice": 1001,
}

func TestSoak(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "wasabislip")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/wasabislip").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &soak.Soak{
				Binary:  binary,
				Hosts:   4,
				Callers: 3,
				For:     5 * time.Second,
				Seed:    seed,
				Dir:     t.TempDir(),
				Out:     t.Output(),
			}
			is.NoErr(s.Run(t.Context()))
		})
	}
}
