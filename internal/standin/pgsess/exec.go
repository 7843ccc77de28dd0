package pgsess

import (
	"context"
	"strconv"
	"strings"
	"time"

	"wasabislip.example/wasabislip/internal/standin/inject"
	"wasabislip.example/wasabislip/internal/standin/pgerr"
	"wasabislip.example/wasabislip/internal/standin/stmt"
	"wasabislip.example/wasabislip/internal/standin/trans"
)

// rowBytes is the size of a row that the function rows returns.
const rowBytes = 100

// result is what a statement returned. A nil value is NULL.
type result struct {
	rows  [][][]byte
	tag   string
	empty bool
}

// execute runs one statement. For a function call, args are its arguments.
func (s *Session) execute(st *stmt.Statement, args []string) (*result, error) {
	switch st.Verb {
	case "":
		return &result{
			empty: true,
		}, nil
	case "BEGIN", "COMMIT", "ROLLBACK":
		tag, err := s.controlTransaction(st)
		return &result{
			tag: tag,
		}, err
	}
	if s.failed {
		return nil, failedBlockError()
	}
	if err := s.checkTerm(); err != nil {
		return nil, err
	}
	if !st.IsCall {
		return s.runSetting(st)
	}
	return s.call(st, args)
}

// call runs a function; Cancel can stop it.
func (s *Session) call(st *stmt.Statement, args []string) (*result, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.setCancel(cancel)
	defer func() {
		s.setCancel(nil)
		cancel()
	}()
	var rows [][][]byte
	var err error
	if st.IsControl {
		rows, err = s.callControl(ctx, st.Verb, args)
	} else {
		rows, err = s.callData(ctx, st, args)
	}
	if err != nil {
		return nil, err
	}
	return &result{
		rows: rows,
		tag:  "SELECT " + strconv.Itoa(len(rows)),
	}, nil
}

func (s *Session) setCancel(cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel = cancel
}

func (s *Session) callControl(ctx context.Context, verb string, args []string) ([][][]byte, error) {
	texts, err := s.Controller.Control(ctx, verb, args, s.term)
	if err != nil {
		return nil, err
	}
	rows := make([][][]byte, 0, len(texts))
	for _, t := range texts {
		row := make([][]byte, 0, len(t))
		for _, v := range t {
			row = append(row, []byte(v))
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// callData acquires the row locks before a slot, so that a statement that waits
// for a lock does not hold the slot that the lock's owner needs.
func (s *Session) callData(ctx context.Context, st *stmt.Statement, args []string) ([][][]byte, error) {
	tx := s.transaction()
	if st.LockedArgs > 0 {
		if s.readOnly {
			return nil, pgerr.New(pgerr.ReadOnly, "cannot execute "+st.Verb+" in a read-only transaction; write on another connection")
		}
		if err := s.Engine.CheckWritable(s.boundToTerm, s.term); err != nil {
			return nil, err
		}
		if err := s.Locks.Acquire(ctx, tx.Locks, args[:st.LockedArgs]); err != nil {
			return nil, err
		}
	}
	select {
	case s.Slots <- struct{}{}:
	case <-ctx.Done():
		return nil, canceledError()
	}
	defer func() { <-s.Slots }()
	if err := sleep(ctx, s.Faults.Delay(inject.StatementDelay)); err != nil {
		return nil, err
	}
	if err := s.checkTerm(); err != nil {
		return nil, err
	}
	return s.runFunction(ctx, tx, st.Verb, args)
}

func (s *Session) runFunction(ctx context.Context, tx *trans.Transaction, verb string, args []string) ([][][]byte, error) {
	switch verb {
	case "one":
		return numberRow(1, nil)
	case "get":
		return getRow(tx, args[0]), nil
	case "put":
		tx.Put(args[0], args[1])
		return textRows(args[1]), nil
	case "raise_after_write":
		tx.Put(args[0], args[1])
		return nil, pgerr.New(pgerr.RaiseException, "raised after the write, as asked")
	case "append":
		return numberRow(int64(tx.Append(args[0], args[1])), nil)
	case "elements":
		return textRows(tx.Elements(args[0])...), nil
	case "balance":
		return numberRow(tx.Number(args[0]))
	case "balances":
		return textRows(tx.Values(args)...), nil
	case "fail":
		return nil, pgerr.New(pgerr.DivisionByZero, "division by zero")
	case "pg_backend_pid":
		return numberRow(int64(s.ProcessID), nil)
	case "pg_is_in_recovery":
		return textRows(choose(!s.Engine.IsPrimary(), "t", "f")), nil
	}
	return runNumericFunction(ctx, tx, verb, args)
}

// runNumericFunction runs the functions whose last argument is a number.
func runNumericFunction(ctx context.Context, tx *trans.Transaction, verb string, args []string) ([][][]byte, error) {
	n, err := strconv.ParseInt(args[len(args)-1], 10, 64)
	if err != nil {
		return nil, pgerr.New(pgerr.InvalidText, "invalid input syntax for type bigint; give a number")
	}
	switch verb {
	case "add":
		return numberRow(tx.Add(args[0], n))
	case "transfer":
		return numberRow(tx.Transfer(args[0], args[1], n))
	case "sleep":
		return textRows(""), sleep(ctx, time.Duration(n)*time.Millisecond)
	}
	row := [][]byte{[]byte(strings.Repeat("x", rowBytes))}
	rows := make([][][]byte, max(n, 0))
	for i := range rows {
		rows[i] = row
	}
	return rows, nil
}

func getRow(tx *trans.Transaction, key string) [][][]byte {
	v, ok := tx.Get(key)
	if !ok {
		return [][][]byte{{nil}}
	}
	return textRows(v)
}

// textRows returns one row for each value.
func textRows(values ...string) [][][]byte {
	rows := make([][][]byte, 0, len(values))
	for _, v := range values {
		rows = append(rows, [][]byte{[]byte(v)})
	}
	return rows
}

func numberRow(n int64, err error) ([][][]byte, error) {
	if err != nil {
		return nil, err
	}
	return textRows(strconv.FormatInt(n, 10)), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return canceledError()
	}
}

func canceledError() error {
	return pgerr.New(pgerr.QueryCanceled, "canceling statement due to user request")
}

func choose(b bool, yes, no string) string {
	if b {
		return yes
	}
	return no
}
