package scenes_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc"
)

const (
	loadWorkers = 4
	loadPause   = 5 * time.Millisecond
)

// loadResult counts the answers that the callers of one load got.
type loadResult struct {
	mu      sync.Mutex
	writes  int
	reads   int
	refused int
	unknown int
	// stale describes the answers that missed an acknowledged write, or that
	// included more writes than were sent.
	stale []string
	// lastRefusal is the text of the last refusal.
	lastRefusal string
}

// load is a set of callers, each the only writer of its own key. A caller
// writes at one host and reads at the next, in one named session. acked and
// unknown count each caller's writes that were acknowledged and those of unknown
// outcome.
type load struct {
	name    string
	urls    []string
	stop    context.CancelFunc
	tasks   conc.WaitGroup
	result  loadResult
	acked   [loadWorkers]int
	unknown [loadWorkers]int
}

// startLoad is the command load NAME URL ...: it starts callers that write and read
// at the hosts in turn until the command unload. Each read must include every
// acknowledged write of its caller.
func startLoad(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{
		name: args[0],
		urls: args[1:],
		stop: stop,
	}
	sc.mu.Lock()
	sc.loads[args[0]] = l
	sc.mu.Unlock()
	for i := range loadWorkers {
		l.tasks.Go(func() { l.runCaller(ctx, i) })
	}
	return "", nil
}

// stopLoad is the command unload NAME URL: it ends a load, compares the final
// balances with the acknowledged writes, and prints the result. It fails when a
// read was stale, or when a write was lost, ran twice, or ran although it was
// refused.
func stopLoad(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	sc.mu.Lock()
	l := sc.loads[args[0]]
	delete(sc.loads, args[0])
	sc.mu.Unlock()
	if l == nil {
		return "", fmt.Errorf("no load named %s", args[0])
	}
	l.stop()
	l.tasks.Wait()
	for i := range loadWorkers {
		if err := l.checkBalance(args[1], i); err != nil {
			return "", err
		}
	}
	r := &l.result
	text := fmt.Sprintf("writes=%d reads=%d refused=%d unknown=%d stale=%d\n%s\n", r.writes, r.reads, r.refused, r.unknown, len(r.stale), r.lastRefusal)
	if len(r.stale) > 0 {
		return text, fmt.Errorf("%s%s", text, strings.Join(r.stale, "\n"))
	}
	return text, nil
}

// checkBalance compares a key's final balance with the answers that its writer got.
func (l *load) checkBalance(url string, i int) error {
	text, err := l.readBalance(url, i)
	if err != nil {
		return err
	}
	n, _ := strconv.Atoi(strings.TrimSpace(text))
	if n < l.acked[i] || n > l.acked[i]+l.unknown[i] {
		return fmt.Errorf("%s is %d after %d acknowledged writes and %d of unknown outcome; all others were refused as not run", l.key(i), n, l.acked[i], l.unknown[i])
	}
	return nil
}

// readBalance reads a key and retries until the read succeeds or statementTimeout
// has passed.
func (l *load) readBalance(url string, i int) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	for {
		text, err := queryOnce(ctx, url, "SELECT balance('"+l.key(i)+"')")
		if err == nil || ctx.Err() != nil {
			return text, err
		}
		time.Sleep(loadPause)
	}
}

func (l *load) key(i int) string {
	return fmt.Sprintf("%s-%d", l.name, i)
}

// runCaller runs caller i until ctx is done.
func (l *load) runCaller(ctx context.Context, i int) {
	conns := make([]*pgx.Conn, len(l.urls)*2)
	defer func() {
		for _, conn := range conns {
			closeConn(conn)
		}
	}()
	for n := i; ctx.Err() == nil; n++ {
		l.write(&conns[n%len(l.urls)], l.url(n, ""), i)
		if l.acked[i] > 0 {
			l.read(&conns[len(l.urls)+(n+1)%len(l.urls)], l.url(n+1, "browse"), i)
		}
		time.Sleep(loadPause)
	}
}

func (l *load) url(n int, route string) string {
	url := l.urls[n%len(l.urls)] + "&wasabislip.session=" + l.name
	if route != "" {
		url += "&wasabislip.route=" + route
	}
	return url
}

func (l *load) write(conn **pgx.Conn, url string, i int) {
	text, err := queryOn(conn, url, "SELECT add('"+l.key(i)+"', 1)")
	r := &l.result
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		l.acked[i]++
		r.writes++
		l.checkAnswer("write", text, i)
	case notRun(err):
		r.refused++
		r.lastRefusal = describe(err)
	default:
		l.unknown[i]++
		r.unknown++
	}
}

func (l *load) read(conn **pgx.Conn, url string, i int) {
	text, err := queryOn(conn, url, "SELECT balance('"+l.key(i)+"')")
	r := &l.result
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.reads++
		l.checkAnswer("read", text, i)
	case notRun(err):
		r.refused++
		r.lastRefusal = describe(err)
	default:
		r.unknown++
	}
}

// checkAnswer checks that an answer lies between the acknowledged writes of its
// caller and these plus the writes of unknown outcome.
func (l *load) checkAnswer(what, text string, i int) {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < l.acked[i] || n > l.acked[i]+l.unknown[i] {
		l.result.stale = append(l.result.stale, fmt.Sprintf("%s of %s returned %q after %d acknowledged writes and %d of unknown outcome", what, l.key(i), text, l.acked[i], l.unknown[i]))
	}
}

// errConnect marks an error of connecting, before any statement was sent.
var errConnect = errors.New("no connection")

// queryOn runs a statement on *conn. It connects first if *conn is nil, and closes
// the connection after an error.
func queryOn(conn **pgx.Conn, url, statement string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	if *conn == nil {
		c, err := pgx.Connect(ctx, url)
		if err != nil {
			return "", errors.Join(errConnect, err)
		}
		*conn = c
	}
	text, err := query(ctx, *conn, statement)
	if err != nil {
		closeConn(*conn)
		*conn = nil
	}
	return text, err
}

func closeConn(conn *pgx.Conn) {
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = conn.Close(ctx)
}

// notRun reports whether the error rules out that the statement ran.
func notRun(err error) bool {
	if errors.Is(err, errConnect) {
		return true
	}
	var pg *pgconn.PgError
	return errors.As(err, &pg) && strings.Contains(pg.Detail, "outcome=not-run")
}

// queryOnce runs one statement on a new connection.
func queryOnce(ctx context.Context, url, statement string) (string, error) {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return "", err
	}
	defer closeConn(conn)
	return query(ctx, conn, statement)
}
