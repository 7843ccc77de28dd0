// Package naive is the baseline that the failover of the product is compared
// with: it promotes the next replica once the primary has not answered for a
// fixed time.
package naive

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"wasabislip.example/wasabislip/pkg/model/group"
)

const (
	// SilenceTimeout is how long the primary may go without an answer before it is
	// replaced.
	SilenceTimeout   = 5 * time.Second
	pollInterval     = 500 * time.Millisecond
	statementTimeout = time.Second
)

// Failover does the failover of one database. Set its exported fields before
// Start.
type Failover struct {
	// Database lists the instances, the first primary first.
	Database *group.Database
	// Dial opens a connection to an instance.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	term    int
	primary atomic.Int32
}

// Start makes the first instance the primary, with the first term.
func (f *Failover) Start(ctx context.Context) error {
	return f.promote(ctx, 0)
}

// Primary returns the index of the current primary.
func (f *Failover) Primary() int {
	return int(f.primary.Load())
}

// Write runs a statement on the primary and reports whether it succeeded.
func (f *Failover) Write(ctx context.Context, statement string) bool {
	return f.exec(ctx, f.Primary(), statement) == nil
}

// Monitor polls the primary until end. It promotes the next instance once the
// primary has not answered for SilenceTimeout.
func (f *Failover) Monitor(ctx context.Context, end time.Time) {
	lastAnswer := time.Now()
	for time.Now().Before(end) {
		if f.exec(ctx, f.Primary(), "SELECT * FROM ledger_status()") == nil {
			lastAnswer = time.Now()
		}
		if time.Since(lastAnswer) >= SilenceTimeout {
			next := (f.Primary() + 1) % len(f.Database.Instances)
			if f.promote(ctx, next) == nil {
				lastAnswer = time.Now()
			}
		}
		time.Sleep(pollInterval)
	}
}

// promote makes the instance at index next the primary, with the next term. The
// other instances that answer then replicate from it.
func (f *Failover) promote(ctx context.Context, next int) error {
	f.term++
	if err := f.exec(ctx, next, fmt.Sprintf("SELECT * FROM ledger_fence(%d)", f.term)); err != nil {
		return err
	}
	if err := f.exec(ctx, next, fmt.Sprintf("SELECT * FROM ledger_promote(%d)", f.term)); err != nil {
		return err
	}
	f.primary.Store(int32(next))
	for i := range f.Database.Instances {
		if i != next {
			_ = f.exec(ctx, i, fmt.Sprintf("SELECT * FROM ledger_follow(%d,'%s')", f.term, f.Database.Instances[next].Address))
		}
	}
	return nil
}

// exec runs a statement on the instance at index i.
func (f *Failover) exec(ctx context.Context, i int, statement string) error {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	cfg, err := pgx.ParseConfig("postgres://plain@" + f.Database.Instances[i].Address + "/" + f.Database.Name + "?sslmode=disable")
	if err != nil {
		return err
	}
	cfg.DialFunc = f.Dial
	cfg.LookupFunc = func(_ context.Context, name string) ([]string, error) {
		return []string{name}, nil
	}
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.PgConn().Exec(ctx, statement).ReadAll()
	return err
}
