package simenv_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simcli"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// repeatScript is how instances repeat their answers in one run of TestRepeatedAnswers.
type repeatScript struct {
	name string
	// after is how long after each answer it is sent again.
	after time.Duration
	// refuseEvery is which statement of an instance is refused as busy; 0 is none.
	refuseEvery int
}

// Guards against an answer that belongs to another statement, after an instance has
// answered twice.
func TestRepeatedAnswers(t *testing.T) {
	for _, s := range []repeatScript{
		{
			name:  "at once",
			after: time.Microsecond,
		},
		{
			name:  "while the next statement runs",
			after: 7 * time.Millisecond,
		},
		{
			name:  "several statements later",
			after: 60 * time.Millisecond,
		},
		{
			name:  "many statements later",
			after: 700 * time.Millisecond,
		},
		{
			name:        "while the next statement runs, refusals too",
			after:       7 * time.Millisecond,
			refuseEvery: 4,
		},
		{
			name:        "several statements later, refusals too",
			after:       60 * time.Millisecond,
			refuseEvery: 3,
		},
	} {
		t.Run(s.name, func(t *testing.T) {
			runScript(t, 3, func(is *is.I, env *simenv.Environment) {
				playRepeats(is, env, s)
			})
		})
	}
}

// playRepeats runs callers of all databases at all hosts while all instances repeat their
// answers.
func playRepeats(is *is.I, env *simenv.Environment, s repeatScript) {
	for i := range 3 {
		id, _ := simenv.Instance(i)
		env.Group.RepeatAnswers(id, s.after)
		env.Group.RefuseEvery(id, s.refuseEvery)
	}
	callers := make([]*repeatCaller, 9)
	var running sync.WaitGroup
	for n := range callers {
		c, _, ok := env.OpenSession(n%3, []string{"strict", "own", "bounded"}[n/3], "key-one")
		is.True(ok)
		callers[n] = &repeatCaller{
			client:  c,
			item:    fmt.Sprintf("item-%d", n),
			strict:  n/3 == 0,
			texts:   map[string]string{},
			refused: map[string]bool{},
		}
		running.Go(func() {
			defer c.Close()
			callers[n].run(env)
		})
	}
	running.Wait()
	committed := env.Group.CountCommitted()
	texts := map[string]string{}
	succeeded := 0
	for _, c := range callers {
		is.Equal(c.problems, []string(nil))
		succeeded += c.succeeded
		for id, text := range c.texts {
			texts[id] = text
		}
		for value := range c.refused {
			is.Equal(committed[value], 0) // the caller was told that it did not run
		}
	}
	for value, n := range committed {
		is.True(n == 1)
		_ = value
	}
	for _, r := range env.Group.Executions() {
		is.Equal(r.Text, texts[r.ID])
	}
	is.True(succeeded > len(callers)*repeatRounds) // most of the three statements a round
}

// repeatRounds is how often each caller of TestRepeatedAnswers writes and reads.
const repeatRounds = 40

// repeatCaller is one session of TestRepeatedAnswers. It alone writes its item.
type repeatCaller struct {
	client *simcli.Client
	item   string
	// strict says that reads must show the newest acknowledged write.
	strict bool
	// texts are the statements that were sent, by their ids, refused the writes that
	// did not run as the caller was told.
	texts     map[string]string
	refused   map[string]bool
	problems  []string
	succeeded int
	last      string
	inDoubt   bool
}

// run writes, reads, and writes in a transaction, over and over.
func (c *repeatCaller) run(env *simenv.Environment) {
	for n := range repeatRounds {
		c.write(env, fmt.Sprintf("%d-alone", n))
		c.read(env)
		if !c.do(env, "BEGIN") {
			continue
		}
		value := fmt.Sprintf("%d-in-transaction", n)
		wrote := c.do(env, "WRITE "+c.item+" "+value)
		if !wrote {
			c.do(env, "ROLLBACK")
			c.refused[c.item+"="+value] = true
			continue
		}
		c.finish("COMMIT", value, c.send(env, "COMMIT"))
		time.Sleep(3 * time.Millisecond)
	}
}

func (c *repeatCaller) write(env *simenv.Environment, value string) {
	c.finish("WRITE", value, c.send(env, "WRITE "+c.item+" "+value))
}

// finish records what a write or a commit of value was answered.
func (c *repeatCaller) finish(statement, value string, a callerAnswer) {
	switch {
	case a.ok:
		c.last = value
		c.inDoubt = false
	case a.noEffect:
		c.refused[c.item+"="+value] = true
	default:
		c.inDoubt = true
		c.problems = append(c.problems, fmt.Sprintf("%s of %s: the outcome is unknown: %s", statement, value, a.text))
	}
}

func (c *repeatCaller) read(env *simenv.Environment) {
	a := c.send(env, "READ "+c.item)
	if a.ok && c.strict && !c.inDoubt && c.last != "" && a.row != c.last {
		c.problems = append(c.problems, fmt.Sprintf("read %s: got %q, but %q was written last", a.id, a.row, c.last))
	}
}

func (c *repeatCaller) do(env *simenv.Environment, text string) bool {
	return c.send(env, text).ok
}

// callerAnswer is what a caller of TestRepeatedAnswers needs of an answer.
type callerAnswer struct {
	id       string
	ok       bool
	noEffect bool
	row      string
	text     string
}

// send sends a statement and checks that its answer belongs to it.
func (c *repeatCaller) send(env *simenv.Environment, text string) callerAnswer {
	a := c.client.Do(text)
	c.texts[a.ID] = text
	isOwn := text == "BEGIN" || text == "ROLLBACK" // answered by the host itself
	if a.OK() {
		c.succeeded++
	}
	if a.OK() && !isOwn && (a.Signature != "sig-"+a.ID || len(a.Rows) > 0 && !env.Group.HasSent(a.ID, a.Rows)) {
		c.problems = append(c.problems, fmt.Sprintf("%q (%s) was given the answer %s with the rows %q", text, a.ID, a.Signature, a.Rows))
	}
	return callerAnswer{
		id:       a.ID,
		ok:       a.OK(),
		noEffect: a.GuaranteesNoEffect(),
		row:      a.Row(),
		text:     a.Code + " " + a.Text,
	}
}
