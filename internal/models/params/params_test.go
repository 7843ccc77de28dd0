package params_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/params"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := params.Parse(map[string]string{
		"user":               "shop",
		"options":            "-c wasabislip.route=browse --wasabislip.session=m7 -cdatestyle=ISO",
		"client_encoding":    "'utf-8'",
		"extra_float_digits": "2",
		"application_name":   "pos",
	})
	is.NoErr(err)
	is.Equal(s.Database, "shop")
	is.Equal(s.Route, "browse")
	is.Equal(s.Session, "m7")
	is.True(!s.Keyless())
	for name, parameters := range map[string]map[string]string{
		"unknown parameter": {
			"search_path": "x",
		},
		"other encoding": {
			"client_encoding": "LATIN1",
		},
		"replication": {
			"replication": "database",
		},
		"user in options": {
			"options": "-c user=other",
		},
		"options without a value": {
			"options": "-c",
		},
		"unknown option": {
			"options": "-x 1",
		},
		"long session": {
			params.SessionParameter: strings.Repeat("x", 129),
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := params.Parse(parameters)
			f := fault.As(err)
			is.True(f != nil)
			is.True(f.Remedy != "")
		})
	}
}
