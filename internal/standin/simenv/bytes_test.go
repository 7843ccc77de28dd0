package simenv_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simcli"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// everyByte holds every byte once.
func everyByte() string {
	b := make([]byte, 256)
	for i := range b {
		b[i] = byte(i)
	}
	return string(b)
}

// Guards against data that is refused, cut or changed because of its bytes, at the host that
// holds the connections to the primary (0) or at one that sends its statements there (1).
func TestBytesInData(t *testing.T) {
	datas := map[string]string{
		"0x00":              "a\x00b",
		"0x80":              "a\x80b",
		"0xff":              "a\xffb",
		"every byte":        everyByte(),
		"cut UTF-8":         "\xe2\x82",
		"tabs":              "\ta\t\tb\t",
		"blanks at the end": "a  ",
		"blanks in front":   "  a",
		"only blanks":       "   ",
		"empty":             "",
		"ends in CR":        "\xff\r",
		"60 KiB":            strings.Repeat("\xfe\n", 30<<10),
	}
	statements := map[string]func(is *is.I, c *simcli.Client, data string){
		"write": func(is *is.I, c *simcli.Client, data string) {
			is.True(c.Do("WRITE item " + data).OK())
		},
		"write in a transaction": func(is *is.I, c *simcli.Client, data string) {
			is.True(c.Do("BEGIN").OK())
			is.True(c.Do("WRITE item " + data).OK())
			is.Equal(c.Do("READ item").Rows, []string{data})
			is.True(c.Do("COMMIT").OK())
		},
		"prepared write": func(is *is.I, c *simcli.Client, data string) {
			is.True(c.Do("PREPARE s\x80 WRITE q\xff1").OK())
			is.True(c.Do("EXECUTE s\x80 item " + data).OK())
		},
		"session value": func(is *is.I, c *simcli.Client, data string) {
			is.True(c.Do("SET note " + data).OK())
			is.True(c.Do("SET no\xffte " + data).OK())
			is.True(c.Do("WRITE item " + data).OK())
		},
	}
	for where, data := range datas {
		for what, statement := range statements {
			for host := range 2 {
				t.Run(fmt.Sprintf("%s, %s, host %d", where, what, host), func(t *testing.T) {
					runScript(t, 3, func(is *is.I, env *simenv.Environment) {
						c, _, ok := env.OpenSession(host, "strict", "key-one")
						is.True(ok)
						defer c.Close()
						c.AnswerTimeout = 2 * time.Second
						opened := ownConnections(env)
						statement(is, c, data)
						is.Equal(c.Do("READ item").Rows, []string{data})
						for _, r := range env.Group.Executions() {
							for _, name := range []string{"note", "no\xffte"} {
								if v, ok := r.SessionValues[name]; ok {
									is.Equal(v, data)
								}
							}
							if what == "session value" {
								is.Equal(len(r.SessionValues), 2)
							}
						}
						// Host 1 opens no connection of its own: the holder takes its statements.
						is.Equal(ownConnections(env), opened)
					})
				})
			}
		}
	}
}

// ownConnections returns how many connections to instances host 1 has opened for callers'
// statements.
func ownConnections(env *simenv.Environment) float64 {
	return env.Metric(1, "wasabislip_instance_connections_opened")
}
