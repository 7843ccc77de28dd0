package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"wasabislip.example/wasabislip/internal/models/input"
	"wasabislip.example/wasabislip/internal/models/params"
	"wasabislip.example/wasabislip/internal/models/plan"
	"wasabislip.example/wasabislip/internal/models/qclass"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// versionParameter is the parameter that only SHOW knows.
const versionParameter = "wasabislip.version"

// Type of the only column that SHOW returns.
const (
	textOID      = 25
	variableSize = -1
)

// answerHere answers a batch that no database has to see: statements for the
// session itself, and any in a transaction that has failed.
func (c *session) answerHere(b *input.Batch, p *plan.Plan) error {
	for i, code := range p.Expected {
		if err := c.answerOne(code, p.Classes[i]); err != nil {
			p.Revert(i)
			status := c.status
			c.put(errorResponse(severityError, err))
			if status != statusIdle {
				c.drop()
				c.status = statusFailed
			}
			c.skip = b.End == input.Flush
			return c.finish(b)
		}
	}
	return c.finish(b)
}

func (c *session) answerOne(code byte, class qclass.Class) error {
	ends := class.Kind == qclass.End && class.Statements == 1
	if c.lost() && !ends && code != plan.StatementClosed && code != plan.PortalClosed {
		return refuse("25P02", "the transaction has failed", "send ROLLBACK")
	}
	switch code {
	case plan.Parsed, plan.Checked:
		c.put(&pgproto3.ParseComplete{})
	case plan.Bound:
		c.put(&pgproto3.BindComplete{})
	case plan.StatementClosed, plan.PortalClosed:
		c.put(&pgproto3.CloseComplete{})
	case plan.StatementDescribed:
		c.put(&pgproto3.ParameterDescription{})
		c.describe(class)
	case plan.PortalDescribed:
		c.describe(class)
	case plan.Simple:
		return c.executeHere(class, true)
	case plan.Executed:
		return c.executeHere(class, false)
	}
	return nil
}

func (c *session) describe(class qclass.Class) {
	if class.Kind != qclass.Show {
		c.put(&pgproto3.NoData{})
		return
	}
	c.put(&pgproto3.RowDescription{
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

// executeHere runs a statement for the session itself.
func (c *session) executeHere(class qclass.Class, described bool) error {
	if c.lost() {
		c.leaveFailed()
		return nil
	}
	switch class.Kind {
	case qclass.Set:
		return c.set(class)
	case qclass.Show:
		return c.show(class, described)
	case qclass.Deallocate:
		return c.deallocate(class)
	}
	return fault.New(fault.Unsupported, "the statement cannot be answered here", "send it alone")
}

// leaveFailed ends a transaction that has failed.
func (c *session) leaveFailed() {
	c.status = statusIdle
	c.put(&pgproto3.CommandComplete{
		CommandTag: []byte("ROLLBACK"),
	})
}

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
		if class.Value != c.name {
			c.name = class.Value
			c.known = false
		}
	default:
		return unknownParameter(class.Name)
	}
	c.put(&pgproto3.CommandComplete{
		CommandTag: []byte("SET"),
	})
	return nil
}

func (c *session) setRoute(name string) error {
	if c.run != nil {
		return fault.New(fault.BadRequest, "a transaction stays on the route it began with", "set wasabislip.route before BEGIN")
	}
	cfg, _ := c.server.directory.Current()
	if _, err := reach(cfg, c.workspace, c.hello.Database, name, c.keyID == ""); err != nil {
		return err
	}
	c.route = name
	return nil
}

func (c *session) show(class qclass.Class, described bool) error {
	value := ""
	switch class.Name {
	case params.RouteParameter:
		value = c.route
		if value == "" {
			cfg, _ := c.server.directory.Current()
			value = cfg.DefaultRoute
		}
	case params.SessionParameter:
		value = c.name
	case versionParameter:
		value = c.server.Version
	default:
		return unknownParameter(class.Name)
	}
	if described {
		c.describe(class)
	}
	c.put(&pgproto3.DataRow{
		Values: [][]byte{[]byte(value)},
	})
	c.put(&pgproto3.CommandComplete{
		CommandTag: []byte("SHOW"),
	})
	return nil
}

func (c *session) deallocate(class qclass.Class) error {
	tag := "DEALLOCATE"
	if class.Name == "" {
		c.table.Clear()
		tag = "DEALLOCATE ALL"
	} else {
		c.table.Remove(class.Name)
	}
	c.put(&pgproto3.CommandComplete{
		CommandTag: []byte(tag),
	})
	return nil
}

func unknownParameter(name string) error {
	return refuse("42704", "parameter \""+name+"\" does not exist", "use wasabislip.route, wasabislip.session or wasabislip.version")
}
