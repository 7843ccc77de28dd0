// Package scenes_test runs the scripted scenarios of testdata: real processes
// on loopback, which the script starts, kills, pauses and cuts off from each other.
package scenes_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// keepDirs leaves the scenarios' directories, with the programs' logs, in place.
var keepDirs = flag.Bool("scenes.keep", false, "keep the scenarios' directories and logs")

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds the programs once for all scenarios.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenes-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "wasabislip.example/wasabislip/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func TestScenes(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:      "testdata",
		Setup:    setup,
		Cmds:     commands(),
		TestWork: *keepDirs,
	})
}

// setup puts the programs under test on the PATH of a scenario, and ends what the
// scenario started when it is over.
func setup(env *testscript.Env) error {
	sc := newScenario(env.WorkDir)
	env.Values[scenarioKey] = sc
	env.Defer(sc.close)
	env.Setenv("PATH", binaries+string(filepath.ListSeparator)+os.Getenv("PATH"))
	env.Setenv("HOME", env.WorkDir)
	return nil
}
