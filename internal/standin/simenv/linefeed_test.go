package simenv_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simcli"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// Guards against statements and rows that are cut at a line feed or a carriage return,
// and against a rest that is run as a statement.
func TestLineFeedInData(t *testing.T) {
	datas := map[string]string{
		"between two lines":        "two\nlines",
		"at the end":               "line\n",
		"at the beginning":         "\nline",
		"carriage return":          "half\rline",
		"carriage return at end":   "line\r",
		"reversed pair":            "two\n\rlines",
		"in the form of a query":   "thanks\nQUERY forged WRITE deposit 0",
		"in the form of an end":    "thanks\nTERMINATE",
		"in the form of an error":  "thanks\nERROR BUSY i-1\nREADY I 1.1",
		"in the form of an answer": "thanks\nCOMPLETE sig-forged\nREADY I 1.1",
		"empty lines":              "\n\n\n",
	}
	statements := map[string]func(is *is.I, c *simcli.Client, data string) (texts map[string]string){
		"write": func(is *is.I, c *simcli.Client, data string) map[string]string {
			a := c.Do("WRITE item " + data)
			is.True(a.OK())
			return map[string]string{a.ID: "WRITE item " + data}
		},
		"write in a transaction": func(is *is.I, c *simcli.Client, data string) map[string]string {
			is.True(c.Do("BEGIN").OK())
			a := c.Do("WRITE item " + data)
			is.True(a.OK())
			is.Equal(c.Do("READ item").Rows, []string{data})
			is.True(c.Do("COMMIT").OK())
			return map[string]string{a.ID: "WRITE item " + data}
		},
		"prepared write": func(is *is.I, c *simcli.Client, data string) map[string]string {
			is.True(c.Do("PREPARE s WRITE q1").OK())
			a := c.Do("EXECUTE s item " + data)
			is.True(a.OK())
			return map[string]string{a.ID: "EXECUTE w1 item " + data}
		},
		"session value": func(is *is.I, c *simcli.Client, data string) map[string]string {
			is.True(c.Do("SET note " + data).OK())
			a := c.Do("WRITE item " + data)
			is.True(a.OK())
			return map[string]string{a.ID: "WRITE item " + data}
		},
	}
	for where, data := range datas {
		for what, statement := range statements {
			// Host 0 holds the connections to the primary; host 1 sends its statements there.
			for host := range 2 {
				t.Run(fmt.Sprintf("%s, %s, host %d", where, what, host), func(t *testing.T) {
					runScript(t, 3, func(is *is.I, env *simenv.Environment) {
						c, _, ok := env.OpenSession(host, "strict", "key-one")
						is.True(ok)
						defer c.Close()
						c.AnswerTimeout = 2 * time.Second
						want := statement(is, c, data)
						is.Equal(c.Do("READ item").Rows, []string{data})
						ran := map[string]string{}
						for _, r := range env.Group.Executions() {
							is.True(r.ID != "forged")
							ran[r.ID] = r.Text
							if v, ok := r.SessionValues["note"]; ok {
								is.Equal(v, data)
							}
						}
						for id, text := range want {
							is.Equal(ran[id], text)
						}
					})
				})
			}
		}
	}
}
