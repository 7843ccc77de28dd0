// Package plan turns a caller's batch into the batch that is sent to the
// coordinator. Prepared statements get names that are unique in the fleet, their
// definitions are sent along, and the plan lists the answers to expect.
package plan

import (
	"github.com/jackc/pgx/v5/pgproto3"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/input"
	"wasabislip.example/wasabislip/internal/models/qclass"
	"wasabislip.example/wasabislip/internal/models/stmts"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Codes in Plan.Expected, one for each of the caller's messages.
const (
	// Parsed is a Parse that is answered without the database.
	Parsed = 'p'
	// Checked is a Parse that is sent as a Describe, so that the database
	// checks the statement.
	Checked = 'P'
	// Bound is a Bind.
	Bound = 'b'
	// StatementDescribed is a Describe of a prepared statement.
	StatementDescribed = 'd'
	// PortalDescribed is a Describe of a portal.
	PortalDescribed = 'D'
	// Executed is an Execute.
	Executed = 'e'
	// StatementClosed is a Close of a prepared statement, which is answered
	// without the database.
	StatementClosed = 'c'
	// PortalClosed is a Close of a portal.
	PortalClosed = 'x'
	// Simple is a simple query.
	Simple = 'q'
)

// Plan is a batch that is ready to be sent.
type Plan struct {
	// Messages are the encoded messages for the coordinator: one Query, or
	// messages that end with a Sync. They are empty if the batch needs nothing
	// of the database.
	Messages []byte
	// Statements are the definitions of the prepared statements in Messages.
	Statements []*wasabislipv1.Statement
	// Expected holds one code for each of the caller's messages.
	Expected []byte
	// Classes holds the class of the statement of each code.
	Classes []qclass.Class
	// Names holds the caller's statement name for each Parse, "" for other
	// messages.
	Names []string
	// StatementCount is the number of statements to run. Each statement of a
	// simple query counts.
	StatementCount int
	// Route is the route named in the leading comment of a statement, or "".
	Route string
	// Local says that the session answers the whole batch itself.
	Local bool
	// EndsTransaction says that the batch's last statement ends a transaction.
	EndsTransaction bool

	table *stmts.Table
	// portals holds the class of the statement of each portal.
	portals map[string]qclass.Class
	// sent holds the names of the definitions in Statements.
	sent map[string]bool
}

// Build plans a batch and adds its prepared statements to table. The error is a
// *fault.Fault or has the methods Code, Message and Hint; no part of the batch
// may run then.
func Build(b *input.Batch, table *stmts.Table) (*Plan, error) {
	p := &Plan{
		table:   table,
		portals: make(map[string]qclass.Class),
		sent:    make(map[string]bool),
	}
	for i, msg := range b.Messages {
		if err := p.add(msg, b.Messages[i+1:]); err != nil {
			p.Revert(0)
			return nil, err
		}
	}
	if err := p.decideLocal(); err != nil {
		p.Revert(0)
		return nil, err
	}
	if len(p.Messages) > 0 && b.End != input.Query {
		p.encode(&pgproto3.Sync{})
	}
	return p, nil
}

// Revert removes the statement names of the Parse messages from the n-th message
// on: the caller did not get their answers.
func (p *Plan) Revert(n int) {
	for i := n; i < len(p.Expected); i++ {
		if p.Expected[i] == Parsed || p.Expected[i] == Checked {
			p.table.Remove(p.Names[i])
		}
	}
}

func (p *Plan) add(msg pgproto3.FrontendMessage, rest []pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Query:
		return p.query(m)
	case *pgproto3.Parse:
		return p.parse(m, rest)
	case *pgproto3.Bind:
		return p.bind(m)
	case *pgproto3.Describe:
		return p.describe(m)
	case *pgproto3.Execute:
		p.execute(m)
	case *pgproto3.Close:
		p.close(m)
	}
	return nil
}

func (p *Plan) query(m *pgproto3.Query) error {
	c := qclass.Classify(m.String)
	p.expect(Simple, c, "")
	p.StatementCount += max(c.Statements, 1)
	p.encode(m)
	return p.applyClass(c)
}

func (p *Plan) parse(m *pgproto3.Parse, rest []pgproto3.FrontendMessage) error {
	if s, _ := p.table.Get(m.Name); s != nil && m.Name != "" {
		return refuse("42P05", "prepared statement \""+m.Name+"\" already exists", "close it first or choose another name")
	}
	c := qclass.Classify(m.Query)
	s := stmts.Define(m.Query, m.ParameterOIDs)
	if !p.table.Put(m.Name, s, c) {
		return fault.New(fault.TooLarge, "the session holds too many prepared statements", "close those no longer needed")
	}
	if referenced(m.Name, rest) || c.Local() {
		p.expect(Parsed, c, m.Name)
		return p.applyClass(c)
	}
	p.expect(Checked, c, m.Name)
	p.addDefinition(s)
	p.encode(&pgproto3.Describe{
		ObjectType: 'S',
		Name:       s.Name,
	})
	return p.applyClass(c)
}

