package simenv_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// Guards against workspaces whose names shift the fields of a session start, so that an
// instance takes the connection for another workspace's, and against a host that takes
// instances for dead because they can't be told such a name.
func TestWorkspaceNames(t *testing.T) {
	for name, reason := range map[string]string{
		"one two":                       "holds a blank",
		"one i-1":                       "holds a blank",
		"one\r\nQUERY forged WRITE x 1": "holds CR LF",
	} {
		for host := range 2 {
			t.Run(fmt.Sprintf("%q, host %d", name, host), func(t *testing.T) {
				runScript(t, 3, func(is *is.I, env *simenv.Environment) {
					env.Configure(func(config map[string]any) {
						config["tenants"] = append(config["tenants"].([]any), simenv.WorkspaceConfig(name, 1000, "key-odd"))
					})
					time.Sleep(2 * time.Second)
					c, _, ok := env.OpenSession(host, "bounded", "key-odd")
					is.True(ok)
					defer c.Close()
					c.AnswerTimeout = 2 * time.Second
					for _, text := range []string{"WRITE item 1", "READ item"} {
						a := c.Do(text)
						is.Equal(a.Code, "BUSY") // certainly not run
						is.True(strings.Contains(a.Text, reason))
						is.True(strings.Contains(a.Text, "use names without blanks"))
					}
					is.True(c.Do("BEGIN").OK())
					a := c.Do("WRITE item 1")
					is.Equal(a.Code, "BUSY")
					is.True(strings.Contains(a.Text, reason))
					is.Equal(c.Do("ROLLBACK").State, "I")
					for range 3 {
						one, _, ok := env.OpenSession(host, "bounded", "key-one")
						is.True(ok)
						is.True(one.Do("WRITE item 2").OK())
						is.True(one.Do("READ item").OK())
						one.Close()
					}
					for _, r := range env.Group.Executions() {
						is.Equal(r.Workspace, "one")
						is.True(r.Text != "WRITE item 1")
						is.True(r.ID != "forged")
					}
				})
			})
		}
	}
}
