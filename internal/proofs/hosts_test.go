package proofs_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestReadThroughEachHost reads through each of nine hosts what was written
// through the first.
func TestReadThroughEachHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(t, 9, nil)
		_, err := cl.query(0, "settle", "SELECT put('hold-17','lotus')")
		is.NoErr(err)
		for i := range cl.Hosts {
			got, err := cl.query(i, "browse", "SELECT get('hold-17')")
			is.NoErr(err)
			is.Equal(got, "lotus")
		}
	})
}
