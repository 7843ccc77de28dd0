package parse_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/diff"
	"wasabislip.example/wasabislip/internal/models/edit"
	"wasabislip.example/wasabislip/internal/models/parse"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

const examples = "../../../examples/"

func readExample(t *testing.T, name string) string {
	t.Helper()
	body, err := os.ReadFile(examples + name)
	is.New(t).NoErr(err)
	return string(body)
}

// parseValid returns the spec of a valid file.
func parseValid(t *testing.T, text string) *spec.Spec {
	t.Helper()
	file := parse.Parse("f", []byte(text))
	if file.Spec == nil {
		t.Fatal(strings.Join(file.Problems, "\n"))
	}
	return file.Spec
}

// wantProblem checks that the file is refused, and that one problem contains all
// parts.
func wantProblem(t *testing.T, text string, parts ...string) {
	t.Helper()
	file := parse.Parse("f", []byte(text))
	is.New(t).True(file.Spec == nil)
	for _, p := range file.Problems {
		found := strings.HasPrefix(p, "f:") && strings.Contains(p, "; ")
		for _, part := range parts {
			found = found && strings.Contains(p, part)
		}
		if found {
			return
		}
	}
	t.Fatalf("want a problem with %q, got\n%s", parts, strings.Join(file.Problems, "\n"))
}

