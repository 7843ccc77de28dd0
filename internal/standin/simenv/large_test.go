package simenv_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// Guards against statements and answers within the protocol's limits that a host or the
// connection between two hosts does not take, and against answers over the proxy's own limit
// that leave a connection out of step, or that are told to be certainly not run. Host 0 holds
// the connections to the primary; host 1 sends its statements there.
func TestLargeMessages(t *testing.T) {
	// large is the data of a WRITE that is 1 MiB long with its id and its end.
	large := strings.Repeat("x", 1<<20-len("QUERY c1000000-10 WRITE item \r\n"))
	for host := range 2 {
		run := func(name string, script func(is *is.I, env *simenv.Environment)) {
			t.Run(fmt.Sprintf("%s, host %d", name, host), func(t *testing.T) {
				runScript(t, 3, func(is *is.I, env *simenv.Environment) {
					opened := ownConnections(env)
					script(is, env)
					is.Equal(ownConnections(env), opened) // host 1 went to the holder
				})
			})
		}
		run("statements and rows of 1 MiB", func(is *is.I, env *simenv.Environment) {
			c, _, ok := env.OpenSession(host, "strict", "key-one")
			is.True(ok)
			defer c.Close()
			is.True(c.Do("WRITE item " + large).OK())
			is.True(c.Do("READ item").Row() == large)
			is.True(c.Do("PREPARE s WRITE " + large).OK())
			is.True(c.Do("EXECUTE s item " + large[3:]).OK())
			is.True(c.Do("READ item").Row() == large[3:])
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("WRITE item " + large).OK())
			is.True(c.Do("COMMIT").OK())
			is.True(c.Do("READ item").Row() == large)
		})
		run("statements over 1 MiB", func(is *is.I, env *simenv.Environment) {
			c, _, ok := env.OpenSession(host, "strict", "key-one")
			is.True(ok)
			defer c.Close()
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("WRITE item 1").OK())
			for _, more := range []int{100, 5 << 20} {
				a := c.Do("WRITE item " + large + strings.Repeat("\r", more))
				is.Equal(a.Code, "MALFORMED")
				is.Equal(a.State, "T")
				is.True(strings.Contains(a.Text, "send smaller statements"))
			}
			is.True(c.Do("COMMIT").OK())
			is.Equal(c.Do("READ item").Row(), "1")
		})
		run("session values of 6 MiB in all", func(is *is.I, env *simenv.Environment) {
			c, _, ok := env.OpenSession(host, "strict", "key-one")
			is.True(ok)
			defer c.Close()
			for i := range 6 {
				is.True(c.Do(fmt.Sprintf("SET v%d %s", i, large)).OK())
			}
			is.True(c.Do("WRITE item 1").OK())
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("WRITE item 2").OK())
			is.True(c.Do("COMMIT").OK())
			executions := env.Group.Executions()
			is.Equal(len(executions[0].SessionValues), 6)
			is.True(executions[0].SessionValues["v5"] == large)
		})
		run("session values without end", func(is *is.I, env *simenv.Environment) {
			c, _, ok := env.OpenSession(host, "strict", "key-one")
			is.True(ok)
			defer c.Close()
			refused := 0
			for i := range 40 {
				if a := c.Do(fmt.Sprintf("SET v%d %s", i, large)); !a.OK() {
					is.Equal(a.Code, "MALFORMED")
					is.True(strings.Contains(a.Text, "set smaller or fewer values"))
					refused++
				}
			}
			is.True(refused > 0)
			is.True(c.Do("WRITE item 1").OK()) // with the values that were not refused
		})
		run("10000 rows", func(is *is.I, env *simenv.Environment) {
			c, _, ok := env.OpenSession(host, "strict", "key-one")
			is.True(ok)
			defer c.Close()
			is.True(c.Do("WRITE item a row").OK())
			env.Group.SetRowsPerRead(10000)
			a := c.Do("READ item")
			is.True(a.OK())
			is.Equal(len(a.Rows), 10000)
			is.Equal(a.Rows[9999], "a row")
			is.Equal(a.Signature, "sig-"+a.ID)
		})
		run("an answer of 8 MiB", func(is *is.I, env *simenv.Environment) {
			c, _, ok := env.OpenSession(host, "strict", "key-one")
			is.True(ok)
			defer c.Close()
			is.True(c.Do("WRITE item " + large).OK())
			env.Group.SetRowsPerRead(8)
			a := c.Do("READ item")
			is.True(a.OK())
			is.Equal(len(a.Rows), 8)
			is.True(a.Rows[7] == large)
		})
		t.Run(fmt.Sprintf("an answer over the limit, host %d", host), func(t *testing.T) {
			runScript(t, 3, func(is *is.I, env *simenv.Environment) {
				c, _, ok := env.OpenSession(host, "strict", "key-one")
				is.True(ok)
				defer c.Close()
				is.True(c.Do("WRITE item " + large).OK())
				env.Group.SetRowsPerRead(20)
				a := c.Do("READ item")
				is.True(!a.OK() && !a.Lost)
				is.True(strings.Contains(a.Text, "over 16 MiB"))
				is.True(c.Do("BEGIN").OK())
				is.True(c.Do("WRITE item2 1").OK())
				a = c.Do("READ item")
				is.Equal(a.Code, "ABORTED") // the transaction is rolled back
				is.True(strings.Contains(a.Text, "over 16 MiB"))
				is.Equal(a.State, "E")
				is.Equal(c.Do("ROLLBACK").State, "I")
				env.Group.SetRowsPerRead(1)
				time.Sleep(2 * time.Second)
				for i := range 10 {
					is.True(c.Do(fmt.Sprintf("WRITE other %d", i)).OK())
					is.Equal(c.Do("READ other").Row(), fmt.Sprint(i))
				}
				is.Equal(c.Do("READ item2").Row(), "-")
			})
		})
	}
}
