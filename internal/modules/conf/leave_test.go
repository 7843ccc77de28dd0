package conf_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/conf"
)

// TestLeaveSettings guards against a deployment's bounds that don't reach the hosts, and
// against a bound in the wrong unit.
func TestLeaveSettings(t *testing.T) {
	read := func(what string, with map[string]string, more string, check func(is *is.I, s *conf.Settings, err error)) {
		t.Run(what, func(t *testing.T) {
			s, err := conf.Read("settings", []byte(render(t, with)+more))
			check(is.New(t), s, err)
		})
	}
	read("the deployment's bounds", map[string]string{
		"contract_params.drain_timeout_ms": "7000",
		"contract_params.evacuation_ms":    "4000",
	}, "", func(is *is.I, s *conf.Settings, err error) {
		is.NoErr(err)
		is.Equal(s.DrainTimeout, 7*time.Second)
		is.Equal(s.EvacuationTimeout, 4*time.Second)
	})
	read("no bounds", nil, "", func(is *is.I, s *conf.Settings, err error) {
		is.NoErr(err)
		is.Equal(s.DrainTimeout, time.Duration(0))
		is.Equal(s.EvacuationTimeout, 5*time.Second)
	})
	for _, line := range []string{"drain-timeout: 7ms", "evacuation-timeout: 100h"} {
		key, _, _ := strings.Cut(line, ":")
		read(line, nil, "\n"+line+"\n", func(is *is.I, _ *conf.Settings, err error) {
			is.True(err != nil && strings.Contains(err.Error(), key))
		})
	}
}