func (p *Plan) bind(m *pgproto3.Bind) error {
	s, c := p.table.Get(m.PreparedStatement)
	if s == nil {
		return errUnknownStatement(m.PreparedStatement)
	}
	p.expect(Bound, c, "")
	p.portals[m.DestinationPortal] = c
	p.addDefinition(s)
	renamed := *m
	renamed.PreparedStatement = s.Name
	p.encode(&renamed)
	return p.applyClass(c)
}

func (p *Plan) describe(m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		p.expect(PortalDescribed, p.portal(m.Name), "")
		p.encode(m)
		return nil
	}
	s, c := p.table.Get(m.Name)
	if s == nil {
		return errUnknownStatement(m.Name)
	}
	p.expect(StatementDescribed, c, "")
	p.addDefinition(s)
	p.encode(&pgproto3.Describe{
		ObjectType: 'S',
		Name:       s.Name,
	})
	return p.applyClass(c)
}

func (p *Plan) execute(m *pgproto3.Execute) {
	p.expect(Executed, p.portal(m.Portal), "")
	p.StatementCount++
	p.encode(m)
}

func (p *Plan) close(m *pgproto3.Close) {
	if m.ObjectType != 'S' {
		p.expect(PortalClosed, p.portal(m.Name), "")
		p.encode(m)
		return
	}
	p.expect(StatementClosed, qclass.Class{}, "")
	p.table.Remove(m.Name)
}

// decideLocal sets Local and EndsTransaction. It refuses a batch of which the
// session answers only a part itself.
func (p *Plan) decideLocal() error {
	local, remote := false, false
	for i, c := range p.Classes {
		local = local || c.Local()
		remote = remote || (!c.Local() && p.Expected[i] != StatementClosed)
		if p.Expected[i] == Simple || p.Expected[i] == Executed {
			p.EndsTransaction = c.Kind == qclass.End
		}
	}
	if local && remote {
		return fault.New(fault.Unsupported, "the batch mixes statements for the session itself with others", "send SET and SHOW of wasabislip parameters alone")
	}
	p.Local = local
	if local {
		p.Messages = nil
		p.Statements = nil
	}
	return nil
}

// applyClass sets the route that the class names. It returns an error if the
// class is refused.
func (p *Plan) applyClass(c qclass.Class) error {
	if c.Kind == qclass.Refused {
		return fault.New(fault.Unsupported, c.Reason, c.Hint)
	}
	if c.Route == "" || c.Route == p.Route {
		return nil
	}
	if p.Route != "" {
		return fault.New(fault.BadRequest, "the batch names two routes", "send one batch for each route")
	}
	p.Route = c.Route
	return nil
}

// expect appends the code of one message.
func (p *Plan) expect(code byte, c qclass.Class, name string) {
	p.Expected = append(p.Expected, code)
	p.Classes = append(p.Classes, c)
	p.Names = append(p.Names, name)
}

// portal returns the class of the statement of a portal. A portal of an earlier
// batch is not known; it counts as a statement without a special class.
func (p *Plan) portal(name string) qclass.Class {
	if c, ok := p.portals[name]; ok {
		return c
	}
	return qclass.Class{
		Kind: qclass.Pass,
	}
}

// addDefinition adds the definition s to Statements once.
func (p *Plan) addDefinition(s *wasabislipv1.Statement) {
	if p.sent[s.Name] {
		return
	}
	p.sent[s.Name] = true
	p.Statements = append(p.Statements, s)
}

// encode appends msg to Messages. A message that was decoded can always be
// encoded.
func (p *Plan) encode(msg pgproto3.FrontendMessage) {
	if raw, err := msg.Encode(p.Messages); err == nil {
		p.Messages = raw
	}
}

// referenced reports whether a later message sends the statement to the database
// before its name is closed or reused.
func referenced(name string, rest []pgproto3.FrontendMessage) bool {
	for _, msg := range rest {
		switch m := msg.(type) {
		case *pgproto3.Parse:
			if m.Name == name {
				return false
			}
		case *pgproto3.Close:
			if m.ObjectType == 'S' && m.Name == name {
				return false
			}
		case *pgproto3.Bind:
			if m.PreparedStatement == name {
				return true
			}
		case *pgproto3.Describe:
			if m.ObjectType == 'S' && m.Name == name {
				return true
			}
		}
	}
	return false
}

func errUnknownStatement(name string) error {
	return refuse("26000", "prepared statement \""+name+"\" does not exist", "send its Parse message first")
}
