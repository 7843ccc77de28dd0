// Package follow copies a primary's log to a replica.
package follow

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/standin/dblog"
	"wasabislip.example/wasabislip/internal/standin/engine"
	"wasabislip.example/wasabislip/internal/standin/entry"
	"wasabislip.example/wasabislip/internal/standin/inject"
	"wasabislip.example/wasabislip/pkg/model/logpos"
)

// User is the user name of replication connections.
const User = "replication"

const (
	retryDelay      = 50 * time.Millisecond
	queryTimeout    = 3 * time.Second
	closeTimeout    = 100 * time.Millisecond
	maxBatchEntries = 500
)

// Follower copies the log of the primary of one term to a replica.
type Follower struct {
	// Engine is the storage engine of the replica.
	Engine *engine.Engine
	// Faults holds the ship delay.
	Faults *inject.Faults
	// Dial opens the connection to the primary.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Term is the primary's term.
	Term uint64
	// Address is the primary's ip:port.
	Address string
}

// Run copies entries until ctx ends, and reconnects after each error.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.replicate(ctx)
		if ctx.Err() != nil {
			return
		}
		klog.V(2).InfoS("replication stopped; reconnecting", "primary", f.Address, "term", f.Term, "err", err)
		sleep(ctx, retryDelay)
	}
}

// replicate connects, rewinds the replica's log and copies entries until an
// error.
func (f *Follower) replicate(ctx context.Context) error {
	conn, err := f.connect(ctx)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	if err := f.rewind(ctx, conn); err != nil {
		return err
	}
	for {
		entries, err := f.fetchEntries(ctx, conn)
		if err != nil {
			return err
		}
		sleep(ctx, f.Faults.Delay(inject.ShipDelay))
		if err := f.Engine.Receive(f.Term, entries); err != nil {
			return err
		}
	}
}

func (f *Follower) connect(ctx context.Context) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(f.Address)
	if err != nil {
		return nil, err
	}
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s user=%s dbname=%s sslmode=disable", host, port, User, User))
	if err != nil {
		return nil, err
	}
	cfg.DialFunc = f.Dial
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) {
		return []string{host}, nil
	}
	cfg.RuntimeParams["ledger.term"] = strconv.FormatUint(f.Term, 10)
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return pgconn.ConnectConfig(ctx, cfg)
}

// closeConn closes conn. It waits at most closeTimeout, since the network may
// be cut.
func closeConn(conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = conn.Close(ctx)
}

// rewind discards the replica's entries that the primary does not hold.
func (f *Follower) rewind(ctx context.Context, conn *pgconn.PgConn) error {
	rows, err := query(ctx, conn, "SELECT * FROM ledger_status()")
	if err != nil {
		return err
	}
	if len(rows) != 1 || len(rows[0]) != 6 {
		return errors.New("follow: ledger_status() did not return one row of six columns")
	}
	status := rows[0]
	if string(status[2]) != dblog.Primary || string(status[1]) != strconv.FormatUint(f.Term, 10) {
		return errors.New("follow: the instance is not the primary of this term yet")
	}
	termEnds, err := dblog.ParseTermEnds(string(status[5]))
	if err != nil {
		return err
	}
	last, err := logpos.Parse(string(status[3]))
	if err != nil {
		return err
	}
	discarded, err := f.Engine.Rewind(f.Term, append(termEnds, last))
	if discarded > 0 {
		klog.InfoS("discarded entries that the primary does not hold", "primary", f.Address, "term", f.Term, "entries", discarded)
	}
	return err
}

// fetchEntries returns the primary's entries after the last one received.
func (f *Follower) fetchEntries(ctx context.Context, conn *pgconn.PgConn) ([]entry.Entry, error) {
	offset := f.Engine.Received().Offset
	rows, err := query(ctx, conn, fmt.Sprintf("SELECT * FROM ledger_log(%d, %d)", offset, maxBatchEntries))
	if err != nil {
		return nil, err
	}
	entries := make([]entry.Entry, 0, len(rows))
	for _, row := range rows {
		p, err := logpos.Parse(string(row[0]))
		if err != nil {
			return nil, err
		}
		e, err := entry.Decode(p, string(row[1]))
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func query(ctx context.Context, conn *pgconn.PgConn, sql string) ([][][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, errors.New("follow: the query did not return exactly one result")
	}
	return results[0].Rows, results[0].Err
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
