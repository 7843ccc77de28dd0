package cankey_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/cankey"
)

func TestKey(t *testing.T) {
	is := is.New(t)
	a, b := cankey.New("swap-1"), cankey.New("swap-1")
	is.True(a.Matches("swap-1"))
	is.True(!a.Matches("swap-2"))
	is.True(a.RequestID() != b.RequestID())
	is.Equal(len(a.Secret), 4)
	copied := cankey.Key{
		ProcessID: a.ProcessID,
		Secret:    a.Secret,
	}
	is.Equal(copied.RequestID(), a.RequestID())
	is.Equal(cankey.Key{}.RequestID(), "")
}
