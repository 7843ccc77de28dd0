// Package stmt parses the fixed set of statements that a stand-in database
// supports: commands such as BEGIN and SET, and calls of functions.
package stmt

import (
	"regexp"
	"strconv"
	"strings"

	"wasabislip.example/wasabislip/internal/standin/pgerr"
)

// Type OIDs of parameters and columns.
const (
	Int8 = 20
	Text = 25
)

// Statement is one parsed statement.
type Statement struct {
	// Verb is the first word of a command, or the name of a called function.
	Verb string
	// IsCall tells that Verb is a function.
	IsCall bool
	// Args are the literals of a call, or the words of a command. For an argument
	// that is a parameter of a prepared statement it has an empty text.
	Args []string
	// ParamNumbers holds for each argument of a call the number n of its parameter
	// $n, or 0 for a literal.
	ParamNumbers []int
	// Columns are the names of the result's columns; empty without a result.
	Columns []string
	// ColumnTypes are the type OIDs of the columns.
	ColumnTypes []uint32
	// ParamTypes are the type OIDs of the parameters.
	ParamTypes []uint32
	// IsControl tells that the statement operates the instance, such as a
	// promotion, rather than its data.
	IsControl bool
	// LockedArgs is the number of leading arguments that name rows to lock.
	LockedArgs int
}

// signature describes a function: one letter for each argument and column, t
// for text and i for int8.
type signature struct {
	argTypes    string
	columnNames string
	columnTypes string
	lockedArgs  int
	isControl   bool
}

const statusColumns = "fence term role received applied end_of_terms"

var functions = map[string]signature{
	"get":               dataFunction("t", "t", 0),
	"put":               dataFunction("tt", "t", 1),
	"add":               dataFunction("ti", "i", 1),
	"append":            dataFunction("tt", "i", 1),
	"elements":          dataFunction("t", "t", 0),
	"transfer":          dataFunction("tti", "i", 2),
	"balance":           dataFunction("t", "i", 0),
	"balances":          dataFunction("ttt", "t", 0),
	"rows":              dataFunction("i", "t", 0),
	"sleep":             dataFunction("i", "t", 0),
	"fail":              dataFunction("", "i", 0),
	"raise_after_write": dataFunction("tt", "t", 1),
	"pg_is_in_recovery": dataFunction("", "t", 0),
	"pg_backend_pid":    dataFunction("", "i", 0),
	"ledger_status":     controlFunction("", statusColumns),
	"ledger_fence":      controlFunction("i", statusColumns),
	"ledger_promote":    controlFunction("i", statusColumns),
	"ledger_follow":     controlFunction("it", statusColumns),
	"ledger_log":        controlFunction("ii", "position writes"),
	"ledger_fault":      controlFunction("tt", "ledger_fault"),
}

// dataFunction describes a function on the data. The first lockedArgs arguments
// name rows that it writes.
func dataFunction(argTypes, columnTypes string, lockedArgs int) signature {
	return signature{
		argTypes:    argTypes,
		columnTypes: columnTypes,
		lockedArgs:  lockedArgs,
	}
}

// controlFunction describes a function that operates the instance and returns text
// columns of these names.
func controlFunction(argTypes, columnNames string) signature {
	return signature{
		argTypes:    argTypes,
		columnNames: columnNames,
		columnTypes: strings.Repeat("t", len(strings.Fields(columnNames))),
		isControl:   true,
	}
}

var (
	literalOrComment = regexp.MustCompile(`'(?:[^']|'')*'|--[^\n]*|/\*[^*]*\*/`)
	callPattern      = regexp.MustCompile(`(?is)^select\s+(?:\*\s+from\s+)?([a-z_]+)\s*\((.*)\)(?:\s+(?:as\s+)?[a-z_]+)?$`)
	argumentPattern  = regexp.MustCompile(`^\s*(?:'((?:[^']|'')*)'|(-?\d+)|\$(\d+))(?:::[a-z0-9]+)?\s*(?:,|$)`)
	selectOne        = regexp.MustCompile(`(?i)^select\s+1$`)
	setPattern       = regexp.MustCompile(`(?is)^set\s+(local\s+|session\s+)?([a-z_.]+)\s*(?:=|\s+to\s)\s*'?([^']*?)'?$`)
	whitespace       = regexp.MustCompile(`\s+`)
)

// Split splits a query into its statements, at the semicolons outside of literals.
// Empty statements are left out.
func Split(query string) []string {
	query = literalOrComment.ReplaceAllStringFunc(query, replaceComment)
	var parts []string
	start := 0
	quoted := false
	for i := range len(query) {
		switch {
		case query[i] == '\'':
			quoted = !quoted
		case query[i] == ';' && !quoted:
			parts = appendPart(parts, query[start:i])
			start = i + 1
		}
	}
	return appendPart(parts, query[start:])
}

// replaceComment returns a literal as it is and a space for a comment.
func replaceComment(match string) string {
	if match[0] == '\'' {
		return match
	}
	return " "
}

