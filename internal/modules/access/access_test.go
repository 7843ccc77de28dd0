package access_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/access"
)

// The SDK fails to sign a request without credentials, even if the platform checks no
// signatures.
func TestConfigWithoutCredentials(t *testing.T) {
	is := is.New(t)
	cfg := access.Access{}.Config()
	got, err := cfg.Credentials.Retrieve(context.Background())
	is.NoErr(err)
	is.True(got.HasKeys())
}
