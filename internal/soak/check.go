package soak

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/standin/linedb"
	"wasabislip.example/wasabislip/internal/standin/simcli"
)

// statement is one that a caller sent, and what it was told.
type statement struct {
	text string
	// write is what it writes, as item=data; empty unless it writes.
	write string
	// declared is what the prepared name of an EXECUTE stood for.
	declared  string
	workspace string
	// values are the acknowledged session values when it was sent.
	values map[string]string
	// tx is the transaction that it was sent in, or nil.
	tx *transaction
	// code is the error code, "lost" or "unanswered"; empty on success. noEffect says
	// that the code rules out any effect.
	code     string
	noEffect bool
}

// transaction is one that a caller began.
type transaction struct {
	readOnly bool
	// ids are its statements, in order, with its commit.
	ids []string
	// writes are those that were acknowledged, in order.
	writes []string
	// commit is the id of its commit, if the caller sent one.
	commit string
}

// checker records what callers were told and compares it with what the
// instances ran. It is safe for concurrent use.
type checker struct {
	mu       sync.Mutex
	problems []string
	counts   map[string]int
	// sent are the statements that callers sent, by their IDs.
	sent map[string]*statement
}

func newChecker() *checker {
	return &checker{
		counts: map[string]int{},
		sent:   map[string]*statement{},
	}
}

func (k *checker) addProblem(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.problems = append(k.problems, fmt.Sprintf(format, args...))
}

// Kinds of problems that the summary counts: answers that a caller was given although they
// belong to other statements, and statements that ran although no caller sent them so.
const (
	otherAnswers      = "answers of other statements"
	changedStatements = "statements that no caller sent"
)

func (k *checker) count(kind string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts[kind]++
}

// record records a statement with its answer.
func (k *checker) record(id string, st *statement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	command, _, _ := strings.Cut(st.text, " ")
	k.counts[command+" "+st.code]++
	k.sent[id] = st
	if st.tx == nil {
		return
	}
	st.tx.ids = append(st.tx.ids, id)
	if command == "COMMIT" {
		st.tx.commit = id
	}
	if st.write != "" && st.code == "" {
		st.tx.writes = append(st.tx.writes, st.write)
	}
}

// checkRead checks that a read is no older than what was acknowledged to the
// session and was committed both before and after the read. Each item has one
// writer, so on the primary's route this holds for every caller.
func (k *checker) checkRead(statement, item, row, committedBefore, committedAfter string, acknowledged int) {
	k.count("read")
	got, before, after := countOf(row), countOf(committedBefore), countOf(committedAfter)
	need := min(acknowledged, before, after)
	if got < need {
		k.addProblem("%s at %s, read %s: got %d, but %d was acknowledged and is committed", statement, time.Now().UTC().Format(timeOfDay), item, got, need)
	}
}

// checkOwnWrite checks that a read in a transaction returned what it wrote last.
func (k *checker) checkOwnWrite(id, row, want string) {
	k.count("read of own write")
	if row != want {
		k.addProblem("read %s got %s, but its transaction had written %s", id, short(row), short(want))
	}
}

// checkAnswer checks that the answer to a statement that succeeded is that to it, and not
// to another one on the same connection, with the rows that an instance sent.
func (k *checker) checkAnswer(g *linedb.Group, st *statement, a simcli.Answer) {
	want := "sig-" + a.ID
	command, _, _ := strings.Cut(st.text, " ")
	switch command {
	case "BEGIN", "ROLLBACK", "SET", "PREPARE", "DEALLOCATE":
		want = "-" // the host's own
	}
	if a.Signature != want {
		k.count(otherAnswers)
		k.addProblem("%s %s was given the answer %q", command, a.ID, a.Signature)
	}
	reads := command == "READ" || strings.HasPrefix(st.declared, "READ ")
	if reads != (len(a.Rows) > 0) || reads && !g.HasSent(a.ID, a.Rows) {
		k.count(otherAnswers)
		k.addProblem("%s %s was given the rows %s, which no instance sent in answer to it", command, a.ID, short(strings.Join(a.Rows, "|")))
	}
	if command == "EXECUTE" && st.declared == "" {
		k.addProblem("%s %s succeeded, but its name was not prepared", command, a.ID)
	}
}

// checkExecutions checks that each statement ran as its caller sent it: with its text or
// the shape of its prepared name, its workspace, its session values and in its
// transaction.
func (k *checker) checkExecutions(g *linedb.Group) {
	blocks := newBlocks()
	for _, r := range g.Executions() {
		st, ok := k.sent[r.ID]
		if !ok {
			k.count(changedStatements)
			k.addProblem("%s ran statement %s as %s, but no caller sent it", r.Instance, r.ID, short(r.Text))
			continue
		}
		if withoutName(r.Text) != withoutName(st.text) {
			k.count(changedStatements)
			k.addProblem("%s ran statement %s as %s, but its caller sent %s", r.Instance, r.ID, short(r.Text), short(st.text))
		}
		if r.Declared != st.declared {
			k.addProblem("%s ran statement %s as %s, but its session had prepared %s", r.Instance, r.ID, short(r.Declared), short(st.declared))
		}
		if r.Workspace != st.workspace || !maps.Equal(r.SessionValues, st.values) {
			k.addProblem("statement %s ran for %s with %.200q, not for %s with %.200q", r.ID, r.Workspace, r.SessionValues, st.workspace, st.values)
		}
		if problem := blocks.add(r, st); problem != "" {
			k.addProblem("statement %s (%s) at %s: %s", r.ID, short(st.text), r.Instance, problem)
		}
	}
}

