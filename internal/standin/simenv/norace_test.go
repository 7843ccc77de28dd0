//go:build !race

package simenv_test

// raceEnabled says that the race detector slows hosts tenfold.
const raceEnabled = false
