package sess

import (
	"maps"
	"strings"

	"wasabislip.example/wasabislip/internal/standin/pgerr"
	"wasabislip.example/wasabislip/internal/standin/stmt"
	"wasabislip.example/wasabislip/internal/standin/trans"
)

// control runs BEGIN, COMMIT and ROLLBACK and returns the command tag.
func (s *Session) controlTransaction(st *stmt.Statement) (string, error) {
	switch st.Verb {
	case "BEGIN":
		return "BEGIN", s.begin(st)
	case "COMMIT":
		return s.commit()
	}
	s.rollback()
	return "ROLLBACK", nil
}

func (s *Session) begin(st *stmt.Statement) error {
	if s.failed {
		return failedBlockError()
	}
	if err := s.checkTerm(); err != nil {
		return err
	}
	if s.inBlock {
		return nil
	}
	s.inBlock = true
	s.savedSettings = maps.Clone(s.Settings)
	s.readOnly = s.setting(readOnlySetting) == "on"
	s.setAccessMode(st.Args)
	s.transaction()
	return nil
}

// setAccess reads READ ONLY and READ WRITE of a transaction's modes.
func (s *Session) setAccessMode(modes []string) {
	text := strings.ToUpper(strings.Join(modes, " "))
	if strings.Contains(text, "READ ONLY") {
		s.readOnly = true
	}
	if strings.Contains(text, "READ WRITE") {
		s.readOnly = false
	}
}

func (s *Session) commit() (string, error) {
	if s.failed {
		s.rollback()
		return "ROLLBACK", nil
	}
	err := s.checkTerm()
	if err == nil {
		err = s.commitWrites()
	}
	if err != nil {
		s.rollback()
		return "", err
	}
	s.endTransaction()
	return "COMMIT", nil
}

// commitWrites commits what the transaction wrote, and keeps its position for
// the next ReadyForQuery.
func (s *Session) commitWrites() error {
	if s.tx == nil || !s.tx.Wrote() {
		return nil
	}
	p, err := s.Node.Commit(s.boundToTerm, s.term, s.tx.Change)
	if err != nil {
		return err
	}
	s.commitPosition = p.String()
	if s.Faults.TakeLost() {
		return errAnswerLost
	}
	return nil
}

// finishImplicit commits the transaction that a batch outside of a block is.
func (s *Session) finishImplicit() error {
	if s.inBlock || s.tx == nil {
		return nil
	}
	if err := s.commitWrites(); err != nil {
		s.rollback()
		return err
	}
	s.endTransaction()
	return nil
}

// transaction returns the present transaction, or starts one.
func (s *Session) transaction() *trans.Transaction {
	if s.tx == nil {
		s.tx = trans.New(s.Node)
	}
	if !s.inBlock {
		s.readOnly = s.setting(readOnlySetting) == "on"
	}
	return s.tx
}

// abort discards the writes after an error. A block stays, failed.
func (s *Session) abort() {
	s.dropTransaction()
	s.failed = s.inBlock
}

// rollback discards the writes and ends the block.
func (s *Session) rollback() {
	if s.inBlock && s.savedSettings != nil {
		s.Settings = s.savedSettings
	}
	s.endTransaction()
}

// end leaves the transaction.
func (s *Session) endTransaction() {
	s.dropTransaction()
	s.inBlock = false
	s.failed = false
	s.savedSettings = nil
	clear(s.localSettings)
	clear(s.portals)
}

func (s *Session) dropTransaction() {
	if s.tx != nil {
		s.Locks.Release(s.tx.Locks)
	}
	s.tx = nil
}

func (s *Session) checkTerm() error {
	if !s.boundToTerm {
		return nil
	}
	return s.Node.Check(s.term)
}

func failedBlockError() error {
	return pgerr.New(pgerr.FailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}