// blocks matches the transactions of callers with the blocks that instances ran.
type blocks struct {
	owners  map[int]*transaction
	numbers map[*transaction]int
	// next is how many of the statements of a transaction have had their turn.
	next map[*transaction]int
}

func newBlocks() *blocks {
	return &blocks{
		owners:  map[int]*transaction{},
		numbers: map[*transaction]int{},
		next:    map[*transaction]int{},
	}
}

// add adds the execution of a statement. It returns what is wrong with the block that it
// ran in, or an empty text.
func (b *blocks) add(r linedb.Execution, st *statement) string {
	if st.tx == nil {
		if r.Transaction != 0 {
			return "sent outside of a transaction, ran inside one"
		}
		return ""
	}
	if r.Transaction == 0 {
		return "sent in a transaction, ran outside"
	}
	if owner, ok := b.owners[r.Transaction]; ok && owner != st.tx {
		return "ran in the transaction of another caller"
	}
	if number, ok := b.numbers[st.tx]; ok && number != r.Transaction {
		return "ran in another transaction than those before it"
	}
	b.owners[r.Transaction] = st.tx
	b.numbers[st.tx] = r.Transaction
	if r.ReadOnly != st.tx.readOnly {
		return fmt.Sprintf("ran in a transaction whose mode read-only is %v, not %v", r.ReadOnly, st.tx.readOnly)
	}
	at := slices.Index(st.tx.ids, r.ID)
	if at < b.next[st.tx] {
		return "ran twice, or after a later one of its transaction"
	}
	b.next[st.tx] = at + 1
	return ""
}

// checkCommits checks that instances committed what callers asked for, whole, in order
// and once, and nothing of which a caller was told that it was not kept. It covers
// commits that a later primary does not have, too.
func (k *checker) checkCommits(g *linedb.Group) {
	for value, n := range g.CountCommitted() {
		if n > 1 {
			k.addProblem("%s is in the log %d times", short(value), n)
		}
	}
	committed := map[string]bool{}
	written := map[string]bool{}
	for _, c := range g.Commits() {
		for _, w := range c.Writes {
			if written[w] {
				k.addProblem("%s committed %s, which had been committed before", c.Instance, short(w))
			}
			written[w] = true
		}
		committed[c.ID] = true
		st, ok := k.sent[c.ID]
		if !ok {
			k.addProblem("%s committed %s for statement %s, which no caller sent", c.Instance, short(strings.Join(c.Writes, "|")), c.ID)
			continue
		}
		if st.noEffect {
			k.addProblem("%s committed statement %s, although its error code %s ruled out any effect", c.Instance, c.ID, st.code)
		}
		if want := st.commits(c.ID); !slices.Equal(c.Writes, want) {
			k.addProblem("%s committed %s for statement %s (%s), not %s", c.Instance, short(strings.Join(c.Writes, "|")), c.ID, short(st.text), short(strings.Join(want, "|")))
		}
	}
	for id, st := range k.sent {
		if st.code == "" && len(st.commits(id)) > 0 && !committed[id] {
			k.addProblem("statement %s (%s) succeeded, but no instance committed it", id, short(st.text))
		}
	}
}

// commits returns the writes that a statement commits.
func (st *statement) commits(id string) []string {
	switch {
	case st.tx != nil && st.tx.commit == id:
		return st.tx.writes
	case st.tx == nil && st.write != "":
		return []string{st.write}
	}
	return nil
}

// checkProgress checks that statements of each kind succeeded: a run without them shows
// nothing.
func (k *checker) checkProgress() {
	for _, command := range []string{"READ", "WRITE", "EXECUTE", "COMMIT", "ROLLBACK"} {
		if k.counts[command+" "] == 0 {
			k.addProblem("no %s succeeded", command)
		}
	}
}

// withoutName returns a statement without the name of a prepared statement, for which
// hosts have names of their own.
func withoutName(text string) string {
	rest, ok := strings.CutPrefix(text, "EXECUTE ")
	if !ok {
		return text
	}
	_, args, _ := strings.Cut(rest, " ")
	return "EXECUTE " + args
}

// short quotes the beginning of a text.
func short(text string) string {
	return fmt.Sprintf("%.80q", text)
}

func (k *checker) summary() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return fmt.Sprint(k.counts)
}

func (k *checker) err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(k.problems[:min(len(k.problems), 20)], "; "))
}