func TestExamples(t *testing.T) {
	for name, connections := range map[string]int{
		"hanbit.yaml":     20,
		"consortium.yaml": 30,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := parseValid(t, readExample(t, name))
			is.Equal(len(s.DataCentres), 3)
			is.Equal(len(s.Databases), 3)
			is.Equal(len(s.Workspaces), 8)
			for _, db := range s.Databases {
				is.Equal(len(db.Instances), 3)
				is.Equal(db.Instances[0].Connections, connections)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	text := readExample(t, "hanbit.yaml")
	refuse := func(what, old, now, want string) {
		t.Run(what, func(t *testing.T) {
			is.New(t).True(strings.Contains(text, old))
			wantProblem(t, strings.Replace(text, old, now, 1), want)
		})
	}
	refuse("duplicate database", "name: swap-ledger-2\n", "name: swap-ledger-1\n", "already declared on line")
	refuse("duplicate workspace", "name: reports\n", "name: households\n", "already declared on line")
	refuse("dangling data centre", "data-centre: sejong-b", "data-centre: sejong-c", `"sejong-c" is not declared`)
	refuse("dangling database", "[swap-ledger-1, swap-ledger-2, swap-ledger-3]", "[swap-ledger-9]", `"swap-ledger-9" is not declared`)
	refuse("dangling route", "default-route: settle", "default-route: pay", `"pay" is not declared`)
	refuse("rate of 0", "rate: 400", "rate: 0", "workspaces[0].rate")
	refuse("negative rate", "rate: 400", "rate: -1", "workspaces[0].rate")
	refuse("rate not a number", "rate: 400", "rate: .nan", "workspaces[0].rate")
	refuse("no rate", "    rate: 400\n", "", "workspaces[0].rate")
	refuse("negative age", "max-age: 5s", "max-age: -5s", "max-age above 0")
	refuse("no age", "    max-age: 5s\n", "", "max-age above 0")
	refuse("no freshness", "    freshness: session\n", "", "freshness")
	refuse("age without a unit", "max-age: 5s", "max-age: 5", "with its unit")
	refuse("unknown unit", "timeout: 10s", "timeout: 10 seconds", "with its unit")
	refuse("used address", "address: 10.10.2.11:5432", "address: 10.10.1.11:5432", "already used on line")
	refuse("address without a port", "address: 10.10.2.11:5432", "address: db-2", "not ip:port")
	refuse("duplicate key", "id: reports-1\n", "id: reports-1\n        salt: \"00\"\n        hash: \"00\"\n      - id: reports-1\n", "already declared on line")
	refuse("bad salt", "        salt: \"", "        salt: \"xyz", "salt is not hex")
	refuse("bad hash", "        hash: \"", "        hash: \"00", "hash is not lower-case hex")
	refuse("name not in kebab case", "name: daejeon-a\n", "name: Daejeon_A\n", "not in kebab case")
	refuse("unknown field", "    region: kr-central\n", "    region: kr-central\n    zone: 1\n", `unknown field "data-centres[0].zone"`)
	refuse("field twice", "    region: kr-central\n", "    region: kr-central\n    region: x\n", "stands twice")
	refuse("slots as text", "slots: 3", "slots: three", "whole number")
	refuse("no slots", "        slots: 3\n", "", "slots are missing")
	refuse("data centre without instances", "databases:\n", "  - name: empty-d\n    region: kr-central\ndatabases:\n", "holds no instance")
	refuse("write route with freshness", "    timeout: 10s\n", "    freshness: session\n", "a write route has no freshness")
	refuse("not YAML", "databases:", "databases: [", "correct the YAML")
	t.Run("two instances", func(t *testing.T) {
		i := strings.Index(text, "      - name: swap-ledger-1-c")
		j := strings.Index(text, "  - name: swap-ledger-2\n")
		wantProblem(t, text[:i]+text[j:], "2 instances give no safe majority", "f:13:")
	})
	t.Run("all instances drained", func(t *testing.T) {
		drained := strings.ReplaceAll(text, "    region: kr-central\n", "    region: kr-central\n    drained: true\n")
		wantProblem(t, drained, "all instances of database")
	})
	t.Run("all problems are listed, sorted by line", func(t *testing.T) {
		is := is.New(t)
		bad := strings.Replace(text, "rate: 400", "rate: x", 1)
		bad = strings.Replace(bad, "slots: 3", "slots: 0", 1)
		bad = strings.Replace(bad, "kind: write", "kind: wrote", 1)
		problems := parse.Parse("f", []byte(bad)).Problems
		is.Equal(len(problems), 3)
		is.True(strings.Contains(problems[0], "slots"))
		is.True(strings.Contains(problems[2], "wrote"))
	})
	for _, empty := range []string{"", "---\n", "[]", "a", "null", "- 1\n---\n- 2"} {
		t.Run("no configuration in "+empty, func(t *testing.T) {
			is.New(t).True(parse.Parse("f", []byte(empty)).Spec == nil)
		})
	}
}

func TestEdit(t *testing.T) {
	text := readExample(t, "consortium.yaml")
	for _, p := range []edit.Target{
		{
			Kind: edit.DataCentre,
			Name: "dakar-pikine",
		},
		{
			Kind: edit.Host,
			Name: "entry-1",
		},
		{
			Kind: edit.Instance,
			Name: "lending-ledger-2/lending-ledger-2-b",
		},
	} {
		t.Run(p.Kind, func(t *testing.T) {
			is := is.New(t)
			drained, err := p.SetDrained([]byte(text), true)
			is.NoErr(err)
			before := parseValid(t, text)
			is.Equal(len(diff.Between(before, parseValid(t, string(drained)))), 1)
			is.True(strings.Contains(string(drained), "# Deposits must be exact."))
			again, err := p.SetDrained(drained, true)
			is.NoErr(err)
			is.Equal(string(again), string(drained))
			restored, err := p.SetDrained(drained, false)
			is.NoErr(err)
			is.Equal(len(diff.Between(before, parseValid(t, string(restored)))), 0)
		})
	}
	t.Run("an unknown data centre is refused", func(t *testing.T) {
		p := edit.Target{
			Kind: edit.DataCentre,
			Name: "dakar-medina",
		}
		_, err := p.SetDrained([]byte(text), true)
		is.New(t).True(err != nil)
	})
}

func TestPlan(t *testing.T) {
	is := is.New(t)
	text := readExample(t, "hanbit.yaml")
	now := strings.Replace(text, "rate: 400", "rate: 500", 1)
	now = strings.Replace(now, "name: reports\n", "name: summaries\n", 1)
	var lines []string
	for _, c := range diff.Between(parseValid(t, text), parseValid(t, now)) {
		lines = append(lines, c.String())
	}
	is.Equal(lines, []string{
		"~ workspaces/salons-daejeon/rate: 400 -> 500",
		"- workspaces/reports",
		"+ workspaces/summaries",
	})
}
