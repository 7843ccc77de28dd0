// Package hello reads the parameters of a start-up message.
package hello

import (
	"slices"
	"strings"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Names of the session's own parameters.
const (
	RouteParameter   = "wasabislip.route"
	SessionParameter = "wasabislip.session"
)

// OpenUser is the user of callers without a key.
const OpenUser = "open"

// maxSessionBytes bounds a session's name.
const maxSessionBytes = 128

// accepted holds the values that harmless parameters may have, in lower case.
var acceptedValues = map[string][]string{
	"client_encoding":             {"utf8", "utf-8", "unicode", "'utf8'", "'utf-8'"},
	"datestyle":                   {"iso", "iso, mdy", "iso,mdy"},
	"timezone":                    {"utc", "etc/utc", "gmt", "z"},
	"extra_float_digits":          {"0", "1", "2", "3"},
	"standard_conforming_strings": {"on", "true", "yes", "1"},
	"intervalstyle":               {"postgres"},
	"bytea_output":                {"hex"},
	"replication":                 {"false", "off", "no", "0"},
}

// Hello is what a caller asked for.
type Hello struct {
	// User is the workspace; empty or OpenUser for a caller without a key.
	User string
	// Database names the database; the user's name when left out.
	Database string
	// Route names the route; empty for the default one.
	Route string
	// Session names the caller's session; empty for an unnamed one.
	Session string
	// Application is the caller's application_name.
	Application string
	// Unknown holds the names of the protocol extensions asked for.
	Unknown []string
}

// Parse reads parameters. The error is a *fault.Fault that names the
// parameter that cannot be honoured.
func Parse(parameters map[string]string) (*Hello, error) {
	h := &Hello{}
	for name, value := range parameters {
		if err := h.set(name, value); err != nil {
			return nil, err
		}
	}
	if h.Database == "" {
		h.Database = h.User
	}
	if len(h.Session) > maxSessionBytes {
		return nil, fault.New(fault.TooLarge, "the name in "+SessionParameter+" is too long", "use at most 128 bytes")
	}
	slices.Sort(h.Unknown)
	return h, nil
}

// Keyless reports whether the caller came without a workspace.
func (h *Hello) Keyless() bool {
	return h.User == "" || h.User == OpenUser
}

func (h *Hello) set(name, value string) error {
	switch strings.ToLower(name) {
	case "user":
		h.User = value
	case "database":
		h.Database = value
	case RouteParameter:
		h.Route = value
	case SessionParameter:
		h.Session = value
	case "application_name":
		h.Application = value
	case "options":
		return h.setOptions(value)
	default:
		return h.setOther(name, value)
	}
	return nil
}

func (h *Hello) setOther(name, value string) error {
	if strings.HasPrefix(name, "_pq_.") {
		h.Unknown = append(h.Unknown, name)
		return nil
	}
	values, ok := acceptedValues[strings.ToLower(name)]
	if !ok {
		return fault.New(fault.Unsupported, "the start-up parameter "+sanitizeName(name)+" is not known", "leave it out of the connection settings")
	}
	if !slices.Contains(values, strings.ToLower(value)) {
		return fault.New(fault.Unsupported, "the start-up parameter "+name+" has a value that pooled connections do not offer", "leave it out or set it to "+values[0])
	}
	return nil
}

// options reads the form "-c name=value" or "--name=value", repeated.
func (h *Hello) setOptions(value string) error {
	fields := strings.Fields(value)
	for i := 0; i < len(fields); i++ {
		field := fields[i]
		switch {
		case field == "-c" && i+1 < len(fields):
			i++
			field = fields[i]
		case strings.HasPrefix(field, "-c"):
			field = field[len("-c"):]
		case strings.HasPrefix(field, "--"):
			field = field[len("--"):]
		default:
			return optionsError()
		}
		name, setting, found := strings.Cut(field, "=")
		if !found || strings.EqualFold(name, "options") {
			return optionsError()
		}
		if strings.EqualFold(name, "user") || strings.EqualFold(name, "database") {
			return optionsError()
		}
		if err := h.set(name, setting); err != nil {
			return err
		}
	}
	return nil
}

func optionsError() error {
	return fault.New(fault.Unsupported, "the start-up parameter options cannot be read", "use the form -c name=value")
}

// clean bounds a name that came from outside for use in a message.
func sanitizeName(name string) string {
	const maxBytes = 63
	if len(name) > maxBytes {
		name = name[:maxBytes]
	}
	return strings.ToValidUTF8(name, "?")
}
