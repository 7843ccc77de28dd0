package policy_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/policy"
	"wasabislip.example/wasabislip/internal/models/rules"
)

// TestHasAdmission guards against deployments that are served otherwise than before
// although they declare fewer than three priorities.
func TestHasAdmission(t *testing.T) {
	run := func(name string, priorities []int, want bool) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &policy.Policy{
				Rules: map[string]rules.Rules{},
			}
			for i, n := range priorities {
				p.Rules[string(rune('a'+i))] = rules.Rules{
					Priority: n,
				}
			}
			p.SetLevels()
			is.Equal(p.HasAdmission(), want)
		})
	}
	run("no databases", nil, false)
	run("two priorities", []int{0, 1, 1, 0}, false)
	run("three priorities", []int{5, 0, 1, 1}, true)
}
