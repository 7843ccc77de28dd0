package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/internal/models/input"
	"wasabislip.example/wasabislip/internal/models/params"
	"wasabislip.example/wasabislip/internal/models/plan"
	"wasabislip.example/wasabislip/internal/models/qclass"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// versionParameter is a parameter that can be shown and not set.
const versionParameter = "wasabislip.version"

// Type and size of the column that SHOW returns.
const (
	textOID      = 25
	variableSize = -1
)

// answerLocally answers a batch without the database: one with statements for the
// session itself, or any batch of a failed transaction whose run is over.
func (c *session) answerLocally(b *input.Batch, p *plan.Plan) error {
	for i, code := range p.Expected {
		if err := c.answerMessage(code, p.Classes[i]); err != nil {
			p.Revert(i)
			status := c.status
			c.buffer(errorResponse(severityError, err))
			if status != statusIdle {
				c.closeRun()
				c.status = statusFailed
			}
			c.skipToSync = b.End == input.Flush
			return c.endAnswer(b)
		}
	}
	return c.endAnswer(b)
}

// answerMessage answers one message of a batch; code is its code in Plan.Expected.
func (c *session) answerMessage(code byte, class qclass.Class) error {
	ends := class.Kind == qclass.End && class.Statements == 1
	if c.inFailedTransaction() && !ends && code != plan.StatementClosed && code != plan.PortalClosed {
		return newPGError("25P02", "the transaction has failed", "send ROLLBACK")
	}
	switch code {
	case plan.Parsed, plan.Checked:
		c.buffer(&pgproto3.ParseComplete{})
	case plan.Bound:
		c.buffer(&pgproto3.BindComplete{})
	case plan.StatementClosed, plan.PortalClosed:
		c.buffer(&pgproto3.CloseComplete{})
	case plan.StatementDescribed:
		c.buffer(&pgproto3.ParameterDescription{})
		c.describe(class)
	case plan.PortalDescribed:
		c.describe(class)
	case plan.Simple:
		return c.executeLocally(class, true)
	case plan.Executed:
		return c.executeLocally(class, false)
	}
	return nil
}

// describe answers a Describe: only SHOW returns a row.
func (c *session) describe(class qclass.Class) {
	if class.Kind != qclass.Show {
		c.buffer(&pgproto3.NoData{})
		return
	}
	c.buffer(&pgproto3.RowDescription{
		Fields: []pgproto3.FieldDescription{
			{
				Name:         []byte(class.Name),
				DataTypeOID:  textOID,
				DataTypeSize: variableSize,
				TypeModifier: variableSize,
			},
		},
	})
}

// executeLocally runs a statement for the session itself. With describe, the
// answer includes the description of its row.
func (c *session) executeLocally(class qclass.Class, describe bool) error {
	if c.inFailedTransaction() {
		c.endFailedTransaction()
		return nil
	}
	switch class.Kind {
	case qclass.Set:
		return c.set(class)
	case qclass.Show:
		return c.show(class, describe)
	case qclass.Deallocate:
		return c.deallocate(class)
	}
	return fault.New(fault.Unsupported, "the statement cannot be answered here", "send it alone")
}

// endFailedTransaction ends a failed transaction. The coordinator has rolled it
// back already.
func (c *session) endFailedTransaction() {
	c.status = statusIdle
	c.buffer(&pgproto3.CommandComplete{
		CommandTag: []byte("ROLLBACK"),
	})
}

// set runs SET wasabislip.route or SET wasabislip.session.
func (c *session) set(class qclass.Class) error {
	switch class.Name {
	case params.RouteParameter:
		if err := c.setRoute(class.Value); err != nil {
			return err
		}
	case params.SessionParameter:
		if c.run != nil {
			return fault.New(fault.BadRequest, "a transaction stays in the session it began in", "set wasabislip.session before BEGIN")
		}
		if class.Value != c.sessionName {
			c.sessionName = class.Value
			c.hasPosition = false
		}
	default:
		return unknownParameterError(class.Name)
	}
	c.buffer(&pgproto3.CommandComplete{
		CommandTag: []byte("SET"),
	})
	return nil
}

// setRoute sets the session's route if the workspace may use it.
func (c *session) setRoute(name string) error {
	if c.run != nil {
		return fault.New(fault.BadRequest, "a transaction stays on the route it began with", "set wasabislip.route before BEGIN")
	}
	cfg, _ := c.server.directory.Current()
	if _, err := findRoute(cfg, c.workspace, c.startup.Database, name, c.keyID == ""); err != nil {
		return err
	}
	c.routeName = name
	return nil
}

// show answers SHOW of a parameter of the session.
func (c *session) show(class qclass.Class, describe bool) error {
	value := ""
	switch class.Name {
	case params.RouteParameter:
		value = c.routeName
		if value == "" {
			cfg, _ := c.server.directory.Current()
			value = cfg.DefaultRoute
		}
	case params.SessionParameter:
		value = c.sessionName
	case versionParameter:
		value = c.server.Version
	default:
		return unknownParameterError(class.Name)
	}
	if describe {
		c.describe(class)
	}
	c.buffer(&pgproto3.DataRow{
		Values: [][]byte{[]byte(value)},
	})
	c.buffer(&pgproto3.CommandComplete{
		CommandTag: []byte("SHOW"),
	})
	return nil
}

// deallocate removes one prepared statement, or all of them.
func (c *session) deallocate(class qclass.Class) error {
	tag := "DEALLOCATE"
	if class.Name == "" {
		c.statements.Clear()
		tag = "DEALLOCATE ALL"
	} else {
		c.statements.Remove(class.Name)
	}
	c.buffer(&pgproto3.CommandComplete{
		CommandTag: []byte(tag),
	})
	return nil
}

func unknownParameterError(name string) error {
	return newPGError("42704", "parameter \""+name+"\" does not exist", "use wasabislip.route, wasabislip.session or wasabislip.version")
}
