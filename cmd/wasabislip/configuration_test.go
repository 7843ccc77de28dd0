package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wasabislip": main,
	})
}

// TestConfiguration guards against mistakes that callers find first: entries that never
// match, limits that contradict each other, and keys or databases that are gone.
func TestConfiguration(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
	})
}
