package pgsess

import (
	"maps"
	"strings"

	"wasabislip.example/wasabislip/internal/standin/pgerr"
	"wasabislip.example/wasabislip/internal/standin/stmt"
	"wasabislip.example/wasabislip/internal/standin/trans"
)

// controlTransaction runs BEGIN, COMMIT and ROLLBACK and returns the command tag.
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

// setAccessMode applies READ ONLY or READ WRITE from a transaction's modes.
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

// commitWrites commits the transaction's writes. Their log position is sent before
// the next ReadyForQuery.
func (s *Session) commitWrites() error {
	if s.tx == nil || !s.tx.HasWrites() {
		return nil
	}
	p, err := s.Engine.Commit(s.boundToTerm, s.term, s.tx.Entry)
	if err != nil {
		return err
	}
	s.commitPosition = p.String()
	if s.Faults.TakeLostAnswer() {
		return errAnswerLost
	}
	return nil
}

// commitImplicit commits the implicit transaction of statements outside of a
// transaction block.
func (s *Session) commitImplicit() error {
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

// transaction returns the current transaction, or starts one.
func (s *Session) transaction() *trans.Transaction {
	if s.tx == nil {
		s.tx = trans.New(s.Engine)
	}
	if !s.inBlock {
		s.readOnly = s.setting(readOnlySetting) == "on"
	}
	return s.tx
}

// abort discards the writes after an error. A transaction block stays open in the
// failed state.
func (s *Session) abort() {
	s.dropTransaction()
	s.failed = s.inBlock
}

// rollback discards the writes, ends the block and restores the settings from
// before it.
func (s *Session) rollback() {
	if s.inBlock && s.savedSettings != nil {
		s.Settings = s.savedSettings
	}
	s.endTransaction()
}

// endTransaction leaves the transaction and ends its settings and portals.
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
	return s.Engine.CheckTerm(s.term)
}

func failedBlockError() error {
	return pgerr.New(pgerr.FailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}
