package scenes_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rogpeppe/go-internal/testscript"
)

// statementTimeout bounds one statement of a scenario. It is longer than the
// product's own statement timeout.
const statementTimeout = 35 * time.Second

// action is a command of the scripts that eventually can repeat. It returns its
// output.
type action func(c *scenario, ts *testscript.TestScript, args []string) (string, error)

// actions returns the commands of the scripts by name.
func actions() map[string]action {
	return map[string]action{
		"start":   start,
		"crash":   killProcess,
		"pause":   pause,
		"resume":  resume,
		"halt":    stop,
		"term":    terminate,
		"sql":     sql,
		"dial":    dial,
		"run":     runStatement,
		"hangup":  hangUp,
		"post":    post,
		"get":     get,
		"address": address,
		"begin":   beginJob,
		"finish":  finishJob,
		"expand":  expand,
		"install": install,
		"wire":    setRelays,
		"roles":   setRoles,
		"load":    startLoad,
		"unload":  stopLoad,
		"vanish":  dropConn,
		"await":   waitExit,
		"fault":   setFault,
		"crossed": checkOwnAnswers,
		"holds":   alwaysSucceeds,
		"absent":  checkAbsent,
		"fleet":   listHosts,
		"flood":   checkRate,
		"blink":   pauseInTurn,
		"floor":   checkMinVersion,
	}
}

// commands returns the actions in the form of testscript, and the commands that
// repeat an action.
func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	out := map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"eventually": eventually,
		"answers":    firstAnswer,
	}
	for name, act := range actions() {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			runAction(ts, neg, name, act, args)
		}
	}
	return out
}

// runAction runs an action once and fails the script when the outcome is not the
// expected one: an error if neg is set, else success.
func runAction(ts *testscript.TestScript, neg bool, name string, act action, args []string) {
	text, err := act(ts.Value(scenarioKey).(*scenario), ts, args)
	fmt.Fprint(ts.Stdout(), text)
	if err != nil {
		fmt.Fprintln(ts.Stderr(), describe(err))
	}
	if err == nil && neg {
		ts.Fatalf("%s succeeded: %s", name, text)
	}
	if err != nil && !neg {
		ts.Fatalf("%s: %s", name, describe(err))
	}
}

// eventually is the command
//
//	eventually LIMIT WANT COMMAND ...
//
// It repeats a command until its output contains WANT, or, when WANT starts with
// !, until its error text contains the rest of WANT. An outcome after LIMIT does
// not count.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: eventually limit want command args")
	}
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	act := actions()[args[2]]
	if act == nil {
		ts.Fatalf("eventually: no command %s", args[2])
	}
	want, wantErr := strings.CutPrefix(args[1], "!")
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		text, err := act(ts.Value(scenarioKey).(*scenario), ts, args[3:])
		if time.Now().After(end) {
			break
		}
		if err != nil {
			last = describe(err)
			if wantErr && strings.Contains(last, want) {
				return
			}
			continue
		}
		last = text
		if !wantErr && strings.Contains(text, want) {
			return
		}
	}
	ts.Fatalf("eventually: no %q within %s; last: %s", args[1], limit, last)
}

// start is the command start NAME PROGRAM ARGS ...: it starts a program and waits
// until it is ready.
func start(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	if len(args) < 2 {
		return "", fmt.Errorf("usage: start name program args")
	}
	return "", sc.start(args[0], args[1], args[2:])
}

// killProcess is the command crash NAME: it kills a program.
func killProcess(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	if err := sc.signal(args[0], syscall.SIGKILL); err != nil {
		return "", err
	}
	_ = sc.wait(args[0])
	return "", nil
}

// pause is the command pause NAME: it stops a program with SIGSTOP.
func pause(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	return "", sc.signal(args[0], syscall.SIGSTOP)
}

// resume is the command resume NAME: it continues a paused program.
func resume(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	return "", sc.signal(args[0], syscall.SIGCONT)
}

// terminate is the command term NAME: it sends SIGTERM to a program and does not
// wait for its end.
func terminate(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	return "", sc.signal(args[0], syscall.SIGTERM)
}

// stop is the command halt NAME: it sends SIGTERM to a program and waits for its
// end, which must be without an error.
func stop(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	if err := sc.signal(args[0], syscall.SIGTERM); err != nil {
		return "", err
	}
	return "", sc.wait(args[0])
}

