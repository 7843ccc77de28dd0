package qclass_test

import (
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/qclass"
)

func TestKind(t *testing.T) {
	for query, kind := range map[string]string{
		"":                                          qclass.Pass,
		"select 1":                                  qclass.Pass,
		"-- copy\nselect 'copy t; listen x'":        qclass.Pass,
		"select $$ ; listen x $$":                   qclass.Pass,
		"select $t$ ; $$ listen x $t$ || $1":        qclass.Pass,
		`select E'it\'s; listen x'`:                 qclass.Pass,
		`select "copy" from t`:                      qclass.Pass,
		"/* a /* nested */ listen */ select 1":      qclass.Pass,
		"set local search_path = x":                 qclass.Pass,
		"set transaction read only":                 qclass.Pass,
		"rollback to savepoint a":                   qclass.Pass,
		"select pg_advisory_xact_lock(1)":           qclass.Pass,
		"select set_config('a', 'b', true)":         qclass.Pass,
		"create table temp (a int)":                 qclass.Pass,
		"BEGIN isolation level serializable":        qclass.Begin,
		"start transaction":                         qclass.Begin,
		" ; commit":                                 qclass.End,
		"ABORT":                                     qclass.End,
		"Set wasabislip.route = 'x'":                qclass.Set,
		"set session wasabislip.route to x":         qclass.Set,
		"show wasabislip.version;":                  qclass.Show,
		"deallocate all":                            qclass.Deallocate,
		"set wasabislip.route = 'x'; select 1":      qclass.Refused,
		"select 1; show wasabislip.route":           qclass.Refused,
		"select 1; listen x":                        qclass.Refused,
		"set wasabislip.route":                      qclass.Refused,
		"set session characteristics as x":          qclass.Refused,
		"prepare transaction 'x'":                   qclass.Refused,
		"create or replace temporary view v as":     qclass.Refused,
		"select 1 into temp t":                      qclass.Refused,
		"select pg_catalog.pg_advisory_lock(1)":     qclass.Refused,
		"select set_config('a', 'b', false)":        qclass.Refused,
		"declare c cursor with hold for select":     qclass.Refused,
		"select 'unclosed; listen x":                qclass.Pass,
		"select 1 /* unclosed; listen x":            qclass.Pass,
		"/* x */ copy t from stdin":                 qclass.Refused,
		"select \"pg_advisory_lock\"(1)":            qclass.Refused,
		"select 1; -- end\n ; discard all":          qclass.Refused,
		"insert into t values ('pg_advisory_lock')": qclass.Pass,
	} {
		t.Run(query, func(t *testing.T) {
			c := qclass.Classify(query)
			is := is.New(t)
			is.Equal(c.Kind, kind)
			is.Equal(kind == qclass.Refused, c.Reason != "" && c.Hint != "")
		})
	}
}

func TestClassify(t *testing.T) {
	is := is.New(t)
	c := qclass.Classify("/* wasabislip.route=browse */ select 1; select 2")
	is.Equal(c.Route, "browse")
	is.Equal(c.Statements, 2)
	c = qclass.Classify("SET wasabislip.session = 'Member 7'")
	is.Equal(c.Name, "wasabislip.session")
	is.Equal(c.Value, "Member 7")
}
