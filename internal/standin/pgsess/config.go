package pgsess

import (
	"maps"
	"strings"

	"wasabislip.example/wasabislip/internal/standin/pgerr"
	"wasabislip.example/wasabislip/internal/standin/stmt"
)

// reportedSettings holds the settings that PostgreSQL reports to the client when
// they change (GUC_REPORT), by their lower-case name.
var reportedSettings = map[string]string{
	"application_name":              "application_name",
	"client_encoding":               "client_encoding",
	"datestyle":                     "DateStyle",
	"timezone":                      "TimeZone",
	"search_path":                   "search_path",
	"default_transaction_read_only": "default_transaction_read_only",
	"standard_conforming_strings":   "standard_conforming_strings",
}

// runSetting runs SHOW, SET, RESET, DISCARD and DEALLOCATE.
func (s *Session) runSetting(st *stmt.Statement) (*result, error) {
	switch st.Verb {
	case "SHOW":
		return s.show(st.Columns[0])
	case "SET":
		s.set(st.Args[0] == "LOCAL", st.Args[1], st.Args[2])
	case "SET TRANSACTION":
		s.setAccessMode(st.Args)
	case "RESET":
		s.reset(strings.Join(st.Args, " "))
	case "DEALLOCATE":
		s.deallocate(st.Args)
	case "DISCARD":
		if s.inBlock {
			return nil, pgerr.New(pgerr.ActiveTransaction, "DISCARD ALL cannot run inside a transaction block; end it first")
		}
		s.reset("all")
		clear(s.prepared)
	}
	tag := st.Verb
	switch tag {
	case "SET TRANSACTION":
		tag = "SET"
	case "DISCARD":
		tag = "DISCARD ALL"
	}
	return &result{
		tag: tag,
	}, nil
}

func (s *Session) show(name string) (*result, error) {
	var value string
	switch name {
	case "transaction_read_only":
		s.transaction()
		value = choose(s.readOnly || !s.Engine.IsPrimary(), "on", "off")
	case "transaction_isolation", "transaction_isolation_level":
		value = "read committed"
	default:
		v, ok := s.lookup(name)
		if !ok {
			return nil, pgerr.New(pgerr.UndefinedSetting, "unrecognized configuration parameter \""+name+"\"")
		}
		value = v
	}
	return &result{
		rows: textRows(value),
		tag:  "SHOW",
	}, nil
}

func (s *Session) set(local bool, name, value string) {
	if local {
		if s.inBlock {
			s.localSettings[name] = value
		}
		return
	}
	s.Settings[name] = value
	delete(s.localSettings, name)
	s.reportChange(name)
}

func (s *Session) reset(name string) {
	if !strings.EqualFold(name, "all") {
		name = strings.ToLower(name)
		delete(s.Settings, name)
		if v, ok := s.initialSettings[name]; ok {
			s.Settings[name] = v
		}
		s.reportChange(name)
		return
	}
	before := s.Settings
	s.Settings = maps.Clone(s.initialSettings)
	for n := range reportedSettings {
		if before[n] != s.Settings[n] {
			s.reportChange(n)
		}
	}
}

func (s *Session) reportChange(name string) {
	if displayName, ok := reportedSettings[name]; ok {
		s.sendParameter(displayName, s.setting(name))
	}
}

func (s *Session) deallocate(args []string) {
	if len(args) == 0 {
		return
	}
	name := strings.Trim(args[len(args)-1], `"`)
	if strings.EqualFold(name, "all") {
		clear(s.prepared)
		return
	}
	delete(s.prepared, name)
}

func (s *Session) lookup(name string) (string, bool) {
	if v, ok := s.localSettings[name]; ok {
		return v, true
	}
	v, ok := s.Settings[name]
	return v, ok
}

func (s *Session) setting(name string) string {
	v, _ := s.lookup(name)
	return v
}