// address is the command address NAME ...: it sets each environment variable to a
// free ip:port.
func address(_ *scenario, ts *testscript.TestScript, args []string) (string, error) {
	for _, name := range args {
		a, err := freeAddress()
		if err != nil {
			return "", err
		}
		ts.Setenv(name, a)
	}
	return "", nil
}

// expand is the command expand FILE ...: it replaces $NAME by the variable's value
// in each file.
func expand(_ *scenario, ts *testscript.TestScript, args []string) (string, error) {
	for _, name := range args {
		raw, err := os.ReadFile(ts.MkAbs(name))
		if err != nil {
			return "", err
		}
		text := os.Expand(string(raw), ts.Getenv)
		if err := os.WriteFile(ts.MkAbs(name), []byte(text), 0o600); err != nil {
			return "", err
		}
	}
	return "", nil
}

// sql is the command sql URL STATEMENT: it runs one statement on a new connection.
// URL may be @FILE, a file that holds the URL.
func sql(_ *scenario, ts *testscript.TestScript, args []string) (string, error) {
	url := args[0]
	if name, ok := strings.CutPrefix(url, "@"); ok {
		raw, err := os.ReadFile(ts.MkAbs(name))
		if err != nil {
			return "", err
		}
		url = string(raw)
	}
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return "", err
	}
	defer conn.Close(ctx)
	return query(ctx, conn, args[1])
}

// dial is the command dial NAME URL: it opens a connection for the command run.
func dial(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, args[1])
	if err != nil {
		return "", err
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.conns[args[0]] = conn
	return "", nil
}

// runStatement is the command run NAME STATEMENT: it runs one statement on an open
// connection.
func runStatement(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	conn, err := sc.conn(args[0])
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	return query(ctx, conn, args[1])
}

// hangUp is the command hangup NAME: it closes a connection.
func hangUp(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	conn, err := sc.conn(args[0])
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	return "", conn.Close(ctx)
}

// beginJob is the command begin JOB COMMAND ...: it starts a command in the
// background. The command finish waits for its outcome.
func beginJob(sc *scenario, ts *testscript.TestScript, args []string) (string, error) {
	act := actions()[args[1]]
	if act == nil {
		return "", fmt.Errorf("no command %s", args[1])
	}
	done := make(chan error, 1)
	sc.mu.Lock()
	sc.jobs[args[0]] = done
	sc.mu.Unlock()
	go func() {
		_, err := act(sc, ts, args[2:])
		done <- err
	}()
	return "", nil
}

// finishJob is the command finish JOB: it waits for a background command and
// returns its error.
func finishJob(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	sc.mu.Lock()
	done := sc.jobs[args[0]]
	sc.mu.Unlock()
	if done == nil {
		return "", fmt.Errorf("no job named %s", args[0])
	}
	select {
	case err := <-done:
		return "", err
	case <-time.After(stopTimeout):
		return "", fmt.Errorf("job %s did not end within %s", args[0], stopTimeout)
	}
}

// query runs a statement in PostgreSQL's simple query protocol and returns its
// rows.
func query(ctx context.Context, conn *pgx.Conn, statement string) (string, error) {
	results, err := conn.PgConn().Exec(ctx, statement).ReadAll()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, result := range results {
		for _, row := range result.Rows {
			b.Write(bytes.Join(row, []byte("\t")))
			b.WriteByte('\n')
		}
	}
	return b.String(), nil
}

// post is the command post URL BODY: it posts JSON. BODY may be @FILE, a file that
// holds the body.
func post(_ *scenario, ts *testscript.TestScript, args []string) (string, error) {
	body := args[1]
	if name, ok := strings.CutPrefix(body, "@"); ok {
		raw, err := os.ReadFile(ts.MkAbs(name))
		if err != nil {
			return "", err
		}
		body = string(raw)
	}
	r, err := http.Post(args[0], "application/json", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	return readBody(r)
}

// get is the command get URL: it prints the body of the response.
func get(_ *scenario, _ *testscript.TestScript, args []string) (string, error) {
	r, err := http.Get(args[0])
	if err != nil {
		return "", err
	}
	return readBody(r)
}

// readBody returns the body of a response, and an error if the status is not 2xx.
func readBody(r *http.Response) (string, error) {
	defer r.Body.Close()
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return "", err
	}
	if r.StatusCode/100 != 2 {
		return "", fmt.Errorf("status %d: %s", r.StatusCode, raw)
	}
	return string(raw), nil
}
