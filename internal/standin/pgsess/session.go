// Package pgsess serves one client connection of the stand-in for a PostgreSQL
// instance, after its start-up.
package pgsess

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/internal/standin/engine"
	"wasabislip.example/wasabislip/internal/standin/inject"
	"wasabislip.example/wasabislip/internal/standin/locks"
	"wasabislip.example/wasabislip/internal/standin/pgerr"
	"wasabislip.example/wasabislip/internal/standin/stmt"
	"wasabislip.example/wasabislip/internal/standin/trans"
)

// Settings that the session itself uses. The setting ledger.term at start-up
// binds the connection to a term: the instance refuses its statements once it has
// been fenced at a later term. ledger.position reports the log position of a
// committed write.
const (
	termSetting     = "ledger.term"
	positionSetting = "ledger.position"
	readOnlySetting = "default_transaction_read_only"
)

// errAnswerLost closes a connection without the answer to its commit, as the
// injected fault asks for.
var errAnswerLost = errors.New("pgsess: an injected fault dropped the answer to the commit")

// controller runs the ledger_ functions, which operate the instance.
type controller interface {
	// Control returns the rows of a ledger_ function. The term is the one that
	// the connection is bound to, or 0.
	Control(ctx context.Context, verb string, args []string, term uint64) ([][]string, error)
}

// Session is one connection. Its fields are set before Serve.
type Session struct {
	// Backend reads and writes the messages of the protocol.
	Backend *pgproto3.Backend
	// Engine is the instance's storage engine.
	Engine *engine.Engine
	// Locks are the instance's row locks.
	Locks *locks.Locks
	// Faults are the faults injected into the instance.
	Faults *inject.Faults
	// Slots bounds the statements that the instance runs at once.
	Slots chan struct{}
	// Controller runs control statements.
	Controller controller
	// Settings are the session's settings: at first the start-up parameters and
	// the defaults.
	Settings map[string]string
	// ProcessID is the backend process ID of the connection.
	ProcessID uint32

	mu     sync.Mutex
	cancel context.CancelFunc

	ctx             context.Context
	boundToTerm     bool
	term            uint64
	initialSettings map[string]string
	savedSettings   map[string]string
	localSettings   map[string]string
	tx              *trans.Transaction
	inBlock         bool
	failed          bool
	readOnly        bool
	skipToSync      bool
	commitPosition  string
	prepared        map[string]prepared
	portals         map[string]*portal
}

// Serve handles messages until the client disconnects. The caller closes the
// connection when ctx ends.
func (s *Session) Serve(ctx context.Context) error {
	if err := s.initSession(ctx); err != nil {
		s.sendError(err)
		return errors.Join(err, s.Backend.Flush())
	}
	defer s.rollback()
	if err := s.sendReady(); err != nil {
		return err
	}
	for {
		m, err := s.Backend.Receive()
		if err != nil {
			return err
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := s.handle(m); err != nil {
			return err
		}
	}
}

// Cancel cancels the running statement, if any.
func (s *Session) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

func (s *Session) initSession(ctx context.Context) error {
	s.ctx = ctx
	s.initialSettings = maps.Clone(s.Settings)
	s.localSettings = map[string]string{}
	s.prepared = map[string]prepared{}
	s.portals = map[string]*portal{}
	text, bound := s.Settings[termSetting]
	if !bound {
		return nil
	}
	term, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return pgerr.New(pgerr.InvalidText, "ledger.term is not a number; give the term in decimal")
	}
	s.boundToTerm = true
	s.term = term
	return nil
}

// handle handles one message. An error ends the connection.
func (s *Session) handle(m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Sync); ok {
		return s.sync()
	}
	if s.skipToSync {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(m.String)
	case *pgproto3.Flush:
		return s.Backend.Flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	}
	err := s.extended(m)
	if errors.Is(err, errAnswerLost) {
		return err
	}
	if err != nil {
		s.abort()
		s.sendError(err)
		s.skipToSync = true
		return s.Backend.Flush()
	}
	return nil
}

func (s *Session) sync() error {
	s.skipToSync = false
	if err := s.commitImplicit(); err != nil {
		if errors.Is(err, errAnswerLost) {
			return err
		}
		s.sendError(err)
	}
	return s.sendReady()
}

// sendReady sends the position of a committed write, if there was one, and the
// transaction status.
func (s *Session) sendReady() error {
	if s.commitPosition != "" {
		s.sendParameter(positionSetting, s.commitPosition)
		s.commitPosition = ""
	}
	status := byte('I')
	if s.inBlock {
		status = 'T'
	}
	if s.inBlock && s.failed {
		status = 'E'
	}
	s.Backend.Send(&pgproto3.ReadyForQuery{
		TxStatus: status,
	})
	return s.Backend.Flush()
}

func (s *Session) sendParameter(name, value string) {
	s.Backend.Send(&pgproto3.ParameterStatus{
		Name:  name,
		Value: value,
	})
}

func (s *Session) sendError(err error) {
	e := pgerr.Of(err)
	s.Backend.Send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                e.Code,
		Message:             e.Message,
	})
}

// simpleQuery handles a Query message. Its statements are one implicit transaction
// unless they open a transaction block.
func (s *Session) simpleQuery(query string) error {
	parts := stmt.Split(query)
	if len(parts) == 0 {
		s.Backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, text := range parts {
		err := s.simpleStatement(text, i == len(parts)-1)
		if errors.Is(err, errAnswerLost) {
			return err
		}
		if err != nil {
			s.abort()
			s.sendError(err)
			break
		}
	}
	return s.sendReady()
}

func (s *Session) simpleStatement(text string, last bool) error {
	st, err := stmt.Parse(text)
	if err != nil {
		return err
	}
	r, err := s.execute(&st, st.Args)
	if err != nil {
		return err
	}
	if last {
		if err := s.commitImplicit(); err != nil {
			return err
		}
	}
	if len(st.Columns) > 0 {
		s.Backend.Send(describe(&st, nil))
	}
	return s.sendResult(r, &st, nil)
}
