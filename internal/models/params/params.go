// Package params reads the parameters of PostgreSQL's StartupMessage.
package params

import (
	"slices"
	"strings"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

// Names of the proxy's own parameters.
const (
	RouteParameter   = "wasabislip.route"
	SessionParameter = "wasabislip.session"
)

// OpenUser is the user of callers without a key.
const OpenUser = "open"

// maxSessionBytes bounds the length of a session's name.
const maxSessionBytes = 128

// acceptedValues holds the values that other parameters may have, in lower
// case. Pooled connections offer no other values.
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

// Startup is what a caller asked for in its StartupMessage.
type Startup struct {
	// User names the workspace; empty or OpenUser for a caller without a key.
	User string
	// Database names the database; the user's name if left out.
	Database string
	// Route names the route; empty for the default route.
	Route string
	// Session names the caller's session; empty for an unnamed one.
	Session string
	// Application is the caller's application_name.
	Application string
	// UnrecognizedOptions holds the names of the protocol extensions (_pq_.)
	// that the caller asked for; none is supported.
	UnrecognizedOptions []string
}

// Parse reads the parameters. An error is a *fault.Fault that names the
// parameter that is not supported.
func Parse(parameters map[string]string) (*Startup, error) {
	s := &Startup{}
	for name, value := range parameters {
		if err := s.set(name, value); err != nil {
			return nil, err
		}
	}
	if s.Database == "" {
		s.Database = s.User
	}
	if len(s.Session) > maxSessionBytes {
		return nil, fault.New(fault.TooLarge, "the name in "+SessionParameter+" is too long", "use at most 128 bytes")
	}
	slices.Sort(s.UnrecognizedOptions)
	return s, nil
}

// Keyless reports whether the caller connects without a workspace and key.
func (s *Startup) Keyless() bool {
	return s.User == "" || s.User == OpenUser
}

// set stores one parameter, or checks its value if it is not stored.
func (s *Startup) set(name, value string) error {
	switch strings.ToLower(name) {
	case "user":
		s.User = value
	case "database":
		s.Database = value
	case RouteParameter:
		s.Route = value
	case SessionParameter:
		s.Session = value
	case "application_name":
		s.Application = value
	case "options":
		return s.setOptions(value)
	default:
		return s.setOther(name, value)
	}
	return nil
}

// setOther checks a parameter that is not stored. Protocol extensions are
// collected, and known parameters must have one of their accepted values.
func (s *Startup) setOther(name, value string) error {
	if strings.HasPrefix(name, "_pq_.") {
		s.UnrecognizedOptions = append(s.UnrecognizedOptions, name)
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

// setOptions reads the parameter options: "-c name=value" or "--name=value",
// repeated.
func (s *Startup) setOptions(value string) error {
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
		if err := s.set(name, setting); err != nil {
			return err
		}
	}
	return nil
}

// optionsError returns the fault for options that cannot be read.
func optionsError() error {
	return fault.New(fault.Unsupported, "the start-up parameter options cannot be read", "use the form -c name=value")
}

// sanitizeName shortens a name sent by a caller and makes it valid UTF-8, for
// use in a message.
func sanitizeName(name string) string {
	const maxBytes = 63
	if len(name) > maxBytes {
		name = name[:maxBytes]
	}
	return strings.ToValidUTF8(name, "?")
}