func appendPart(parts []string, part string) []string {
	part = strings.TrimSpace(part)
	if part == "" {
		return parts
	}
	return append(parts, part)
}

// Parse parses one statement. An empty text gives an empty Verb.
func Parse(text string) (Statement, error) {
	parts := Split(text)
	if len(parts) == 0 {
		return Statement{}, nil
	}
	if len(parts) > 1 {
		return Statement{}, pgerr.New(pgerr.Syntax, "cannot insert multiple commands into a prepared statement")
	}
	text = parts[0]
	if selectOne.MatchString(text) {
		return Statement{
			Verb:        "one",
			IsCall:      true,
			Columns:     []string{"?column?"},
			ColumnTypes: []uint32{Int8},
		}, nil
	}
	if m := callPattern.FindStringSubmatch(text); m != nil {
		return parseCall(strings.ToLower(m[1]), m[2])
	}
	return parseCommand(text)
}

func parseCommand(text string) (Statement, error) {
	fields := whitespace.Split(text, -1)
	verb := strings.ToUpper(fields[0])
	s := Statement{
		Verb: verb,
		Args: fields[1:],
	}
	switch verb {
	case "BEGIN", "COMMIT", "ROLLBACK", "DISCARD", "DEALLOCATE", "RESET":
	case "START":
		s.Verb = "BEGIN"
	case "END":
		s.Verb = "COMMIT"
	case "ABORT":
		s.Verb = "ROLLBACK"
	case "SHOW":
		s.Columns = []string{strings.ToLower(strings.Join(s.Args, "_"))}
		s.ColumnTypes = []uint32{Text}
	case "SET":
		if len(s.Args) > 0 && strings.EqualFold(s.Args[0], "transaction") {
			s.Verb = "SET TRANSACTION"
			return s, nil
		}
		m := setPattern.FindStringSubmatch(text)
		if m == nil {
			return s, pgerr.New(pgerr.Syntax, "cannot read the setting; write SET name = value")
		}
		s.Args = []string{strings.ToUpper(strings.TrimSpace(m[1])), strings.ToLower(m[2]), strings.TrimSpace(m[3])}
	case "COPY":
		return s, pgerr.New(pgerr.Unsupported, "COPY is not supported; write rows with put")
	default:
		return s, pgerr.New(pgerr.Syntax, "syntax error at or near \""+fields[0]+"\"; use a statement of the fixed set")
	}
	if verb == "ROLLBACK" && len(s.Args) > 0 && strings.EqualFold(s.Args[0], "to") {
		return s, pgerr.New(pgerr.Unsupported, "savepoints are not supported; roll back the whole transaction")
	}
	return s, nil
}

func parseCall(name, list string) (Statement, error) {
	f, ok := functions[name]
	if !ok {
		return Statement{}, pgerr.New(pgerr.UndefinedFunction, "function "+name+" does not exist; use a function of the fixed set")
	}
	s := Statement{
		Verb:        name,
		IsCall:      true,
		Columns:     strings.Fields(f.columnNames),
		ColumnTypes: oids(f.columnTypes),
		IsControl:   f.isControl,
		LockedArgs:  f.lockedArgs,
	}
	if len(s.Columns) == 0 {
		s.Columns = []string{name}
	}
	for strings.TrimSpace(list) != "" {
		m := argumentPattern.FindStringSubmatch(list)
		if m == nil {
			return s, pgerr.New(pgerr.Syntax, "cannot read the arguments of "+name+"; write literals or $1")
		}
		list = list[len(m[0]):]
		s.addArg(m)
	}
	if len(s.Args) != len(f.argTypes) {
		return s, pgerr.New(pgerr.UndefinedFunction, "function "+name+" takes "+strconv.Itoa(len(f.argTypes))+" arguments")
	}
	s.setParamTypes(oids(f.argTypes))
	return s, nil
}

func (s *Statement) addArg(m []string) {
	n, _ := strconv.Atoi(m[3])
	s.ParamNumbers = append(s.ParamNumbers, n)
	if m[2] != "" {
		s.Args = append(s.Args, m[2])
		return
	}
	s.Args = append(s.Args, strings.ReplaceAll(m[1], "''", "'"))
}

func (s *Statement) setParamTypes(types []uint32) {
	for i, n := range s.ParamNumbers {
		for len(s.ParamTypes) < n {
			s.ParamTypes = append(s.ParamTypes, Text)
		}
		if n > 0 {
			s.ParamTypes[n-1] = types[i]
		}
	}
}

// Bind returns the call's arguments with the values of its parameters.
func (s *Statement) Bind(values []string) []string {
	args := append([]string(nil), s.Args...)
	for i, n := range s.ParamNumbers {
		if n > 0 && n <= len(values) {
			args[i] = values[n-1]
		}
	}
	return args
}

func oids(letters string) []uint32 {
	var list []uint32
	for _, l := range letters {
		if l == 'i' {
			list = append(list, Int8)
			continue
		}
		list = append(list, Text)
	}
	return list
}
