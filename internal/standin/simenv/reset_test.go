package simenv_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/guard"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// Parts of a message's bytes that arrive before the connection is reset.
const (
	noBytes = iota
	halfOfBytes
	allBytes
)

// hop is one connection on the way of a statement.
type hop struct {
	name string
	// host is where the caller's session is.
	host int
	// server is the address of the end that answers.
	server string
}

// resetOnce resets the connection of a hop in the first message that contains text,
// after a part of its bytes. answers says whether the message is an answer.
func resetOnce(env *simenv.Environment, h hop, answers bool, text string, part int) {
	done := false
	env.Net.SetBreaker(func(from, to string, data []byte) (int, bool) {
		server := to
		if answers {
			server = from
		}
		if done || server != h.server || !bytes.Contains(data, []byte(text)) {
			return 0, false
		}
		done = true
		return len(data) * part / allBytes, true
	})
}

// Guards against work that is run again after a lost answer, and against callers who
// are told that it did not run.
func TestResets(t *testing.T) {
	_, instance := simenv.Instance(0)
	hops := []hop{
		{
			name:   "caller to host",
			host:   1,
			server: simenv.HostIP(1) + ":8465",
		},
		{
			// Host 0 is the only one in the data centre of the primary.
			name:   "host to holder",
			host:   1,
			server: simenv.HostIP(0) + ":7560",
		},
		{
			name:   "holder to instance",
			host:   0,
			server: instance + ":8080",
		},
	}
	parts := map[int]string{
		noBytes:     "before",
		halfOfBytes: "in the middle of",
		allBytes:    "after",
	}
	for _, h := range hops {
		for _, commit := range []bool{false, true} {
			for _, answers := range []bool{false, true} {
				for part, where := range parts {
					message := "request"
					if answers {
						message = "answer"
					}
					kind := "write"
					if commit {
						kind = "commit"
					}
					t.Run(fmt.Sprintf("%s, %s the %s of a %s", h.name, where, message, kind), func(t *testing.T) {
						runScript(t, 3, func(is *is.I, env *simenv.Environment) {
							playReset(t, is, env, h, commit, answers, part)
						})
					})
				}
			}
		}
	}
}

// playReset resets a connection in the message of a write or a commit, and checks what
// the caller is told against what was committed.
func playReset(t *testing.T, is *is.I, env *simenv.Environment, h hop, commit, answers bool, part int) {
	t.Helper()
	panics := guard.Panics()
	c, _, ok := env.OpenSession(h.host, "strict", "key-one")
	is.True(ok)
	defer c.Close()
	is.True(c.Do("WRITE warm-up 1").OK()) // opens the connections
	statement := "WRITE item the-value"
	if commit {
		is.True(c.Do("BEGIN").OK())
		is.True(c.Do(statement).OK())
		statement = "COMMIT"
	}
	text := statement
	if answers {
		text = "sig-"
	}
	resetOnce(env, h, answers, text, part)
	a := c.Do(statement)
	env.Net.SetBreaker(nil)
	time.Sleep(2 * simenv.StatementTimeout)
	ran := env.Group.CountCommitted()["item=the-value"]
	t.Logf("ran %d times; lost %v, code %q, text %q", ran, a.Lost, a.Code, a.Text)
	arrived := answers || part == allBytes
	is.Equal(ran > 0, arrived || a.OK())
	is.True(ran <= 1)
	if a.GuaranteesNoEffect() {
		is.Equal(ran, 0)
	}
	if strings.HasPrefix(h.name, "caller") {
		is.Equal(a.Lost, !answers || part != allBytes)
	} else {
		is.True(!a.Lost)
		if !arrived {
			is.True(a.Code != "INDOUBT") // it surely did not run
		}
		if answers && part == allBytes {
			is.True(a.OK())
		}
	}
	is.Equal(guard.Panics(), panics)
	// The host is as good as before. It can't ask connections of the emulator whether
	// they are open, so that one that is not may cost a refusal.
	next, _, ok := env.OpenSession(h.host, "strict", "key-one")
	is.True(ok)
	defer next.Close()
	later := next.Do("WRITE item later")
	if later.Code == "BUSY" {
		later = next.Do("WRITE item later")
	}
	is.True(later.OK())
	is.Equal(next.Do("READ item").Row(), "later")
}
