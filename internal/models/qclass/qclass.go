// Package qclass classifies queries by their leading words. It is not an SQL
// parser: it skips comments and quoted text and compares words. It cannot detect
// a function or DO block that changes session state inside the database, nor
// words that have another meaning by the search_path.
package qclass

import (
	"strings"
)

// Kinds of statement.
const (
	// Pass statements go to the database as they are.
	Pass = "pass"
	// Begin statements open a transaction.
	Begin = "begin"
	// End statements end a transaction.
	End = "end"
	// Set statements set the proxy's session parameter Name to Value.
	Set = "set"
	// Show statements ask for the proxy's session parameter Name.
	Show = "show"
	// Deallocate statements drop the prepared statement Name, or all if it is
	// empty.
	Deallocate = "deallocate"
	// Refused statements are not supported, mostly since they would leave state
	// on a pooled connection; see Reason.
	Refused = "refused"
)

// prefix starts the names of the proxy's session parameters.
const prefix = "wasabislip."

// Class is the class of a query.
type Class struct {
	// Kind is one of the constants of this package.
	Kind string
	// Name is the name of the parameter or the prepared statement.
	Name string
	// Value is the parameter's new value.
	Value string
	// Reason says why a statement is refused, Hint what to do instead.
	Reason string
	Hint   string
	// Route is the route named in a leading comment, or "".
	Route string
	// Statements is the number of statements in the query.
	Statements int
}

// Local reports whether the session answers the statement without the database.
func (c Class) Local() bool {
	return c.Kind == Set || c.Kind == Show || c.Kind == Deallocate
}

// Classify returns the class of a query. A query of several statements has the
// class of its first refused one, or else of its first one. It is refused if one
// of several statements is local.
func Classify(query string) Class {
	route := leadingRoute(query)
	statements := scan(query)
	c := Class{
		Kind: Pass,
	}
	for i, s := range statements {
		d := classifyOne(s)
		if i == 0 || d.Kind == Refused {
			c = d
		}
		if i > 0 && d.Local() {
			c = refused("a statement for the session itself stands in a query of several", "send it alone")
		}
		if c.Kind == Refused {
			break
		}
	}
	if len(statements) > 1 && c.Local() {
		c = refused("a statement for the session itself stands in a query of several", "send it alone")
	}
	c.Route = route
	c.Statements = len(statements)
	return c
}

// classifyOne returns the class of one statement, given its words.
func classifyOne(s []string) Class {
	switch s[0] {
	case "begin", "start":
		return Class{
			Kind: Begin,
		}
	case "commit", "end", "abort":
		return Class{
			Kind: End,
		}
	case "rollback":
		return classifyRollback(s)
	case "set":
		return classifySet(s[1:])
	case "show":
		return classifyShow(s[1:])
	case "deallocate":
		return classifyDeallocate(s[1:])
	case "prepare":
		return classifyPrepare(s)
	default:
		return classifyOther(s)
	}
}

// classifyRollback tells ROLLBACK TO SAVEPOINT and ROLLBACK PREPARED, which do
// not end the transaction, from ROLLBACK.
func classifyRollback(s []string) Class {
	if wordAt(s, 1) == "to" || wordAt(s, 2) == "to" || wordAt(s, 1) == "prepared" {
		return Class{
			Kind: Pass,
		}
	}
	return Class{
		Kind: End,
	}
}

func classifyPrepare(s []string) Class {
	if wordAt(s, 1) == "transaction" {
		return refused("PREPARE TRANSACTION outlives its connection", "use COMMIT")
	}
	return refused("PREPARE leaves a statement on a pooled connection", "use the extended protocol's Parse message")
}

// classifySet classifies the words after SET. Only the proxy's parameters can be
// set for the whole session; others have to be set for a transaction.
func classifySet(s []string) Class {
	scope := wordAt(s, 0)
	if scope == "local" || scope == "transaction" || scope == "constraints" {
		return Class{
			Kind: Pass,
		}
	}
	if scope == "session" && wordAt(s, 1) != "characteristics" {
		s = s[1:]
	}
	name := wordAt(s, 0)
	if !strings.HasPrefix(name, prefix) {
		return refused("SET leaves state on a pooled connection", "use SET LOCAL inside a transaction")
	}
	if len(s) != 3 || (s[1] != "=" && s[1] != "to") {
		return refused("the value of "+name+" cannot be read", "use SET "+name+" = 'value'")
	}
	return Class{
		Kind:  Set,
		Name:  name,
		Value: strings.TrimPrefix(s[2], "'"),
	}
}

// classifyShow classifies the words after SHOW.
func classifyShow(s []string) Class {
	if len(s) == 1 && strings.HasPrefix(s[0], prefix) {
		return Class{
			Kind: Show,
			Name: s[0],
		}
	}
	return Class{
		Kind: Pass,
	}
}

func classifyDeallocate(s []string) Class {
	if wordAt(s, 0) == "prepare" {
		s = s[1:]
	}
	name := wordAt(s, 0)
	if name == "all" {
		name = ""
	}
	return Class{
		Kind: Deallocate,
		Name: strings.TrimPrefix(name, "\""),
	}
}

func refused(reason, hint string) Class {
	return Class{
		Kind:   Refused,
		Reason: reason,
		Hint:   hint,
	}
}

// wordAt returns the word at i, or "".
func wordAt(s []string, i int) string {
	if i < len(s) {
		return s[i]
	}
	return ""
}
