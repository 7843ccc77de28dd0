package words_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/words"
)

func TestKind(t *testing.T) {
	for query, kind := range map[string]string{
		"":                                          words.Pass,
		"select 1":                                  words.Pass,
		"-- copy\nselect 'copy t; listen x'":        words.Pass,
		"select $$ ; listen x $$":                   words.Pass,
		"select $t$ ; $$ listen x $t$ || $1":        words.Pass,
		`select E'it\'s; listen x'`:                 words.Pass,
		`select "copy" from t`:                      words.Pass,
		"/* a /* nested */ listen */ select 1":      words.Pass,
		"set local search_path = x":                 words.Pass,
		"set transaction read only":                 words.Pass,
		"rollback to savepoint a":                   words.Pass,
		"select pg_advisory_xact_lock(1)":           words.Pass,
		"select set_config('a', 'b', true)":         words.Pass,
		"create table temp (a int)":                 words.Pass,
		"BEGIN isolation level serializable":        words.Begin,
		"start transaction":                         words.Begin,
		" ; commit":                                 words.End,
		"ABORT":                                     words.End,
		"Set wasabislip.route = 'x'":                words.Set,
		"set session wasabislip.route to x":         words.Set,
		"show wasabislip.version;":                  words.Show,
		"deallocate all":                            words.Deallocate,
		"set wasabislip.route = 'x'; select 1":      words.Refused,
		"select 1; show wasabislip.route":           words.Refused,
		"select 1; listen x":                        words.Refused,
		"set wasabislip.route":                      words.Refused,
		"set session characteristics as x":          words.Refused,
		"prepare transaction 'x'":                   words.Refused,
		"create or replace temporary view v as":     words.Refused,
		"select 1 into temp t":                      words.Refused,
		"select pg_catalog.pg_advisory_lock(1)":     words.Refused,
		"select set_config('a', 'b', false)":        words.Refused,
		"declare c cursor with hold for select":     words.Refused,
		"select 'unclosed; listen x":                words.Pass,
		"select 1 /* unclosed; listen x":            words.Pass,
		"/* x */ copy t from stdin":                 words.Refused,
		"select \"pg_advisory_lock\"(1)":            words.Refused,
		"select 1; -- end\n ; discard all":          words.Refused,
		"insert into t values ('pg_advisory_lock')": words.Pass,
	} {
		t.Run(query, func(t *testing.T) {
			c := words.Sort(query)
			is := is.New(t)
			is.Equal(c.Kind, kind)
			is.Equal(kind == words.Refused, c.Reason != "" && c.Remedy != "")
		})
	}
}

func TestClassify(t *testing.T) {
	is := is.New(t)
	c := words.Sort("/* wasabislip.route=browse */ select 1; select 2")
	is.Equal(c.Route, "browse")
	is.Equal(c.Statements, 2)
	c = words.Sort("SET wasabislip.session = 'Member 7'")
	is.Equal(c.Name, "wasabislip.session")
	is.Equal(c.Value, "Member 7")
}
