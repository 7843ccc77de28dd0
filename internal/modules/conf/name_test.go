package conf_test

import (
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/conf"
)

// Guards against a host name that no HTTP header can carry: the platform would get no order
// of a promotion from that host.
func TestNames(t *testing.T) {
	for _, key := range []string{"host", "data-centre"} {
		for _, name := range []string{`a\nb`, `a\r`, `a\0b`, `a\u00a0b`, `a b`, `a/b`} {
			t.Run(key+" "+name, func(t *testing.T) {
				is := is.New(t)
				body := []byte(render(t, nil))
				_, err := conf.Read("settings", body)
				is.NoErr(err)
				body = regexp.MustCompile(`(?m)^`+key+`:.*$`).ReplaceAllLiteral(body, []byte(key+`: "`+name+`"`))
				_, err = conf.Read("settings", body)
				is.True(err != nil && strings.Contains(err.Error(), "is not a valid name"))
			})
		}
	}
}
