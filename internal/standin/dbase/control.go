package dbase

import (
	"context"
	"strconv"
	"time"

	"wasabislip.example/wasabislip/internal/standin/entry"
	"wasabislip.example/wasabislip/internal/standin/follow"
	"wasabislip.example/wasabislip/internal/standin/pgerr"
)

// longPollTimeout is how long ledger_log waits for new entries.
const longPollTimeout = time.Second

// replication is the running replication from a primary, if any.
type replication struct {
	term    uint64
	address string
	cancel  context.CancelFunc
}

// Control runs the function verb, one of the ledger_ functions, and returns its
// rows. term is the connection's term.
func (i *Instance) Control(ctx context.Context, verb string, args []string, term uint64) ([][]string, error) {
	switch verb {
	case "ledger_status":
		return i.status(), nil
	case "ledger_fault":
		if err := i.faults.Set(args[0], args[1]); err != nil {
			return nil, err
		}
		return [][]string{{args[1]}}, nil
	}
	n, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return nil, pgerr.New(pgerr.InvalidText, "a term or offset is not a number; give it in decimal")
	}
	switch verb {
	case "ledger_fence":
		err = i.fence(n)
	case "ledger_promote":
		err = i.promote(n)
	case "ledger_follow":
		err = i.follow(n, args[1])
	case "ledger_log":
		return i.entries(ctx, term, n, args[1])
	}
	if err != nil {
		return nil, err
	}
	return i.status(), nil
}

func (i *Instance) status() [][]string {
	return [][]string{i.engine.Status()}
}

func (i *Instance) fence(term uint64) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.engine.RaiseFence(term); err != nil {
		return err
	}
	if i.replication.term < term {
		i.stopReplication()
	}
	return nil
}

func (i *Instance) promote(term uint64) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.engine.Promote(term); err != nil {
		return err
	}
	i.stopReplication()
	return nil
}

func (i *Instance) follow(term uint64, address string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.engine.Follow(term); err != nil {
		return err
	}
	if i.replication.cancel != nil && i.replication.term == term && i.replication.address == address {
		return nil
	}
	i.stopReplication()
	if i.closed {
		return pgerr.New(pgerr.AdminShutdown, "the instance is shutting down")
	}
	ctx, stop := context.WithCancel(i.ctx)
	i.replication = replication{
		term:    term,
		address: address,
		cancel:  stop,
	}
	f := &follow.Follower{
		Engine:  i.engine,
		Faults:  i.faults,
		Dial:    i.cfg.Dial,
		Term:    term,
		Address: address,
	}
	i.tasks.Go(func() { f.Run(ctx) })
	return nil
}

// stopReplication stops the replication. The caller holds mu.
func (i *Instance) stopReplication() {
	if i.replication.cancel != nil {
		i.replication.cancel()
	}
	i.replication = replication{}
}

// entries returns at most limit entries of the log after offset. When there are
// none, it waits for new ones, at most for longPollTimeout.
func (i *Instance) entries(ctx context.Context, term, offset uint64, limit string) ([][]string, error) {
	n, err := strconv.Atoi(limit)
	if err != nil || n < 1 {
		return nil, pgerr.New(pgerr.InvalidText, "the number of entries is not positive; give one or more")
	}
	timeout := time.NewTimer(longPollTimeout)
	defer timeout.Stop()
	for {
		list, grown, err := i.engine.EntriesAfter(term, offset, n)
		if err != nil {
			return nil, err
		}
		if len(list) > 0 {
			return encodeRows(list)
		}
		select {
		case <-grown:
		case <-timeout.C:
			return nil, nil
		case <-ctx.Done():
			return nil, pgerr.New(pgerr.QueryCanceled, "canceling statement due to user request")
		}
	}
}

func encodeRows(list []entry.Entry) ([][]string, error) {
	rows := make([][]string, 0, len(list))
	for _, e := range list {
		body, err := e.Encode()
		if err != nil {
			return nil, err
		}
		rows = append(rows, []string{e.Position.String(), body})
	}
	return rows, nil
}
