package roster_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/roster"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// object is a store of one object.
type object string

func (o object) Get(context.Context, string) ([]byte, error) {
	return []byte(o), nil
}

func TestAddresses(t *testing.T) {
	t.Run("hosts without an address are left out", func(t *testing.T) {
		is := is.New(t)
		got, err := roster.New(object(`[{"host":"a","address":"10.0.0.1:7000"},{"host":"b"}]`)).Addresses(t.Context())
		is.NoErr(err)
		is.Equal(got, []string{"10.0.0.1:7000"})
	})
	t.Run("a list that is not JSON is a platform fault", func(t *testing.T) {
		is := is.New(t)
		_, err := roster.New(object(`{`)).Addresses(t.Context())
		is.True(fault.IsKind(err, fault.Platform))
	})
}
